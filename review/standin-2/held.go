package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	heldPieces   = 96 // pieces of 1 KiB in a long answer
	heldAtOnce   = 68 // of them, those that are written at once
	heldInterval = 250 * time.Millisecond
	heldLimit    = 2*time.Second + 50*time.Millisecond
)

// heldCase has a server write the end of a long answer in small pieces.
func heldCase(e *env) {
	var mu sync.Mutex
	written := map[string][]time.Time{} // by id, when each piece was written
	_, servers, _, s := fleet(e, 7, settings())
	for _, sv := range servers {
		sv.answer = func(c net.Conn, x *sent) bool {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n", heldPieces*1024)
			for i := range heldPieces {
				if i >= heldAtOnce && e.trouble {
					time.Sleep(heldInterval)
				}
				text := marker(x.id, i) + strings.Repeat(".", 1024-len(marker(x.id, i)))
				mu.Lock()
				written[x.id] = append(written[x.id], time.Now()) // right before, so that it is there before the piece comes
				mu.Unlock()
				_, err := io.WriteString(c, text)
				if err != nil {
					e.logf("%s: piece %d of %s cannot be written: %v", x.server.id, i, x.id, err)
					return false
				}
				if i >= heldAtOnce {
					e.logf("%s: piece %d of %s written", x.server.id, i, x.id)
				}
			}
			_, err := io.WriteString(c, "\r\n0\r\n\r\n")
			return err == nil
		}
	}
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			id := newID()
			servers[0].ids.add(id)
			c := must(net.Dial("tcp", s.listen))
			defer c.Close()
			fmt.Fprintf(c, "GET /slot-search/slots HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: slot-search\r\n"+
				"X-Expires-In-Ms: 1200\r\n\r\n", id)
			e.logf("client: slot-search %s sent", id)
			c.SetReadDeadline(time.Now().Add(40 * time.Second))
			var all []byte
			b := make([]byte, 64<<10)
			next, longest := 0, time.Duration(0)
			for {
				n, err := c.Read(b)
				now := time.Now()
				all = append(all, b[:n]...)
				for next < heldPieces && bytes.Contains(all, []byte(marker(id, next))) {
					mu.Lock()
					held := now.Sub(written[id][next])
					mu.Unlock()
					if next >= heldAtOnce {
						e.logf("client: piece %d of %s came %d ms after it was written", next, id, held.Milliseconds())
					}
					longest = max(longest, held)
					next++
				}
				if err != nil || bytes.HasSuffix(all, []byte("\r\n0\r\n\r\n")) {
					e.logf("client: %s ended with %d pieces of %d, held back for %d ms at most, error %v", id, next,
						heldPieces, longest.Milliseconds(), err)
					break
				}
			}
			if !bytes.HasPrefix(all, []byte("HTTP/1.1 200")) {
				e.logf("client: %s was not served", id)
				return
			}
			if longest > heldLimit {
				e.breakf("a part of the answer to %s was held back for %d ms", id, longest.Milliseconds())
			}
			if next < heldPieces {
				e.breakf("the answer to %s was cut off after %d pieces of %d", id, next, heldPieces)
			}
		})
	}
	wg.Wait()
}

func marker(id string, piece int) string { return fmt.Sprintf("<%s %03d>", id, piece) }
