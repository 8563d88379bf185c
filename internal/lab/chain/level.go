package chain

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The two paths of a call to a level, which index pools and durations.
const (
	pathThrough = 0 // through the level's sidecar
	pathDirect  = 1 // to the level's servers in turn
)

// Headers that the row's applications add and sidecars forward.
const (
	headerDirect     = "X-Lab-Direct" // 1 if the call takes the direct path at all levels
	headerCallerLeft = "X-Lab-Came"   // time left of the caller's own request, in milliseconds
	headerBegan      = "X-Lab-Began"  // time of the root's call, in Unix nanoseconds
	headerTook       = "X-Lab-Took"   // nanoseconds between a complete request and its answer, at the server
)

// level is a sidecar and the servers behind it, which run the application of the level.
type level struct {
	row       *row
	number    int
	addrs     []string
	listeners []net.Listener
	sidecar   *sidecar
	pools     [2]*pool   // to the sidecar and to the servers, by path
	hopNanos  [2][]int64 // latency of a call less the server's time, by path and call of the root; 0 for none

	attempts, notReduced, beyondRoot       atomic.Uint64
	openedConns, probes                    atomic.Uint64
	probeBytesIn, probeBytesOut, openConns atomic.Int64

	mutex         sync.Mutex
	conns         map[*countingConn]struct{}
	closed        bool
	timeLeftSum   int64 // milliseconds, like the two below
	timeLeftMin   int64
	timeLeftMax   int64
	timeLeftCount int64
}

// listen starts a server of the level.
func (l *level) listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	l.addrs, l.listeners = append(l.addrs, listener.Addr().String()), append(l.listeners, listener)
	l.row.wg.Go(func() {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}
			conn := &countingConn{Conn: accepted}
			l.mutex.Lock()
			if l.closed {
				accepted.Close()
			} else {
				l.conns[conn] = struct{}{}
				l.row.wg.Go(func() { l.serve(conn) })
			}
			l.mutex.Unlock()
		}
	})
	return nil
}

// close closes the level's listeners and all connections.
func (l *level) close() {
	for _, listener := range l.listeners {
		listener.Close()
	}
	l.mutex.Lock()
	l.closed = true
	for conn := range l.conns {
		conn.Close()
	}
	l.mutex.Unlock()
	for _, callers := range l.pools {
		if callers != nil {
			callers.close()
		}
	}
}

// countingConn is a connection that counts the bytes that were read from it.
type countingConn struct {
	net.Conn
	bytesRead int64
}

func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytesRead += int64(n)
	return n, err
}

// serve answers the requests on a connection from a sidecar or from a caller on the direct path.
func (l *level) serve(conn *countingConn) {
	fromSidecar := false
	defer func() {
		conn.Close()
		l.mutex.Lock()
		delete(l.conns, conn)
		l.mutex.Unlock()
		if fromSidecar {
			l.openConns.Add(-1)
		}
	}()
	reader := bufio.NewReader(conn)
	for {
		readBefore := conn.bytesRead - int64(reader.Buffered())
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		arrived := time.Now()
		if !fromSidecar && req.Header.Get(headerDirect) == "" {
			fromSidecar = true
			l.openedConns.Add(1)
			l.openConns.Add(1)
		}
		var answer string
		if req.URL.Path == "/-/load" || req.URL.Path == "/-/healthy" {
			answer = fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(loadReport), loadReport)
			l.probes.Add(1)
			l.probeBytesIn.Add(conn.bytesRead - int64(reader.Buffered()) - readBefore)
			l.probeBytesOut.Add(int64(len(answer)))
		} else if answer = l.handle(req, arrived); answer == "" {
			return
		}
		if _, err := io.WriteString(conn, answer); err != nil {
			return
		}
	}
}

// loadReport is the servers' load report, in answer to probes.
const loadReport = "TEXT busy_reqs=0, cpu_share=0.1, served_ps=100.00"

