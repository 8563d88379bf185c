package dnsfront

import (
	"context"
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

// dialTimeoutDivisor is what the configured dial timeout is divided by, as for HTTP: a server that takes longer is
// cut off or gone, and another may still answer the query in time.
const dialTimeoutDivisor = 4

// Upstream sends queries to servers. Over UDP each query has a random ID and, while there are sockets, a random
// port of its own; an answer counts if it comes from the server that was asked, to that port, with that ID and
// question. A truncated answer is asked for again over TCP from the same server, as a part of the same attempt.
// Over TCP queries share connections and are answered in any order (RFC 7766).
//
// It implements core.Upstream. Its methods may be called from any goroutine.
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
	idleSockets []*socket                // without a query, the longest idle first
	conns       map[*serverConn]struct{} // open or being opened
}

func newUpstream(
	c *config.Config, settings *Settings, clock core.Clock, counters *Counters, sent *metrics.Counter, log *slog.Logger,
) *Upstream {
	dialTimeout := time.Duration(c.Settings.Limits.DialTimeout) * time.Microsecond
	if dialTimeout <= 0 {
		dialTimeout = probeTimeout * dialTimeoutDivisor
	}
	return &Upstream{
		clock:      clock,
		log:        log,
		counters:   counters,
		sent:       sent,
		dial:       (&net.Dialer{Timeout: dialTimeout / dialTimeoutDivisor}).DialContext,
		secret:     newCookieSecret(),
		settings:   settings,
		maxSockets: settings.MaxSockets,
		conns:      map[*serverConn]struct{}{},
	}
}

// Target returns a server without open sockets.
func (u *Upstream) Target(addr string) core.Target {
	return &target{upstream: u, addr: addr, link: resend.New()}
}

// SetConfig does nothing: the settings that concern servers cannot be reloaded.
func (u *Upstream) SetConfig(*config.Config) {}

// AcceptsLateReplies returns true: waiting for a late answer occupies no more than a port.
func (u *Upstream) AcceptsLateReplies() bool { return true }

// Maintain closes idle sockets and connections once ctx ends. Until then each closes itself after its idle timeout.
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

// SetCapacityShare sets the fraction of the limits that this process may use.
func (u *Upstream) SetCapacityShare(_ *config.Config, share float64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.maxSockets = max(1, int(float64(u.settings.MaxSockets)*share))
	for len(u.idleSockets) > 0 && u.sockets > u.maxSockets {
		u.closeLocked(u.idleSockets[0])
	}
}
