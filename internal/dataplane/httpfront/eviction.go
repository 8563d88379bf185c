package httpfront

import (
	"container/list"
	"time"
)

const (
	firstRequestTimeout   = 100 * time.Millisecond // whoever connects to ask does it within this
	stalledRequestTimeout = 500 * time.Millisecond // and has not stopped half way if it has said something within this
	reuseTimeout          = time.Second            // a connection without a request for so long is hardly missed
)

// evict closes the connection that will be missed least, and says whether there was one.
func (k *clients) evict() bool {
	k.mu.Lock()
	c := k.evictLocked()
	k.mu.Unlock()
	if c == nil {
		return false
	}
	c.Close()
	return true
}

// evictLocked gives up the connection without an open request that will be missed least: one whose end has begun; one
// that has never said anything, then one that stopped half way in its first request, then one that was used long ago;
// and if all seem in use, the oldest that has asked nothing yet. The caller closes it, at once since its place is wanted,
// and once it holds the mutex no more: closing waits for a read, and a read for the mutex.
func (k *clients) evictLocked() *client {
	now := time.Now()
	var silent, half, kept, oldest *client
	for at := k.unused.Front(); at != nil && silent == nil; at = at.Next() {
		c := at.Value.(*client)
		switch heard := c.lastReadAt.Load(); {
		case heard == 0 && silent == nil && now.Sub(c.since) > firstRequestTimeout:
			silent = c
		case heard != 0 && now.Sub(time.UnixMicro(heard)) > stalledRequestTimeout && (half == nil || heard < half.lastReadAt.Load()):
			half = c
		}
		if oldest == nil && c.state == stateNew {
			oldest = c
		}
	}
	for at := k.idle.Front(); at != nil && kept == nil; at = at.Next() {
		if c := at.Value.(*client); c.state == stateIdle || now.Sub(time.UnixMicro(c.lastReadAt.Load())) > stalledRequestTimeout {
			kept = c
		}
	}
	var out *client
	switch {
	case k.lingering.Len() > 0:
		out = k.lingering.Front().Value.(*client)
	case silent != nil:
		out = silent
	case half != nil:
		out = half
	case kept != nil && (oldest == nil || now.Sub(kept.since) > reuseTimeout):
		out = kept
	case oldest != nil:
		out = oldest
	default:
		return nil
	}
	k.moveLocked(out, nil)
	out.state = stateClosed
	return out
}

// askToEndLocked asks for the end of a connection: its owner takes a last look, and where nothing of another request has come,
// ends it. Of a request that has begun to be read, it ends the reading, and what is whole by then is served. The owner is woken with
// the mutex held: a wake behind the reading of a request would end that, or pass for its client's leaving.
func (k *clients) askToEndLocked(c *client) {
	c.askedToEnd, c.endsReading = c.state != stateReading, c.state == stateReading
	c.setReadDeadline(past)
}

// mayEnd says whether a connection is asked to end, and nothing of a request has been read.
func (k *clients) mayEnd(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.askedToEnd && (c.state == stateNew || c.state == stateIdle)
}

// closeIdleFor ends the connections that were used and have had no open request for longer than age, and returns
// how many are open then. Those that have asked nothing yet have a time of their own.
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

// closeIdle ends the connections that were used and have no open request; those with one end once they have
// their answers.
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

// closeUnused ends the connections that have asked nothing yet, but for those that are about to unless all are to
// go, and returns how many are still about to ask, also again.
func (k *clients) closeUnused(all bool) (asking int) {
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
				asking++
			}
		}
	}
	return asking
}
