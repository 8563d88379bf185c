package httpfront

import (
	"bufio"
	"container/list"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchmoor/internal/platform/metrics"
)

// connState is the state of a client's connection. It changes under the mutex of clients alone: whether something
// of a request was read, and whether the connection is given up, is decided in one place.
type connState uint8

const (
	stateNew       connState = iota // nothing has been read
	stateReading                    // a request is being read
	stateActive                     // a request was submitted, and will get its answer
	stateIdle                       // it has had an answer, and nothing of another request was read
	stateLingering                  // no request is accepted: sending has ended, and received bytes are discarded
	stateClosed
)

// client is a client's connection. Its goroutine owns it: it reads, answers and closes. Others may only ask for its
// end.
type client struct {
	net.Conn
	clients *clients
	raw     syscall.RawConn // nil where the connection has none
	paced   pacedConn
	limit   io.LimitedReader // what may still be read of the current request
	r       *bufio.Reader

	hasRequest bool // used by the owner: a request is open, so that the owner alone ends the connection
	lingered   bool // used by the owner: what still came has been discarded

	// Guarded by clients.mu.
	state       connState
	askedToEnd  bool          // to end unless something of another request has come
	endsReading bool          // the reading of an incomplete request is to end
	waiting     bool          // its request waits for memory here, not for its client
	element     *list.Element // in list
	list        *list.List    // one of those of clients
	since       time.Time     // when it was added to list
	dueAt       time.Time     // when its open request counts as unanswered; zero: it does not

	lastReadAt atomic.Int64 // Unix microseconds; 0: never
}

// clients accepts connections and bounds their number. http.Server is not used, since it does not show what else
// waits on a connection behind a request, nor which connection is needed least.
type clients struct {
	maxConns int
	serve    func(*client) // serves a connection until it is to be closed
	log      *slog.Logger

	mu        sync.Mutex
	active    *list.List // *client with an open request
	unused    *list.List // *client without a request so far, the oldest first
	idle      *list.List // *client that had one, the one idle for longest first
	lingering *list.List // *client whose end has begun
	closing   bool
	serving   sync.WaitGroup

	full         *metrics.Counter // connections closed at once, since all others have open requests
	unanswered   *metrics.Counter // requests past their deadline
	overdue      int              // of them, those that were not logged yet
	overdueTimer *time.Timer      // calls reportOverdue
	timerRunning bool             // of overdueTimer
}

func newClients(maxConns int, serve func(*client), unanswered *metrics.Counter, log *slog.Logger) *clients {
	return &clients{maxConns: maxConns, serve: serve, full: new(metrics.Counter), unanswered: unanswered, log: log,
		active: list.New(), unused: list.New(), idle: list.New(), lingering: list.New()}
}

const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// accept serves connections until ln is closed or its deadline has passed.
func (k *clients) accept(ln net.Listener) {
	wait := minAcceptBackoff
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			wait = minAcceptBackoff
			k.add(nc)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			// Descriptors may have run out: closing a connection frees one.
			if wait == minAcceptBackoff {
				k.log.Warn("accept", "error", err)
			}
			k.evict()
			time.Sleep(wait)
			wait = min(2*wait, maxAcceptBackoff)
		}
	}
}

// add serves a new connection, in place of another one if there are too many.
func (k *clients) add(nc net.Conn) {
	c := &client{Conn: nc, clients: k, since: time.Now()}
	if sc, ok := nc.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.paced.Conn = c
	c.limit.R = &c.paced
	c.r = bufio.NewReader(&c.limit)
	k.mu.Lock()
	var out *client
	if k.lenLocked() >= k.maxConns {
		if out = k.evictLocked(); out == nil {
			k.mu.Unlock()
			nc.Close() // all others wait for their answers
			k.full.Inc()
			return
		}
	}
	k.moveLocked(c, k.unused)
	k.serving.Go(func() {
		k.serve(c)
		k.remove(c)
	})
	k.mu.Unlock()
	if out != nil {
		out.Close()
	}
}

func (k *clients) lenLocked() int {
	return k.active.Len() + k.unused.Len() + k.idle.Len() + k.lingering.Len()
}

// moveLocked moves a connection to the end of a list; nil removes it from its list.
func (k *clients) moveLocked(c *client, to *list.List) {
	if c.element != nil {
		c.list.Remove(c.element)
	}
	c.element = nil
	c.list = to
	if to != nil {
		c.element = to.PushBack(c)
	}
}

// beginRequest notes that a connection has an open request. It returns false if the connection was given up before
// the request was complete.
func (k *clients) beginRequest(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.state >= stateLingering {
		k.overdue++
		k.unanswered.Inc()
		k.scheduleReportLocked()
		return false
	}
	k.moveLocked(c, k.active)
	c.state = stateActive
	c.hasRequest = true
	k.scheduleReportLocked()
	return true
}

// setWaiting notes whether the request that is being read waits for memory.
func (k *clients) setWaiting(c *client, waiting bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.waiting = waiting
	if !waiting {
		c.lastReadAt.Store(time.Now().UnixMicro()) // its client has not stalled meanwhile
	}
}

// endRequest notes that a request has its answer. If connections end with their answers, the owner still looks
// whether another request has begun.
func (k *clients) endRequest(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overdueLocked(c, time.Now())
	c.dueAt = time.Time{}
	c.since = time.Now()
	c.state = stateIdle
	c.hasRequest = false
	c.askedToEnd = k.closing
	k.moveLocked(c, k.idle)
}

// keepOpen notes that what was read was answered without being submitted, and reports whether the connection may
// stay open.
func (k *clients) keepOpen(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.state == stateReading && !c.endsReading {
		c.state = stateIdle
		if c.list == k.unused {
			c.state = stateNew
		}
		return true
	}
	return false
}

// remove ends a connection: first sending, then, after what the client may still be sending was read for a while,
// all. Closing with unread bytes would reset the connection, and the last answer with it.
func (k *clients) remove(c *client) {
	k.mu.Lock()
	if c.state == stateActive {
		k.overdueLocked(c, time.Now())
	}
	if c.state != stateClosed {
		c.state = stateLingering
		c.hasRequest = true
		k.moveLocked(c, k.lingering)
	}
	lingers := c.state == stateLingering && !c.lingered
	k.mu.Unlock()
	if lingers {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			c.linger(c.Conn, maxLingerBytes, lingerTimeout)
		}
	}
	c.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	c.state = stateClosed
	k.moveLocked(c, nil)
}

// resize changes how many connections may be open.
func (k *clients) resize(most int) {
	k.mu.Lock()
	k.maxConns = most
	var out []*client
	for k.lenLocked() > most {
		c := k.evictLocked()
		if c == nil {
			break
		}
		out = append(out, c)
	}
	k.mu.Unlock()
	for _, c := range out {
		c.Close()
	}
}
