package httpfront

import (
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

// connState is the state of a client's connection. It changes only under the mutex of clients, so that reading the
// first bytes of a request and giving up the connection exclude each other.
type connState uint8

const (
	stateNew       connState = iota // nothing has been read
	stateReading                    // a request is being read
	stateActive                     // a request was submitted, and its answer is due
	stateIdle                       // a request was answered, and nothing of the next one was read
	stateLingering                  // no request is accepted any more, and received bytes are discarded
	stateClosed
)

// client is a client's connection. One goroutine owns it, and reads, answers and closes. Other goroutines may only
// request that it closes, or close it after evictLocked.
type client struct {
	net.Conn
	clients *clients
	raw     syscall.RawConn // nil where the connection has none
	paced   pacedConn
	limit   io.LimitedReader // bounds what may still be read of the current request
	reader  *messageReader

	// Used by the owner only.
	headDeadline  time.Time // by which the head being read must be complete; zero before its first byte
	requestReadAt time.Time // when the head of the current request had been read
	hasRequest    bool      // a request is open or the connection is ending, so that reads need not hold clients.mu
	bodyArrives   bool      // a request was answered before its body had arrived; not changed while lingering

	// Guarded by clients.mu.
	state            connState
	closeRequested   bool          // close the connection unless bytes of another request have arrived
	abortReading     bool          // stop reading an incomplete request
	waitingForMemory bool          // the request being read waits for memory on this side, not for its client
	element          *list.Element // the connection's element in list
	list             *list.List    // the list of clients that holds the connection
	listedSince      time.Time     // when the connection was added to list
	requestID        string        // of the open request, once it is complete
	dueAt            time.Time     // when the open request counts as unanswered; zero while it cannot

	openedAt time.Time
	// lastReadAfter is the time from openedAt to the last read in nanoseconds, or 0 if there was none. No step of the
	// wall clock changes it.
	lastReadAfter atomic.Int64
}

// noteRead records that something was read from the connection just now.
func (c *client) noteRead() { c.lastReadAfter.Store(int64(max(1, time.Since(c.openedAt)))) }

// silence returns for how long nothing has been read from a connection that was read from before.
func (c *client) silence() time.Duration {
	return time.Since(c.openedAt) - time.Duration(c.lastReadAfter.Load())
}

// clients accepts connections and bounds their number. http.Server is not used, since it hides whether more bytes
// follow a request on its connection, and which connection is the best one to close.
type clients struct {
	maxConns int
	serve    func(*client) // serves a connection, and returns when it is to be closed
	log      *slog.Logger

	mu        sync.Mutex
	active    *list.List // of *client with an open request
	unused    *list.List // of *client without a request so far, the oldest first
	idle      *list.List // of *client whose last request was answered, the one idle for longest first
	lingering *list.List // of *client in stateLingering
	closing   bool
	serving   sync.WaitGroup

	closedWhenFull  *metrics.Counter // new connections closed at once, since all others have open requests
	unanswered      *metrics.Counter // requests that were not answered in time; see unansweredGrace
	unloggedOverdue int              // requests counted in unanswered but not logged yet
	overdueIDs      []string         // of some of them
	overdueTimer    *time.Timer      // calls reportOverdue
	timerRunning    bool             // overdueTimer is armed
}

func newClients(maxConns int, serve func(*client), unanswered *metrics.Counter, log *slog.Logger) *clients {
	return &clients{maxConns: maxConns, serve: serve, closedWhenFull: new(metrics.Counter), unanswered: unanswered,
		log: log, active: list.New(), unused: list.New(), idle: list.New(), lingering: list.New()}
}

const clientReadBuffer = 4096 // bytes that are read from a client at a time, but for bodies

const (
	minAcceptBackoff = 5 * time.Millisecond
	maxAcceptBackoff = time.Second
)

// accept serves connections until ln is closed or its deadline has passed.
func (k *clients) accept(ln net.Listener) {
	backoff := minAcceptBackoff
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			backoff = minAcceptBackoff
			k.add(nc)
		case errors.Is(err, net.ErrClosed), errors.Is(err, os.ErrDeadlineExceeded):
			return
		default:
			// The process may have run out of file descriptors; closing a connection frees one.
			if backoff == minAcceptBackoff {
				k.log.Warn("accept", "error", err)
			}
			k.evict()
			time.Sleep(backoff)
			backoff = min(2*backoff, maxAcceptBackoff)
		}
	}
}

