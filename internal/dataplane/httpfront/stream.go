package httpfront

import (
	"bytes"
	"errors"
	"net"
	"os"
	"sync/atomic"
	"time"
)

// A body that is longer than MaxBufferedBodyBytes is streamed: it is forwarded as it arrives, and never buffered
// completely.
const (
	// MaxBodyBytes bounds a body, in bytes. A longer request body is rejected, a longer answer is cut.
	MaxBodyBytes = 64 << 20

	uploadSocketBytes     = 256 << 10             // receive buffer of a client with a streamed body
	maxBodyStall          = 2 * time.Second       // timeout of each read of a client's body
	bodyGrace             = 5 * time.Second       // time for a client's body on top of its bytes at the minimum rate
	minBodyBytesPerSecond = 16 << 10              // a client's body that arrives more slowly is rejected
	maxUploadTime         = 30 * time.Minute      // deadline of a request while its body is streamed
	maxStreamStall        = 10 * time.Second      // for the next byte of a streamed body or answer, each way
	maxBufferingTime      = 50 * time.Millisecond // from the head of an answer that may be long, until it is streamed
	streamMargin          = 10 * time.Millisecond // an answer is streamed so long before its attempt would time out
)

// pacedConn reads from a connection with a timeout for each read, and records what it reads between startRecording and
// stopRecording. It counts what it reads of a head.
type pacedConn struct {
	net.Conn
	head        headMeter
	readTimeout time.Duration // 0: the connection's deadline is left as it is
	recording   bool
	recorded    []byte
	received    atomic.Int64 // bytes read since the owner last set it to 0
	interrupted atomic.Bool  // reads fail until the owner resets it
}

// Read implements io.Reader.
func (p *pacedConn) Read(b []byte) (int, error) {
	if p.readTimeout > 0 {
		_ = p.SetReadDeadline(time.Now().Add(p.readTimeout)) // fails on a closed connection, as the read does
	}
	if p.interrupted.Load() {
		return 0, os.ErrDeadlineExceeded
	}
	n, err := p.Conn.Read(b)
	p.received.Add(int64(n))
	if p.recording {
		p.recorded = append(p.recorded, b[:n]...)
	}
	if headErr := p.head.count(b[:n]); headErr != nil {
		return 0, headErr
	}
	return n, err
}

// interrupt makes a read in progress on another goroutine fail, and those that follow.
func (p *pacedConn) interrupt() {
	p.interrupted.Store(true)
	_ = p.SetReadDeadline(pastDeadline) // fails on a closed connection, as the read does
}

// writeWithin writes p to a connection, which may take any time as long as a part of it is accepted within stall.
func writeWithin(c net.Conn, p []byte, stall time.Duration) (written int, err error) {
	for {
		_ = c.SetWriteDeadline(time.Now().Add(stall)) // fails on a closed connection, as the write does
		n, err := c.Write(p[written:])
		written += n
		if written == len(p) || n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// writeBuffersWithin writes buffers as writeWithin does, with one system call if c is a connection of package net. It
// removes from buffers what it has written.
func writeBuffersWithin(c net.Conn, buffers *net.Buffers, stall time.Duration) (written int64, err error) {
	for {
		_ = c.SetWriteDeadline(time.Now().Add(stall)) // fails on a closed connection, as the write does
		n, err := buffers.WriteTo(c)
		written += n
		if len(*buffers) == 0 || n == 0 || !errors.Is(err, os.ErrDeadlineExceeded) {
			return written, err
		}
	}
}

// stallWriter writes to a connection by writeWithin. It implements chunked.BuffersWriter.
type stallWriter struct {
	conn  net.Conn
	stall time.Duration
}

// Write implements io.Writer.
func (w stallWriter) Write(p []byte) (int, error) { return writeWithin(w.conn, p, w.stall) }

// WriteBuffers implements chunked.BuffersWriter.
func (w stallWriter) WriteBuffers(buffers *net.Buffers) (int64, error) {
	return writeBuffersWithin(w.conn, buffers, w.stall)
}

// startRecording begins a record with bytes that were read from the connection before, but not used yet.
func (p *pacedConn) startRecording(unused []byte) {
	p.recording = true
	p.recorded = bytes.Clone(unused)
}

// stopRecording returns the record and ends it.
func (p *pacedConn) stopRecording() []byte {
	recorded := p.recorded
	p.recording = false
	p.recorded = nil
	return recorded
}
