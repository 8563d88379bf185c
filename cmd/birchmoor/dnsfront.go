package main

import (
	"errors"
	"fmt"
	"time"

	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/dnsfront"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/dataplane/handover"
)

// dnsSettings returns the front's settings by the operator file, or all faults of its classes.
func dnsSettings(d *operatorconfig.DNS) (*dnsfront.Settings, error) {
	s := &dnsfront.Settings{
		MaxSockets:        d.MaxUDPSockets,
		MaxConnsPerServer: d.MaxTCPPerServer,
		MaxClientConns:    d.MaxTCPClients,
		MaxQueriesPerConn: d.MaxOpenPerConn,
		IdleTimeout:       time.Duration(d.IdleTimeout),
		Limit: limit.Settings{
			MaxOpen:          d.MaxOpenQueries,
			MaxOpenPerPrefix: d.MaxOpenPerClient,
			UnverifiedShare:  float64(d.UnverifiedPercent) / 100,
			AnswersPerSecond: float64(d.RatePerClient),
			Burst:            float64(d.BurstPerClient),
			TruncateEvery:    *d.TruncateEvery,
			MaxPrefixes:      d.MaxClientPrefixes,
		},
	}
	var faults []error
	for name, c := range d.Class {
		p := dnsClassParser{name: name}
		s.Classes = append(s.Classes, p.parse(c))
		faults = append(faults, p.faults...)
	}
	dnsfront.SortClasses(s.Classes)
	return s, errors.Join(faults...)
}

// dnsClassParser parses one class of the operator file, and collects its faults.
type dnsClassParser struct {
	name   string
	faults []error
}

// addFault adds a fault of a key.
func (p *dnsClassParser) addFault(key, format string, args ...any) {
	p.faults = append(p.faults, fmt.Errorf("dns.class.%s.%s: %s", p.name, key, fmt.Sprintf(format, args...)))
}

func (p *dnsClassParser) parse(c *operatorconfig.DNSClass) dnsfront.Class {
	class := dnsfront.Class{
		Name:               p.name,
		LatencyObjective:   time.Duration(c.LatencyObjective),
		Timeout:            time.Duration(c.Timeout),
		PriorityWeight:     c.PriorityWeight,
		LatePriorityWeight: *c.LatePriorityWeight,
		MaxAttempts:        c.MaxAttempts,
		ShareAnswers:       c.Coalesce,
		Route:              route.Class{Suffixes: c.Suffixes},
	}
	for _, suffix := range c.Suffixes {
		if !dnsfront.ValidName(suffix) {
			p.addFault("suffixes", "%q is no name", suffix)
		}
	}
	for _, name := range c.Types {
		recordType, ok := dnsfront.ParseType(name)
		if !ok {
			p.addFault("types", "%q is no type of record", name)
		}
		class.Route.Types = append(class.Route.Types, recordType)
	}
	for _, transport := range c.Transports {
		switch transport {
		case "udp":
			class.Route.UDP = true
		case "tcp":
			class.Route.TCP = true
		default:
			p.addFault("transports", "%q is neither udp nor tcp", transport)
		}
	}
	p.parseOperations(c, &class)
	return class
}

// parseOperations sets the opcodes. Queries are idempotent and the other operations are not, so a class has one
// kind alone.
func (p *dnsClassParser) parseOperations(c *operatorconfig.DNSClass, class *dnsfront.Class) {
	queries := 0
	for _, name := range c.Operations {
		opcode, ok := dnsfront.ParseOpcode(name)
		if !ok {
			p.addFault("ops", "%q is not query, update or notify", name)
		}
		if name == "query" {
			queries++
		}
		class.Route.Opcodes = append(class.Route.Opcodes, opcode)
	}
	if queries > 0 && queries < len(c.Operations) {
		p.addFault("ops", "query may be repeated, the others may not: they need a class of their own")
	}
	if queries == 0 && len(c.Operations) > 0 && c.Coalesce {
		p.addFault("share", "is for queries alone")
	}
}

// dnsProtocol is the front as a sidecar runs it. It listens on sockets of its own unless ROUTER_DNS_UDP_FD and
// ROUTER_DNS_TCP_FD name inherited ones, so that an upgrade loses no query.
func dnsProtocol(d *operatorconfig.DNS, getenv func(string) string) (core.Protocol, error) {
	s, err := dnsSettings(d)
	if err != nil {
		return nil, err
	}
	f := &dnsfront.Front{Settings: *s}
	f.Sockets.UDP = handover.ExclusiveAddress(d.Listen)
	f.Sockets.TCP = handover.ExclusiveAddress(d.Listen)
	if fd := getenv("ROUTER_DNS_UDP_FD"); fd != "" {
		f.Sockets.UDP, err = handover.InheritPacket(fd)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_DNS_UDP_FD: %w", err)
		}
	}
	if fd := getenv("ROUTER_DNS_TCP_FD"); fd != "" {
		f.Sockets.TCP, err = handover.Inherit(fd)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_DNS_TCP_FD: %w", err)
		}
	}
	return f, nil
}
