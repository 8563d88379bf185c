package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

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

// dnsProtocol is the front as a sidecar runs it. Its sockets are its own unless ROUTER_DNS_UDP_FD and ROUTER_DNS_TCP_FD
// name inherited ones, by which an upgrade loses nothing.
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

type dnsCommands struct {
	Query dnsQueryCommand `cmd:"" help:"Ask one question and show the answer."`
}

type dnsQueryCommand struct {
	Name    string        `arg:"" help:"Name to look up."`
	Type    string        `arg:"" optional:"" default:"A" help:"Type of record, such as A, AAAA, TXT."`
	At      string        `default:"127.0.0.1:53" help:"Whom to ask." placeholder:"ADDR"`
	TCP     bool          `help:"Ask over TCP. Over UDP, a truncated answer is asked for again over TCP."`
	DNSSEC  bool          `name:"dnssec" help:"Ask for signatures."`
	JSON    bool          `name:"json" help:"Print one JSON object."`
	Timeout time.Duration `default:"5s" help:"After which there is no answer."`
}

func (k *dnsQueryCommand) Help() string {
	return `Exit codes: 0 for an answer, also that the name does not exist; 1 for none, or one that says the server failed or
refuses; 2 for bad input.

Examples:
  birchmoor dns query slot7.example.org AAAA --at 127.0.0.1:5353
  birchmoor dns query example.org TXT --tcp --json`
}

// dnsAnswer is what --json prints.
type dnsAnswer struct {
	Name      string   `json:"name"`
	Type      string   `json:"type"`
	At        string   `json:"at"`
	Transport string   `json:"transport"`
	Status    string   `json:"status"`
	Flags     []string `json:"flags"`
	Answer    []string `json:"answer"`
	Extended  []string `json:"extended_errors,omitempty"`
	Bytes     int      `json:"bytes"`
	TookMs    float64  `json:"took_ms"`
}

func (k *dnsQueryCommand) Run(ctx context.Context, c *console) error {
	kind, ok := dnsfront.ParseType(strings.ToUpper(k.Type))
	if !ok {
		return fmt.Errorf("%q is no type of record", k.Type)
	}
	if !dnsfront.ValidName(k.Name) {
		return fmt.Errorf("%q is no name", k.Name)
	}
	if _, _, err := net.SplitHostPort(k.At); err != nil {
		return fmt.Errorf("--at: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	m := new(dns.Msg).SetQuestion(dns.Fqdn(k.Name), kind)
	m.SetEdns0(1232, k.DNSSEC)
	network := "udp"
	if k.TCP {
		network = "tcp"
	}
	begun := time.Now()
	r, _, err := (&dns.Client{Net: network, Timeout: k.Timeout}).ExchangeContext(ctx, m, k.At)
	if err == nil && r.Truncated && network == "udp" {
		network = "tcp"
		r, _, err = (&dns.Client{Net: network, Timeout: k.Timeout}).ExchangeContext(ctx, m, k.At)
	}
	if err != nil {
		fmt.Fprintf(c.err, "birchmoor: no answer from %s over %s: %v\n", k.At, network, err)
		return errMissed
	}
	a := dnsAnswer{Name: dns.Fqdn(k.Name), Type: dns.TypeToString[kind], At: k.At, Transport: network,
		Status: dns.RcodeToString[r.Rcode], Answer: []string{}, Bytes: r.Len(), TookMs: float64(time.Since(begun).Microseconds()) / 1000}
	for _, f := range []struct {
		name string
		on   bool
	}{{"aa", r.Authoritative}, {"tc", r.Truncated}, {"rd", r.RecursionDesired}, {"ra", r.RecursionAvailable},
		{"ad", r.AuthenticatedData}} {
		if f.on {
			a.Flags = append(a.Flags, f.name)
		}
	}
	for _, rr := range r.Answer {
		a.Answer = append(a.Answer, rr.String())
	}
	if opt := r.IsEdns0(); opt != nil {
		for _, o := range opt.Option {
			if e, ok := o.(*dns.EDNS0_EDE); ok {
				a.Extended = append(a.Extended, fmt.Sprintf("%d %s", e.InfoCode, e.ExtraText))
			}
		}
	}
	if err := k.print(c.out, &a); err != nil {
		return err
	}
	if r.Rcode != dns.RcodeSuccess && r.Rcode != dns.RcodeNameError {
		return errMissed
	}
	return nil
}

func (k *dnsQueryCommand) print(w io.Writer, a *dnsAnswer) error {
	if k.JSON {
		return json.NewEncoder(w).Encode(a)
	}
	fmt.Fprintf(w, "%s %s: %s from %s over %s, %d bytes in %.1f ms\n", a.Name, a.Type, a.Status, a.At, a.Transport, a.Bytes, a.TookMs)
	for _, e := range a.Extended {
		fmt.Fprintf(w, "  because: %s\n", e)
	}
	for _, rr := range a.Answer {
		fmt.Fprintf(w, "  %s\n", strings.ReplaceAll(rr, "\t", " "))
	}
	return nil
}
