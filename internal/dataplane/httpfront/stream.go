package httpfront

import (
	"net"
	"time"
)

// A body that is longer than MaxBufferedBody is streamed: passed on as it comes, and never buffered as a whole.
const (
	// MaxBody bounds a body; a longer one is rejected or cut.
	MaxBody = 64 << 20

	maxBodyStall   = 2 * time.Second  // between two reads of a client's body
	bodyGrace      = 5 * time.Second  // after which a client's body must have come
	minBodyRate    = 16 << 10         // at this rate, in bytes a second, at least
	maxUploadTime  = 30 * time.Minute // for MaxBody at that rate, with some to spare
	maxAnswerStall = 250 * time.Millisecond
	maxStreamStall = 10 * time.Second // of an answer that has begun to reach the client, in either direction
	streamAfter    = 50 * time.Millisecond
)

// pacedConn reads from a connection with a timeout for each read, and records what it reads if that is wanted.
type pacedConn struct {
	net.Conn
	readTimeout time.Duration // 0: none but the deadline of the connection
	recording   bool
	recorded    []byte
}

// Read implements io.Reader.
func (p *pacedConn) Read(b []byte) (int, error) {
	if p.readTimeout > 0 {
		_ = p.SetReadDeadline(time.Now().Add(p.readTimeout)) // fails on a closed connection, as the read does
	}
	n, err := p.Conn.Read(b)
	if p.recording {
		p.recorded = append(p.recorded, b[:n]...)
	}
	return n, err
}
