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
	restTime   = time.Second // a socket stays open after its last query, so that late answers are seen and counted
	socketMost = 4096        // queries on one socket, far under the number of ids
)

// socket is a UDP socket connected to one server: the kernel lets nothing through from elsewhere.
type socket struct {
	to   *resolver
	conn net.Conn
	table
	load  int  // queries that have it; guarded by up.mu
	rests bool // and it is in up.resting
}

// datagram asks over UDP. may is asked right before the query goes out, more before it goes out again.
func (r *resolver) datagram(ctx context.Context, q *question, may, more func(balancer.Micros) bool) ([]byte, balancer.Status) {
	s, err := r.socket()
	if err != nil {
		return nil, r.up.unsent.Status(ctx, err, r.up.log)
	}
	defer r.up.rest(s)
	p := newPending(q)
	id, err := s.add(p)
	if err != nil {
		return nil, r.up.unsent.Status(ctx, err, r.up.log)
	}
	defer s.drop(id)
	query, err := q.onward(r.cookieNow())
	if err != nil || !may(r.up.clock.Now()) {
		return nil, balancer.NotSent
	}
	query[0], query[1] = byte(id>>8), byte(id)
	begun := time.Now()
	if _, err := s.conn.Write(query); err != nil {
		return nil, balancer.ConnectFailed // a datagram goes whole or not at all
	}
	r.up.sends.Inc()
	for n := 0; ; n++ {
		wait, again := r.waitFor(n)
		var late <-chan time.Time
		if again {
			late = time.After(wait)
		}
		raw, status, over := p.wait(ctx, late)
		if over {
			if status == balancer.OK {
				r.answered(time.Since(begun), n == 0)
			}
			return raw, status
		}
		if !more(r.up.clock.Now()) || !r.mayResend() {
			raw, status, _ := p.wait(ctx, nil)
			return raw, status
		}
		r.up.counts.Resent.Inc()
		s.conn.Write(query) // as good as lost if it fails
	}
}

// waitFor, mayResend and answered ask and tell what is known of the way to the server.
func (r *resolver) waitFor(n int) (time.Duration, bool) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	return r.link.Wait(n)
}

func (r *resolver) mayResend() bool {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	return r.link.Take()
}

func (r *resolver) answered(trip time.Duration, once bool) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	r.link.Answered(trip, once)
}

// socket returns a socket of its own for a query or, where there are no more, one that others of this server share.
func (r *resolver) socket() (*socket, error) {
	u := r.up
	u.mu.Lock()
	switch {
	case r.gone:
		u.mu.Unlock()
		return nil, core.ErrEndpointRemoved
	case u.sockets < u.socketsMost:
	case len(u.resting) > 0:
		u.closeLocked(u.resting[0])
	default:
		shared := (*socket)(nil)
		n := len(r.sockets)
		from := rand.IntN(max(1, n))
		for i := range n { // from a place drawn at random on
			if s := r.sockets[(from+i)%n]; s.load < socketMost {
				shared = s
				break
			}
		}
		if shared != nil {
			shared.load++
			u.counts.Shared.Inc()
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
	s := &socket{to: r, conn: conn, table: table{open: map[uint16]*pending{}}, load: 1}
	r.sockets = append(r.sockets, s)
	go s.read()
	return s, nil
}

// dialUDP opens a socket to the server, at once where its address needs no looking up.
func (r *resolver) dialUDP() (net.Conn, error) {
	if at, err := netip.ParseAddrPort(r.addr); err == nil {
		return net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(at))
	}
	return r.up.dial(context.Background(), "udp", r.addr)
}

// rest takes a query off its socket. The last one leaves it open for a while, unless sockets are short.
func (u *Upstream) rest(s *socket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if s.load--; s.load > 0 {
		return
	}
	if s.to.gone || len(u.resting) >= u.socketsMost/2 || u.sockets > u.socketsMost {
		u.closeLocked(s)
		return
	}
	s.rests = true
	u.resting = append(u.resting, s)
	s.conn.SetReadDeadline(time.Now().Add(restTime))
}

// closeLocked closes a socket that has no query. It may have been closed before.
func (u *Upstream) closeLocked(s *socket) {
	i := slices.Index(s.to.sockets, s)
	if i < 0 {
		return
	}
	s.to.sockets = slices.Delete(s.to.sockets, i, i+1)
	if s.rests {
		u.resting = slices.DeleteFunc(u.resting, func(o *socket) bool { return o == s })
	}
	u.sockets--
	s.conn.Close()
}

// read passes on what comes until the socket is closed.
func (s *socket) read() {
	buf := make([]byte, udpMost+1) // what is longer is not what we asked for, and is cut and passed over as malformed
	for {
		n, err := s.conn.Read(buf)
		switch {
		case err == nil:
			s.take(buf[:n], s.to.up.counts)
		case errors.Is(err, syscall.ECONNREFUSED):
			s.end(err, false)
		case errors.Is(err, os.ErrDeadlineExceeded):
			s.to.up.mu.Lock()
			s.to.up.closeLocked(s) // a deadline is set only once it rests, and for good
			s.to.up.mu.Unlock()
			return
		default:
			s.end(err, true)
			return
		}
	}
}
