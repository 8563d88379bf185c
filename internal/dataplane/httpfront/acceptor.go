package httpfront

import (
	"net"
	"sync"
	"time"
)

// finalAcceptTimeout is the time to accept the listener's queue of connections before it is closed.
const finalAcceptTimeout = 5 * time.Millisecond

// acceptor accepts connections from one listener until it is stopped.
type acceptor struct {
	listener net.Listener
	ended    chan struct{} // closed once the last connection has been accepted and is counted as open
	stopOnce sync.Once
}

// startAcceptor runs accept, which must return once the listener is closed or its deadline has passed.
func startAcceptor(listener net.Listener, accept func(net.Listener)) *acceptor {
	a := &acceptor{listener: listener, ended: make(chan struct{})}
	go func() {
		defer close(a.ended)
		accept(listener)
	}()
	return a
}

// stop stops accepting. Connections that the system has accepted by then are still served, for which it waits up to
// finalAcceptTimeout: closing the listener at once would reset them, and lose the requests on them. Each caller returns
// once the last connection has been accepted, including those that call while another one stops the acceptor: a
// shutdown counts the open connections next, and ends the process if there are none.
func (a *acceptor) stop() {
	a.stopOnce.Do(func() {
		if acceptUntil(a.listener, time.Now().Add(finalAcceptTimeout)) {
			<-a.ended
		}
		a.listener.Close()
		<-a.ended
	})
}

// acceptUntil sets the deadline of a listener's Accept, and reports whether that succeeded.
func acceptUntil(ln net.Listener, at time.Time) bool {
	timed, ok := ln.(interface{ SetDeadline(time.Time) error })
	return ok && timed.SetDeadline(at) == nil
}
