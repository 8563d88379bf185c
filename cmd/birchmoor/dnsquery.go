package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/dnsfront"
)

type dnsCommands struct {
	Query dnsQueryCommand `cmd:"" help:"Ask one question and show the answer."`
}

type dnsQueryCommand struct {
	Name    string        `arg:"" help:"Name to look up."`
	Type    string        `arg:"" optional:"" default:"A" help:"Type of record, such as A, AAAA, TXT."`
	Server  string        `name:"at" default:"127.0.0.1:53" help:"Whom to ask." placeholder:"ADDR"`
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
	if _, _, err := net.SplitHostPort(k.Server); err != nil {
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
	r, _, err := (&dns.Client{Net: network, Timeout: k.Timeout}).ExchangeContext(ctx, m, k.Server)
	if err == nil && r.Truncated && network == "udp" {
		network = "tcp"
		r, _, err = (&dns.Client{Net: network, Timeout: k.Timeout}).ExchangeContext(ctx, m, k.Server)
	}
	if err != nil {
		fmt.Fprintf(c.err, "birchmoor: no answer from %s over %s: %v\n", k.Server, network, err)
		return errRunFailed
	}
	a := dnsAnswer{Name: dns.Fqdn(k.Name), Type: dns.TypeToString[kind], At: k.Server, Transport: network,
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
		return errRunFailed
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
