package dnsfront

import (
	"context"
	"slices"
	"time"

	"github.com/miekg/dns"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/resend"
)

// serverTarget is a server with the sockets and connections to it. It implements core.Target.
type serverTarget struct {
	upstream *Upstream
	addr     string

	// Guarded by upstream.mu.
	sockets      []*udpSocket  // open
	conns        []*serverConn // open or being opened, and not retired
	link         *resend.Link
	serverCookie string // the server's part of its latest cookie, in hex; "" if it has sent none
	removed      bool   // whether Close was called: no socket or connection may be acquired any more
}

// upstreamQuery is the payload of a request to the event loop.
type upstreamQuery struct {
	query   *parsedQuery
	overTCP bool // for queries that must not be sent twice, as may be necessary over UDP
}

// permission reports whether something may be sent now. It is called right before sending.
type permission func(balancer.Micros) bool

// Send makes one attempt and returns its result. It implements core.Target.
func (t *serverTarget) Send(ctx context.Context, attempt core.Attempt) core.Reply {
	outgoing := attempt.Request.(*upstreamQuery)
	raw, status := t.exchange(ctx, outgoing, attempt.Begin, attempt.MayContinue)
	reply := core.Reply{Status: status, At: t.upstream.clock.Now()}
	if status != balancer.OK {
		return reply
	}
	answer, cookie, err := outgoing.query.parseAnswer(raw)
	// An answer with a cookie without the client's part that was sent is not from that server (RFC 7873, 5.3).
	if err != nil || !t.storeCookie(cookie) {
		t.upstream.counters.Mismatched.Inc()
		reply.Status = balancer.Error
		return reply
	}
	switch answer.rcode() {
	case dns.RcodeServerFailure:
		reply.Status = balancer.Error
	case dns.RcodeRefused, dns.RcodeBadCookie:
		reply.Status = balancer.Rejected // the server did not process the query
	default: // the final answer, even if it says that the name does not exist
		reply.Content = answer
	}
	return reply
}

// exchange sends a query and returns the encoded answer. It sends the query again if the server requires its new
// cookie, and over TCP if the answer is truncated. It calls begin before the query is sent first, and mayContinue
// before each further sending. If begin returns false, or mayContinue before the query with a new cookie or over TCP,
// the status is NotSent.
func (t *serverTarget) exchange(
	ctx context.Context, outgoing *upstreamQuery, begin, mayContinue permission,
) ([]byte, balancer.Status) {
	query := outgoing.query
	if outgoing.overTCP {
		return t.queryTCP(ctx, query, begin)
	}
	raw, status := t.queryUDP(ctx, query, begin, mayContinue)
	if status == balancer.OK && t.mustResendWithCookie(query, raw) {
		raw, status = t.queryUDP(ctx, query, mayContinue, mayContinue)
	}
	if status == balancer.OK && isTruncated(raw) {
		t.upstream.counters.Truncated.Inc()
		return t.queryTCP(ctx, query, mayContinue)
	}
	return raw, status
}

// Probe queries the name servers of the root zone. Any answer shows that the server is alive.
func (t *serverTarget) Probe() core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	query := &parsedQuery{msg: new(dns.Msg).SetQuestion(".", dns.TypeNS)}
	always := func(balancer.Micros) bool { return true }
	_, status := t.queryUDP(ctx, query, always, always)
	return core.Reply{Status: status, At: t.upstream.clock.Now()}
}

// Close ends the use of the server for new queries. Queries in flight continue on their sockets and connections.
func (t *serverTarget) Close() {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	t.removed = true
	for _, socket := range slices.Clone(t.sockets) {
		if socket.idle {
			t.upstream.closeSocketLocked(socket)
		}
	}
	for _, conn := range slices.Clone(t.conns) {
		conn.retireLocked()
	}
}

// CloseUnusedSince retires the connections that were last read from before the given time, so that the next query opens
// another.
func (t *serverTarget) CloseUnusedSince(before time.Time) {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	for _, conn := range slices.Clone(t.conns) {
		if conn.lastReadAt.Before(before) {
			conn.retireLocked()
		}
	}
}

// currentCookie returns the cookie for the next query to the server, in hex: the client's part and, once it is known,
// the server's part.
func (t *serverTarget) currentCookie() string {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	return t.upstream.secret.clientPart(t.addr) + t.serverCookie
}

// storeCookie stores the server's part of the cookie in an answer, and reports whether its client's part is the one
// that was sent. It accepts an answer without a cookie, since a server need not support cookies.
func (t *serverTarget) storeCookie(cookie string) bool {
	if cookie == "" {
		return true
	}
	clientPart := t.upstream.secret.clientPart(t.addr)
	if len(cookie) <= len(clientPart) || cookie[:len(clientPart)] != clientPart {
		return false
	}
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	t.serverCookie = cookie[len(clientPart):]
	return true
}

// mustResendWithCookie reports whether an encoded answer has only the server's new cookie, with which the query must be
// sent again. It stores that cookie.
func (t *serverTarget) mustResendWithCookie(query *parsedQuery, raw []byte) bool {
	if query.isPassedThrough() || headerRcode(raw) != dns.RcodeBadCookie&rcodeMask {
		return false
	}
	parsed, cookie, err := query.parseAnswer(raw)
	return err == nil && parsed.msg.Rcode == dns.RcodeBadCookie && cookie != "" && t.storeCookie(cookie)
}
