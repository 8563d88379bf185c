package relay

import (
	"context"
	"errors"
	"io"
	"net"
	"time"
)

const (
	dialTimeout       = 5 * time.Second
	maxChunkBytes     = 16 << 10
	maxChunksInFlight = 64 // in one direction; beyond that the sender has to wait
)

// connection is one relayed connection.
type connection struct {
	client net.Conn
	target net.Conn // nil until the target was reached
	lossy  bool     // lost data in a black hole; guarded by Link.mu
	ctx    context.Context
	cancel context.CancelFunc
}

// reset ends the connection with a TCP reset on both sides.
func (c *connection) reset() {
	c.cancel()
	reset(c.client)
	if c.target != nil {
		reset(c.target)
	}
}

// close ends the connection; what is still in the kernel's buffers is sent.
func (c *connection) close() {
	c.cancel()
	_ = c.client.Close() // both sides have ended sending, so an error loses nothing
	_ = c.target.Close()
}

// reset closes a connection such that its peer gets a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	_ = conn.Close()
}

// serve relays one connection until both directions have ended or it is broken.
func (l *Link) serve(client net.Conn) {
	defer l.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	c := &connection{client: client, ctx: ctx, cancel: cancel}
	if l.forward(c) {
		c.close()
		return
	}
	c.reset()
}

// forward connects to the target and relays both directions. It reports whether both ended cleanly.
func (l *Link) forward(c *connection) bool {
	dialer := net.Dialer{Timeout: dialTimeout}
	target, err := dialer.DialContext(c.ctx, "tcp", l.target)
	if err != nil {
		return false
	}
	c.target = target
	if !l.add(c) {
		return false
	}
	defer l.remove(c)
	clean := make(chan bool, 2)
	go func() { clean <- l.forwardDirection(c, c.client, c.target, false) }()
	go func() { clean <- l.forwardDirection(c, c.target, c.client, true) }()
	if !<-clean {
		c.reset() // ends the other direction
		<-clean
		return false
	}
	return <-clean
}

// chunk is what one read returned, and when it is due at the other side.
type chunk struct {
	data []byte
	due  time.Time
	err  error // of the read; io.EOF is the end of sending
}

// forwardDirection relays one direction, and reports whether it ended cleanly. Reading continues while earlier chunks
// are in flight.
func (l *Link) forwardDirection(c *connection, from, to net.Conn, fromTarget bool) bool {
	chunks := make(chan chunk, maxChunksInFlight)
	go l.readChunks(c, from, chunks)
	for next := range chunks {
		if !sleep(c.ctx, time.Until(next.due)) {
			return false
		}
		if len(next.data) > 0 && !l.write(c, to, next.data, fromTarget) {
			return false
		}
		if next.err != nil {
			return l.forwardEnd(c, to, next.err, fromTarget)
		}
	}
	return false
}

// readChunks reads until the first error, and sends each chunk with the time when it is due.
func (l *Link) readChunks(c *connection, from net.Conn, chunks chan<- chunk) {
	defer close(chunks)
	var lastDue time.Time
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buf)
		data := append([]byte(nil), buf[:n]...) // a copy of its size, as chunks are usually far smaller than buf
		lastDue = l.dueTime(n, lastDue)
		select {
		case chunks <- chunk{data, lastDue, err}:
		case <-c.ctx.Done():
			return
		}
		if err != nil {
			return
		}
	}
}

// dueTime returns when a chunk that was read now is due. It is never before the previous chunk: TCP does not reorder.
func (l *Link) dueTime(size int, previous time.Time) time.Time {
	due := time.Now().Add(l.drawDelay())
	if due.Before(previous) {
		due = previous
	}
	conditions := l.currentConditions()
	if conditions.BytesPerSecond > 0 && size > 0 {
		due = due.Add(time.Duration(size) * time.Second / time.Duration(conditions.BytesPerSecond))
	}
	return due
}

// forwardEnd forwards the end of a direction, which a read returned as an error, and reports whether it was clean.
func (l *Link) forwardEnd(c *connection, to net.Conn, readErr error, fromTarget bool) bool {
	conditions := l.currentConditions()
	if conditions.loses(fromTarget) {
		l.markLossy(c)
		<-c.ctx.Done() // the other side must not notice the end
		return false
	}
	if !errors.Is(readErr, io.EOF) {
		return false
	}
	if tcp, ok := to.(*net.TCPConn); ok && !conditions.DropHalfClose {
		_ = tcp.CloseWrite() // a peer that has closed the connection ends the other direction
	}
	return true
}

// write writes data under the conditions at the time of each piece. It reports false if the connection is broken.
func (l *Link) write(c *connection, to net.Conn, data []byte, fromTarget bool) bool {
	for len(data) > 0 {
		conditions := l.currentConditions()
		if conditions.loses(fromTarget) {
			l.markLossy(c)
			return true
		}
		piece := data
		if conditions.MaxWriteBytes > 0 && len(piece) > conditions.MaxWriteBytes {
			piece = piece[:conditions.MaxWriteBytes]
		}
		if _, err := to.Write(piece); err != nil {
			return false
		}
		data = data[len(piece):]
		if len(data) > 0 && conditions.WritePause > 0 && !sleep(c.ctx, conditions.WritePause) {
			return false
		}
	}
	return true
}

// sleep waits, and reports whether the context is still valid after the wait.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
