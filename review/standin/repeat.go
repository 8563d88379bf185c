package main

import (
	"bytes"
	"context"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["repeat"] = playRepeat }

// withoutQuorum makes a change at the leader while the other replicas are stopped, and continues them. It returns the
// request by which to repeat the change, and whether the change was made.
func (c *storeCluster) withoutQuorum(key, value string) (request string, made bool, err error) {
	lead := c.leader()
	if lead == nil {
		return "", false, errors.New("no replica leads")
	}
	for _, r := range c.replicas {
		if r != lead {
			_ = r.process.Process.Signal(syscall.SIGSTOP)
		}
	}
	out, putErr := c.call(lead, "store", "put", key, value, "--json", "--timeout", "3s")
	c.w.rec.add("first operator at %s: store put %s %s: %v %s", lead.name, key, value, putErr, strings.Join(strings.Fields(out), " "))
	for _, r := range c.replicas {
		_ = r.process.Process.Signal(syscall.SIGCONT)
	}
	var f failure
	if json.Unmarshal([]byte(out), &f) != nil || f.Outcome != "unknown" {
		return "", false, nil
	}
	if lead = c.leader(); lead == nil {
		return "", false, errors.New("no replica leads")
	}
	i, err := c.get(lead, key)
	return f.Request, i.Version == 1, err
}

// traffic makes so many changes of other keys at all replicas.
func (c *storeCluster) traffic(changes int64) error {
	var left, failed atomic.Int64
	left.Store(changes)
	var wg sync.WaitGroup
	begin := time.Now()
	for n := range 48 {
		socket := c.replicas[n%len(c.replicas)].socket
		dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "unix", socket)
		}
		client := &http.Client{Transport: &http.Transport{DialContext: dial}}
		wg.Go(func() {
			for i := 1; left.Add(-1) >= 0; i++ {
				value := base64.StdEncoding.EncodeToString([]byte(fmt.Sprint(i)))
				body := fmt.Sprintf(`{"id":{"Client":%d,"Seq":%d},"txn":{"then":[{"key":"other/%d","value":%q}]}}`,
					begin.UnixNano()>>1+int64(n), i, n, value)
				resp, err := client.Post("http://store/v1/change", "application/json", bytes.NewBufferString(body))
				if err != nil {
					failed.Add(1)
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
				if resp.StatusCode != http.StatusOK {
					failed.Add(1)
				}
			}
		})
	}
	wg.Wait()
	c.w.rec.say("%d changes of other keys in %.1f s, %d failed", changes, time.Since(begin).Seconds(), failed.Load())
	if failed.Load() > changes/100 {
		return errors.New("too many changes failed")
	}
	return nil
}

// playRepeat: an operator is told that the outcome of a change is unknown, since no quorum answered, and repeats it later
// as told, with the request's id. In between another operator changes the key, and the fleet makes 70,000 other changes.
func playRepeat(w *world) error {
	const otherChanges, rounds = 70_000, 8
	c, err := w.newCluster()
	if err != nil {
		return err
	}
	key, request := "slots/0", ""
	if w.trouble {
		made := false
		for round := 0; !made; round++ {
			if round == rounds {
				return errors.New("no change of unknown outcome was made")
			}
			key = fmt.Sprintf("slots/%d", round)
			if request, made, err = c.withoutQuorum(key, "first"); err != nil {
				return err
			}
		}
		w.rec.say("first operator: the outcome of put %s first is unknown; to repeat it: --request %s", key, request)
	} else if _, err := c.put(c.replicas[0], key, "first"); err != nil {
		return err
	}
	if _, err := c.put(c.leader(), key, "second"); err != nil {
		return err
	}
	before, err := c.get(c.leader(), key)
	if err != nil {
		return err
	}
	w.rec.say("second operator: store put %s second; the key is now %v", key, before)
	if err := c.traffic(otherChanges); err != nil {
		return err
	}
	if request != "" {
		out, err := c.call(c.leader(), "store", "put", key, "first", "--request", request, "--json")
		w.rec.say("first operator: store put %s first --request %s: %v %s", key, request, err, strings.Join(strings.Fields(out), " "))
	}
	after, err := c.get(c.leader(), key)
	if err != nil {
		return err
	}
	w.rec.say("the key is now %v", after)
	if after.String() != before.String() {
		return fmt.Errorf("%w: the change of request %s took effect twice, and the second operator's is lost", errBroken, request)
	}
	return nil
}
