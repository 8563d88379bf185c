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

// connState is where a client's connection is in its life. Only clients changes it, under its mutex: what has been read
// of a request and whether the connection is given up are decided in one place.
type connState uint8

const (
	stateNew       connState = iota // nothing has been read from it
	stateReading                    // a request has begun to be read, and is not taken yet
	stateActive                     // a request was taken, and is owed its answer
	stateIdle                       // it has had an answer, and nothing of another request has been read
	stateLingering                  // nothing is taken any more: our sending ends, and what still comes is read out
	stateClosed
)

// client is a client's connection. Its goroutine owns it: that one reads, answers and closes. Others ask for its end.
type client struct {
	net.Conn
	clients *clients
	raw     syscall.RawConn // nil where the connection has none
	paced   pacedConn
	limit   io.LimitedReader // what may still be read for the present request
	r       *bufio.Reader

	hasRequest bool // the owner's: a request is open, so that nobody else ends the connection
	lingered   bool // the owner's: what still came has been read out

	// Guarded by clients.mu.
	state       connState
	askedToEnd  bool          // to end where nothing of another request has come
	endsReading bool          // nothing more of a request that is not whole is to be read
	element     *list.Element // in one of clients' lists
	list        *list.List    // that list
	since       time.Time     // that it has been there
	dueAt       time.Time     // when its open request is past its time without an answer; zero: it is not waited for that

	lastReadAt atomic.Int64 // when it last sent something, in Unix microseconds; 0: never
}

// clients accepts connections and bounds their number. The sidecar does this itself, not http.Server, since it
// must know what else waits on a connection behind a request, and which connection it can best do without.
type clients struct {
	maxConns int
	serve    func(*client) // until the connection is to be closed
	log      *slog.Logger

	mu        sync.Mutex
	active    *list.List // *client: those with an open request
	unused    *list.List // *client: those that have had none yet, the oldest first
	idle      *list.List // *client: those that have had one, the one without for longest first
	lingering *list.List // *client: those whose end has begun
	closing   bool
	serving   sync.WaitGroup

	unanswered   *metrics.Counter // requests past their time
	overdue      int              // of them, those that have not been logged
	overdueTimer *time.Timer      // to look for more
	timerRunning bool             // it is running
}

func newClients(most int, talk func(*client), unanswered *metrics.Counter, log *slog.Logger) *clients {
	return &clients{maxConns: most, serve: talk, unanswered: unanswered, log: log,
		active: list.New(), unused: list.New(), idle: list.New(), lingering: list.New()}
}

const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// accept serves connections until ln is closed or its deadline has passed.
func (k *clients) accept(ln net.Listener) error {
	wait := minAcceptBackoff
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			wait = minAcceptBackoff
			k.add(nc)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return nil
		default:
			// No descriptor is left, perhaps: one that is not needed makes room.
			if wait == minAcceptBackoff {
				k.log.Warn("accept", "error", err)
			}
			k.evict()
			time.Sleep(wait)
			wait = min(2*wait, maxAcceptBackoff)
		}
	}
}

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
			nc.Close() // all others are waiting for their answers
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

// moveLocked moves a connection to the end of a list, or out of all.
func (k *clients) moveLocked(c *client, to *list.List) {
	if c.element != nil {
		c.list.Remove(c.element)
	}
	if c.element, c.list = nil, to; to != nil {
		c.element = to.PushBack(c)
	}
}

// beginRequest notes that a connection has an open request, unless its place was wanted before that was whole.
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
	c.state, c.hasRequest = stateActive, true
	k.scheduleReportLocked()
	return true
}

// endRequest notes that a request has its answer. Where connections end with their answers, a last look decides, as for those
// that rested before.
func (k *clients) endRequest(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overdueLocked(c, time.Now())
	c.dueAt = time.Time{}
	c.since, c.state, c.hasRequest, c.askedToEnd = time.Now(), stateIdle, false, k.closing
	k.moveLocked(c, k.idle)
}

// keepOpen notes that what was read was answered without being taken, and says whether the connection may stay open.
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

// remove ends a connection: our sending, then what the client may still be sending, which is read out for a little, since
// closing on unread bytes would take the last answer away from it again, and then all.
func (k *clients) remove(c *client) {
	k.mu.Lock()
	if c.state == stateActive {
		k.overdueLocked(c, time.Now())
	}
	if c.state != stateClosed {
		c.state, c.hasRequest = stateLingering, true
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
