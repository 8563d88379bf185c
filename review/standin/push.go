package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["push"] = playPush }

// slowCall is how long discovery takes to answer a call. It fails calls that wait for a second (site file, timeout_ms).
const slowCall = 900 * time.Millisecond

// playPush: lists are pushed. While a sidecar is away, a slot server begins to drain; the sidecar starts again with the
// list as it last had it. Discovery is crowded, and answers each call late.
func playPush(w *world) error {
	var sent, late atomic.Int64
	var readyAt atomic.Int64
	d, err := w.startFleet(8, 30*time.Millisecond, func(server, request string) {
		if server != "s-0" {
			return
		}
		sent.Add(1)
		told := readyAt.Load()
		if told == 0 {
			return
		}
		after := time.Since(time.UnixMicro(told))
		w.rec.add("server s-0, which drains, runs %s, %.3f s after the process was ready", request, after.Seconds())
		if after > 600*time.Millisecond { // the grace of 0.5 s, the 50 ms of the rules on sockets, and the request's way
			late.Add(1)
		}
	})
	if err != nil {
		return err
	}
	old := d.snapshot()
	w.known = &old
	w.push = true
	if w.trouble {
		d.delay = slowCall
	}
	d.drain("s-0", false)
	s, err := w.startNew(d, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return err
	}
	readyAt.Store(time.Now().UnixMicro())
	end := time.Now().Add(5 * time.Second)
	var wg sync.WaitGroup
	var totals totals
	for range 8 {
		wg.Go(func() {
			c := &appClient{addr: s.listen}
			defer c.close()
			for time.Now().Before(end) {
				totals.add(c.do(http.MethodPost, "confirm", newID(), 1200, []byte("slot 7"), 2*time.Second, 3*time.Second))
				time.Sleep(10 * time.Millisecond)
			}
		})
	}
	wg.Wait()
	w.rec.say("%v; %d requests to the slot server that drains, %d of them later than 0.6 s after the process was ready", &totals,
		sent.Load(), late.Load())
	if late.Load() > 0 {
		return fmt.Errorf("%w: %d requests to a slot server that drains", errBroken, late.Load())
	}
	return nil
}
