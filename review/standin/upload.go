package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["upload"] = playUpload }

// playUpload: two of eight slot servers hang (they are stopped) while clients send long bodies.
func playUpload(w *world) error {
	const servers, hanging, expiresMs = 8, 2, 1200
	var entries []instance
	var processes []func(syscall.Signal)
	for i := range servers {
		id := fmt.Sprintf("s-%d", i)
		addr, process, err := w.startServer(id)
		if err != nil {
			return err
		}
		entries = append(entries, entry(i, id, addr))
		processes = append(processes, func(sig syscall.Signal) { _ = process.Process.Signal(sig) })
	}
	d, err := newDiscovery(w.rec, entries)
	if err != nil {
		return err
	}
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return err
	}
	end := time.Now().Add(40 * time.Second)
	var wg sync.WaitGroup
	var totals totals
	for range 3 {
		wg.Go(func() {
			c := &appClient{addr: s.listen}
			for n := 0; time.Now().Before(end); n++ {
				id, size := newID(), []int{2, 3, 4, 6}[n%4]<<20
				a := c.do(http.MethodPost, "confirm", id, expiresMs, make([]byte, size), 12*time.Second, 15*time.Second)
				totals.add(a)
				lost := totals.judge(a, expiresMs*time.Millisecond)
				w.rec.add("client: %s of %d MB: all written: %v, lost: %v, %s", id, size>>20, !a.unread, lost, a)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	for i := range hanging {
		if w.trouble {
			w.rec.say("s-%d hangs", i)
			processes[i](syscall.SIGSTOP)
		}
	}
	wg.Wait()
	for i := range hanging {
		processes[i](syscall.SIGCONT)
	}
	s.end()
	w.rec.say("clients: %s", totals.String())
	if totals.lost > 0 {
		return errBroken
	}
	return nil
}
