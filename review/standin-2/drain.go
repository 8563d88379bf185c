package main

import (
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// drainCase has discovery tell that a server drains, end the watch with that, and be out of reach for 6 s.
func drainCase(e *env) {
	ids, servers, d, s := fleet(e, 7, settings())
	stop := make(chan struct{})
	var ended atomic.Int64
	wg := load(e, s.listen, ids, 8, func() time.Duration { return time.Duration(rand.IntN(100)) * time.Millisecond },
		anyClass, stop, func(result) { ended.Add(1) })
	time.Sleep(4 * time.Second)
	drained := servers[0]
	d.mu.Lock()
	if len(d.watches) == 0 {
		d.mu.Unlock()
		cannotRun("no watch is open")
	}
	told, watches := d.changeLocked(drained.id, func(in *instance) { in.Lifecycle = "draining" }, e.trouble)
	if e.trouble {
		d.goDownLocked()
	}
	d.mu.Unlock()
	if watches == 0 {
		cannotRun("nothing was told")
	}
	time.Sleep(6 * time.Second)
	if e.trouble {
		d.comeBack()
	}
	time.Sleep(14 * time.Second)
	close(stop)
	wg.Wait()
	// The grace is 500 ms, and 50 ms more on sockets.
	late := drained.sendsFrom(told.Add(550 * time.Millisecond))
	e.logf("%d requests ended, %d attempts at %s in all, %d of them later than 550 ms after its drain was told",
		ended.Load(), len(drained.sendsFrom(time.Time{})), drained.id, len(late))
	for _, x := range late {
		e.breakf("%s was sent %s %s %d ms after it was told that the server drains", drained.id, x.class, x.id,
			x.first.Sub(told).Milliseconds())
	}
}
