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

// target is one server, with its open sockets and connections.
type target struct {
	upstream *Upstream
	addr     string

	// Guarded by upstream.mu.
	sockets []*socket
	conns   []*serverConn
	link    *resend.Link
	cookie  string // the server's part, in hex
	removed bool
}

// upstreamQuery is a query on its way to a server.
type upstreamQuery struct {
	question *question
	tcp      bool // from the beginning, since over UDP it might have to be sent twice
}

// permission asks right before something is sent whether that is still allowed at that time.
type permission func(balancer.Micros) bool

// Send makes one attempt.
func (t *target) Send(ctx context.Context, attempt core.Attempt) core.Reply {
	query := attempt.Request.(*upstreamQuery)
	raw, status := t.exchange(ctx, query, attempt.Begin, attempt.MayContinue)
	reply := core.Reply{Status: status, At: t.upstream.clock.Now()}
	if status != balancer.OK {
		return reply
	}
	a, cookie, err := query.question.readAnswer(raw)
	// A server that does not return our part of the cookie is not the one that it was sent to (RFC 7873, 5.3).
	if err != nil || !t.storeCookie(cookie) {
		t.upstream.counters.Mismatched.Inc()
		reply.Status = balancer.Error
		return reply
	}
	switch a.rcode() {
	case dns.RcodeServerFailure:
		reply.Status = balancer.Error
	case dns.RcodeRefused, dns.RcodeBadCookie:
		reply.Status = balancer.Rejected // the server did nothing for the query
	default: // an answer, even if it says that the name does not exist
		reply.Content = a
	}
	return reply
}

// exchange sends a query, again with the server's cookie if it asks for that, and over TCP if the answer is
// truncated.
func (t *target) exchange(
	ctx context.Context, query *upstreamQuery, begin, proceed permission,
) ([]byte, balancer.Status) {
	q := query.question
	if query.tcp {
		return t.queryTCP(ctx, q, begin)
	}
	raw, status := t.queryUDP(ctx, q, begin, proceed)
	if status == balancer.OK && t.mustResendWithCookie(q, raw) {
		raw, status = t.queryUDP(ctx, q, proceed, proceed)
	}
	if status == balancer.OK && isTruncated(raw) {
		t.upstream.counters.Truncated.Inc()
		return t.queryTCP(ctx, q, proceed)
	}
	return raw, status
}

// Probe asks for the name servers of the root. Any answer shows that the server is alive.
func (t *target) Probe() core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q := &question{msg: new(dns.Msg).SetQuestion(".", dns.TypeNS)}
	always := func(balancer.Micros) bool { return true }
	_, status := t.queryUDP(ctx, q, always, always)
	return core.Reply{Status: status, At: t.upstream.clock.Now()}
}

// Close ends the use of a server. Queries in flight go on.
func (t *target) Close() {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	t.removed = true
	for _, s := range slices.Clone(t.sockets) {
		if s.idle {
			t.upstream.closeLocked(s)
		}
	}
	for _, c := range slices.Clone(t.conns) {
		c.retireLocked()
	}
}

// CloseUnusedSince retires the connections on which nothing was received since before: the next query opens another.
func (t *target) CloseUnusedSince(before time.Time) {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	for _, c := range slices.Clone(t.conns) {
		if c.lastReadAt.Before(before) {
			c.retireLocked()
		}
	}
}

// currentCookie returns the cookie for the next query to the server: the client's part and, once known, the server's.
func (t *target) currentCookie() string {
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	return t.upstream.secret.clientPart(t.addr) + t.cookie
}

// storeCookie stores the server's part of an answer's cookie, and reports whether the client's part is the one that
// was sent. A server need not support cookies.
func (t *target) storeCookie(cookie string) bool {
	if cookie == "" {
		return true
	}
	clientPart := t.upstream.secret.clientPart(t.addr)
	if len(cookie) <= len(clientPart) || cookie[:len(clientPart)] != clientPart {
		return false
	}
	t.upstream.mu.Lock()
	defer t.upstream.mu.Unlock()
	t.cookie = cookie[len(clientPart):]
	return true
}

// mustResendWithCookie reports whether a server only gave its new cookie, and expects the query again with that.
func (t *target) mustResendWithCookie(q *question, raw []byte) bool {
	if q.isPassedThrough() || headerRcode(raw) != dns.RcodeBadCookie&rcodeMask {
		return false
	}
	a, cookie, err := q.readAnswer(raw)
	return err == nil && a.msg.Rcode == dns.RcodeBadCookie && cookie != "" && t.storeCookie(cookie)
}
