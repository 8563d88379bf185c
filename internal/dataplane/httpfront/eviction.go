package httpfront

import (
	"container/list"
	"time"
)

// The connection that is closed for a new one, or when descriptors run out, is one that is hardly missed.
const (
	firstRequestTimeout   = 100 * time.Millisecond // in which a client that connects to send a request begins it
	stalledRequestTimeout = 500 * time.Millisecond // after which a request that is not complete counts as stalled
	reuseTimeout          = time.Second            // after which an idle connection counts as not used any more
)

// evict closes the connection that is needed least, if there is one.
func (k *clients) evict() {
	k.mu.Lock()
	c := k.evictLocked()
	k.mu.Unlock()
	if c != nil {
		c.Close()
	}
}

// evictLocked gives up the connection without an open request that is needed least, and returns it, or nil. The
// caller closes it at once, but without the mutex: closing waits for a read, and a read for the mutex.
func (k *clients) evictLocked() *client {
	out := k.leastNeededLocked()
	if out == nil {
		return nil
	}
	k.moveLocked(out, nil)
	out.state = stateClosed
	return out
}

// leastNeededLocked returns a connection whose end has begun; else one that never sent anything, one that stalled
// in its first request, or one that was used long ago, in this order; and if all seem in use, the oldest without a
// request. One whose request waits for memory has not stalled: it gets its answer.
func (k *clients) leastNeededLocked() *client {
	now := time.Now()
	silent, stalled, oldest := k.unusedCandidatesLocked(now)
	idle := k.idleCandidateLocked(now)
	switch {
	case k.lingering.Len() > 0:
		return k.lingering.Front().Value.(*client)
	case silent != nil:
		return silent
	case stalled != nil:
		return stalled
	case idle != nil && (oldest == nil || now.Sub(idle.since) > reuseTimeout):
		return idle
	default:
		return oldest
	}
}

// unusedCandidatesLocked returns, of the connections without a request so far, the oldest that is silent, the one
// that has been stalled for longest, and the oldest of which nothing was read.
func (k *clients) unusedCandidatesLocked(now time.Time) (silent, stalled, oldest *client) {
	for at := k.unused.Front(); at != nil && silent == nil; at = at.Next() {
		c := at.Value.(*client)
		lastRead := c.lastReadAt.Load()
		switch {
		case c.waiting:
		case lastRead == 0:
			if now.Sub(c.since) > firstRequestTimeout {
				silent = c
			}
		case now.Sub(time.UnixMicro(lastRead)) > stalledRequestTimeout:
			if stalled == nil || lastRead < stalled.lastReadAt.Load() {
				stalled = c
			}
		}
		if oldest == nil && c.state == stateNew {
			oldest = c
		}
	}
	return silent, stalled, oldest
}

// idleCandidateLocked returns the connection that has been idle for longest, or whose next request stalled.
func (k *clients) idleCandidateLocked(now time.Time) *client {
	for at := k.idle.Front(); at != nil; at = at.Next() {
		c := at.Value.(*client)
		stalled := now.Sub(time.UnixMicro(c.lastReadAt.Load())) > stalledRequestTimeout
		if c.state == stateIdle || stalled && !c.waiting {
			return c
		}
	}
	return nil
}

// askToEndLocked wakes the owner of a connection. If nothing of another request has come it ends the connection; if
// a request is being read it ends the reading, and serves the request if that is complete by then. The wake is
// given under the mutex: after the request was read it would end that, or pass for its client's leaving.
func (k *clients) askToEndLocked(c *client) {
	reading := c.state == stateReading
	c.askedToEnd = !reading
	c.endsReading = reading
	c.setReadDeadline(past)
}

// mayEnd reports whether a connection was asked to end, and nothing of a request has been read.
func (k *clients) mayEnd(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.askedToEnd && (c.state == stateNew || c.state == stateIdle)
}

// closeIdleFor ends connections that were used and have had no open request for longer than age, and returns how
// many are open. Those without a request so far have a timeout of their own.
func (k *clients) closeIdleFor(age time.Duration) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for at := k.idle.Front(); at != nil && time.Since(at.Value.(*client).since) > age; at = at.Next() {
		if c := at.Value.(*client); c.state == stateIdle {
			k.askToEndLocked(c)
		}
	}
	return k.lenLocked()
}

// closeIdle ends connections that were used and have no open request; those with one end with their answers.
func (k *clients) closeIdle() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = true
	for at := k.idle.Front(); at != nil; at = at.Next() {
		if c := at.Value.(*client); c.state == stateIdle {
			k.askToEndLocked(c)
		}
	}
}

// closeUnused ends connections without a request so far: all, or those that are not expected to send one. It
// returns how many are expected to, or are reading another one.
func (k *clients) closeUnused(all bool) (expected int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for _, of := range []*list.List{k.unused, k.idle} {
		for at := of.Front(); at != nil; at = at.Next() {
			c := at.Value.(*client)
			if all || of == k.unused && c.state == stateNew && now.Sub(c.since) > firstRequestTimeout {
				k.askToEndLocked(c)
			}
			if of == k.unused || c.state == stateReading {
				expected++
			}
		}
	}
	return expected
}
