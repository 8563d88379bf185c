package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"
)

// secondCase has some answers followed by a second copy.
func secondCase(e *env) {
	ids, servers, _, s := fleetBehind(e, 7, settings(), 2*time.Millisecond)
	var seconds atomic.Int64
	for _, sv := range servers {
		sv.answer = func(c net.Conn, x *sent) bool {
			text := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(x.body), x.body)
			ids.run(x.id, x.body)
			if _, err := c.Write(text); err != nil {
				return false
			}
			if e.trouble && rand.IntN(6) == 0 {
				time.Sleep(time.Duration(1000+rand.IntN(9*1000)) * time.Microsecond)
				if x.next() {
					return true // something else waits on the connection
				}
				seconds.Add(1)
				e.logf("%s: second copy of the answer to %s", x.server.id, x.id)
				c.Write(text)
			}
			return true
		}
	}
	stop := make(chan struct{})
	var served atomic.Int64
	wg := load(e, s.listen, ids, 16, func() time.Duration { return time.Duration(rand.IntN(60)) * time.Millisecond },
		anyClass, stop, func(x result) {
			if x.code != 200 {
				return
			}
			served.Add(1)
			if !ids.answers(x.id, x.body) {
				e.breakf("the client of %s %s was served %q", x.class, x.id, x.body)
			}
		})
	time.Sleep(50 * time.Second)
	close(stop)
	wg.Wait()
	e.logf("%d requests served, %d second copies", served.Load(), seconds.Load())
	if served.Load() == 0 {
		cannotRun("nothing was served")
	}
}
