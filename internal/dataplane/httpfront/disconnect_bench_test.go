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

// BenchmarkClientDisconnectDetection measures how long after a client's close its attempt is cancelled, as the
// server sees it: idle, and beside clients that send requests without a pause. All of them and the servers share
// the processors, so that the figure is more than the program's part. Run few iterations (-benchtime 5x -count 20),
// since a server that loses many attempts is ejected. BenchmarkHasLeft measures the check that each attempt makes
// by itself.
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
						_, _ = r.ReadByte()
						ended <- time.Now()
						return
					}
					_, _ = io.WriteString(c, sidecartest.OKResponse)
				}
			})
			f := startFront(b, readyInstances(addr),
				slices.Concat(longClassTimeout, []string{`"allowance-per-s":100.0`, `"allowance-per-s":1000000.0`})...)
			var asked atomic.Int64
			var all sync.WaitGroup
			over := make(chan struct{})
			for range others {
				c := f.connect(b)
				if err := c.SetDeadline(time.Time{}); err != nil {
					b.Fatal(err)
				}
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
						_, _ = io.Copy(io.Discard, resp.Body)
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
