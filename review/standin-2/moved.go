package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// movedCase has a new configuration move discovery, then a planned restart, then a drain.
func movedCase(e *env) {
	ids, servers, a, s := fleet(e, 7, settings())
	known := a.known()
	b := newDiscoveryAt(e, servers, 7) // counts its versions by itself
	stop := make(chan struct{})
	var mu sync.Mutex
	var results []result
	wg := load(e, s.listen, ids, 8, func() time.Duration { return time.Duration(rand.IntN(100)) * time.Millisecond },
		anyClass, stop, func(x result) {
			mu.Lock()
			results = append(results, x)
			mu.Unlock()
		})
	time.Sleep(2 * time.Second)
	current := a
	if e.trouble {
		current = b
		// The file has the new address; the known list in it is as old as before.
		e.writeConfig("config.json", s.listen, s.mgmt, b.addr, known, settings())
		s.signal(syscall.SIGHUP)
		a.mu.Lock()
		a.ln.Close()
		a.mu.Unlock()
		time.Sleep(1500 * time.Millisecond)
		a.mu.Lock()
		a.goDownLocked()
		a.mu.Unlock()
		time.Sleep(3 * time.Second)
		s.signal(syscall.SIGTERM)
		select {
		case <-s.ended:
		case <-time.After(1500*time.Millisecond + 700*time.Millisecond): // the longest deadline and 0.7 s
			s.signal(syscall.SIGKILL)
			<-s.ended
		}
		tmp := filepath.Join(e.dir, "tmp2") // empty at each start
		if err := os.Mkdir(tmp, 0o700); err != nil {
			cannotRun("%v", err)
		}
		s = e.startSidecar(s.config, s.listen, s.mgmt, tmp, nil)
		s.awaitReady()
	}
	time.Sleep(5 * time.Second)
	drained := servers[0]
	told, watches := current.change(drained.id, func(in *instance) { in.Lifecycle = "draining" })
	if watches == 0 {
		e.logf("no watch is open: the drain counts as told 6 s later")
		told = told.Add(6 * time.Second)
	}
	// A server that drains finishes what it has, 1.5 s at most, and wants nothing new. Its process ends 8 s later.
	time.Sleep(time.Until(told) + 8*time.Second)
	drained.end()
	time.Sleep(7 * time.Second)
	close(stop)
	wg.Wait()
	late := drained.sendsFrom(told.Add(550 * time.Millisecond))
	failed := 0
	for _, x := range late {
		e.breakf("%s was sent %s %s %d ms after it was told that the server drains", drained.id, x.class, x.id,
			x.first.Sub(told).Milliseconds())
		for _, r := range results {
			if r.id == x.id && r.code != 200 {
				failed++
				e.logf("%s %s was answered %d", r.class, r.id, r.code)
			}
		}
	}
	e.logf("%d requests ended, %d attempts at %s in all, %d of them later than 550 ms after its drain was told, %d of these not served",
		len(results), len(drained.sendsFrom(time.Time{})), drained.id, len(late), failed)
}
