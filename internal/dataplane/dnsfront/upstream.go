package dnsfront

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"errors"
	"log/slog"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/miekg/dns"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/resend"
	"birchmoor/internal/platform/metrics"
)

const probeTimeout = 250 * time.Millisecond

// upstreamQuery is a query on its way to a server.
type upstreamQuery struct {
	question   *question
	tcp bool // from the beginning: over UDP it might have to be sent twice
}

// Upstream asks servers. Over UDP each query has an id and, while there are sockets, a port of its own, drawn at random;
// an answer counts if it comes from the server asked, to that port, with that id and question. One that says that it is
// truncated is asked for again over TCP from the same server, as a part of the same attempt. Over TCP queries share
// connections and are answered in any order (RFC 7766).
//
// It is the core's Transport. Its methods may be called from any goroutine.
type Upstream struct {
	clock  core.Clock
	log    *slog.Logger
	counters *Counters
	sent  *metrics.Counter
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	secret *cookieSecret
	settings      *Settings
	connectErrors core.ConnectErrors

	mu          sync.Mutex
	maxSockets int
	sockets     int                  // open or being opened
	idleSockets     []*socket            // without a query, the oldest first
	conns     map[*serverConn]struct{} // being opened or open
}

// server is where one server listens. What it has open is its own.
type server struct {
	upstream   *Upstream
	addr string

	// Guarded by up.mu.
	sockets []*socket
	conns []*serverConn
	link    *resend.Link
	cookie  string // the server's part, in hex
	removed    bool
}

// pending is a query that waits for its answer.
type pending struct {
	question    *question
	answer  chan []byte // holds the one answer
	answered bool        // it is there
	failure chan error  // or why none can come
}

func newPending(q *question) *pending {
	return &pending{question: q, answer: make(chan []byte, 1), failure: make(chan error, 1)}
}

// fail tells once that no answer can come.
func (p *pending) fail(err error) {
	select {
	case p.failure <- err:
	default:
	}
}

// queryTable is the queries that share a socket or a connection, by their ids.
type queryTable struct {
	mu    sync.Mutex
	open  map[uint16]*pending
	closedErr error // nothing more is taken
}

// add gives a query an id that no other has.
func (t *queryTable) add(p *pending) (uint16, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closedErr != nil {
		return 0, t.closedErr
	}
	for {
		id := randomID()
		if t.open[id] == nil {
			t.open[id] = p
			return id, nil
		}
	}
}

func (t *queryTable) remove(id uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// failAll tells all that wait that nothing comes.
func (t *queryTable) failAll(err error, forGood bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if forGood {
		t.closedErr = err
	}
	for _, p := range t.open {
		p.fail(err)
	}
}

// deliver looks whom a message is for. Whatever it is not is counted, and is no outcome for anybody.
func (t *queryTable) deliver(raw []byte, c *Counters) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(raw) < headerSize {
		c.Mismatched.Inc()
		return
	}
	p := t.open[binary.BigEndian.Uint16(raw)]
	switch {
	case p == nil:
		c.UnknownID.Inc()
	case !p.question.isAnsweredBy(raw):
		c.Mismatched.Inc()
	case p.answered:
		c.Duplicate.Inc()
	default:
		p.answered = true
		p.answer <- append([]byte(nil), raw...) // room for one
	}
}

// randomID returns a random id that nobody can foretell.
func randomID() uint16 {
	var b [2]byte
	rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint16(b[:])
}

func newUpstream(c *config.Config, s *Settings, clk core.Clock, counts *Counters, sends *metrics.Counter, log *slog.Logger) *Upstream {
	u := &Upstream{clock: clk, log: log, counters: counts, sent: sends, secret: new(cookieSecret), settings: s, maxSockets: s.MaxSockets,
		conns: map[*serverConn]struct{}{}}
	rand.Read(u.secret[:])
	most := time.Duration(c.Settings.Limits.DialTimeout) * time.Microsecond
	if most <= 0 {
		most = probeTimeout * dialTimeoutDivisor
	}
	u.dial = (&net.Dialer{Timeout: most / dialTimeoutDivisor}).DialContext
	return u
}

// dialTimeoutDivisor is the part of the dial time-out that a connection is waited for, as for HTTP: a machine that takes longer is
// cut off or gone, and the query may still be in time elsewhere.
const dialTimeoutDivisor = 4

// Target returns a server without sockets.
func (u *Upstream) Target(addr string) core.Target {
	return &server{upstream: u, addr: addr, link: resend.New()}
}

// SetConfig does nothing: what concerns servers is not in the settings.
func (u *Upstream) SetConfig(*config.Config) {}

// AcceptsLateReplies says that a late answer is waited for: that holds no more than a port.
func (u *Upstream) AcceptsLateReplies() bool { return true }

// Maintain closes what rests once ctx ends; until then everything closes by itself.
func (u *Upstream) Maintain(ctx context.Context) {
	<-ctx.Done()
	u.mu.Lock()
	defer u.mu.Unlock()
	for len(u.idleSockets) > 0 {
		u.closeLocked(u.idleSockets[0])
	}
	for s := range u.conns {
		s.retireLocked()
	}
}

// SetCapacityShare sets the part of the limits that is for this process.
func (u *Upstream) SetCapacityShare(_ *config.Config, part float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxSockets = max(1, int(float64(u.settings.MaxSockets)*part))
	for len(u.idleSockets) > 0 && u.sockets > u.maxSockets {
		u.closeLocked(u.idleSockets[0])
	}
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

// wait waits for the answer to a query that is out, and says whether its wait is over; if not, it is late.
func (p *pending) wait(ctx context.Context, late <-chan time.Time) (raw []byte, status balancer.Status, over bool) {
	select {
	case raw := <-p.answer:
		return raw, balancer.OK, true
	case err := <-p.failure:
		if errors.Is(err, syscall.ECONNREFUSED) {
			return nil, balancer.ConnectFailed, true // nobody listens: it never ran
		}
		return nil, balancer.Reset, true
	case <-ctx.Done():
		return nil, balancer.Cancelled, true
	case <-late:
		return nil, balancer.NotSent, false
	}
}
