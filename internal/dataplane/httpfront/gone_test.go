package httpfront

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// deafListener is one whose connections tell nothing of their clients' leaving once they are deaf, as where all that would tell is late.
// What the system knows can be looked up all the same.
type deafListener struct {
	net.Listener
	deaf  atomic.Bool // no read of a request that was taken ends,
	neverReadable atomic.Bool // nor does a wait for a change
	conns chan *deafConn
}

func (l *deafListener) Accept() (net.Conn, error) {
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &deafConn{nc.(*net.TCPConn), l, make(chan struct{}, 1)}
	l.conns <- c
	return c, nil
}

type deafConn struct {
	*net.TCPConn
	listener    *deafListener
	woken chan struct{}
}

func (c *deafConn) SetReadDeadline(t time.Time) error {
	if t.Equal(past) {
		c.wake()
	}
	return c.TCPConn.SetReadDeadline(t)
}

func (c *deafConn) wake() {
	select {
	case c.woken <- struct{}{}:
	default:
	}
}

func (c *deafConn) Read(b []byte) (int, error) {
	if c.listener.deaf.Load() {
		<-c.woken
		return 0, os.ErrDeadlineExceeded
	}
	return c.TCPConn.Read(b)
}

func (c *deafConn) SyscallConn() (syscall.RawConn, error) {
	raw, err := c.TCPConn.SyscallConn()
	return deafRawConn{raw, c.listener}, err
}

type deafRawConn struct {
	syscall.RawConn
	listener *deafListener
}

func (r deafRawConn) Read(f func(fd uintptr) bool) error {
	return r.RawConn.Read(func(fd uintptr) bool { return !r.listener.neverReadable.Load() && f(fd) })
}

// For a client that has gone nothing begins any more, though all that tells of its leaving is late: each attempt looks by itself,
// right before its first byte; whatever its request waited for, and however the client left.
func TestNoAttemptBeginsAfterClientHasLeft(t *testing.T) {
	const ms = 900_000
	leaves := map[string]func(c *net.TCPConn){
		"close":      func(c *net.TCPConn) { c.Close() },
		"half-close": func(c *net.TCPConn) { c.CloseWrite() },
		"reset":      func(c *net.TCPConn) { c.SetLinger(0); c.Close() },
		"close behind bytes": func(c *net.TCPConn) {
			io.WriteString(c, strings.Repeat("GET /look HTTP/1.1\r\n", 400))
			c.Close()
		},
	}
	held := func(t *testing.T, f *testFront, send func()) func() {
		f.holdDials(true)
		send()
		sidecartest.Receive(t, f.dials, "dial")
		return func() { f.holdDials(false) }
	}
	for _, tc := range []struct {
		waits string // for what
		body  int
		part  int // of the request that is sent; 0: all
		began int // attempts, before it left
		// wait has a request come to wait, and returns what lets it go on.
		wait func(t *testing.T, f *testFront, send func()) func()
	}{
		{"its connection", 0, 0, 0, held},
		{"its connection, half of a long body", 3 * MaxBufferedBody, MaxBufferedBody + 4<<10, 0, held},
		{"a further attempt's connection", 0, 0, 1, func(t *testing.T, f *testFront, send func()) func() {
			send()
			for range 2 {
				sidecartest.Receive(t, f.dials, "dial")
			}
			return func() { f.holdDials(false) }
		}},
		{"a limit", 0, 0, 0, func(t *testing.T, f *testFront, send func()) func() {
			at := &blockingLimiter{reached: make(chan struct{}), open: make(chan struct{})}
			f.SetLimiter(at)
			send()
			sidecartest.Receive(t, at.reached, "admission")
			return func() { close(at.open) }
		}},
		{"room for its body", 2 * unbudgetedBytes, 0, 0, func(t *testing.T, f *testFront, send func()) func() {
			f.bodies.Resize(unbudgetedBytes)
			f.bodies.Acquire(context.Background(), unbudgetedBytes)
			send()
			waitUntil(t, "a request that is being read", func() bool { return countReading(f) == 1 })
			return func() { f.bodies.Release(unbudgetedBytes) }
		}},
	} {
		for how, leave := range leaves {
			t.Run(tc.waits+", "+how, func(t *testing.T) {
				var f *testFront
				var taken atomic.Int32
				refuses := sidecartest.HTTPEndpoint(t, func(w http.ResponseWriter, r *http.Request) {
					if int(taken.Add(1)) <= tc.began {
						f.holdDials(true) // the next attempt's
					}
					w.Header().Set("X-Never-Ran", "1")
					w.WriteHeader(http.StatusServiceUnavailable)
				})
				ln, err := net.Listen("tcp", "127.0.0.1:0")
				if err != nil {
					t.Fatal(err)
				}
				l := &deafListener{Listener: ln, conns: make(chan *deafConn, 1)}
				f = startFrontOn(t, l, []discovery.Instance{sidecartest.ReadyInstance("s-1", refuses), sidecartest.ReadyInstance("s-2", refuses)},
					`"dial-timeout":1000000`, `"dial-timeout":100000000`, `"give-up":1000000`, `"give-up":900000000`)
				c, r := f.connect(t), sidecartest.IdempotentRequest(ms)
				if tc.body > 0 {
					r = sidecartest.Request("POST", "/pay", "pay", ms, strings.Repeat("x", tc.body))
				}
				whole := encode(t, r)
				if tc.part > 0 {
					whole = whole[:tc.part]
				}
				l.deaf.Store(true)
				release := tc.wait(t, f, func() { write(t, c, whole) })
				l.neverReadable.Store(tc.part > 0)
				here := sidecartest.Receive(t, l.conns, "connection")
				leave(c)
				raw, _ := here.TCPConn.SyscallConn()
				waitUntil(t, "the leaving, at the other end", func() (left bool) {
					err := raw.Control(func(fd uintptr) { left = !isEstablished(fd) })
					return left || err != nil
				})
				release()
				over := func() bool { return f.CloseIdleFor(time.Hour) == 0 }
				waitUntil(t, "an attempt that began, or did not", func() bool {
					f.upstream.mu.Lock()
					idle := 0
					for to := range f.upstream.idle {
						idle += len(to.idle)
					}
					kept := idle > tc.began && idle == f.upstream.conns
					f.upstream.mu.Unlock()
					return kept || over() || int(taken.Load()) > tc.began
				})
				l.deaf.Store(false)
				l.neverReadable.Store(false)
				here.wake()
				c.Close()
				waitUntil(t, "the end of its connection", over)
				if n := int(taken.Load()); n != tc.began {
					t.Errorf("%d attempts in all, %d of them before it left", n, tc.began)
				}
			})
		}
	}
}

