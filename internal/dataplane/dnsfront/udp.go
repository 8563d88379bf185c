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
	socketIdleTimeout   = time.Second // a socket stays open after its last query, so that late answers are seen and counted
	maxQueriesPerSocket = 4096        // queries on one socket, far under the number of ids
)

// socket is a UDP socket connected to one server: the kernel lets nothing through from elsewhere.
type socket struct {
	server *server
	conn   net.Conn
	queryTable
	queries int  // queries that have it; guarded by up.mu
	idle    bool // and it is in up.resting
}

// queryUDP asks over UDP. may is asked right before the query goes out, more before it goes out again.
func (r *server) queryUDP(ctx context.Context, q *question, may, more func(balancer.Micros) bool) ([]byte, balancer.Status) {
	s, err := r.acquireSocket()
	if err != nil {
		return nil, r.upstream.connectErrors.Status(ctx, err, r.upstream.log)
	}
	defer r.upstream.releaseSocket(s)
	p := newPending(q)
	id, err := s.add(p)
	if err != nil {
		return nil, r.upstream.connectErrors.Status(ctx, err, r.upstream.log)
	}
	defer s.remove(id)
	query, err := q.forServer(r.currentCookie())
	if err != nil || !may(r.upstream.clock.Now()) {
		return nil, balancer.NotSent
	}
	query[0], query[1] = byte(id>>8), byte(id)
	begun := time.Now()
	if _, err := s.conn.Write(query); err != nil {
		return nil, balancer.ConnectFailed // a datagram goes whole or not at all
	}
	r.upstream.sent.Inc()
	for n := 0; ; n++ {
		wait, again := r.resendDelay(n)
		var late <-chan time.Time
		if again {
			late = time.After(wait)
		}
		raw, status, over := p.wait(ctx, late)
		if over {
			if status == balancer.OK {
				r.recordAnswer(time.Since(begun), n == 0)
			}
			return raw, status
		}
		if !more(r.upstream.clock.Now()) || !r.takeResendCredit() {
			raw, status, _ := p.wait(ctx, nil)
			return raw, status
		}
		r.upstream.counters.Resent.Inc()
		s.conn.Write(query) // as good as lost if it fails
	}
}

// resendDelay, mayResend and answered ask and tell what is known of the way to the server.
func (r *server) resendDelay(n int) (time.Duration, bool) {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	return r.link.Delay(n)
}

func (r *server) takeResendCredit() bool {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	return r.link.TakeCredit()
}

func (r *server) recordAnswer(trip time.Duration, once bool) {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	r.link.Answered(trip, once)
}

// acquireSocket returns a socket of its own for a query or, where there are no more, one that others of this server share.
func (r *server) acquireSocket() (*socket, error) {
	u := r.upstream
	u.mu.Lock()
	switch {
	case r.removed:
		u.mu.Unlock()
		return nil, core.ErrEndpointRemoved
	case u.sockets < u.maxSockets:
	case len(u.idleSockets) > 0:
		u.closeLocked(u.idleSockets[0])
	default:
		shared := (*socket)(nil)
		n := len(r.sockets)
		from := rand.IntN(max(1, n))
		for i := range n { // from a place drawn at random on
			if s := r.sockets[(from+i)%n]; s.queries < maxQueriesPerSocket {
				shared = s
				break
			}
		}
		if shared != nil {
			shared.queries++
			u.counters.SocketsShared.Inc()
		}
		u.mu.Unlock()
		if shared == nil {
			return nil, core.ErrConnectionsExhausted
		}
		return shared, nil
	}
	u.sockets++
	u.mu.Unlock()
	conn, err := r.dialUDP()
	u.mu.Lock()
	defer u.mu.Unlock()
	if err != nil {
		u.sockets--
		return nil, err
	}
	s := &socket{server: r, conn: conn, queryTable: queryTable{open: map[uint16]*pending{}}, queries: 1}
	r.sockets = append(r.sockets, s)
	go s.read()
	return s, nil
}

// dialUDP opens a socket to the server, at once where its address needs no looking up.
func (r *server) dialUDP() (net.Conn, error) {
	if at, err := netip.ParseAddrPort(r.addr); err == nil {
		return net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(at))
	}
	return r.upstream.dial(context.Background(), "udp", r.addr)
}

// releaseSocket takes a query off its socket. The last one leaves it open for a while, unless sockets are short.
func (u *Upstream) releaseSocket(s *socket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s.queries--; s.queries > 0 {
		return
	}
	if s.server.removed || len(u.idleSockets) >= u.maxSockets/2 || u.sockets > u.maxSockets {
		u.closeLocked(s)
		return
	}
	s.idle = true
	u.idleSockets = append(u.idleSockets, s)
	s.conn.SetReadDeadline(time.Now().Add(socketIdleTimeout))
}

// closeLocked closes a socket that has no query. It may have been closed before.
func (u *Upstream) closeLocked(s *socket) {
	i := slices.Index(s.server.sockets, s)
	if i < 0 {
		return
	}
	s.server.sockets = slices.Delete(s.server.sockets, i, i+1)
	if s.idle {
		u.idleSockets = slices.DeleteFunc(u.idleSockets, func(o *socket) bool { return o == s })
	}
	u.sockets--
	s.conn.Close()
}

// read passes on what comes until the socket is closed.
func (s *socket) read() {
	buf := make([]byte, maxUDPSize+1) // what is longer is not what we asked for, and is cut and passed over as malformed
	for {
		n, err := s.conn.Read(buf)
		switch {
		case err == nil:
			s.deliver(buf[:n], s.server.upstream.counters)
		case errors.Is(err, syscall.ECONNREFUSED):
			s.failAll(err, false)
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.server.upstream.mu.Lock()
			s.server.upstream.closeLocked(s) // a deadline is set only once it rests, and for good
			s.server.upstream.mu.Unlock()
			return
		default:
			s.failAll(err, true)
			return
		}
	}
}
