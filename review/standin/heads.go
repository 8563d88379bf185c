package main

import (
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["heads"] = playHeads }

// residentMB returns the anonymous memory that a process holds, in MB.
func residentMB(pid int) float64 {
	text, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/status")
	if err != nil {
		return 0
	}
	_, rest, found := strings.Cut(string(text), "RssAnon:")
	if !found {
		return 0
	}
	kb, _ := strconv.ParseFloat(strings.Fields(rest)[0], 64)
	return kb / 1024
}

// endlessHead returns the beginning of a request whose head doesn't end: many headers with short names and no values.
func endlessHead(bytes int) []byte {
	const symbols = "abcdefghijklmnopqrstuvwxyz0123456789!#$%&'*+-.^_`|~"
	var b strings.Builder
	b.WriteString("GET /slot-search HTTP/1.1\nHost: origin.svc\n")
	for i := 1; b.Len() < bytes; i++ {
		for n := i; n > 0; n = (n - 1) / len(symbols) {
			b.WriteByte(symbols[(n-1)%len(symbols)])
		}
		b.WriteString(":\n")
	}
	return []byte(b.String())
}

// playHeads: some hundred bad clients connect, send heads without end, and stay. The platform kills a sidecar that holds
// more memory than its configuration allows.
func playHeads(w *world) error {
	const memoryMB, crowd, headBytes = 192, 480, 16_000
	d, err := w.startFleet(8, 30*time.Millisecond, nil)
	if err != nil {
		return err
	}
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024})
	if err != nil {
		return err
	}
	begin := time.Now()
	end := begin.Add(20 * time.Second)
	var wg sync.WaitGroup
	var totals totals
	for range 4 {
		wg.Go(func() {
			c := &appClient{addr: s.listen}
			for time.Now().Before(end) {
				id := newID()
				a := c.do(http.MethodPost, "confirm", id, 1200, []byte("slot 7"), 2*time.Second, 3*time.Second)
				totals.add(a)
				w.rec.add("usual client: %s: %s", id, a)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	head := endlessHead(headBytes)
	for i := range crowd {
		if !w.trouble {
			break
		}
		wg.Go(func() {
			time.Sleep(4 * time.Second)
			for time.Now().Before(end) {
				sendAndStay(w.rec, s.listen, i, head)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	most, killed := 0.0, false
	for time.Now().Before(end) && !killed {
		mb := residentMB(s.process.Process.Pid)
		if mb > most {
			most = mb
			w.rec.add("sidecar: %.1f MB", mb)
		}
		if mb > memoryMB {
			w.rec.say("the sidecar holds %.1f MB, its limit is %d MB: the platform kills it, %.1f s after the start", mb, memoryMB, time.Since(begin).Seconds())
			s.signal(syscall.SIGKILL)
			killed = true
		}
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
	w.rec.say("usual clients: %s; most memory %.1f MB of %d", totals.String(), most, memoryMB)
	if killed {
		return errBroken
	}
	s.end()
	return nil
}

// sendAndStay connects, sends text, and stays until it gets an answer or a close.
func sendAndStay(rec *record, listen string, number int, text []byte) {
	conn, err := net.DialTimeout("tcp", listen, 2*time.Second)
	if err != nil {
		return
	}
	defer conn.Close()
	begin := time.Now()
	_ = conn.SetDeadline(begin.Add(10 * time.Second))
	_, _ = conn.Write(text)
	b := make([]byte, 64)
	n, err := conn.Read(b)
	first, _, _ := strings.Cut(string(b[:n]), "\r\n")
	rec.add("bad client %d: %q %v after %.3f s", number, first, err, time.Since(begin).Seconds())
}
