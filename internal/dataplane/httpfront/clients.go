package httpfront

import (
	"bufio"
	"bytes"
	"container/list"
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strconv"
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

const (
	firstRequestTimeout   = 100 * time.Millisecond // whoever connects to ask does it within this
	stalledRequestTimeout = 500 * time.Millisecond // and has not stopped half way if it has said something within this
	reuseTimeout          = time.Second            // a connection without a request for so long is hardly missed
)

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

// Read reads what the client sends. As long as no request is taken, whether something is read or the connection is given
// up is decided under the mutex, one or the other: what was read has its request served, and what was not is not.
func (c *client) Read(b []byte) (n int, err error) {
	if c.hasRequest || c.raw == nil {
		n, err = c.Conn.Read(b)
		c.noteRead(n)
		return n, err
	}
	n, err = c.readOwned(b)
	if errors.Is(err, os.ErrDeadlineExceeded) && c.clients.mayEnd(c) {
		// Woken to leave: a last look at what has come decides.
		c.SetReadDeadline(time.Now().Add(RequestTimeout))
		n, err = c.readOwned(b)
	}
	return n, err
}

func (c *client) readOwned(b []byte) (n int, err error) {
	wait := c.raw.Read(func(fd uintptr) bool {
		c.clients.mu.Lock()
		defer c.clients.mu.Unlock()
		switch {
		case c.state >= stateLingering:
			err = net.ErrClosed
			return true
		case c.endsReading:
			err = os.ErrDeadlineExceeded
			return true
		}
		n, err = syscall.Read(int(fd), b)
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), b)
		}
		n = max(n, 0)
		c.noteRead(n)
		switch {
		case n > 0:
			if c.askedToEnd {
				c.SetReadDeadline(time.Now().Add(RequestTimeout)) // woken, and read all the same
			}
			c.state, c.askedToEnd = stateReading, false
		case err == syscall.EAGAIN && c.askedToEnd:
			c.state, err = stateLingering, net.ErrClosed
			c.clients.moveLocked(c, c.clients.lingering)
		case err == syscall.EAGAIN:
			err = nil
			return false
		case err == nil:
			err = io.EOF
		}
		return true
	})
	if n == 0 && err == nil {
		err = wait
	}
	return n, err
}

func (c *client) noteRead(n int) {
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixMicro())
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

// askToEndLocked asks for the end of a connection: its owner takes a last look, and where nothing of another request has come,
// ends it. Of a request that has begun to be read, it ends the reading, and what is whole by then is served. The owner is woken with
// the mutex held: a wake behind the reading of a request would end that, or pass for its client's leaving.
func (k *clients) askToEndLocked(c *client) {
	c.askedToEnd, c.endsReading = c.state != stateReading, c.state == stateReading
	c.SetReadDeadline(past)
}

// mayEnd says whether a connection is asked to end, and nothing of a request has been read.
func (k *clients) mayEnd(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return c.askedToEnd && (c.state == stateNew || c.state == stateIdle)
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

// ---- A connection ----------------------------------------------------------

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// watch returns a channel on which one error comes when the client leaves, or nil when it sends something
// before it has its answer. To end the watch, set a deadline in the past.
func (c *client) watch() <-chan error {
	c.SetReadDeadline(time.Time{})
	c.limit.N = 1
	gone := make(chan error, 1)
	go func() {
		_, err := c.r.Peek(1)
		gone <- err
	}()
	return gone
}

// watchDuringUpload watches for the leaving of a client whose body still comes, and must not be read yet: its end stands behind what
// it has sent, but the system has it. Left is closed then. Stop ends the watch, and must be called before anybody reads.
func (c *client) watchDuringUpload() (left <-chan struct{}, stop func()) {
	if c.raw == nil {
		return nil, func() {}
	}
	gone, over := make(chan struct{}), make(chan struct{})
	c.SetReadDeadline(time.Time{})
	go func() {
		defer close(over)
		// Asked at each change of the connection.
		if err := c.raw.Read(func(fd uintptr) bool { return !isEstablished(fd) }); err == nil {
			close(gone)
		}
	}()
	return gone, sync.OnceFunc(func() {
		c.SetReadDeadline(past)
		<-over
	})
}

// hasLeft looks whether the client has closed its connection, or ended its sending, also behind bytes that nobody has read. Any
// goroutine may ask, also beside a read; of a connection that is closed here it says that it has.
func (c *client) hasLeft() bool {
	if c.raw == nil {
		return false
	}
	gone := true
	c.raw.Control(func(fd uintptr) {
		var b [1]byte
		switch n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); {
		case err == syscall.EAGAIN:
			gone = false
		case n > 0:
			gone = !isEstablished(fd)
		}
	})
	return gone
}

// isEstablished says whether neither side of a connection has ended, whatever stands unread on it. Where the system does not tell it does.
func isEstablished(fd uintptr) bool {
	info, err := syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_INFO)
	var state [4]byte // the first of what the system tells
	binary.NativeEndian.PutUint32(state[:], uint32(info))
	return err != nil || state[0] == tcpEstablished
}

const tcpEstablished = 1 // of a TCP connection's states, the one in which neither side has ended

const (
	writeTimeout   = time.Second
	lingerTimeout  = 200 * time.Millisecond
	maxLingerBytes = 64 << 10
)

// reject answers what is not taken, and ends the connection's use.
func (c *client) reject(code int, reason string) { c.write(newResponse(code, reason), true) }

// linger reads what the client may still be sending, for a while.
func (c *client) linger(r io.Reader, most int64, span time.Duration) {
	c.lingered, c.paced.readTimeout = true, 0
	c.SetReadDeadline(time.Now().Add(span))
	io.CopyN(io.Discard, r, most)
}

// response is a final answer as it goes to the client.
type response struct {
	code   int
	header http.Header
	body   []byte
}

func newResponse(code int, text string) *response {
	return &response{code: code, header: http.Header{"Content-Type": {"text/plain; charset=utf-8"}}, body: []byte(text + "\n")}
}

// write writes a whole answer in one piece, and says whether that went well.
func (c *client) write(r *response, last bool) bool {
	text := append(r.head(int64(len(r.body)), last), r.body...)
	c.SetWriteDeadline(time.Now().Add(writeTimeout))
	_, err := c.Write(text)
	return err == nil
}

// head returns the head of the answer, for a body of this length or, if that is negative, in chunks.
func (r *response) head(length int64, last bool) []byte {
	var b bytes.Buffer
	b.Grow(256 + len(r.body))
	b.WriteString("HTTP/1.1 " + strconv.Itoa(r.code) + " " + http.StatusText(r.code) + "\r\n")
	r.header.Write(&b) // writing to memory does not fail
	if length < 0 {
		b.WriteString("Transfer-Encoding: chunked\r\n")
	} else {
		b.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}
	if last {
		b.WriteString("Connection: close\r\n")
	}
	b.WriteString("\r\n")
	return b.Bytes()
}
