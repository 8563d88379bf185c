package operatorconfig

import (
	"maps"
	"net"
	"slices"
	"time"
)

// DNS configures the frontend for DNS queries. All limits apply to one process.
type DNS struct {
	Listen            string   `toml:"listen"`      // host and port, for UDP and TCP
	MaxOpenQueries    int      `toml:"open"`        // queries in flight, of all clients
	MaxOpenPerClient  int      `toml:"per_client"`  // queries in flight of one client network (/24 or /56)
	UnverifiedPercent int      `toml:"unproven"`    // share of MaxOpenQueries for UDP addresses without a valid cookie
	RatePerClient     int      `toml:"rate"`        // answers a second to unverified addresses of one client network
	BurstPerClient    int      `toml:"burst"`       // answers at once to these addresses
	TruncateEvery     *int     `toml:"slip"`        // one in so many answers over the rate is sent truncated; 0: none
	MaxClientPrefixes int      `toml:"prefixes"`    // client networks whose rates are tracked
	MaxUDPSockets     int      `toml:"sockets"`     // sockets for queries to servers
	MaxTCPPerServer   int      `toml:"tcp_server"`  // connections to one server
	MaxTCPClients     int      `toml:"tcp_clients"` // connections of clients
	MaxOpenPerConn    int      `toml:"per_conn"`    // queries in flight on one client connection
	IdleTimeout       Duration `toml:"idle"`        // after which a connection without queries is closed

	Class map[string]*DNSClass `toml:"class"` // by name; at least one is required
}

// DNSClass is a class of queries, which Suffixes, Types, Transports and Operations select.
type DNSClass struct {
	Suffixes           []string `toml:"suffixes"`   // domains of the queried names; none: all
	Types              []string `toml:"types"`      // of resource records; none: all
	Transports         []string `toml:"transports"` // udp or tcp, by which clients send the query; none: both
	Operations         []string `toml:"ops"`        // opcodes: query, update, notify; none: query
	LatencyObjective   Duration `toml:"aim"`
	Timeout            Duration `toml:"give_up"`
	PriorityWeight     float64  `toml:"worth"`
	LatePriorityWeight *float64 `toml:"late_worth"` // fraction of PriorityWeight after the latency objective
	MaxAttempts        int      `toml:"attempts"`
	Coalesce           bool     `toml:"share"` // queries that are equal to one in flight share its answer
}

const (
	defaultTruncateEvery      = 2
	maxTruncateEvery          = 100
	defaultLatePriorityWeight = 0.5
)

func (d *DNS) check(c *checker) {
	d.checkListen(c)
	c.number("dns.open", &d.MaxOpenQueries, 1000, 1, 60000)
	c.number("dns.per_client", &d.MaxOpenPerClient, d.MaxOpenQueries, 1, 60000)
	c.number("dns.unproven", &d.UnverifiedPercent, 75, 1, 100)
	c.number("dns.rate", &d.RatePerClient, 1000, 1, 1_000_000)
	c.number("dns.burst", &d.BurstPerClient, 2*d.RatePerClient, 1, 2_000_000)
	if d.TruncateEvery == nil {
		d.TruncateEvery = pointerTo(defaultTruncateEvery)
	}
	if *d.TruncateEvery < 0 || *d.TruncateEvery > maxTruncateEvery {
		c.invalid("dns.slip", "%d is not within 0 and %d", *d.TruncateEvery, maxTruncateEvery)
	}
	c.number("dns.prefixes", &d.MaxClientPrefixes, 10000, 1, 1_000_000)
	c.number("dns.sockets", &d.MaxUDPSockets, 256, 1, 60000)
	c.number("dns.tcp_server", &d.MaxTCPPerServer, 2, 1, 64)
	c.number("dns.tcp_clients", &d.MaxTCPClients, 64, 1, 60000)
	c.number("dns.per_conn", &d.MaxOpenPerConn, 64, 1, 4096)
	c.duration("dns.idle", &d.IdleTimeout, 10*time.Second, 100*time.Millisecond, time.Hour)
	if len(d.Class) == 0 {
		c.invalid("dns.class", "at least one class is needed")
	}
	for _, name := range slices.Sorted(maps.Keys(d.Class)) {
		d.Class[name].check(c, "dns.class."+name)
	}
}

func (d *DNS) checkListen(c *checker) {
	const key = "dns.listen"
	if d.Listen == "" {
		c.invalid(key, "is missing")
		return
	}
	host, _, err := net.SplitHostPort(d.Listen)
	if err != nil {
		c.invalid(key, "%v", err)
		return
	}
	if ip := net.ParseIP(host); ip == nil || ip.IsUnspecified() {
		const reason = "%q is not the address of one interface, which answers over UDP need as their source"
		c.invalid(key, reason, host)
	}
}

func (d *DNSClass) check(c *checker, key string) {
	c.duration(key+".aim", &d.LatencyObjective, 250*time.Millisecond, time.Millisecond, time.Minute)
	c.duration(key+".give_up", &d.Timeout, 2*time.Second, 10*time.Millisecond, time.Minute)
	c.number(key+".attempts", &d.MaxAttempts, 3, 1, 10)
	if d.LatencyObjective > d.Timeout {
		c.invalid(key+".aim", "is over give_up")
	}
	if d.PriorityWeight == 0 {
		d.PriorityWeight = 1
	}
	if d.PriorityWeight < 0 {
		c.invalid(key+".worth", "%g is negative", d.PriorityWeight)
	}
	if d.LatePriorityWeight == nil {
		d.LatePriorityWeight = pointerTo(defaultLatePriorityWeight)
	}
	if *d.LatePriorityWeight < 0 || *d.LatePriorityWeight > 1 {
		c.invalid(key+".late_worth", "%g is not within 0 and 1", *d.LatePriorityWeight)
	}
}

func pointerTo[T any](v T) *T { return &v }
