package dnsfront

import (
	"context"
	"crypto/rand"
	"log/slog"
	"net"
	"sync"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront/resend"
	"birchmoor/internal/platform/metrics"
)

const probeTimeout = 250 * time.Millisecond

// dialTimeoutDivisor is the part of the dial time-out that a connection is waited for, as for HTTP: a machine that takes longer is
// cut off or gone, and the query may still be in time elsewhere.
const dialTimeoutDivisor = 4

// Upstream asks servers. Over UDP each query has an id and, while there are sockets, a port of its own, drawn at random;
// an answer counts if it comes from the server asked, to that port, with that id and question. One that says that it is
// truncated is asked for again over TCP from the same server, as a part of the same attempt. Over TCP queries share
// connections and are answered in any order (RFC 7766).
//
// It is the core's Transport. Its methods may be called from any goroutine.
type Upstream struct {
	clock         core.Clock
	log           *slog.Logger
	counters      *Counters
	sent          *metrics.Counter
	dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	secret        *cookieSecret
	settings      *Settings
	connectErrors core.ConnectErrors

	mu          sync.Mutex
	maxSockets  int
	sockets     int                      // open or being opened
	idleSockets []*socket                // without a query, the oldest first
	conns       map[*serverConn]struct{} // being opened or open
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
