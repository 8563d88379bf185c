package httpfront

import (
	"bufio"
	"bytes"
	"container/list"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// client is a client's connection.
type client struct {
	net.Conn
	paced paced
	limit io.LimitedReader // what may still be read for the present request
	r     *bufio.Reader

	// Guarded by clients.mu.
	quiet   *list.Element // its place in one of clients' lists; nil while a request is open
	kept    bool          // which list: it has had an answer
	since   time.Time     // that it has been there
	evicted bool          // and closed by that

	heard atomic.Int64 // when it last sent something, in Unix microseconds; 0: never
}

// clients accepts connections and bounds their number. The sidecar does this itself, not http.Server, since it
// must know what else waits on a connection behind a request, and which connection it can best do without.
type clients struct {
	most int
	talk func(*client) // until the connection is to be closed
	log  *slog.Logger

	mu      sync.Mutex
	open    int        // connections with an open request
	fresh   *list.List // *client: those that have had none yet, the oldest first
	quiet   *list.List // *client: those that have had one, the one without for longest first
	closing bool
	talks   sync.WaitGroup
}

func newClients(most int, talk func(*client), log *slog.Logger) *clients {
	return &clients{most: most, talk: talk, log: log, fresh: list.New(), quiet: list.New()}
}

const (
	acceptWaitLeast = 5 * time.Millisecond
	acceptWaitMost  = time.Second
)

// accept serves connections until ln is closed.
func (k *clients) accept(ln net.Listener) error {
	wait := acceptWaitLeast
	for {
		nc, err := ln.Accept()
		switch {
		case err == nil:
			wait = acceptWaitLeast
			k.add(nc)
		case errors.Is(err, net.ErrClosed):
			return nil
		default:
			// No descriptor is left, perhaps: one that is not needed makes room.
			if wait == acceptWaitLeast {
				k.log.Warn("accept", "error", err)
			}
			k.mu.Lock()
			k.evictLocked()
			k.mu.Unlock()
			time.Sleep(wait)
			wait = min(2*wait, acceptWaitMost)
		}
	}
}

func (k *clients) add(nc net.Conn) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.lenLocked() >= k.most && !k.evictLocked() {
		nc.Close() // all others are waiting for their answers
		return
	}
	c := &client{Conn: nc, since: time.Now(), paced: paced{Conn: nc}}
	c.limit.R = &c.paced
	c.paced.heard = &c.heard
	c.r = bufio.NewReader(&c.limit)
	c.quiet = k.fresh.PushBack(c)
	k.talks.Go(func() {
		k.talk(c)
		k.remove(c)
	})
}

const (
	saySoon  = 100 * time.Millisecond // whoever connects to ask does it within this
	goOn     = 500 * time.Millisecond // and has not stopped half way if it has said something within this
	useAgain = time.Second            // a connection without a request for so long is hardly missed
)

func (k *clients) lenLocked() int { return k.open + k.fresh.Len() + k.quiet.Len() }

// evictLocked closes the connection without an open request that will be missed least: one that has never said
// anything, then one that stopped half way in its first request, then one that was used long ago; and if all
// seem in use, the oldest that has asked nothing yet.
func (k *clients) evictLocked() bool {
	now := time.Now()
	var silent, half *client
	for at := k.fresh.Front(); at != nil && silent == nil; at = at.Next() {
		c := at.Value.(*client)
		switch heard := c.heard.Load(); {
		case heard == 0 && silent == nil && now.Sub(c.since) > saySoon:
			silent = c
		case heard != 0 && now.Sub(time.UnixMicro(heard)) > goOn && (half == nil || heard < half.heard.Load()):
			half = c
		}
	}
	var kept *client
	if first := k.quiet.Front(); first != nil {
		kept = first.Value.(*client)
	}
	var oldest *client
	if first := k.fresh.Front(); first != nil {
		oldest = first.Value.(*client)
	}
	switch {
	case silent != nil:
		k.closeLocked(silent)
	case half != nil:
		k.closeLocked(half)
	case kept != nil && (oldest == nil || now.Sub(kept.since) > useAgain):
		k.closeLocked(kept)
	case oldest != nil:
		k.closeLocked(oldest)
	default:
		return false
	}
	return true
}

func (k *clients) closeLocked(c *client) {
	k.listOf(c).Remove(c.quiet)
	c.evicted = true
	c.Close()
}

func (k *clients) listOf(c *client) *list.List {
	if c.kept {
		return k.quiet
	}
	return k.fresh
}

// take notes that a connection has an open request, unless it has been closed meanwhile.
func (k *clients) take(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if c.evicted {
		return false
	}
	k.listOf(c).Remove(c.quiet)
	c.quiet = nil
	k.open++
	return true
}

// rest notes that a request has its answer, and says whether the connection may stay open.
func (k *clients) rest(c *client) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.open--
	c.since, c.kept = time.Now(), true
	c.quiet = k.quiet.PushBack(c)
	return !k.closing
}

func (k *clients) remove(c *client) {
	c.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	switch {
	case c.evicted:
	case c.quiet == nil:
		k.open--
	default:
		k.listOf(c).Remove(c.quiet)
	}
}

// resize changes how many connections may be open.
func (k *clients) resize(most int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.most = most
	for k.lenLocked() > most && k.evictLocked() {
	}
}

// settle closes the connections that were used and have had no open request for longer than age, and returns
// how many are open then. Those that have asked nothing yet have a time of their own.
func (k *clients) settle(age time.Duration) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	for first := k.quiet.Front(); first != nil && time.Since(first.Value.(*client).since) > age; first = k.quiet.Front() {
		k.closeLocked(first.Value.(*client))
	}
	return k.lenLocked()
}

// hush closes the connections that were used and have no open request; those with one close once they have
// their answers.
func (k *clients) hush() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closing = true
	for first := k.quiet.Front(); first != nil; first = k.quiet.Front() {
		k.closeLocked(first.Value.(*client))
	}
}

// dismiss closes the connections that have asked nothing yet, but for those that are about to unless all are to
// go, and returns how many of them are left.
func (k *clients) dismiss(all bool) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for at := k.fresh.Front(); at != nil; {
		c := at.Value.(*client)
		at = at.Next()
		if all || c.heard.Load() == 0 && now.Sub(c.since) > saySoon {
			k.closeLocked(c)
		}
	}
	return k.fresh.Len()
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

const (
	writeTime  = time.Second
	lingerTime = 200 * time.Millisecond
	lingerMost = 64 << 10
)

// turnAway answers what is not taken, and ends the connection's use. What the client may still be sending is
// read for a little, since closing on unread bytes would take the answer away from it again.
func (c *client) turnAway(code int, reason string) {
	c.write(newResponse(code, reason), true)
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.linger(c.Conn, lingerMost, lingerTime)
}

// linger reads what the client may still be sending, for a while.
func (c *client) linger(r io.Reader, most int64, span time.Duration) {
	c.paced.wait = 0
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
	c.SetWriteDeadline(time.Now().Add(writeTime))
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
