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

// maxUDPAnswerBytes is what the query offers to take over UDP: what passes without fragments.
const maxUDPAnswerBytes = 1232

func (k *dnsQueryCommand) Run(ctx context.Context, c *console) error {
	recordType, ok := dnsfront.ParseType(strings.ToUpper(k.Type))
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
	begin := time.Now()
	r, network, err := k.exchange(ctx, recordType)
	if err != nil {
		fmt.Fprintf(c.err, "birchmoor: no answer from %s over %s: %v\n", k.Server, network, err)
		return errRunFailed
	}
	answer := newDNSAnswer(r)
	answer.Name = dns.Fqdn(k.Name)
	answer.Type = dns.TypeToString[recordType]
	answer.At = k.Server
	answer.Transport = network
	answer.TookMs = float64(time.Since(begin).Microseconds()) / 1000
	if err := k.print(c.out, &answer); err != nil {
		return err
	}
	if r.Rcode != dns.RcodeSuccess && r.Rcode != dns.RcodeNameError {
		return errRunFailed
	}
	return nil
}

// exchange sends the query, over TCP if the answer over UDP is truncated, and returns the transport that it used
// last.
func (k *dnsQueryCommand) exchange(ctx context.Context, recordType uint16) (r *dns.Msg, network string, err error) {
	m := new(dns.Msg).SetQuestion(dns.Fqdn(k.Name), recordType)
	m.SetEdns0(maxUDPAnswerBytes, k.DNSSEC)
	if !k.TCP {
		client := dns.Client{Net: "udp", Timeout: k.Timeout}
		r, _, err = client.ExchangeContext(ctx, m, k.Server)
		if err != nil || !r.Truncated {
			return r, "udp", err
		}
	}
	client := dns.Client{Net: "tcp", Timeout: k.Timeout}
	r, _, err = client.ExchangeContext(ctx, m, k.Server)
	return r, "tcp", err
}

// newDNSAnswer is what a response says; the rest is of the query.
func newDNSAnswer(r *dns.Msg) dnsAnswer {
	a := dnsAnswer{Status: dns.RcodeToString[r.Rcode], Answer: []string{}, Bytes: r.Len()}
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"aa", r.Authoritative},
		{"tc", r.Truncated},
		{"rd", r.RecursionDesired},
		{"ra", r.RecursionAvailable},
		{"ad", r.AuthenticatedData},
	} {
		if f.set {
			a.Flags = append(a.Flags, f.name)
		}
	}
	for _, record := range r.Answer {
		a.Answer = append(a.Answer, record.String())
	}
	opt := r.IsEdns0()
	if opt == nil {
		return a
	}
	for _, o := range opt.Option {
		if e, ok := o.(*dns.EDNS0_EDE); ok {
			a.Extended = append(a.Extended, fmt.Sprintf("%d %s", e.InfoCode, e.ExtraText))
		}
	}
	return a
}

func (k *dnsQueryCommand) print(w io.Writer, a *dnsAnswer) error {
	if k.JSON {
		return json.NewEncoder(w).Encode(a)
	}
	fmt.Fprintf(w, "%s %s: %s from %s over %s, %d bytes in %.1f ms\n",
		a.Name, a.Type, a.Status, a.At, a.Transport, a.Bytes, a.TookMs)
	for _, e := range a.Extended {
		fmt.Fprintf(w, "  because: %s\n", e)
	}
	for _, record := range a.Answer {
		fmt.Fprintf(w, "  %s\n", strings.ReplaceAll(record, "\t", " "))
	}
	return nil
}
