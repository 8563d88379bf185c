package dnsfront

import (
	"container/list"
	"time"
)

// clientConns is the set of open connections from clients. Server.mu guards it.
type clientConns struct {
	maxConns  int        // this process's share of Settings.MaxClientConns
	busyConns int        // number of connections with open queries
	closing   bool       // whether connections are closed soon after their last answer
	idle      *list.List // of *clientConn, the longest idle first
}

func newClientConns(maxConns int) *clientConns {
	return &clientConns{maxConns: maxConns, idle: list.New()}
}

func (conns *clientConns) len() int { return conns.busyConns + conns.idle.Len() }

// add adds a connection, and reports whether there was capacity. At the limit it closes the longest idle connection, if
// there is one.
func (conns *clientConns) add(conn *clientConn) bool {
	if conns.len() >= conns.maxConns && !conns.evict() {
		return false
	}
	conns.setIdle(conn)
	return true
}

// evict closes the longest idle connection, and reports whether there was one.
func (conns *clientConns) evict() bool {
	first := conns.idle.Front()
	if first == nil {
		return false
	}
	conns.remove(first.Value.(*clientConn))
	return true
}

// closeIdleFor closes all connections that have been idle for at least age.
func (conns *clientConns) closeIdleFor(age time.Duration) {
	for {
		first := conns.idle.Front()
		if first == nil || time.Since(first.Value.(*clientConn).idleSince) < age {
			return
		}
		conns.evict()
	}
}

// remove closes a connection. Its reader then ends its open queries. Further calls do nothing.
func (conns *clientConns) remove(conn *clientConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	if conn.idleElement != nil {
		conns.idle.Remove(conn.idleElement)
		conn.idleElement = nil
	} else {
		conns.busyConns--
	}
	conn.Close()
}

// beginQuery adds an open query to a connection. It returns false if the connection was closed.
func (conns *clientConns) beginQuery(conn *clientConn, open *openQuery) bool {
	if conn.closed {
		return false
	}
	if conn.idleElement != nil {
		conns.idle.Remove(conn.idleElement)
		conn.idleElement = nil
		conns.busyConns++
	}
	conn.openQueries[open] = struct{}{}
	return true
}

// endQuery removes an open query from its connection. Further calls do nothing.
func (conns *clientConns) endQuery(conn *clientConn, open *openQuery) {
	if _, ok := conn.openQueries[open]; !ok {
		return
	}
	delete(conn.openQueries, open)
	<-conn.querySlots
	if len(conn.openQueries) > 0 || conn.closed {
		return
	}
	conns.busyConns--
	conns.setIdle(conn)
	if conns.closing {
		// The connection must stay open for a moment, since the answer to its last query is still to be sent.
		_ = conn.SetReadDeadline(time.Now().Add(closingIdleTimeout))
	}
}

// setIdle makes a connection the most recently idle one.
func (conns *clientConns) setIdle(conn *clientConn) {
	conn.idleSince = time.Now()
	conn.idleElement = conns.idle.PushBack(conn)
}
