package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"time"
)

// pushedCase has a sidecar killed and started again while discovery, which pushes its lists, has too many callers.
func pushedCase(e *env) {
	set := settings()
	set["discovery"] = "automatic"
	ids, servers, d, s := fleet(e, 7, set)
	stop := make(chan struct{})
	var ended atomic.Int64
	wg := load(e, s.listen, ids, 12, func() time.Duration { return time.Duration(10+rand.IntN(40)) * time.Millisecond },
		anyClass, stop, func(result) { ended.Add(1) })
	time.Sleep(2 * time.Second)
	drained := servers[0]
	if _, watches := d.change(drained.id, func(in *instance) { in.Lifecycle = "draining" }); watches == 0 {
		cannotRun("no watch is open")
	}
	time.Sleep(3 * time.Second)
	s.signal(syscall.SIGKILL)
	<-s.ended
	if e.trouble {
		d.turn.Store(int64(900 * time.Millisecond)) // for which a call waits for its turn
	}
	tmp := filepath.Join(e.dir, "tmp2") // empty at each start
	if err := os.Mkdir(tmp, 0o700); err != nil {
		cannotRun("%v", err)
	}
	s = e.startSidecar(s.config, s.listen, s.mgmt, tmp, nil)
	s.awaitReady()
	// What discovery has counts as told from the first moment of the new process, here from the moment that it is ready.
	told := time.Now()
	time.Sleep(10 * time.Second)
	close(stop)
	wg.Wait()
	late := drained.sendsFrom(told.Add(550 * time.Millisecond))
	e.logf("%d requests ended, %d attempts at %s in all, %d of them later than 550 ms after the new process was ready",
		ended.Load(), len(drained.sendsFrom(time.Time{})), drained.id, len(late))
	for _, x := range late {
		e.breakf("%s was sent %s %s %d ms after the new process was ready, though discovery has it as draining",
			drained.id, x.class, x.id, x.first.Sub(told).Milliseconds())
	}
}
