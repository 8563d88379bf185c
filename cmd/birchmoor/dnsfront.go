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

// dnsSettings reads what the operator file leaves to the front.
func dnsSettings(d *operatorconfig.DNS) (*dnsfront.Settings, error) {
	s := &dnsfront.Settings{MaxSockets: d.MaxUDPSockets, MaxConnsPerServer: d.MaxTCPPerServer, MaxClientConns: d.MaxTCPClients, MaxQueriesPerConn: d.MaxOpenPerConn,
		IdleTimeout: time.Duration(d.IdleTimeout), Limit: limit.Settings{MaxOpen: d.MaxOpenQueries, MaxOpenPerPrefix: d.MaxOpenPerClient,
			UnverifiedShare: float64(d.UnverifiedPercent) / 100, AnswersPerSecond: float64(d.RatePerClient), Burst: float64(d.BurstPerClient), TruncateEvery: *d.TruncateEvery, MaxPrefixes: d.MaxClientPrefixes}}
	var faults []error
	for name, c := range d.Class {
		bad := func(key, format string, args ...any) {
			faults = append(faults, fmt.Errorf("dns.class.%s.%s: %s", name, key, fmt.Sprintf(format, args...)))
		}
		class := dnsfront.Class{Name: name, LatencyObjective: time.Duration(c.LatencyObjective), Timeout: time.Duration(c.Timeout), PriorityWeight: c.PriorityWeight,
			LatePriorityWeight: *c.LatePriorityWeight, MaxAttempts: c.MaxAttempts, ShareAnswers: c.Coalesce, Route: route.Class{Suffixes: c.Suffixes}}
		for _, suffix := range c.Suffixes {
			if !dnsfront.ValidName(suffix) {
				bad("suffixes", "%q is no name", suffix)
			}
		}
		for _, t := range c.Types {
			v, ok := dnsfront.ParseType(t)
			if !ok {
				bad("types", "%q is no type of record", t)
			}
			class.Route.Types = append(class.Route.Types, v)
		}
		for _, t := range c.Transports {
			switch t {
			case "udp":
				class.Route.UDP = true
			case "tcp":
				class.Route.TCP = true
			default:
				bad("transports", "%q is neither udp nor tcp", t)
			}
		}
		queries := 0
		for _, op := range c.Operations {
			v, ok := dnsfront.ParseOpcode(op)
			if !ok {
				bad("ops", "%q is not query, update or notify", op)
			}
			if op == "query" {
				queries++
			}
			class.Route.Opcodes = append(class.Route.Opcodes, v)
		}
		if queries > 0 && queries < len(c.Operations) {
			bad("ops", "query may be repeated, the others may not: they need a class of their own")
		}
		if queries == 0 && len(c.Operations) > 0 && c.Coalesce {
			bad("share", "is for queries alone")
		}
		s.Classes = append(s.Classes, class)
	}
	dnsfront.SortClasses(s.Classes)
	return s, errors.Join(faults...)
}

// dnsProtocol is the front as a sidecar runs it. Its sockets are its own unless ROUTER_DNS_UDP_FD and
// ROUTER_DNS_TCP_FD name inherited ones, by which an upgrade loses nothing.
func dnsProtocol(d *operatorconfig.DNS, getenv func(string) string) (core.Protocol, error) {
	s, err := dnsSettings(d)
	if err != nil {
		return nil, err
	}
	f := &dnsfront.Front{Settings: *s, Sockets: dnsfront.Sockets{UDP: handover.ExclusiveAddress(d.Listen), TCP: handover.ExclusiveAddress(d.Listen)}}
	if fd := getenv("ROUTER_DNS_UDP_FD"); fd != "" {
		if f.Sockets.UDP, err = handover.InheritPacket(fd); err != nil {
			return nil, fmt.Errorf("ROUTER_DNS_UDP_FD: %w", err)
		}
	}
	if fd := getenv("ROUTER_DNS_TCP_FD"); fd != "" {
		if f.Sockets.TCP, err = handover.Inherit(fd); err != nil {
			return nil, fmt.Errorf("ROUTER_DNS_TCP_FD: %w", err)
		}
	}
	return f, nil
}
