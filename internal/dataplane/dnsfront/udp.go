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
	socketIdleTimeout   = time.Second // late answers can be counted only while the socket of their query is open
	maxQueriesPerSocket = 4096        // far below the number of IDs, so that a free ID is found quickly
)

// udpSocket is a UDP socket that is connected to one server: the kernel discards datagrams from other addresses.
type udpSocket struct {
	target *serverTarget
	conn   net.Conn
	queryTable

	// Guarded by Upstream.mu.
	queries int  // queries that have acquired the socket
	idle    bool // whether it has no query and is in Upstream.idleSockets
}

// queryUDP sends a query over UDP and returns the encoded answer. It calls begin right before the query is sent, and
// mayResend before each resend; the query is only sent if they return true.
func (t *serverTarget) queryUDP(
	ctx context.Context, query *parsedQuery, begin, mayResend permission,
) ([]byte, balancer.Status) {
	socket, err := t.acquireSocket()
	if err != nil {
		return nil, t.upstream.connectErrors.Status(ctx, err, t.upstream.log)
	}
	defer t.upstream.releaseSocket(socket)
	pending := newPendingQuery(query)
	id, err := socket.add(pending)
	if err != nil {
		return nil, t.upstream.connectErrors.Status(ctx, err, t.upstream.log)
	}
	defer socket.remove(id)
	message, err := query.packForServer(t.currentCookie())
	if err != nil || !begin(t.upstream.clock.Now()) {
		return nil, balancer.NotSent
	}
	setID(message, id)
	sentAt := time.Now()
	if _, err := socket.conn.Write(message); err != nil {
		return nil, balancer.ConnectFailed // a datagram is sent completely or not at all
	}
	t.upstream.attemptsSent.Inc()
	return t.awaitDatagram(ctx, socket, pending, message, sentAt, mayResend)
}

// awaitDatagram waits for the answer to a query that was sent as message. Each time the answer is overdue, it sends
// message again, if mayResend and the resend budget of the server allow it.
func (t *serverTarget) awaitDatagram(
	ctx context.Context, socket *udpSocket, pending *pendingQuery,
	message []byte, sentAt time.Time, mayResend permission,
) ([]byte, balancer.Status) {
	for resends := 0; ; resends++ {
		var overdue <-chan time.Time
		if delay, ok := t.resendDelay(resends); ok {
			overdue = time.After(delay)
		}
		raw, status, done := pending.wait(ctx, overdue)
		if done {
			if status == balancer.OK {
				t.recordAnswer(time.Since(sentAt), resends == 0)
			}
			return raw, status
		}
		if !mayResend(t.upstream.clock.Now()) || !t.takeResendCredit() {
			raw, status, _ := pending.wait(ctx, nil)
			return raw, status
		}
		t.upstream.counters.Resent.Inc()
		_, _ = socket.conn.Write(message) // a failed write is treated like a lost datagram
	}
}

func (t *serverTarget) resendDelay(resends int) (time.Duration, bool) {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	return t.link.Delay(resends)
}

func (t *serverTarget) takeResendCredit() bool {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	return t.link.TakeCredit()
}

func (t *serverTarget) recordAnswer(roundTrip time.Duration, sentOnce bool) {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	t.link.Answered(roundTrip, sentOnce)
}

// acquireSocket returns a new socket for a query. If no more sockets may be open, even after closing an idle one, it
// returns a socket that is shared with other queries to this server.
func (t *serverTarget) acquireSocket() (*udpSocket, error) {
	upstream := t.upstream
	upstream.mu.Lock()
	if t.removed {
		upstream.mu.Unlock()
		return nil, core.ErrEndpointRemoved
	}
	if upstream.openSockets >= upstream.maxSockets {
		if len(upstream.idleSockets) == 0 {
			defer upstream.mu.Unlock()
			return t.sharedSocketLocked()
		}
		upstream.closeSocketLocked(upstream.idleSockets[0])
	}
	upstream.openSockets++
	upstream.mu.Unlock()

	conn, err := t.dialUDP()

	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if err != nil {
		upstream.openSockets--
		return nil, err
	}
	socket := &udpSocket{target: t, conn: conn, queryTable: newQueryTable(), queries: 1}
	t.sockets = append(t.sockets, socket)
	go socket.read()
	return socket, nil
}

// sharedSocketLocked returns a socket to this server that has capacity for another query. It tries them in order, from
// a random one on.
func (t *serverTarget) sharedSocketLocked() (*udpSocket, error) {
	count := len(t.sockets)
	first := rand.IntN(max(1, count))
	for i := range count {
		socket := t.sockets[(first+i)%count]
		if socket.queries < maxQueriesPerSocket {
			socket.queries++
			t.upstream.counters.SocketsShared.Inc()
			return socket, nil
		}
	}
	return nil, core.ErrConnectionsExhausted
}

// dialUDP opens a socket to the server. A numeric address needs no resolver.
func (t *serverTarget) dialUDP() (net.Conn, error) {
	if addr, err := netip.ParseAddrPort(t.addr); err == nil {
		return net.DialUDP("udp", nil, net.UDPAddrFromAddrPort(addr))
	}
	return t.upstream.dial(context.Background(), "udp", t.addr)
}

// releaseSocket ends the use of a socket by a query. After its last query the socket stays open for socketIdleTimeout,
// unless the server was removed or sockets are scarce.
func (u *Upstream) releaseSocket(socket *udpSocket) {
	u.mu.Lock()
	defer u.mu.Unlock()
	socket.queries--
	if socket.queries > 0 {
		return
	}
	if socket.target.removed || len(u.idleSockets) >= u.maxSockets/2 || u.openSockets > u.maxSockets {
		u.closeSocketLocked(socket)
		return
	}
	socket.idle = true
	u.idleSockets = append(u.idleSockets, socket)
	_ = socket.conn.SetReadDeadline(time.Now().Add(socketIdleTimeout)) // fails only for a closed socket
}

// closeSocketLocked closes a socket without queries. Further calls do nothing.
func (u *Upstream) closeSocketLocked(socket *udpSocket) {
	index := slices.Index(socket.target.sockets, socket)
	if index < 0 {
		return
	}
	socket.target.sockets = slices.Delete(socket.target.sockets, index, index+1)
	if socket.idle {
		u.idleSockets = slices.DeleteFunc(u.idleSockets, func(other *udpSocket) bool { return other == socket })
	}
	u.openSockets--
	socket.conn.Close()
}

// read delivers received messages until the socket is closed.
func (s *udpSocket) read() {
	// Queries offer maxUDPSize to servers, except for those that are passed through. A longer message is cut. It can
	// then not be parsed, unless it is passed through without parsing.
	buf := make([]byte, maxUDPSize+1)
	for {
		size, err := s.conn.Read(buf)
		switch {
		case err == nil:
			s.deliver(buf[:size], s.target.upstream.counters)
		case errors.Is(err, syscall.ECONNREFUSED):
			s.failOpen(err)
		case errors.Is(err, os.ErrDeadlineExceeded):
			// Only idle sockets have a deadline, and an idle socket is not used for another query.
			s.target.upstream.mu.Lock()
			s.target.upstream.closeSocketLocked(s)
			s.target.upstream.mu.Unlock()
			return
		default:
			s.close(err)
			return
		}
	}
}
