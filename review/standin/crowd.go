package main

import (
	"net/http"
	"sync"
	"time"
)

func init() { cases["crowd"] = playCrowd }

// playCrowd: a crowd of clients stops half way through its requests and stays, while the usual clients send theirs.
func playCrowd(w *world) error {
	const memoryMB, crowd, usual, expiresMs = 64, 240, 6, 900
	d, err := w.startFleet(8, 30*time.Millisecond, nil)
	if err != nil {
		return err
	}
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": memoryMB, "sockets": 1024})
	if err != nil {
		return err
	}
	end := time.Now().Add(20 * time.Second)
	var wg sync.WaitGroup
	var totals totals
	for range usual {
		wg.Go(func() {
			c := &appClient{addr: s.listen}
			for time.Now().Before(end) {
				id := newID()
				a := c.do(http.MethodPost, "confirm", id, expiresMs, make([]byte, 12<<10), 2*time.Second, 6*time.Second)
				totals.add(a)
				if totals.judge(a, expiresMs*time.Millisecond) {
					w.rec.add("usual client: %s: LOST: %s", id, a)
				} else {
					w.rec.add("usual client: %s: %s", id, a)
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	halfWay := append(head(http.MethodPost, "confirm", newID(), 1200, 64<<10), make([]byte, 100)...)
	for i := range crowd {
		if !w.trouble {
			break
		}
		wg.Go(func() {
			time.Sleep(5*time.Second + time.Duration(i)*5*time.Millisecond)
			for time.Now().Before(end) {
				sendAndStay(w.rec, s.listen, i, halfWay)
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	w.rec.say("usual clients: %s", totals.String())
	s.end()
	if totals.lost > 0 {
		return errBroken
	}
	return nil
}
