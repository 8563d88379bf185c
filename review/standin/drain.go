package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["drain"] = playDrain }

const (
	drainGrace  = 550 * time.Millisecond // contract.drain-grace and the 50 ms of the rules on sockets
	judgedAfter = time.Second            // later than that, no delay of this machine can be the cause
)

// playDrain: three times, discovery tells that a slot server begins to drain and goes down for 6 s.
func playDrain(w *world) error {
	const servers, drains = 9, 3
	const downFor, upFor = 6 * time.Second, 4 * time.Second
	var mu sync.Mutex
	var d *discovery
	late := map[string]int{}
	onRun := func(server, id string) {
		mu.Lock()
		defer mu.Unlock()
		if d == nil {
			return
		}
		told, ok := d.writtenAt(server)
		if !ok || time.Since(told) < drainGrace {
			return
		}
		w.rec.add("server %s: TOO LATE: %s, %.3f s after the drain was told", server, id, time.Since(told).Seconds())
		if time.Since(told) > judgedAfter {
			late[server]++
		}
	}
	fleet, err := w.startFleet(servers, 30*time.Millisecond, onRun)
	if err != nil {
		return err
	}
	mu.Lock()
	d = fleet
	mu.Unlock()
	s, err := w.startNew(fleet, map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024})
	if err != nil {
		return err
	}
	end := time.Now().Add(3*time.Second + drains*(downFor+upFor))
	var wg sync.WaitGroup
	var totals totals
	for range 4 {
		wg.Go(func() {
			c := &appClient{addr: s.listen}
			for time.Now().Before(end) {
				id := newID()
				a := c.do(http.MethodGet, "slot-search", id, 900, nil, 2*time.Second, 3*time.Second)
				totals.add(a)
				w.rec.add("client: %s: %s", id, a)
				time.Sleep(50 * time.Millisecond)
			}
		})
	}
	time.Sleep(3 * time.Second)
	for i := range drains {
		id := fmt.Sprintf("s-%d", i)
		fleet.drain(id, w.trouble)
		w.rec.say("%s begins to drain", id)
		time.Sleep(downFor)
		fleet.comeBack()
		time.Sleep(upFor)
	}
	wg.Wait()
	s.end()
	for i := range drains {
		id := fmt.Sprintf("s-%d", i)
		if _, ok := fleet.writtenAt(id); !ok {
			return fmt.Errorf("the drain of %s was never told", id)
		}
	}
	w.rec.say("clients: %s", totals.String())
	for id, n := range late {
		w.rec.say("%s got %d requests more than 1 s after its drain was told", id, n)
	}
	if len(late) > 0 {
		return errBroken
	}
	return nil
}
