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

// server is where one server listens. What it has open is its own.
type server struct {
	upstream *Upstream
	addr     string

	// Guarded by up.mu.
	sockets []*socket
	conns   []*serverConn
	link    *resend.Link
	cookie  string // the server's part, in hex
	removed bool
}

// upstreamQuery is a query on its way to a server.
type upstreamQuery struct {
	question *question
	tcp      bool // from the beginning: over UDP it might have to be sent twice
}

// Send makes one attempt.
func (r *server) Send(ctx context.Context, o core.Attempt) core.Reply {
	req := o.Request.(*upstreamQuery)
	var raw []byte
	var status balancer.Status
	if req.tcp {
		raw, status = r.queryTCP(ctx, req.question, o.Begin)
	} else {
		if raw, status = r.queryUDP(ctx, req.question, o.Begin, o.MayContinue); status == balancer.OK && r.mustResendWithCookie(req.question, raw) {
			raw, status = r.queryUDP(ctx, req.question, o.MayContinue, o.MayContinue)
		}
		if status == balancer.OK && isTruncated(raw) {
			r.upstream.counters.Truncated.Inc()
			raw, status = r.queryTCP(ctx, req.question, o.MayContinue)
		}
	}
	reply := core.Reply{Status: status, At: r.upstream.clock.Now()}
	if status != balancer.OK {
		return reply
	}
	a, cookie, err := req.question.readAnswer(raw)
	if err != nil {
		r.upstream.counters.Mismatched.Inc()
		reply.Status = balancer.Error
		return reply
	}
	if !r.storeCookie(cookie) {
		// Who does not know the cookie that we sent is not whom we sent it to (RFC 7873, 5.3).
		r.upstream.counters.Mismatched.Inc()
		reply.Status = balancer.Error
		return reply
	}
	rcode := int(raw[3] & 0xf)
	if a.msg != nil {
		rcode = a.msg.Rcode
	}
	switch rcode {
	case dns.RcodeServerFailure:
		reply.Status = balancer.Error
	case dns.RcodeRefused, dns.RcodeBadCookie:
		reply.Status = balancer.Rejected // turned away: it did nothing for the query
	default: // that a name does not exist is an answer
		reply.Content = a
	}
	return reply
}

// Probe asks for the root's servers: whatever a server says of that, it lives.
func (r *server) Probe() core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	q := &question{msg: new(dns.Msg).SetQuestion(".", dns.TypeNS)}
	always := func(balancer.Micros) bool { return true }
	_, status := r.queryUDP(ctx, q, always, always)
	return core.Reply{Status: status, At: r.upstream.clock.Now()}
}

// Close ends the use of a server. What is out there goes on.
func (r *server) Close() {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	r.removed = true
	for _, s := range slices.Clone(r.sockets) {
		if s.idle {
			r.upstream.closeLocked(s)
		}
	}
	for _, s := range slices.Clone(r.conns) {
		s.retireLocked()
	}
}

// CloseUnusedSince gives up connections on which nothing has come since an instant: the next query opens another.
func (r *server) CloseUnusedSince(before time.Time) {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	for _, s := range slices.Clone(r.conns) {
		if s.lastReadAt.Before(before) {
			s.retireLocked()
		}
	}
}

// currentCookie is the cookie for the next query to a server: our part and, once it told, its own.
func (r *server) currentCookie() string {
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	return r.upstream.secret.clientPart(r.addr) + r.cookie
}

// storeCookie takes the cookie of an answer, and says whether it may be the server's.
func (r *server) storeCookie(cookie string) bool {
	mine := r.upstream.secret.clientPart(r.addr)
	if cookie == "" {
		return true // a server need not know cookies
	}
	if len(cookie) <= len(mine) || cookie[:len(mine)] != mine {
		return false
	}
	r.upstream.mu.Lock()
	defer r.upstream.mu.Unlock()
	r.cookie = cookie[len(mine):]
	return true
}

// mustResendWithCookie says whether a server did nothing but tell its new cookie: the query is to go again with that.
func (r *server) mustResendWithCookie(q *question, raw []byte) bool {
	if q.isPassedThrough() || raw[3]&0xf != dns.RcodeBadCookie&0xf {
		return false
	}
	a, cookie, err := q.readAnswer(raw)
	return err == nil && a.msg.Rcode == dns.RcodeBadCookie && cookie != "" && r.storeCookie(cookie)
}
