package httpfront

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// BenchmarkClientDisconnectDetection measures the time from a client's close until its attempt is cancelled at the
// endpoint: without load, and with other clients that send requests without a pause. Clients, sidecar and endpoint
// share the processors, so that the result includes more than the sidecar's delay. Run few iterations (-benchtime 5x
// -count 20), since an endpoint that loses many attempts is ejected. BenchmarkHasLeft measures the check that each
// attempt makes before it begins.
func BenchmarkClientDisconnectDetection(b *testing.B) {
	for _, others := range []int{0, 16, 64} {
		b.Run(fmt.Sprint("others=", others), func(b *testing.B) {
			received, cancelled := make(chan struct{}), make(chan time.Time)
			addr := sidecartest.RawEndpoint(b, func(c *net.TCPConn, r *bufio.Reader) {
				for {
					req, err := sidecartest.ReadRequest(r)
					if err != nil {
						return
					}
					if req.URL.Path == "/pay" {
						received <- struct{}{}
						_, _ = r.ReadByte()
						cancelled <- time.Now()
						return
					}
					_, _ = io.WriteString(c, sidecartest.OKResponse)
				}
			})
			f := startFront(b, readyInstances(addr),
				slices.Concat(longClassTimeout, []string{`"allowance-per-s":100.0`, `"allowance-per-s":1000000.0`})...)
			var completed atomic.Int64
			var background sync.WaitGroup
			stop := make(chan struct{})
			for range others {
				c := f.connect(b)
				if err := c.SetDeadline(time.Time{}); err != nil {
					b.Fatal(err)
				}
				background.Go(func() {
					r := bufio.NewReader(c)
					for {
						select {
						case <-stop:
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
						_, _ = io.Copy(io.Discard, resp.Body)
						completed.Add(1)
					}
				})
			}
			var delays []time.Duration
			rejected := 0
			startedAt := time.Now()
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
				case <-received:
				case <-answered: // rejected, because of the cancelled attempts before
					rejected++
					c.Close()
					continue
				}
				closedAt := time.Now()
				c.Close()
				delays = append(delays, (<-cancelled).Sub(closedAt))
			}
			rate := float64(completed.Load()) / time.Since(startedAt).Seconds()
			close(stop)
			background.Wait()
			slices.Sort(delays)
			b.ReportMetric(float64(delays[len(delays)/2].Microseconds())/1000, "ms-median")
			b.ReportMetric(float64(delays[len(delays)*99/100].Microseconds())/1000, "ms-99%")
			b.ReportMetric(float64(delays[len(delays)-1].Microseconds())/1000, "ms-most")
			b.ReportMetric(rate, "others/s")
			b.ReportMetric(float64(rejected), "refused")
		})
	}
}

// BenchmarkHasLeft measures the check whether a client has left, on a connection that is open.
func BenchmarkHasLeft(b *testing.B) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	defer ln.Close()
	clientEnd, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer clientEnd.Close()
	serverEnd, err := ln.Accept()
	if err != nil {
		b.Fatal(err)
	}
	defer serverEnd.Close()
	c := &client{Conn: serverEnd}
	c.raw, _ = serverEnd.(syscall.Conn).SyscallConn()
	b.ReportAllocs()
	for b.Loop() {
		if c.hasLeft() {
			b.Fatal("hasLeft returned true for a connected client")
		}
	}
}
