package dnsfront

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"syscall"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

const (
	socketIdleTimeout   = time.Second // counted late answers need the socket of their query
	maxQueriesPerSocket = 4096        // far below the number of IDs, so that a free one is found quickly
)

// socket is a UDP socket connected to one server: the kernel discards datagrams from elsewhere.
type socket struct {
	target *target
	conn   net.Conn
	queryTable

	// Guarded by Upstream.mu.
	queries int
	idle    bool // it has no query and is in Upstream.idleSockets
}

// queryUDP asks over UDP. It asks begin right before the query is sent, and resend before it is sent again.
func (t *target) queryUDP(ctx context.Context, q *question, begin, resend permission) ([]byte, balancer.Status) {
	s, err := t.acquireSocket()
	if err != nil {
		return nil, t.upstream.connectErrors.Status(ctx, err, t.upstream.log)
	}
	defer t.upstream.releaseSocket(s)
	p := newPending(q)
	id, err := s.add(p)
	if err != nil {
		return nil, t.upstream.connectErrors.Status(ctx, err, t.upstream.log)
	}
	defer s.remove(id)
	query, err := q.forServer(t.currentCookie())
	if err != nil || !begin(t.upstream.clock.Now()) {
		return nil, balancer.NotSent
	}
	setID(query, id)
	sentAt := time.Now()
	if _, err := s.conn.Write(query); err != nil {
		return nil, balancer.ConnectFailed // a datagram is sent completely or not at all
	}
	t.upstream.sent.Inc()
	return t.awaitDatagram(ctx, s, p, query, sentAt, resend)
}

// awaitDatagram waits for the answer to a query, and sends it again while an answer is overdue and that is allowed.
func (t *target) awaitDatagram(
	ctx context.Context, s *socket, p *pending, query []byte, sentAt time.Time, resend permission,
) ([]byte, balancer.Status) {
	for resends := 0; ; resends++ {
		var overdue <-chan time.Time
		if delay, ok := t.resendDelay(resends); ok {
			overdue = time.After(delay)
		}
		raw, status, done := p.wait(ctx, overdue)
		if done {
			if status == balancer.OK {
				t.recordAnswer(time.Since(sentAt), resends == 0)
			}
			return raw, status
		}
		if !resend(t.upstream.clock.Now()) || !t.takeResendCredit() {
			raw, status, _ := p.wait(ctx, nil)
			return raw, status
		}
		t.upstream.counters.Resent.Inc()
		_, _ = s.conn.Write(query) // a failed write is treated like a lost datagram
	}
}

func (t *target) resendDelay(resends int) (time.Duration, bool) {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	return t.link.Delay(resends)
}

func (t *target) takeResendCredit() bool {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	return t.link.TakeCredit()
}

func (t *target) recordAnswer(roundTrip time.Duration, sentOnce bool) {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	t.link.Answered(roundTrip, sentOnce)
}

// acquireSocket returns a socket of its own for a query or, where no more may be open, one shared with other
// queries to this server.
func (t *target) acquireSocket() (*socket, error) {
	u := t.upstream
	u.mu.Lock()
	if t.removed {
		u.mu.Unlock()
		return nil, core.ErrEndpointRemoved
	}
	if u.sockets >= u.maxSockets {
		if len(u.idleSockets) == 0 {
			defer u.mu.Unlock()
			return t.sharedSocketLocked()
		}
		u.closeLocked(u.idleSockets[0])
	}
	u.sockets++
	u.mu.Unlock()

	conn, err := t.dialUDP()

	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.sockets--
		return nil, err
	}
	s := &socket{target: t, conn: conn, queryTable: newQueryTable(), queries: 1}
	t.sockets = append(t.sockets, s)
	go s.read()
	return s, nil
}

// sharedSocketLocked returns one of the target's sockets that has capacity, beginning with a random one.
func (t *target) sharedSocketLocked() (*socket, error) {
	n := len(t.sockets)
	first := rand.IntN(max(1, n))
	for i := range n {
		s := t.sockets[(first+i)%n]
		if s.queries < maxQueriesPerSocket {
			s.queries++
			t.upstream.counters.SocketsShared.Inc()
			return s, nil
		}
	}
	return nil, core.ErrConnectionsExhausted
}

// dialUDP opens a socket to the server, without a resolver where the address is numeric.
func (t *target) dialUDP() (net.Conn, error) {
	if at, err := netip.ParseAddrPort(t.addr); err == nil {
		return net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(at))
	}
	return t.upstream.dial(context.Background(), "udp", t.addr)
}

// releaseSocket takes a query off its socket. After the last one the socket stays open for a while, unless sockets
// are scarce.
func (u *Upstream) releaseSocket(s *socket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	s.queries--
	if s.queries > 0 {
		return
	}
	if s.target.removed || len(u.idleSockets) >= u.maxSockets/2 || u.sockets > u.maxSockets {
		u.closeLocked(s)
		return
	}
	s.idle = true
	u.idleSockets = append(u.idleSockets, s)
	_ = s.conn.SetReadDeadline(time.Now().Add(socketIdleTimeout)) // fails only once closed
}

// closeLocked closes a socket without queries, if it is not closed yet.
func (u *Upstream) closeLocked(s *socket) {
	i := slices.Index(s.target.sockets, s)
	if i < 0 {
		return
	}
	s.target.sockets = slices.Delete(s.target.sockets, i, i+1)
	if s.idle {
		u.idleSockets = slices.DeleteFunc(u.idleSockets, func(o *socket) bool { return o == s })
	}
	u.sockets--
	s.conn.Close()
}

// read delivers messages until the socket is closed.
func (s *socket) read() {
	buf := make([]byte, maxUDPSize+1) // no server was offered more: a longer message is cut, and discarded as malformed
	for {
		n, err := s.conn.Read(buf)
		switch {
		case err == nil:
			s.deliver(buf[:n], s.target.upstream.counters)
		case errors.Is(err, syscall.ECONNREFUSED):
			s.failOpen(err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			// A deadline is set only when the socket becomes idle, and an idle socket is not used again.
			s.target.upstream.mu.Lock()
			s.target.upstream.closeLocked(s)
			s.target.upstream.mu.Unlock()
			return
		default:
			s.close(err)
			return
		}
	}
}
