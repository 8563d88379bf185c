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

func init() { cases["slow"] = playSlow }

const (
	longAnswer = 256 << 10              // bytes; over 64 KiB
	slowPause  = 400 * time.Millisecond // before the first piece of a slow answer's body
	pieceBytes = 8 << 10
	pieceEvery = 5 * time.Millisecond
)

// longBody is the long answer made for a request.
func longBody(id string) []byte {
	line := []byte("made for " + id + "\n")
	return bytes.Repeat(line, longAnswer/len(line)+1)[:longAnswer]
}

// serveLong serves a connection with long answers in small pieces. If a pause is set, the body of each answer begins so
// long after its head. cut is called if the sidecar ends the connection before the answer is whole.
func (s *slotServer) serveLong(conn net.Conn, pause func() time.Duration, cut func(id string, after time.Duration, sent int)) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		answer, id := s.answer(r), r.Header.Get("X-Trace-Id")
		if id == "" {
			if _, err := conn.Write(answer); err != nil {
				return
			}
			continue
		}
		begin := time.Now()
		if _, err := fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", longAnswer); err != nil {
			return
		}
		time.Sleep(pause())
		body := longBody(id)
		for sent := 0; sent < len(body); {
			n, err := conn.Write(body[sent:min(sent+pieceBytes, len(body))])
			sent += n
			if err != nil {
				cut(id, time.Since(begin), sent)
				return
			}
			time.Sleep(pieceEvery)
		}
		s.log("server %s: gave the whole answer to %s, %.3f s after its head", s.id, id, time.Since(begin).Seconds())
	}
}

// playSlow: slot servers give long answers in small pieces. One of eight is slow: the body begins 0.4 s after the head.
func playSlow(w *world) error {
	const servers, clientCount = 8, 4
	const length = 15 * time.Second
	var entries []instance
	var cuts atomic.Int64
	for i := range servers {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		s := &slotServer{id: fmt.Sprintf("s-%d", i), work: 30 * time.Millisecond, log: w.rec.add}
		pause := func() time.Duration {
			if w.trouble && i == 0 {
				return slowPause
			}
			return 0
		}
		cut := func(id string, after time.Duration, sent int) {
			cuts.Add(1)
			s.log("server %s: the sidecar ended the connection %.3f s after the head of the answer to %s, of which %d bytes were written",
				s.id, after.Seconds(), id, sent)
		}
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				go s.serveLong(conn, pause, cut)
			}
		}()
		entries = append(entries, entry(i, s.id, ln.Addr().String()))
	}
	d, err := newDiscovery(w.rec, entries)
	if err != nil {
		return err
	}
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return err
	}
	end := time.Now().Add(length)
	var wg sync.WaitGroup
	var totals totals
	var lost atomic.Int64
	for range clientCount {
		wg.Go(func() {
			for time.Now().Before(end) {
				id := newID()
				a, body := askLong(s.listen, id)
				w.rec.add("client: %s: %v, %d bytes", id, a, len(body))
				totals.add(a)
				if a.err != nil || a.code == http.StatusOK && !bytes.Equal(body, longBody(id)) || a.code != 200 && a.code != 503 {
					lost.Add(1)
					w.rec.say("client: %s: %v, %d bytes of the answer", id, a, len(body))
				}
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	time.Sleep(time.Second) // for the slot servers that still write
	w.rec.say("%v; %d answers cut off", &totals, cuts.Load())
	if n := cuts.Load(); n > 0 && lost.Load() > 0 {
		return fmt.Errorf("%w: %d answers were cut off that a slot server still gave", errBroken, n)
	}
	return nil
}

// askLong sends a confirm on a new connection, and reads its answer.
func askLong(addr, id string) (a answer, body []byte) {
	conn, err := net.DialTimeout("tcp", addr, 2*time.Second)
	if err != nil {
		return answer{err: err, unread: true}, nil
	}
	defer conn.Close()
	request := append(head(http.MethodPost, "confirm", id, 1200, 6), "slot 7"...)
	_ = conn.SetDeadline(time.Now().Add(6 * time.Second))
	_, a.err = conn.Write(request)
	a.sentAt = time.Now()
	if a.err == nil {
		var resp *http.Response
		if resp, a.err = http.ReadResponse(bufio.NewReader(conn), nil); a.err == nil {
			a.code = resp.StatusCode
			body, a.err = io.ReadAll(resp.Body)
		}
	}
	a.endedAt = time.Now()
	return a, body
}