// handle is the application of a level. It calls the next level, unless it is the leaf, and returns its answer, or an
// empty string to close the connection without one.
func (l *level) handle(req *http.Request, arrived time.Time) string {
	_, text, _ := strings.Cut(strings.TrimPrefix(req.URL.Path, "/"), "/")
	call, err := strconv.Atoi(text)
	timeLeft, errTimeLeft := strconv.ParseInt(req.Header.Get("X-Expires-In-Ms"), 10, 64)
	callerLeft, errCallerLeft := strconv.ParseInt(req.Header.Get(headerCallerLeft), 10, 64)
	beganNanos, errBegan := strconv.ParseInt(req.Header.Get(headerBegan), 10, 64)
	if err != nil || call < 0 || call >= len(l.row.leafAttempts) || errTimeLeft != nil || errCallerLeft != nil ||
		errBegan != nil {
		return "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n"
	}
	began := time.Unix(0, beganNanos)
	path := pathThrough
	if req.Header.Get(headerDirect) == "1" {
		path = pathDirect
	}
	isLeaf := l.number == l.row.options.Depth-1
	if path == pathThrough && call >= l.row.warmUpCalls {
		l.recordTimeLeft(timeLeft, callerLeft, began, arrived)
	}
	if !isLeaf {
		next := l.row.levels[l.number+1]
		passedOn := timeLeft - time.Since(arrived).Milliseconds()
		if l.row.options.defect.keepsRootTimeout {
			passedOn = rootTimeoutMillis
		}
		start := time.Now()
		code, serverTook := next.call(path, call, timeLeft, passedOn, began, l.number+1)
		if total := time.Since(start); code == http.StatusOK {
			atomic.StoreInt64(&next.hopNanos[path][call], int64(total-serverTook))
		}
		if l.number == 0 && l.row.options.defect.callsTwice {
			code, _ = next.call(path, call, timeLeft, passedOn, began, l.number+1)
		}
		switch {
		case code == http.StatusOK:
		case code == http.StatusServiceUnavailable && l.row.options.Class != "look":
			// The sidecar says that the call did not run, and this application has done nothing else.
			return "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
		default:
			return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
		}
	} else if path == pathThrough {
		l.row.leafAttempts[call].Add(1)
		requestNumber := l.row.leafRequests.Add(1)
		if l.row.leafFails && l.row.seed.Stream("leaf", requestNumber).Float64() < l.row.options.FailureShare {
			switch l.row.options.LeafFailure {
			case LeafErrors:
				return "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
			case LeafRejects:
				return "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n"
			case LeafSilent:
				select {
				case <-l.row.stopped:
				case <-time.After(rootTimeoutMillis*time.Millisecond + answerGrace):
				}
				return ""
			}
		}
	}
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %d\r\nContent-Length: 16\r\n\r\nserved at once.\n", headerTook,
		time.Since(arrived).Nanoseconds())
}

