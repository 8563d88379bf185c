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
// the length that it gives holds another request, which no slot server may get.
func playHidden(w *world) error {
	var mu sync.Mutex
	passedOn := 0
	d, err := w.startFleet(8, 30*time.Millisecond, func(server, request string) {
		if strings.HasPrefix(request, "hidden") {
			mu.Lock()
			defer mu.Unlock()
			passedOn++
			w.rec.say("server %s got %s", server, request)
		}
	})
	if err != nil {
		return err
	}
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	for i := range 5 {
		hidden := string(head(http.MethodPost, "confirm", fmt.Sprintf("hidden%d", i), 900, 0))
		outer := string(head(http.MethodPost, "confirm", newID(), 900, len("0\r\n\r\n")+len(hidden)))
		outer = strings.TrimSuffix(outer, "\r\n") + "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"
		if !w.trouble { // the same requests, each in a sound form
			outer = string(head(http.MethodPost, "confirm", newID(), 900, 0))
			hidden = strings.Replace(hidden, "hidden", "sound", 1)
		}
		if err := sendPieces(w.rec, s.listen, []string{"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\n\r\n" + outer, hidden}); err != nil {
			return err
		}
	}
	s.end()
	if passedOn > 0 {
		return errBroken
	}
	return nil
}

// sendPieces sends the first piece, reads two answers, sends the next piece, and reads one more.
func sendPieces(rec *record, listen string, pieces []string) error {
	conn, err := net.DialTimeout("tcp", listen, 2*time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
	reader := bufio.NewReader(conn)
	for i, piece := range pieces {
		if _, err := io.WriteString(conn, piece); err != nil {
			rec.add("client: piece %d: %v", i, err)
			return nil
		}
		for range 2 - i {
			resp, err := http.ReadResponse(reader, nil)
			if err != nil {
				rec.add("client: piece %d: %v", i, err)
				return nil
			}
			text, _ := io.ReadAll(resp.Body)
			rec.add("client: piece %d: %d %q", i, resp.StatusCode, text)
		}
	}
	return nil
}