// BenchmarkClientDisconnectDetection measures how long after a client's close its attempt is withdrawn, as its server sees it, by what watches
// and by the loop: idle, and with clients that ask without a pause. All of them and the servers share the processors (-cpu 1 is the
// program's own measure), so that it is more than the program's part. A few at a time (-benchtime 5x -count 20): a server that loses many
// attempts gets no more. BenchmarkLookForLeaving is what each attempt's own look costs.
func BenchmarkClientDisconnectDetection(b *testing.B) {
	for _, others := range []int{0, 16, 64} {
		b.Run(fmt.Sprint("others=", others), func(b *testing.B) {
			taken, ended := make(chan struct{}), make(chan time.Time)
			addr := sidecartest.RawEndpoint(b, func(c *net.TCPConn, r *bufio.Reader) {
				for {
					req, err := sidecartest.ReadRequest(r)
					if err != nil {
						return
					}
					if req.URL.Path == "/pay" {
						taken <- struct{}{}
						r.ReadByte()
						ended <- time.Now()
						return
					}
					io.WriteString(c, sidecartest.OKAnswer)
				}
			})
			f := startFront(b, []discovery.Instance{sidecartest.ReadyInstance("s-1", addr)}, `"give-up":1000000`, `"give-up":900000000`,
				`"allowance-per-s":100.0`, `"allowance-per-s":1000000.0`)
			var asked atomic.Int64
			var all sync.WaitGroup
			over := make(chan struct{})
			for range others {
				c := f.connect(b)
				c.SetDeadline(time.Time{})
				all.Go(func() {
					r := bufio.NewReader(c)
					for {
						select {
						case <-over:
							return
						default:
						}
						if sidecartest.IdempotentRequest(900_000).Write(c) != nil {
							return
						}
						resp, err := http.ReadResponse(r, nil)
						if err != nil {
							return
						}
						io.Copy(io.Discard, resp.Body)
						asked.Add(1)
					}
				})
			}
			var took []time.Duration
			refused := 0
			begun := time.Now()
			for b.Loop() {
				c := f.connect(b)
				write(b, c, encode(b, sidecartest.Request("POST", "/pay", "pay", 900_000, "x")))
				answered := make(chan struct{})
				go func() {
					if n, _ := c.Read(make([]byte, 1)); n > 0 {
						close(answered)
					}
				}()
				select {
				case <-taken:
				case <-answered: // refused, by what came of those before
					refused++
					c.Close()
					continue
				}
				left := time.Now()
				c.Close()
				took = append(took, (<-ended).Sub(left))
			}
			rate := float64(asked.Load()) / time.Since(begun).Seconds()
			close(over)
			all.Wait()
			slices.Sort(took)
			b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "ms-99%")
			b.ReportMetric(float64(took[len(took)-1].Microseconds())/1000, "ms-most")
			b.ReportMetric(rate, "others/s")
			b.ReportMetric(float64(refused), "refused")
		})
	}
}

func BenchmarkHasLeft(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	there, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer there.Close()
	here, err := ln.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer here.Close()
	c := &client{Conn: here}
	c.raw, _ = here.(syscall.Conn).SyscallConn()
	b.ReportAllocs()
	for b.Loop() {
		if c.hasLeft() {
			b.Fatal("it is there")
		}
	}
}
