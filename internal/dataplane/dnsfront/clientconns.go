package dnsfront

import (
	"container/list"
	"time"
)

// clientConns are the connections of clients. The server's lock guards them.
type clientConns struct {
	maxConns int
	busy     int
	closing  bool       // connections end soon after their last answer
	idle     *list.List // *clientStream, the one idle for longest first
}

func (k *clientConns) init(most int) { k.maxConns, k.idle = most, list.New() }

func (k *clientConns) len() int { return k.busy + k.idle.Len() }

// add takes a connection in; where there are too many, one that is idle makes room.
func (k *clientConns) add(c *clientConn) bool {
	if k.len() >= k.maxConns && !k.evict() {
		return false
	}
	c.idleSince = time.Now()
	c.idleElement = k.idle.PushBack(c)
	return true
}

func (k *clientConns) evict() bool {
	first := k.idle.Front()
	if first == nil {
		return false
	}
	k.remove(first.Value.(*clientConn))
	return true
}

// closeIdleFor closes what has been idle for longer than age.
func (k *clientConns) closeIdleFor(age time.Duration) {
	for first := k.idle.Front(); first != nil && time.Since(first.Value.(*clientConn).idleSince) >= age; first = k.idle.Front() {
		k.evict()
	}
}

// remove closes a connection; its queries are told by who reads it.
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

// beginQuery notes an open query, unless the connection has ended.
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

// endQuery notes that a query has ended.
func (k *clientConns) endQuery(c *clientConn, w *openQuery) {
	if _, ok := c.open[w]; !ok {
		return
	}
	delete(c.open, w)
	<-c.slots
	if len(c.open) == 0 && !c.closed {
		k.busy--
		c.idleSince = time.Now()
		c.idleElement = k.idle.PushBack(c)
		if k.closing {
			c.SetReadDeadline(time.Now().Add(closingIdleTimeout)) // its answer is about to go out
		}
	}
}