// recordTimeLeft records the time left that an attempt carries, in milliseconds.
func (l *level) recordTimeLeft(timeLeft, callerLeft int64, began, arrived time.Time) {
	l.attempts.Add(1)
	if timeLeft >= callerLeft {
		l.notReduced.Add(1)
	}
	if time.Duration(timeLeft)*time.Millisecond > began.Add(rootTimeoutMillis*time.Millisecond).Sub(arrived) {
		l.beyondRoot.Add(1)
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.timeLeftSum, l.timeLeftCount = l.timeLeftSum+timeLeft, l.timeLeftCount+1
	l.timeLeftMin, l.timeLeftMax = min(l.timeLeftMin, timeLeft), max(l.timeLeftMax, timeLeft)
}

// call makes a call to this level, without retries. It returns the status code and the time that the server took, or
// zeros if there was no answer. callerLevel is 0 for the root, and timeLeft goes out with the request.
func (l *level) call(path, call int, callerLeft, timeLeft int64, began time.Time, callerLevel int) (code int,
	took time.Duration) {
	r := l.row
	method, keyHeader, extraHeaders := http.MethodGet, "", ""
	id := r.lastID.Add(1)
	if r.options.Class != "look" {
		method, extraHeaders = http.MethodPost, "Content-Length: 0\r\n"
	}
	if r.options.Class == "book" {
		keyHeader = fmt.Sprintf("Idempotency-Key: k%d\r\n", id)
	}
	if path == pathDirect {
		extraHeaders += headerDirect + ": 1\r\n"
	}
	text := fmt.Sprintf("%s /%s/%d HTTP/1.1\r\nHost: level%d.svc\r\nX-Trace-Id: %x\r\nX-Qos: %s\r\nX-Expires-In-Ms: %d\r\n%s: %d\r\n%s: %d\r\n%s%s\r\n",
		method, r.options.Class, call, callerLevel+1, id, r.options.Class, timeLeft, headerCallerLeft, callerLeft,
		headerBegan, began.UnixNano(), keyHeader, extraHeaders)
	code, took, err := l.pools[path].roundTrip(text, time.Duration(timeLeft)*time.Millisecond+answerGrace)
	if err != nil {
		r.recordBroken(err)
		return 0, 0
	}
	return code, took
}

// maxIdle is the longest idle time of a connection that is used again. A sidecar closes idle connections after 15 s,
// and a call that is sent at that moment would get no answer.
const maxIdle = 5 * time.Second

// pool holds the idle connections of callers to a sidecar, or to servers in turn.
type pool struct {
	row   *row
	addrs []string

	mutex  sync.Mutex
	next   int // counts new connections, to choose their addresses in turn
	idle   []*callerConn
	closed bool
}

// callerConn is a connection of a pool.
type callerConn struct {
	net.Conn
	reader   *bufio.Reader
	used     bool      // it has carried an answer
	lastUsed time.Time // time of the latest answer
}

// brokenError is the error of a call that ended without an answer.
type brokenError struct {
	where string // step of the call that failed
	err   error
}

// Error omits network addresses, so that errors with the same cause have the same text.
func (e *brokenError) Error() string {
	err := e.err
	if op := (*net.OpError)(nil); errors.As(err, &op) {
		err = op.Err
	}
	return e.where + ": " + err.Error()
}

// recordBroken counts a call without an answer, by its cause.
func (r *row) recordBroken(err error) {
	r.broken.Add(1)
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.brokenCauses[err.Error()]++
}

// close closes the idle connections. Those in use close when their calls end.
func (p *pool) close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.closed = true
	for _, conn := range p.idle {
		conn.Close()
	}
	p.idle = nil
}

// get returns an idle connection or opens a new one.
func (p *pool) get() (*callerConn, error) {
	p.mutex.Lock()
	for idleCount := len(p.idle); idleCount > 0; idleCount = len(p.idle) {
		conn := p.idle[idleCount-1]
		p.idle = p.idle[:idleCount-1]
		if time.Since(conn.lastUsed) > maxIdle {
			conn.Close()
			continue
		}
		p.mutex.Unlock()
		return conn, nil
	}
	p.next++
	addr := p.addrs[p.next%len(p.addrs)]
	p.mutex.Unlock()
	conn, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, &brokenError{"no connection", err}
	}
	return &callerConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// roundTrip writes a request once and reads its answer. took is the time that the server reports in the answer.
func (p *pool) roundTrip(text string, timeout time.Duration) (code int, took time.Duration, err error) {
	conn, err := p.get()
	if err != nil {
		return 0, 0, err
	}
	conn.SetDeadline(time.Now().Add(timeout))
	reuse := false
	defer func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()
		if reuse && !p.closed {
			p.idle = append(p.idle, conn)
		} else {
			conn.Close()
		}
	}()
	where := "first call of a connection"
	if conn.used {
		where = "kept connection"
	}
	if _, err := io.WriteString(conn, text); err != nil {
		return 0, 0, &brokenError{where + ", write", err}
	}
	resp, err := http.ReadResponse(conn.reader, nil)
	if err != nil {
		return 0, 0, &brokenError{where + ", answer", err}
	}
	conn.used, conn.lastUsed = true, time.Now()
	defer resp.Body.Close()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return 0, 0, err
	}
	if conn.reader.Buffered() > 0 {
		p.row.excess.Add(1)
		return resp.StatusCode, 0, nil
	}
	reuse = !resp.Close
	nanos, _ := strconv.ParseInt(resp.Header.Get(headerTook), 10, 64)
	return resp.StatusCode, time.Duration(nanos), nil
}