// add serves a new connection in a goroutine of its own. At maxConns it first evicts another connection, or closes the
// new one if all others have open requests.
func (k *clients) add(netConn net.Conn) {
	c := &client{Conn: netConn, clients: k, listedSince: time.Now(), openedAt: time.Now()}
	if sc, ok := netConn.(syscall.Conn); ok {
		c.raw, _ = sc.SyscallConn()
	}
	c.paced.Conn = c
	c.limit.R = &c.paced
	c.reader = newMessageReader(&c.limit, clientReadBuffer)
	k.mu.Lock()
	var evicted *client
	if k.lenLocked() >= k.maxConns {
		if evicted = k.evictLocked(); evicted == nil {
			k.mu.Unlock()
			netConn.Close()
			k.closedWhenFull.Inc()
			return
		}
	}
	k.moveLocked(c, k.unused)
	k.serving.Go(func() {
		k.serve(c)
		k.remove(c)
	})
	k.mu.Unlock()
	if evicted != nil {
		evicted.Close()
	}
}

func (k *clients) lenLocked() int {
	return k.active.Len() + k.unused.Len() + k.idle.Len() + k.lingering.Len()
}

// moveLocked moves a connection to the end of a list; nil removes it from its list.
func (k *clients) moveLocked(c *client, dst *list.List) {
	if c.element != nil {
		c.list.Remove(c.element)
	}
	c.element = nil
	c.list = dst
	if dst != nil {
		c.element = dst.PushBack(c)
	}
}

// beginRequest records that a connection has an open request. It returns false if the connection was given up before
// the request was read completely; the request then counts as unanswered.
func (k *clients) beginRequest(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.state >= stateLingering {
		k.unloggedOverdue++
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

// setWaitingForMemory records whether the request that is being read waits for memory for its body.
func (k *clients) setWaitingForMemory(c *client, waiting bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	c.waitingForMemory = waiting
	if !waiting {
		c.noteRead() // the time of the wait does not count as a stall of the client
	}
}

// endRequest records that a request was answered. During a shutdown it requests that the connection closes; the owner
// still serves another request if it has begun by then.
func (k *clients) endRequest(c *client) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.overdueLocked(c, time.Now())
	c.dueAt = time.Time{}
	c.listedSince = time.Now()
	c.state = stateIdle
	c.hasRequest = false
	c.closeRequested = k.closing
	k.moveLocked(c, k.idle)
}

// keepOpen records that a readiness check was answered without being submitted, and reports whether the connection may
// stay open. If bytes of the next request arrived with the check, that request is being read. Only the owner calls it.
func (k *clients) keepOpen(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case c.state != stateReading || c.abortReading:
		return false
	case c.reader.Buffered() > 0:
	case c.list == k.unused:
		c.state = stateNew
	default:
		c.state = stateIdle
	}
	return true
}

// remove closes a connection: first its sending side, then, after reading what the client still sends for a while, all
// of it. Closing with unread bytes would reset the connection, and the client could lose the last answer.
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
	lingers := c.state == stateLingering
	k.mu.Unlock()
	if lingers {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			c.linger()
		}
	}
	c.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	c.state = stateClosed
	k.moveLocked(c, nil)
}

// resize changes how many connections may be open, and evicts those beyond that. Connections with open requests stay.
func (k *clients) resize(maxConns int) {
	k.mu.Lock()
	k.maxConns = maxConns
	var evicted []*client
	for k.lenLocked() > maxConns {
		c := k.evictLocked()
		if c == nil {
			break
		}
		evicted = append(evicted, c)
	}
	k.mu.Unlock()
	for _, c := range evicted {
		c.Close()
	}
}
