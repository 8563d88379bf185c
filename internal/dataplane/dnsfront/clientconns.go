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

func (c *clientConns) len() int { return c.busyConns + c.idle.Len() }

// add adds a connection, and reports whether there was capacity. At the limit it closes the longest idle connection, if
// there is one.
func (c *clientConns) add(conn *clientConn) bool {
	if c.len() >= c.maxConns && !c.evict() {
		return false
	}
	c.setIdle(conn)
	return true
}

// evict closes the longest idle connection, and reports whether there was one.
func (c *clientConns) evict() bool {
	first := c.idle.Front()
	if first == nil {
		return false
	}
	c.remove(first.Value.(*clientConn))
	return true
}

// closeIdleFor closes all connections that have been idle for at least age.
func (c *clientConns) closeIdleFor(age time.Duration) {
	for {
		first := c.idle.Front()
		if first == nil || time.Since(first.Value.(*clientConn).idleSince) < age {
			return
		}
		c.evict()
	}
}

// remove closes a connection. Its reader then ends its open queries. Further calls do nothing.
func (c *clientConns) remove(conn *clientConn) {
	if conn.closed {
		return
	}
	conn.closed = true
	if conn.idleElement != nil {
		c.idle.Remove(conn.idleElement)
		conn.idleElement = nil
	} else {
		c.busyConns--
	}
	conn.Close()
}

// beginQuery adds an open query to a connection. It returns false if the connection was closed.
func (c *clientConns) beginQuery(conn *clientConn, open *openQuery) bool {
	if conn.closed {
		return false
	}
	if conn.idleElement != nil {
		c.idle.Remove(conn.idleElement)
		conn.idleElement = nil
		c.busyConns++
	}
	conn.openQueries[open] = struct{}{}
	return true
}

// endQuery removes an open query from its connection. Further calls do nothing.
func (c *clientConns) endQuery(conn *clientConn, open *openQuery) {
	if _, ok := conn.openQueries[open]; !ok {
		return
	}
	delete(conn.openQueries, open)
	<-conn.querySlots
	if len(conn.openQueries) > 0 || conn.closed {
		return
	}
	c.busyConns--
	c.setIdle(conn)
	if c.closing {
		// The connection must stay open for a moment, since the answer to its last query is still to be sent.
		_ = conn.SetReadDeadline(time.Now().Add(closingIdleTimeout))
	}
}

// setIdle makes a connection the most recently idle one.
func (c *clientConns) setIdle(conn *clientConn) {
	conn.idleSince = time.Now()
	conn.idleElement = c.idle.PushBack(conn)
}
