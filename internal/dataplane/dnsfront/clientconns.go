package dnsfront

import (
	"container/list"
	"time"
)

// clientConns are the open connections of clients. Server.mu guards them.
type clientConns struct {
	maxConns int
	busy     int        // connections with open queries
	closing  bool       // connections end soon after their last answer
	idle     *list.List // of *clientConn, the longest idle first
}

func newClientConns(maxConns int) *clientConns {
	return &clientConns{maxConns: maxConns, idle: list.New()}
}

func (k *clientConns) len() int { return k.busy + k.idle.Len() }

// add adds a connection, and reports whether there was capacity. If there are too many, the longest idle one is
// closed.
func (k *clientConns) add(c *clientConn) bool {
	if k.len() >= k.maxConns && !k.evict() {
		return false
	}
	k.setIdle(c)
	return true
}

// evict closes the connection that has been idle for longest, and reports whether there was one.
func (k *clientConns) evict() bool {
	first := k.idle.Front()
	if first == nil {
		return false
	}
	k.remove(first.Value.(*clientConn))
	return true
}

// closeIdleFor closes the connections that have been idle for at least age.
func (k *clientConns) closeIdleFor(age time.Duration) {
	for {
		first := k.idle.Front()
		if first == nil || time.Since(first.Value.(*clientConn).idleSince) < age {
			return
		}
		k.evict()
	}
}

// remove closes a connection. Its reader then ends its queries.
func (k *clientConns) remove(c *clientConn) {
	if c.closed {
		return
	}
	c.closed = true
	if c.idleElement != nil {
		k.idle.Remove(c.idleElement)
		c.idleElement = nil
	} else {
		k.busy--
	}
	c.Close()
}

// beginQuery adds an open query to a connection, unless that was closed.
func (k *clientConns) beginQuery(c *clientConn, w *openQuery) bool {
	if c.closed {
		return false
	}
	if c.idleElement != nil {
		k.idle.Remove(c.idleElement)
		c.idleElement = nil
		k.busy++
	}
	c.open[w] = struct{}{}
	return true
}

// endQuery removes a query from its connection.
func (k *clientConns) endQuery(c *clientConn, w *openQuery) {
	if _, ok := c.open[w]; !ok {
		return
	}
	delete(c.open, w)
	<-c.slots
	if len(c.open) > 0 || c.closed {
		return
	}
	k.busy--
	k.setIdle(c)
	if k.closing {
		_ = c.SetReadDeadline(time.Now().Add(closingIdleTimeout)) // the answer to its query is about to be sent
	}
}

func (k *clientConns) setIdle(c *clientConn) {
	c.idleSince = time.Now()
	c.idleElement = k.idle.PushBack(c)
}
