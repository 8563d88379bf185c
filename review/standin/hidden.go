package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["hidden"] = playHidden }

// playHidden: a bad client sends a request with a Content-Length and chunks, right behind a readiness check. The body of
// the length that it gives holds another request, which no slot server may get. The usual clients send beside it.
func playHidden(w *world) error {
	const tries = 5
	var mu sync.Mutex
	passedOn := 0
	d, err := w.startFleet(8, 30*time.Millisecond, func(server, request string) {
		if strings.HasPrefix(request, "hidden") {
			mu.Lock()
			defer mu.Unlock()
			passedOn++
			w.rec.say("slot server %s runs %s", server, request)
		}
	})
	if err != nil {
		return err
	}
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return err
	}
	end := time.Now().Add(8 * time.Second)
	var wg sync.WaitGroup
	var totals totals
	for range 4 {
		wg.Go(func() {
			c := &appClient{addr: s.listen}
			defer c.close()
			for time.Now().Before(end) {
				id := newID()
				a := c.do(http.MethodPost, "confirm", id, 1200, []byte("slot 7"), 2*time.Second, 3*time.Second)
				w.rec.add("client: %s: %v", id, a)
				totals.add(a)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	served := 0
	for i := range tries {
		time.Sleep(time.Second)
		hidden := string(head(http.MethodPost, "confirm", fmt.Sprintf("hidden%d", i), 900, 0))
		outer := string(head(http.MethodPost, "confirm", newID(), 900, len("0\r\n\r\n")+len(hidden)))
		outer = strings.TrimSuffix(outer, "\r\n") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		if !w.trouble { // the same requests, each in a sound form
			outer = string(head(http.MethodPost, "confirm", newID(), 900, 0))
			hidden = strings.Replace(hidden, "hidden", "sound", 1)
		}
		ready := "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
		code, err := sendPieces(w.rec, s.listen, ready+outer, hidden)
		if err != nil {
			return err
		}
		if w.trouble && code == http.StatusOK {
			served++
			w.rec.say("bad client: the request with a length and chunks is served")
		}
	}
	wg.Wait()
	s.end()
	w.rec.say("usual clients: %v; of %d requests with a length and chunks, %d were served, and %d of those hidden in them were run",
		&totals, tries, served, passedOn)
	if served+passedOn > 0 {
		return errBroken
	}
	return totals.check()
}

// sendPieces sends two pieces: the first holds a readiness check and a request, the second is sent once both are answered.
// It returns the status of the answer to the request, or 0 if the connection ended before.
func sendPieces(rec *record, listen, first, second string) (code int, err error) {
	conn, err := net.DialTimeout("tcp", listen, 2*time.Second)
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	read := func() (status int) {
		resp, err := http.ReadResponse(reader, nil)
		if err != nil {
			rec.add("bad client: no answer: %v", err)
			return 0
		}
		text, _ := io.ReadAll(resp.Body)
		rec.add("bad client: got %d %q", resp.StatusCode, text)
		return resp.StatusCode
	}
	rec.add("bad client: sends %q", first)
	if _, err := io.WriteString(conn, first); err != nil {
		return 0, nil
	}
	read()
	code = read()
	rec.add("bad client: sends %q", second)
	if _, err := io.WriteString(conn, second); err == nil {
		read()
	}
	return code, nil
}
