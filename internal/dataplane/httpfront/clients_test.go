package httpfront

import (
	"container/list"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// When there is no room, the connection goes that will be missed least, whichever came first.
func TestEvictionOrder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		conns []string // in the order they come, a good second apart
		want  []int    // in the order they go
	}{
		{"silent ones first", []string{"kept", "half", "silent", "silent"}, []int{2, 3, 1, 0}},
		{"used long ago before just come", []string{"kept", "now"}, []int{0, 1}},
		{"used just now after just come", []string{"now", "kept now"}, []int{0, 1}},
		{"still writing after stopped", []string{"writes", "half", "kept"}, []int{1, 2, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newClients(100, nil, new(metrics.Counter), sidecartest.DiscardLog)
				hold := make(chan struct{})
				var all []*client
				k.serve = func(c *client) { all = append(all, c); <-hold }
				for i, kind := range tc.conns {
					here, there := net.Pipe()
					defer here.Close()
					k.add(there)
					synctest.Wait()
					c := all[i]
					switch kind {
					case "kept", "kept now":
						k.beginRequest(c)
						k.endRequest(c)
					case "half", "writes":
						c.lastReadAt.Store(time.Now().UnixMicro())
					}
					if i < len(tc.conns)-1 || kind != "now" && kind != "kept now" {
						time.Sleep(1200 * time.Millisecond)
					}
				}
				for i, c := range all {
					if tc.conns[i] == "writes" {
						c.lastReadAt.Store(time.Now().UnixMicro())
					}
				}
				time.Sleep(time.Millisecond)
				var got []int
				for range all {
					k.evict()
					for i, c := range all {
						if c.state == stateClosed && len(got) < len(all) && !slices.Contains(got, i) {
							got = append(got, i)
						}
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(tc.want) {
					t.Errorf("went %v, want %v", got, tc.want)
				}
				close(hold)
				k.serving.Wait()
				if n := k.lenLocked(); n != 0 {
					t.Errorf("%d are left", n)
				}
			})
		})
	}
}

// Guards against a request that gets no answer: a connection was taken for stalled, and evicted, while its request
// waited for memory for its body.
func TestRequestThatWaitsForMemoryIsNotEvicted(t *testing.T) {
	for _, used := range []bool{false, true} {
		t.Run(fmt.Sprint("used before: ", used), func(t *testing.T) {
			endpoint := newTestEndpoint(t)
			endpoint.mayAnswer <- struct{}{}
			endpoint.mayAnswer <- struct{}{}
			f := startFront(t, readyInstances(endpoint.addr), longTimeouts...)
			waitUntil(t, "readiness", f.eventLoop.Ready)
			conn := f.connect(t)
			if used {
				r := sidecartest.IdempotentRequest(900_000)
				write(t, conn, encode(t, r))
				readAnswer(t, conn, r)
			}
			f.bodies.Resize(unbudgetedBytes)
			if err := f.bodies.Acquire(t.Context(), unbudgetedBytes); err != nil {
				t.Fatal(err)
			}
			r := sidecartest.Request("POST", "/pay", "pay", 900_000, strings.Repeat("b", 2*unbudgetedBytes))
			write(t, conn, encode(t, r))
			waitUntil(t, "a request that waits for memory", func() bool { return countWaiting(f) == 1 })
			time.Sleep(stalledRequestTimeout + 10*time.Millisecond) // without a byte from the client
			f.clients.evict()
			f.bodies.Release(unbudgetedBytes)
			readAnswer(t, conn, r) // 503 after budgetTimeout on a machine that is too slow
		})
	}
}

// Guards against ends of connections that no metric shows.
func TestClosedConnectionsAndUnwrittenAnswersAreCounted(t *testing.T) {
	f := startFront(t, nil)
	hold := make(chan struct{})
	k := newClients(1, func(*client) { <-hold }, new(metrics.Counter), sidecartest.DiscardLog)
	k.full = f.clients.full
	for range 2 {
		here, there := net.Pipe()
		defer here.Close()
		k.add(there)
		k.mu.Lock()
		for at := k.unused.Front(); at != nil; at = k.unused.Front() { // it has an open request from now on
			k.moveLocked(at.Value.(*client), k.active)
		}
		k.mu.Unlock()
	}
	close(hold)
	k.serving.Wait()
	_, there := net.Pipe()
	there.Close()
	if f.write(&client{Conn: there}, newResponse(http.StatusOK, "ok"), true) {
		t.Error("written to a closed connection")
	}
	var text strings.Builder
	if err := f.figures.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"app_full_total 1\n", "app_unwritten_total 1\n"} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("no %q in\n%s", line, text.String())
		}
	}
}

// countWaiting returns the number of connections whose requests wait for memory.
func countWaiting(f *testFront) (n int) {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	for _, of := range []*list.List{f.clients.unused, f.clients.idle} {
		for at := of.Front(); at != nil; at = at.Next() {
			if at.Value.(*client).waiting {
				n++
			}
		}
	}
	return n
}
