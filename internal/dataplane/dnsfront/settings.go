// Package dnsfront load-balances DNS beside HTTP, with an event loop of its own. Server receives queries over UDP and
// TCP and gives each one final answer; Upstream sends queries to servers. Package balancer decides which server a query
// is sent to, whether an attempt is retried, and which queries are rejected; package route decides which class a query
// belongs to; package limit decides how many queries of a client are admitted; package resend decides when a datagram
// without an answer is sent again.
//
// Messages are encoded by miekg/dns. Queries and answers are parsed completely and encoded anew, except for signed
// messages, updates and notifications, which are passed through byte by byte.
//
// The package may import balancer, packages core, config and handover of the data plane, and the platform's packages.
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

// Protocol is the name of the protocol in endpoint lists.
const Protocol = "dns"

// Class is a class of queries with its settings.
type Class struct {
	Name               string
	Route              route.Class
	LatencyObjective   time.Duration
	Timeout            time.Duration
	PriorityWeight     float64
	LatePriorityWeight float64
	MaxAttempts        int
	ShareAnswers       bool // a query with the same question as an open one waits for that one's answer
}

// isIdempotent reports whether queries of the class may be retried: all of them have the opcode QUERY.
func (c *Class) isIdempotent() bool {
	for _, op := range c.Route.Opcodes {
		if op != dns.OpcodeQuery {
			return false
		}
	}
	return true
}

// Settings are the settings of the front.
type Settings struct {
	Limit             limit.Settings
	MaxSockets        int // UDP sockets to servers
	MaxConnsPerServer int
	MaxClientConns    int
	MaxQueriesPerConn int           // open queries on a client's connection
	IdleTimeout       time.Duration // of a client's connection without an open query
	Classes           []Class
}

const (
	listeningDescriptors = 4 // the UDP socket and the TCP listener, and their duplicates during a handover
	maxBusyServers       = 8 // servers with queries over TCP at the same time
)

// Descriptors returns the maximum number of file descriptors that the front uses.
func (s *Settings) Descriptors() int {
	return s.MaxSockets + s.MaxClientConns + s.maxServerConns() + listeningDescriptors
}

// maxServerConns returns the maximum number of connections to all servers together.
func (s *Settings) maxServerConns() int { return maxBusyServers * s.MaxConnsPerServer }

// Config derives the configuration of the front's event loop from that of the sidecar. It has the front's classes and
// limit of open queries, and no load reports or probes: DNS servers are judged by their answers alone.
func (s *Settings) Config(cfg *config.Config) (*config.Config, error) {
	derived := *cfg
	derived.InitialList = cfg.InitialList.ForProtocol(Protocol)
	derived.Classes = nil
	derived.Tenants = nil
	derived.LoadFields = nil
	derived.LoadOnResponses = false

	settings := &derived.Settings
	settings.Classes = nil
	settings.Tenants = nil
	settings.Fields = nil
	settings.Subscribe = false
	settings.WeightByWork = false
	settings.Limits.Probes = false
	settings.Limits.MaxOpen = s.Limit.MaxOpen
	settings.Limits.MaxAttempts = 1
	for i := range s.Classes {
		class := &s.Classes[i]
		settings.Limits.MaxAttempts = max(settings.Limits.MaxAttempts, class.MaxAttempts)
		settings.Classes = append(settings.Classes, class.settings())
		derived.Classes = append(derived.Classes, className(class.Name))
	}
	if err := settings.Validate(); err != nil {
		return nil, fmt.Errorf("dns: %w", err)
	}
	return &derived, nil
}

// settings returns the settings of the class for the decision module.
func (c *Class) settings() balancer.Class {
	idempotency := balancer.NotIdempotent
	if c.isIdempotent() {
		idempotency = balancer.Idempotent
	}
	return balancer.Class{
		Name:               c.Name,
		Idempotency:        idempotency,
		LatencyObjective:   c.LatencyObjective.Microseconds(),
		Timeout:            c.Timeout.Microseconds(),
		PriorityWeight:     c.PriorityWeight,
		LatePriorityWeight: c.LatePriorityWeight,
	}
}

// className returns the name of a class in metrics and in the configuration of the event loop.
func className(class string) string { return Protocol + "." + class }

// ParseType parses the name of a record type in upper case, such as AAAA.
func ParseType(name string) (uint16, bool) {
	t, ok := dns.StringToType[name]
	return t, ok && t != dns.TypeNone
}

// ParseOpcode parses the name of an operation: query, update or notify.
func ParseOpcode(name string) (int, bool) {
	switch name {
	case "query":
		return dns.OpcodeQuery, true
	case "update":
		return dns.OpcodeUpdate, true
	case "notify":
		return dns.OpcodeNotify, true
	default:
		return 0, false
	}
}

// ValidName reports whether a string is a domain name.
func ValidName(name string) bool {
	_, ok := dns.IsDomainName(name)
	return ok
}

// SortClasses sorts classes by name, so that their indexes do not depend on their order in the operator's file.
func SortClasses(list []Class) {
	slices.SortFunc(list, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
}
