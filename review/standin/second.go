package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["second"] = playSecond }

// Times of one way between a sidecar and a slot server. The brief names 1.4 to 2.6 ms between the two data centres, the site
// file 0.081 to 0.35 ms within one.
const (
	crossZone = 2 * time.Millisecond
	sameZone  = 300 * time.Microsecond
)

// delayLine listens at a loopback address and passes connections on to another, each byte later by delay.
func delayLine(to string, delay time.Duration) (addr string, err error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			near, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				far, err := net.Dial("tcp", to)
				if err != nil {
					_ = near.Close()
					return
				}
				go passOn(near, far, delay)
				passOn(far, near, delay)
			}()
		}
	}()
	return ln.Addr().String(), nil
}

// passOn copies from one connection to another with a delay, and closes both at the end.
func passOn(from, to net.Conn, delay time.Duration) {
	type piece struct {
		bytes []byte
		due   time.Time
	}
	pieces := make(chan piece, 1024)
	go func() {
		defer close(pieces)
		for {
			buf := make([]byte, 16<<10)
			n, err := from.Read(buf)
			if n > 0 {
				pieces <- piece{buf[:n], time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for p := range pieces {
		time.Sleep(time.Until(p.due))
		if _, err := to.Write(p.bytes); err != nil {
			break
		}
	}
	_ = to.Close()
	_ = from.Close()
	for range pieces {
	}
}

// serveTwice serves a connection. Behind some answers it sends a second copy of the answer, late by one to three times
// shortest, if nothing of another request has come on the connection by then.
func (s *slotServer) serveTwice(conn net.Conn, spoil *spoiler, shortest time.Duration) {
	defer conn.Close()
	var waits atomic.Bool // something of a request has come that was not answered yet
	requests := make(chan *http.Request)
	answered := make(chan struct{})
	go func() {
		defer close(requests)
		reader := bufio.NewReader(conn)
		for {
			if _, err := reader.Peek(1); err != nil {
				return
			}
			waits.Store(true)
			r, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			requests <- r
			<-answered
		}
	}()
	for r := range requests {
		answer := s.answer(r)
		waits.Store(false)
		answered <- struct{}{}
		if _, err := conn.Write(answer); err != nil {
			break
		}
		if id := r.Header.Get("X-Trace-Id"); id != "" && spoil.next() {
			late := shortest + rand.N(2*shortest)
			time.Sleep(late)
			if waits.Load() {
				continue
			}
			s.log("server %s: a second answer to %s, %.2f ms late", s.id, id, late.Seconds()*1e3)
			if _, err := conn.Write(answer); err != nil {
				break
			}
		}
	}
	_ = conn.Close()
	for range requests {
		answered <- struct{}{}
	}
}

// foreign counts the answers that were made for another request.
type foreign struct{ count atomic.Int64 }

// ask sends requests one after another, each as soon as the one before is answered, until an instant.
func (f *foreign) ask(w *world, addr, name string, totals *totals, until time.Time) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for time.Now().Before(until) {
		id := newID()
		a := answer{sentAt: time.Now()}
		_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
		body := "slot 7"
		if _, err := conn.Write(append(head(http.MethodPost, "confirm", id, 1200, len(body)), body...)); err != nil {
			return
		}
		resp, err := http.ReadResponse(reader, nil)
		text := ""
		if err == nil {
			var b []byte
			b, err = io.ReadAll(resp.Body)
			text, a.code = strings.TrimSpace(string(b)), resp.StatusCode
		}
		a.err, a.endedAt = err, time.Now()
		totals.add(a)
		w.rec.add("client %s: %s: %v: %q", name, id, a, text)
		if err == nil && a.code == 200 && text != "made for "+id {
			f.count.Add(1)
			w.rec.say("client %s: the request %s was served with %q", name, id, text)
		}
		if err != nil || resp.Close {
			_ = conn.Close()
			if conn, err = net.Dial("tcp", addr); err != nil {
				return
			}
			reader.Reset(conn)
		}
	}
}

// playSecond: slot servers send a second copy behind one answer in ten, 0.3 to 3 ms late, if nothing else waits on
// the connection. Each of sixty sidecars has an application that sends one request after another.
func playSecond(w *world) error {
	const servers, sidecars = 12, 60
	const length = 15 * time.Second
	w.sidecars = sidecars
	spoil := &spoiler{}
	if w.trouble {
		spoil.every = 10
	}
	var entries []instance
	for i := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &slotServer{id: fmt.Sprintf("s-%d", i), work: 40 * time.Millisecond, log: w.rec.add}
		way, shortest := sameZone, 300*time.Microsecond
		if i%2 == 1 {
			way, shortest = crossZone, time.Millisecond
		}
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go s.serveTwice(conn, spoil, shortest)
			}
		}()
		addr, err := delayLine(ln.Addr().String(), way)
		if err != nil {
			return err
		}
		entries = append(entries, entry(i, s.id, addr))
	}
	d, err := newDiscovery(w.rec, entries)
	if err != nil {
		return err
	}
	var wg sync.WaitGroup
	var totals totals
	var wrong foreign
	for n := range sidecars {
		s, err := w.startNamed(fmt.Sprintf("n%d", n), d, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
		if err != nil {
			return err
		}
		wg.Go(func() {
			wrong.ask(w, s.listen, fmt.Sprintf("of n%d", n), &totals, time.Now().Add(length))
		})
	}
	wg.Wait()
	w.rec.say("%v; %d answers served that were made for another request", &totals, wrong.count.Load())
	if n := wrong.count.Load(); n > 0 {
		return fmt.Errorf("%w: %d requests were served with the answer to another request", errBroken, n)
	}
	return totals.check()
}
