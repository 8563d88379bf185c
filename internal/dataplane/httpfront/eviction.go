package httpfront

import (
	"container/list"
	"context"
	"time"
)

// When a new connection needs space, or descriptors run out, the connection is closed that its client is least likely
// to need. These timeouts tell which one that is.
const (
	firstRequestTimeout   = 100 * time.Millisecond // a new connection without any byte for so long counts as silent
	stalledRequestTimeout = 500 * time.Millisecond // an incomplete request without a byte for so long counts as stalled
	reuseTimeout          = time.Second            // an idle connection without a request for so long counts as unused
)

// evict closes the connection that is least likely to be needed, if any has no open request.
func (k *clients) evict() {
	k.mu.Lock()
	c := k.evictLocked()
	k.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// evictStalled closes connections that have stalled within a request and hold memory for it, one at each interval,
// until ctx ends.
func (k *clients) evictStalled(ctx context.Context) {
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		k.mu.Lock()
		c := k.longestStalledLocked()
		if c != nil {
			k.moveLocked(c, nil)
			c.state = stateClosed
		}
		k.mu.Unlock()
		if c != nil {
			c.Close()
		}
	}
}

// longestStalledLocked returns the connection that has been stalled within a request for longest; nil if there is none.
func (k *clients) longestStalledLocked() (longest *client) {
	for _, conns := range []*list.List{k.unused, k.idle} {
		for elem := conns.Front(); elem != nil; elem = elem.Next() {
			c := elem.Value.(*client)
			if c.state != stateReading || c.waitingForMemory || c.silence() <= stalledRequestTimeout {
				continue
			}
			if longest == nil || c.silence() > longest.silence() {
				longest = c
			}
		}
	}
	return longest
}

// evictLocked gives up the connection without an open request that is least likely to be needed, and returns it, or
// nil if there is none. The caller closes it at once, but after releasing the mutex: closing waits for a read in
// progress, and a read waits for the mutex.
func (k *clients) evictLocked() *client {
	evicted := k.leastNeededLocked()
	if evicted == nil {
		return nil
	}
	k.moveLocked(evicted, nil)
	evicted.state = stateClosed
	return evicted
}

// leastNeededLocked returns a lingering connection, else one that never sent anything, else one that stalled in its
// first request, else one that has been idle for reuseTimeout. If all seem in use, it returns the oldest of which
// nothing was read or, if there is none, the one that has been idle for longest, and at last one that lingers while a
// body arrives. A connection whose request waits for memory on this side has not stalled: its request is served.
func (k *clients) leastNeededLocked() *client {
	now := time.Now()
	silent, stalled, oldest := k.unusedCandidatesLocked(now)
	idle := k.idleCandidateLocked()
	lingering := k.lingeringCandidateLocked()
	switch {
	case lingering != nil:
		return lingering
	case silent != nil:
		return silent
	case stalled != nil:
		return stalled
	case idle != nil && (oldest == nil || now.Sub(idle.listedSince) > reuseTimeout):
		return idle
	case oldest != nil || k.lingering.Len() == 0:
		return oldest
	default:
		return k.lingering.Front().Value.(*client)
	}
}

// lingeringCandidateLocked returns the connection that has lingered for longest, but for those on which a body arrives:
// if such a connection is closed with unread bytes, its client may lose the answer. It returns nil if there is none.
func (k *clients) lingeringCandidateLocked() *client {
	for elem := k.lingering.Front(); elem != nil; elem = elem.Next() {
		if c := elem.Value.(*client); !c.bodyArrives {
			return c
		}
	}
	return nil
}

// unusedCandidatesLocked returns, among the connections without a request so far, the oldest that is silent, the one
// that has been stalled for longest, and the oldest of which nothing was read. Each is nil if there is none.
func (k *clients) unusedCandidatesLocked(now time.Time) (silent, stalled, oldest *client) {
	for elem := k.unused.Front(); elem != nil && silent == nil; elem = elem.Next() {
		c := elem.Value.(*client)
		switch {
		case c.waitingForMemory:
		case c.lastReadAfter.Load() == 0:
			if now.Sub(c.listedSince) > firstRequestTimeout {
				silent = c
			}
		case c.silence() > stalledRequestTimeout:
			if stalled == nil || c.silence() > stalled.silence() {
				stalled = c
			}
		}
		if oldest == nil && c.state == stateNew {
			oldest = c
		}
	}
	return silent, stalled, oldest
}

// idleCandidateLocked returns the connection that has been in idle for longest and either waits for its next request or
// stalled in it; nil if there is none.
func (k *clients) idleCandidateLocked() *client {
	for elem := k.idle.Front(); elem != nil; elem = elem.Next() {
		c := elem.Value.(*client)
		stalled := c.silence() > stalledRequestTimeout
		if c.state == stateIdle || stalled && !c.waitingForMemory {
			return c
		}
	}
	return nil
}

// requestCloseLocked wakes the owner of a connection. If nothing of another request has arrived, the owner closes the
// connection. If a request is being read, the owner stops reading, and serves the request if it is complete by then.
// The deadline is set under the mutex: if it were set after the request was read, it would interrupt that request or be
// mistaken for a disconnect of its client.
func (k *clients) requestCloseLocked(c *client) {
	reading := c.state == stateReading
	c.closeRequested = !reading
	c.abortReading = reading
	c.setReadDeadline(pastDeadline)
}

// mayClose reports whether the owner may close a connection: that was requested, and nothing of a request has been
// read.
func (k *clients) mayClose(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.closeRequested && (c.state == stateNew || c.state == stateIdle)
}

// closeIdleFor closes connections that have been idle for longer than age, and returns how many connections of any kind
// are open. Connections without a request so far are left to their own timeout.
func (k *clients) closeIdleFor(age time.Duration) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for elem := k.idle.Front(); elem != nil && time.Since(elem.Value.(*client).listedSince) > age; elem = elem.Next() {
		if c := elem.Value.(*client); c.state == stateIdle {
			k.requestCloseLocked(c)
		}
	}
	return k.lenLocked()
}

// closeIdle closes idle connections; connections with an open request close with their answers from now on.
func (k *clients) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = true
	for elem := k.idle.Front(); elem != nil; elem = elem.Next() {
		if c := elem.Value.(*client); c.state == stateIdle {
			k.requestCloseLocked(c)
		}
	}
}

// closeUnused closes new connections that have been silent for firstRequestTimeout. If all is set, it closes every
// connection without an open request and stops the reading of incomplete requests. It returns how many connections
// have had no request so far or are reading a further one.
func (k *clients) closeUnused(all bool) (expected int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, conns := range []*list.List{k.unused, k.idle} {
		for elem := conns.Front(); elem != nil; elem = elem.Next() {
			c := elem.Value.(*client)
			if all || conns == k.unused && c.state == stateNew && now.Sub(c.listedSince) > firstRequestTimeout {
				k.requestCloseLocked(c)
			}
			if conns == k.unused || c.state == stateReading {
				expected++
			}
		}
	}
	return expected
}
