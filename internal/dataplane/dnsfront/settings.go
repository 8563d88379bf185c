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
)

// Protocol is how discovery's entries name servers of this front.
const Protocol = "dns"

// Class is a class of queries.
type Class struct {
	Name               string
	Route              route.Class
	LatencyObjective   time.Duration
	Timeout            time.Duration
	PriorityWeight     float64
	LatePriorityWeight float64
	MaxAttempts        int
	ShareAnswers       bool // queries that ask the same while one is open share its answer
}

// isIdempotent says whether a query of the class may be asked again.
func (c *Class) isIdempotent() bool {
	for _, op := range c.Route.Opcodes {
		if op != dns.OpcodeQuery {
			return false
		}
	}
	return true
}

// Settings are those of the front.
type Settings struct {
	Limit             limit.Settings
	MaxSockets        int           // UDP sockets to servers
	MaxConnsPerServer int           // connections to one server
	MaxClientConns    int           // connections of clients
	MaxQueriesPerConn int           // queries open on one of them
	IdleTimeout       time.Duration // after which one without queries is closed
	Classes           []Class
}

// Descriptors is how many the front may hold.
func (s *Settings) Descriptors() int { return s.MaxSockets + s.MaxClientConns + s.maxServerConns() + 4 }

// maxServerConns is how many connections to servers may be open in all: those with queries are few at a time.
func (s *Settings) maxServerConns() int { return 8 * s.MaxConnsPerServer }

// Config makes the configuration of the front's core from the sidecar's: the contract, the limits and the prices are the
// site's, the classes the front's. Servers are judged by their answers alone.
func (s *Settings) Config(c *config.Config) (*config.Config, error) {
	d := *c
	d.InitialList = c.InitialList.ForProtocol(Protocol)
	d.Classes, d.Tenants, d.LoadFields, d.LoadOnResponses = nil, nil, nil, false
	b := &d.Settings
	b.Classes, b.Tenants, b.Fields, b.Subscribe, b.WeightByWork = nil, nil, nil, false, false
	b.Limits.Probes = false
	b.Limits.MaxOpen = s.Limit.MaxOpen
	b.Limits.MaxAttempts = 1
	for i := range s.Classes {
		class := &s.Classes[i]
		repeat := balancer.NotIdempotent
		if class.isIdempotent() {
			repeat = balancer.Idempotent
		}
		b.Limits.MaxAttempts = max(b.Limits.MaxAttempts, class.MaxAttempts)
		d.Classes = append(d.Classes, className(class.Name))
		b.Classes = append(b.Classes, balancer.Class{Name: class.Name, Idempotency: repeat, LatencyObjective: class.LatencyObjective.Microseconds(),
			Timeout: class.Timeout.Microseconds(), PriorityWeight: class.PriorityWeight, LatePriorityWeight: class.LatePriorityWeight})
	}
	if err := b.Validate(); err != nil {
		return nil, fmt.Errorf("dns: %w", err)
	}
	return &d, nil
}

// className is a class's name among the figures.
func className(class string) string { return Protocol + "." + class }

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
