package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["trailer"] = playTrailer }

// spoiler decides which answers of a slot server are spoilt: each one in so many. 0 spoils none.
type spoiler struct {
	every  int64
	count  atomic.Int64
	spoilt atomic.Int64
}

func (s *spoiler) next() bool {
	if s == nil || s.every == 0 || s.count.Add(1)%s.every != 0 {
		return false
	}
	s.spoilt.Add(1)
	return true
}

// writeEndlessTrailer writes a good chunked answer up to its last chunk, and then trailer fields until the sidecar closes
// the connection or limit bytes are written. It returns the number of bytes of the trailer.
func writeEndlessTrailer(conn net.Conn, body string, limit int) (written int) {
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Note: ", len(body), body)
	if _, err := io.WriteString(conn, head); err != nil {
		return 0
	}
	fields := bytes.Repeat([]byte("x"), 64<<10)
	for written < limit {
		n, err := conn.Write(fields)
		written += n
		if err != nil {
			break
		}
	}
	return written
}

// serveSpoilt serves a connection as serveConn does, but spoils some answers by a trailer without end. The connection
// stays open and is of no further use.
func (s *slotServer) serveSpoilt(conn net.Conn, spoil *spoiler) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer := s.answer(r)
		id := r.Header.Get("X-Trace-Id")
		if id != "" && spoil.next() {
			begin := time.Now()
			n := writeEndlessTrailer(conn, "made for "+id, 256<<20)
			s.log("server %s: spoilt answer to %s: a trailer of %.1f MB in %.3f s, until the connection ended", s.id, id,
				float64(n)/1e6, time.Since(begin).Seconds())
			_, _ = io.Copy(io.Discard, conn)
			return
		}
		if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// playTrailer: one of eight slot servers spoils one in twenty of its answers: after the last chunk comes a trailer that
// doesn't end. The platform kills a sidecar that holds more memory than its configuration allows.
func playTrailer(w *world) error {
	const memoryMB, servers, clientCount = 192, 8, 8
	const length = 20 * time.Second
	var entries []instance
	spoil := &spoiler{}
	if w.trouble {
		spoil.every = 20
	}
	for i := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &slotServer{id: fmt.Sprintf("s-%d", i), work: 30 * time.Millisecond, log: w.rec.add}
		entries = append(entries, entry(i, s.id, ln.Addr().String()))
		if i != 0 {
			go s.serve(ln)
			continue
		}
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go s.serveSpoilt(conn, spoil)
			}
		}()
	}
	d, err := newDiscovery(w.rec, entries)
	if err != nil {
		return err
	}
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024})
	if err != nil {
		return err
	}
	end := time.Now().Add(length)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	var totals totals
	for range clientCount {
		wg.Go(func() {
			c := &appClient{addr: s.listen}
			defer c.close()
			for time.Now().Before(end) {
				select {
				case <-stop:
					return
				default:
				}
				id := newID()
				a := c.do(http.MethodPost, "confirm", id, 1200, []byte("slot 7"), 2*time.Second, 3*time.Second)
				w.rec.add("client: %s: %v", id, a)
				totals.add(a)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	killed, peak := w.platform(s, memoryMB, end)
	close(stop)
	wg.Wait()
	w.rec.say("%v; %d answers spoilt; the sidecar held %.0f MB at most, of %d", &totals, spoil.spoilt.Load(), peak, memoryMB)
	if killed {
		return fmt.Errorf("%w: the sidecar went over its %d MB of memory and was killed", errBroken, memoryMB)
	}
	return totals.check()
}

// platform watches a sidecar's memory as the platform does until an instant: a sidecar over its limit is killed.
func (w *world) platform(s *sidecar, memoryMB float64, until time.Time) (killed bool, peak float64) {
	for time.Now().Before(until) {
		now := residentMB(s.process.Process.Pid)
		peak = max(peak, now)
		if now > memoryMB {
			w.rec.add("platform: the sidecar holds %.1f MB, over %.0f: killed", now, memoryMB)
			_ = s.process.Process.Kill()
			<-s.ended
			return true, peak
		}
		time.Sleep(2 * time.Millisecond)
	}
	return false, peak
}
