package httpfront

import (
	"bufio"
	"container/list"
	"fmt"
	"io"
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

// TestEvictionOrder evicts connections in different states one after the other. A connection that is likely to be
// needed must be evicted after those that are not, whichever was opened first.
func TestEvictionOrder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		conns []string // the kinds of connections, in the order in which they are opened, over a second apart
		want  []int    // indices of conns, in the order in which they are evicted
	}{
		{"silent before stalled before idle", []string{"kept", "half", "silent", "silent"}, []int{2, 3, 1, 0}},
		{"idle for long before new", []string{"kept", "now"}, []int{0, 1}},
		{"new before recently used", []string{"now", "kept now"}, []int{0, 1}},
		{"stalled before sending", []string{"writes", "half", "kept"}, []int{1, 2, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newClients(100, nil, new(metrics.Counter), sidecartest.DiscardLog)
				release := make(chan struct{})
				var added []*client
				k.serve = func(c *client) { added = append(added, c); <-release }
				for i, kind := range tc.conns {
					clientEnd, serverEnd := net.Pipe()
					defer clientEnd.Close()
					k.add(serverEnd)
					synctest.Wait()
					c := added[i]
					switch kind {
					case "kept", "kept now":
						k.beginRequest(c)
						k.endRequest(c)
					case "half", "writes":
						c.noteRead()
					}
					if i < len(tc.conns)-1 || kind != "now" && kind != "kept now" {
						time.Sleep(1200 * time.Millisecond)
					}
				}
				for i, c := range added {
					if tc.conns[i] == "writes" {
						c.noteRead()
					}
				}
				time.Sleep(time.Millisecond)
				var evicted []int
				for range added {
					k.evict()
					for i, c := range added {
						if c.state == stateClosed && len(evicted) < len(added) && !slices.Contains(evicted, i) {
							evicted = append(evicted, i)
						}
					}
				}
				if fmt.Sprint(evicted) != fmt.Sprint(tc.want) {
					t.Errorf("connections were evicted in the order %v, want %v", evicted, tc.want)
				}
				close(release)
				k.serving.Wait()
				if n := k.lenLocked(); n != 0 {
					t.Errorf("%d connections are listed after all were evicted, want 0", n)
				}
			})
		})
	}
}

// TestLingeringConnectionWithBodyIsEvictedLast guards against a client that loses its early answer, since its
// connection is closed to make room while its body still arrives.
func TestLingeringConnectionWithBodyIsEvictedLast(t *testing.T) {
	k := newClients(100, nil, new(metrics.Counter), sidecartest.DiscardLog)
	withBody, idle, plain := &client{bodyArrives: true}, &client{state: stateIdle}, &client{}
	k.moveLocked(withBody, k.lingering)
	k.moveLocked(idle, k.idle)
	k.moveLocked(plain, k.lingering)
	for i, want := range []*client{plain, idle, withBody, nil} {
		if got := k.evictLocked(); got != want {
			t.Errorf("eviction %d is not the one expected", i)
		}
	}
}

// TestRequestThatWaitsForMemoryIsNotEvicted guards against a request without an answer: a connection counted as
// stalled, and was evicted, while its request waited for memory for its body.
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
			f.bodies.Resize(maxUnbudgetedBytes)
			if err := f.bodies.Acquire(t.Context(), maxUnbudgetedBytes); err != nil {
				t.Fatal(err)
			}
			r := sidecartest.Request("POST", "/pay", "pay", 900_000, strings.Repeat("b", 2*maxUnbudgetedBytes))
			write(t, conn, encode(t, r))
			waitUntil(t, "a request that waits for memory", func() bool { return countWaiting(f) == 1 })
			time.Sleep(stalledRequestTimeout + 10*time.Millisecond) // without a byte from the client
			f.clients.evict()
			f.bodies.Release(maxUnbudgetedBytes)
			readAnswer(t, conn, r) // 503 after bodyMemoryTimeout on a machine that is too slow
		})
	}
}

// TestClosedConnectionsAndUnwrittenAnswersAreCounted guards against connections that end without any metric showing it.
func TestClosedConnectionsAndUnwrittenAnswersAreCounted(t *testing.T) {
	f := startFront(t, nil)
	release := make(chan struct{})
	k := newClients(1, func(*client) { <-release }, new(metrics.Counter), sidecartest.DiscardLog)
	k.closedWhenFull = f.clients.closedWhenFull
	for range 2 {
		clientEnd, serverEnd := net.Pipe()
		defer clientEnd.Close()
		k.add(serverEnd)
		k.mu.Lock()
		// The connection counts as one with an open request from now on.
		for elem := k.unused.Front(); elem != nil; elem = k.unused.Front() {
			k.moveLocked(elem.Value.(*client), k.active)
		}
		k.mu.Unlock()
	}
	close(release)
	k.serving.Wait()
	_, serverEnd := net.Pipe()
	serverEnd.Close()
	if f.write(&client{Conn: serverEnd}, newResponse(http.StatusOK, "ok"), true) {
		t.Error("writing an answer to a closed connection succeeded")
	}
	var text strings.Builder
	if err := f.figures.WriteText(&text); err != nil {
		t.Fatal(err)
	}
	for _, line := range []string{"app_full_total 1\n", "app_unwritten_total 1\n"} {
		if !strings.Contains(text.String(), line) {
			t.Errorf("metrics lack the line %q:\n%s", line, text.String())
		}
	}
}

// countWaiting returns the number of connections whose requests wait for memory for their bodies.
func countWaiting(f *testFront) (n int) {
	f.clients.mu.Lock()
	defer f.clients.mu.Unlock()
	for _, conns := range []*list.List{f.clients.unused, f.clients.idle} {
		for elem := conns.Front(); elem != nil; elem = elem.Next() {
			if elem.Value.(*client).waitingForMemory {
				n++
			}
		}
	}
	return n
}

// TestRequestBehindReadinessChecksIsBeingRead guards against a connection that is closed without an answer although a
// request was read from it together with the readiness checks before it: it counted as one on which nothing has
// arrived.
func TestRequestBehindReadinessChecksIsBeingRead(t *testing.T) {
	const check = "GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n"
	endpoint := newTestEndpoint(t)
	f := startFront(t, readyInstances(endpoint.addr), longTimeouts...)
	for checks := 1; checks <= 3; checks++ {
		c := f.connect(t)
		r := sidecartest.IdempotentRequest(900_000)
		text := encode(t, r)
		write(t, c, strings.Repeat(check, checks)+text[:len(text)/2])
		answers := bufio.NewReader(c)
		for range checks {
			resp, err := http.ReadResponse(answers, nil)
			if err != nil {
				t.Fatalf("%d checks: reading an answer: %v", checks, err)
			}
			_, _ = io.Copy(io.Discard, resp.Body)
		}
		waitUntil(t, "half of the request is being read", func() bool { return countReading(f) == 1 })
		write(t, c, text[len(text)/2:])
		sidecartest.Receive(t, endpoint.received, "the request")
		endpoint.mayAnswer <- struct{}{}
		if resp, err := http.ReadResponse(answers, r); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("%d checks: answer %v, error %v; want 200", checks, resp, err)
		}
		c.Close()
	}
}
