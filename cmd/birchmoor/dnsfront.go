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

// dnsSettings converts the [dns] section of an operator file to the front's settings. Its error lists all errors in
// the section's classes.
func dnsSettings(cfg *operatorconfig.DNS) (*dnsfront.Settings, error) {
	settings := &dnsfront.Settings{
		MaxSockets:        cfg.MaxUDPSockets,
		MaxConnsPerServer: cfg.MaxTCPPerServer,
		MaxClientConns:    cfg.MaxTCPClients,
		MaxQueriesPerConn: cfg.MaxOpenPerConn,
		IdleTimeout:       time.Duration(cfg.IdleTimeout),
		Limit: limit.Settings{
			MaxOpen:          cfg.MaxOpenQueries,
			MaxOpenPerPrefix: cfg.MaxOpenPerClient,
			UnverifiedShare:  float64(cfg.UnverifiedPercent) / 100,
			AnswersPerSecond: float64(cfg.RatePerClient),
			Burst:            float64(cfg.BurstPerClient),
			TruncateEvery:    *cfg.TruncateEvery,
			MaxPrefixes:      cfg.MaxClientPrefixes,
		},
	}
	var errs []error
	for name, class := range cfg.Class {
		parser := dnsClassParser{name: name}
		settings.Classes = append(settings.Classes, parser.parse(class))
		errs = append(errs, parser.errs...)
	}
	dnsfront.SortClasses(settings.Classes)
	return settings, errors.Join(errs...)
}

// dnsClassParser converts one class of the operator file, and collects the errors in it.
type dnsClassParser struct {
	name string
	errs []error
}

// addError adds an error about a key of the class.
func (p *dnsClassParser) addError(key, format string, args ...any) {
	p.errs = append(p.errs, fmt.Errorf("dns.class.%s.%s: %s", p.name, key, fmt.Sprintf(format, args...)))
}

func (p *dnsClassParser) parse(cfg *operatorconfig.DNSClass) dnsfront.Class {
	class := dnsfront.Class{
		Name:               p.name,
		LatencyObjective:   time.Duration(cfg.LatencyObjective),
		Timeout:            time.Duration(cfg.Timeout),
		PriorityWeight:     cfg.PriorityWeight,
		LatePriorityWeight: *cfg.LatePriorityWeight,
		MaxAttempts:        cfg.MaxAttempts,
		ShareAnswers:       cfg.Coalesce,
		Route:              route.Class{Suffixes: cfg.Suffixes},
	}
	for _, suffix := range cfg.Suffixes {
		if !dnsfront.ValidName(suffix) {
			p.addError("suffixes", "%q is not a valid domain name", suffix)
		}
	}
	for _, name := range cfg.Types {
		recordType, ok := dnsfront.ParseType(name)
		if !ok {
			p.addError("types", "%q is not a record type", name)
		}
		class.Route.Types = append(class.Route.Types, recordType)
	}
	for _, transport := range cfg.Transports {
		switch transport {
		case "udp":
			class.Route.UDP = true
		case "tcp":
			class.Route.TCP = true
		default:
			p.addError("transports", "%q is neither udp nor tcp", transport)
		}
	}
	p.parseOperations(cfg, &class)
	return class
}

// parseOperations sets the opcodes of the class. Queries are idempotent and the other operations are not, so a class
// must not have both.
func (p *dnsClassParser) parseOperations(cfg *operatorconfig.DNSClass, class *dnsfront.Class) {
	queries := 0
	for _, name := range cfg.Operations {
		opcode, ok := dnsfront.ParseOpcode(name)
		if !ok {
			p.addError("ops", "%q is not query, update or notify", name)
		}
		if name == "query" {
			queries++
		}
		class.Route.Opcodes = append(class.Route.Opcodes, opcode)
	}
	if queries > 0 && queries < len(cfg.Operations) {
		p.addError("ops", "queries can be retried and other operations cannot, so they need a class of their own")
	}
	if queries == 0 && len(cfg.Operations) > 0 && cfg.Coalesce {
		p.addError("share", "is possible only in a class of queries alone")
	}
}

// dnsProtocol returns the DNS front for a sidecar. ROUTER_DNS_UDP_FD and ROUTER_DNS_TCP_FD, where set, are the
// descriptors of listening sockets that the process inherits, so that an upgrade loses no query; otherwise the front
// opens its own sockets.
func dnsProtocol(cfg *operatorconfig.DNS, getenv func(string) string) (core.Protocol, error) {
	settings, err := dnsSettings(cfg)
	if err != nil {
		return nil, err
	}
	front := &dnsfront.Front{Settings: *settings}
	front.Sockets.UDP = handover.ExclusiveAddress(cfg.Listen)
	front.Sockets.TCP = handover.ExclusiveAddress(cfg.Listen)
	if fd := getenv("ROUTER_DNS_UDP_FD"); fd != "" {
		front.Sockets.UDP, err = handover.InheritPacket(fd)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_DNS_UDP_FD: %w", err)
		}
	}
	if fd := getenv("ROUTER_DNS_TCP_FD"); fd != "" {
		front.Sockets.TCP, err = handover.Inherit(fd)
		if err != nil {
			return nil, fmt.Errorf("ROUTER_DNS_TCP_FD: %w", err)
		}
	}
	return front, nil
}
