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

const probeTime = 250 * time.Millisecond

// request is a query on its way to a server.
type request struct {
	q   *question
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
	counts *Counts
	sends  *metrics.Counter
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	secret *secret
	s      *Settings
	unsent core.ConnectErrors

	mu          sync.Mutex
	socketsMost int
	sockets     int                  // open or being opened
	resting     []*socket            // without a query, the oldest first
	streams     map[*stream]struct{} // being opened or open
}

// resolver is where one server listens. What it has open is its own.
type resolver struct {
	up   *Upstream
	addr string

	// Guarded by up.mu.
	sockets []*socket
	streams []*stream
	link    *resend.Link
	cookie  string // the server's part, in hex
	gone    bool
}

// pending is a query that waits for its answer.
type pending struct {
	q    *question
	got  chan []byte // holds the one answer
	done bool        // it is there
	lost chan error  // or why none can come
}

func newPending(q *question) *pending {
	return &pending{q: q, got: make(chan []byte, 1), lost: make(chan error, 1)}
}

// fail tells once that no answer can come.
func (p *pending) fail(err error) {
	select {
	case p.lost <- err:
	default:
	}
}

// table is the queries that share a socket or a connection, by their ids.
type table struct {
	mu    sync.Mutex
	open  map[uint16]*pending
	ended error // nothing more is taken
}

// add gives a query an id that no other has.
func (t *table) add(p *pending) (uint16, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ended != nil {
		return 0, t.ended
	}
	for {
		id := draw()
		if t.open[id] == nil {
			t.open[id] = p
			return id, nil
		}
	}
}

func (t *table) drop(id uint16) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.open, id)
}

// end tells all that wait that nothing comes.
func (t *table) end(err error, forGood bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if forGood {
		t.ended = err
	}
	for _, p := range t.open {
		p.fail(err)
	}
}

// take looks whom a message is for. Whatever it is not is counted, and is no outcome for anybody.
func (t *table) take(raw []byte, c *Counts) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(raw) < headerSize {
		c.Mismatched.Inc()
		return
	}
	p := t.open[binary.BigEndian.Uint16(raw)]
	switch {
	case p == nil:
		c.Unasked.Inc()
	case !p.q.answers(raw):
		c.Mismatched.Inc()
	case p.done:
		c.Doubled.Inc()
	default:
		p.done = true
		p.got <- append([]byte(nil), raw...) // room for one
	}
}

// draw returns a random id that nobody can foretell.
func draw() uint16 {
	var b [2]byte
	rand.Read(b[:]) // never fails
	return binary.BigEndian.Uint16(b[:])
}

func newUpstream(c *config.Config, s *Settings, clk core.Clock, counts *Counts, sends *metrics.Counter, log *slog.Logger) *Upstream {
	u := &Upstream{clock: clk, log: log, counts: counts, sends: sends, secret: new(secret), s: s, socketsMost: s.Sockets,
		streams: map[*stream]struct{}{}}
	rand.Read(u.secret[:])
	most := time.Duration(c.Settings.Limits.DialTimeout) * time.Microsecond
	if most <= 0 {
		most = probeTime * dialParts
	}
	u.dial = (&net.Dialer{Timeout: most / dialParts}).DialContext
	return u
}

// dialParts is the part of the dial time-out that a connection is waited for, as for HTTP: a machine that takes longer is
// cut off or gone, and the query may still be in time elsewhere.
const dialParts = 4

// Target returns a server without sockets.
func (u *Upstream) Target(addr string) core.Target {
	return &resolver{up: u, addr: addr, link: resend.New()}
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
	for len(u.resting) > 0 {
		u.closeLocked(u.resting[0])
	}
	for s := range u.streams {
		s.retireLocked()
	}
}

// SetCapacityShare sets the part of the limits that is for this process.
func (u *Upstream) SetCapacityShare(_ *config.Config, part float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.socketsMost = max(1, int(float64(u.s.Sockets)*part))
	for len(u.resting) > 0 && u.sockets > u.socketsMost {
		u.closeLocked(u.resting[0])
	}
}

// Send makes one attempt.
func (r *resolver) Send(ctx context.Context, o core.Attempt) core.Reply {
	req := o.Request.(*request)
	var raw []byte
	var status balancer.Status
	if req.tcp {
		raw, status = r.stream(ctx, req.q, o.Begin)
	} else {
		if raw, status = r.datagram(ctx, req.q, o.Begin, o.MayContinue); status == balancer.OK && r.newCookie(req.q, raw) {
			raw, status = r.datagram(ctx, req.q, o.MayContinue, o.MayContinue)
		}
		if status == balancer.OK && truncated(raw) {
			r.up.counts.Truncated.Inc()
			raw, status = r.stream(ctx, req.q, o.MayContinue)
		}
	}
	reply := core.Reply{Status: status, At: r.up.clock.Now()}
	if status != balancer.OK {
		return reply
	}
	a, cookie, err := req.q.read(raw)
	if err != nil {
		r.up.counts.Mismatched.Inc()
		reply.Status = balancer.Error
		return reply
	}
	if !r.keep(cookie) {
		// Who does not know the cookie that we sent is not whom we sent it to (RFC 7873, 5.3).
		r.up.counts.Mismatched.Inc()
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
func (r *resolver) Probe() core.Reply {
	ctx, cancel := context.WithTimeout(context.Background(), probeTime)
	defer cancel()
	q := &question{msg: new(dns.Msg).SetQuestion(".", dns.TypeNS)}
	always := func(balancer.Micros) bool { return true }
	_, status := r.datagram(ctx, q, always, always)
	return core.Reply{Status: status, At: r.up.clock.Now()}
}

// Close ends the use of a server. What is out there goes on.
func (r *resolver) Close() {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	r.gone = true
	for _, s := range slices.Clone(r.sockets) {
		if s.rests {
			r.up.closeLocked(s)
		}
	}
	for _, s := range slices.Clone(r.streams) {
		s.retireLocked()
	}
}

// CloseUnusedSince gives up connections on which nothing has come since an instant: the next query opens another.
func (r *resolver) CloseUnusedSince(before time.Time) {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	for _, s := range slices.Clone(r.streams) {
		if s.heard.Before(before) {
			s.retireLocked()
		}
	}
}

// cookieNow is the cookie for the next query to a server: our part and, once it told, its own.
func (r *resolver) cookieNow() string {
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	return r.up.secret.forServer(r.addr) + r.cookie
}

// keep takes the cookie of an answer, and says whether it may be the server's.
func (r *resolver) keep(cookie string) bool {
	mine := r.up.secret.forServer(r.addr)
	if cookie == "" {
		return true // a server need not know cookies
	}
	if len(cookie) <= len(mine) || cookie[:len(mine)] != mine {
		return false
	}
	r.up.mu.Lock()
	defer r.up.mu.Unlock()
	r.cookie = cookie[len(mine):]
	return true
}

// newCookie says whether a server did nothing but tell its new cookie: the query is to go again with that.
func (r *resolver) newCookie(q *question, raw []byte) bool {
	if q.asIs() || raw[3]&0xf != dns.RcodeBadCookie&0xf {
		return false
	}
	a, cookie, err := q.read(raw)
	return err == nil && a.msg.Rcode == dns.RcodeBadCookie && cookie != "" && r.keep(cookie)
}

// wait waits for the answer to a query that is out, and says whether its wait is over; if not, it is late.
func (p *pending) wait(ctx context.Context, late <-chan time.Time) (raw []byte, status balancer.Status, over bool) {
	select {
	case raw := <-p.got:
		return raw, balancer.OK, true
	case err := <-p.lost:
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
