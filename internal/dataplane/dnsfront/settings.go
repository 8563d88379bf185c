// Package dnsfront is DNS on both sides, beside HTTP and with a core of its own: Server takes queries over UDP and TCP and
// gives each its one final answer, Upstream asks servers. Which server is asked, whether again, and what is refused the
// decision module says; which class a query belongs to, package route; how much is taken of whom, package limit.
//
// The codec is miekg/dns. Queries and answers are read whole and written anew, but for signed ones, updates and
// notifications, which are passed on byte by byte.
package dnsfront

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/miekg/dns"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/platform/metrics"
)

// Protocol is how discovery's entries name servers of this front.
const Protocol = "dns"

// Class is a class of queries.
type Class struct {
	Name      string
	Route     route.Class
	Aim       time.Duration
	GiveUp    time.Duration
	Worth     float64
	LateWorth float64
	Attempts  int
	Share     bool // queries that ask the same while one is open share its answer
}

// safe says whether a query of the class may be asked again.
func (c *Class) safe() bool {
	for _, op := range c.Route.Opcodes {
		if op != dns.OpcodeQuery {
			return false
		}
	}
	return true
}

// Settings are those of the front.
type Settings struct {
	Limit      limit.Settings
	Sockets    int           // UDP sockets to servers
	TCPServer  int           // connections to one server
	TCPClients int           // connections of clients
	PerConn    int           // queries open on one of them
	Idle       time.Duration // after which one without queries is closed
	Classes    []Class
}

// Descriptors is how many the front may hold.
func (s *Settings) Descriptors() int { return s.Sockets + s.TCPClients + s.streams() + 4 }

// streams is how many connections to servers may be open in all: those with queries are few at a time.
func (s *Settings) streams() int { return 8 * s.TCPServer }

// Config makes the configuration of the front's core from the sidecar's: the contract, the limits and the prices are the
// site's, the classes the front's. Servers are judged by their answers alone.
func (s *Settings) Config(c *config.Config) (*config.Config, error) {
	d := *c
	d.InitialList = c.InitialList.ForProtocol(Protocol)
	d.Classes, d.Tenants, d.LoadFields, d.LoadOnResponses = nil, nil, nil, false
	b := &d.Settings
	b.Classes, b.Tenants, b.Fields, b.Subscribe, b.WeightByWork = nil, nil, nil, false, false
	b.Limits.Probes = false
	b.Limits.MaxOpen = s.Limit.Open
	b.Limits.MaxAttempts = 1
	for i := range s.Classes {
		class := &s.Classes[i]
		repeat := balancer.NotIdempotent
		if class.safe() {
			repeat = balancer.Idempotent
		}
		b.Limits.MaxAttempts = max(b.Limits.MaxAttempts, class.Attempts)
		d.Classes = append(d.Classes, figure(class.Name))
		b.Classes = append(b.Classes, balancer.Class{Name: class.Name, Idempotency: repeat, LatencyObjective: class.Aim.Microseconds(),
			Timeout: class.GiveUp.Microseconds(), PriorityWeight: class.Worth, LatePriorityWeight: class.LateWorth})
	}
	if err := b.Validate(); err != nil {
		return nil, fmt.Errorf("dns: %w", err)
	}
	return &d, nil
}

// figure is a class's name among the figures.
func figure(class string) string { return Protocol + "." + class }

// ParseType reads a type of record, such as AAAA.
func ParseType(name string) (uint16, bool) {
	t, ok := dns.StringToType[name]
	return t, ok && t != dns.TypeNone
}

// ParseOpcode reads query, update or notify.
func ParseOpcode(name string) (int, bool) {
	op, ok := map[string]int{"query": dns.OpcodeQuery, "update": dns.OpcodeUpdate, "notify": dns.OpcodeNotify}[name]
	return op, ok
}

// ValidName says whether a suffix is a name.
func ValidName(name string) bool {
	_, ok := dns.IsDomainName(name)
	return ok
}

// SortClasses puts classes into an order that does not depend on how they were read.
func SortClasses(list []Class) {
	slices.SortFunc(list, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
}

// Counts are what the front counts besides the final answers of classes.
type Counts struct {
	Malformed  *metrics.Counter // queries that could not be read, or are none
	Unrouted   *metrics.Counter // of no class
	Joined     *metrics.Counter // a client's repetitions of its open query
	Followed   *metrics.Counter // queries that shared another's answer
	Shed       *metrics.Counter // turned away for want of room
	Slipped    *metrics.Counter // over the rate, answered truncated
	Dropped    *metrics.Counter // over the rate, not answered
	Unsent     *metrics.Counter // answers that the client's socket or connection did not take
	Resent     *metrics.Counter // datagrams sent once more to the same server
	Truncated  *metrics.Counter // servers' answers asked for again over TCP
	Shared     *metrics.Counter // queries without a socket of their own
	Unasked    *metrics.Counter // servers' messages that no open query has the id of: late, forged
	Mismatched *metrics.Counter // with an id, but not the answer to its query
	Doubled    *metrics.Counter // a second answer to an open query
}

// newCounts returns counts that r shows.
func newCounts(r *metrics.Registry) *Counts {
	return &Counts{Malformed: r.NewCounter("malformed_total"), Unrouted: r.NewCounter("unrouted_total"),
		Joined: r.NewCounter("joined_total"), Followed: r.NewCounter("followed_total"), Shed: r.NewCounter("shed_total"),
		Slipped: r.NewCounter("slipped_total"), Dropped: r.NewCounter("dropped_total"), Unsent: r.NewCounter("unsent_total"),
		Resent: r.NewCounter("resent_total"), Truncated: r.NewCounter("truncated_total"), Shared: r.NewCounter("shared_sockets_total"),
		Unasked: r.NewCounter("unasked_total"), Mismatched: r.NewCounter("mismatched_total"), Doubled: r.NewCounter("doubled_total")}
}
