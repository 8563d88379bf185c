package httpfront

import (
	"net"
	"time"
)

// What is longer than BodyMost flows: it is passed on as it comes and never held whole.
const (
	MaxBody        = 64 << 20         // and beyond this is turned away, or cut off
	maxBodyStall   = 2 * time.Second  // a body that says nothing for so long is given up
	bodyGrace      = 5 * time.Second  // and so is one that, after this,
	minBodyRate    = 16 << 10         // has come with fewer bytes a second
	maxUploadTime  = 30 * time.Minute // that is, for LongMost at that rate with some to spare
	maxAnswerStall = 250 * time.Millisecond
	maxStreamStall = 10 * time.Second // for an answer that has begun to reach the client, either way
	streamAfter    = 50 * time.Millisecond
)

// pacedConn reads from a connection with a bound on each wait, and keeps a copy of what it reads if asked to.
type pacedConn struct {
	net.Conn
	readTimeout time.Duration // 0: as long as it takes, or whatever deadline is set
	recording   bool
	recorded    []byte
}

func (p *pacedConn) Read(b []byte) (int, error) {
	if p.readTimeout > 0 {
		p.Conn.SetReadDeadline(time.Now().Add(p.readTimeout))
	}
	n, err := p.Conn.Read(b)
	if p.recording {
		p.recorded = append(p.recorded, b[:n]...)
	}
	return n, err
}
