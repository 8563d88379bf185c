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
	Query dnsQueryCommand `cmd:"" help:"Send one query and show the answer."`
}

type dnsQueryCommand struct {
	Name    string        `arg:"" help:"Domain name to look up."`
	Type    string        `arg:"" optional:"" default:"A" help:"Record type, such as A, AAAA, TXT."`
	Server  string        `name:"at" default:"127.0.0.1:53" help:"Address and port of the server." placeholder:"ADDR"`
	TCP     bool          `help:"Query over TCP. Without it the query goes over UDP, and again over TCP if the answer is truncated."`
	DNSSEC  bool          `name:"dnssec" help:"Request DNSSEC signatures."`
	JSON    bool          `name:"json" help:"Print one JSON object."`
	Timeout time.Duration `default:"5s" help:"How long to wait for the answer."`
}

func (k *dnsQueryCommand) Help() string {
	return `Exit codes: 0 for an answer, including one that the name does not exist; 1 for no answer, or one with another
error code, such as SERVFAIL or REFUSED; 2 for invalid input.

Examples:
  birchmoor dns query slot7.example.org AAAA --at 127.0.0.1:5353
  birchmoor dns query example.org TXT --tcp --json`
}

// dnsAnswer is the JSON that dns query prints with --json.
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

// maxUDPAnswerBytes is the UDP payload size that the query announces: answers up to this size are not fragmented.
const maxUDPAnswerBytes = 1232

func (k *dnsQueryCommand) Run(ctx context.Context, c *console) error {
	recordType, ok := dnsfront.ParseType(strings.ToUpper(k.Type))
	if !ok {
		return fmt.Errorf("%q is not a record type", k.Type)
	}
	if !dnsfront.ValidName(k.Name) {
		return fmt.Errorf("%q is not a valid domain name", k.Name)
	}
	if _, _, err := net.SplitHostPort(k.Server); err != nil {
		return fmt.Errorf("--at: %w", err)
	}
	ctx, cancel := context.WithTimeout(ctx, k.Timeout)
	defer cancel()
	begin := time.Now()
	response, network, err := k.exchange(ctx, recordType)
	if err != nil {
		fmt.Fprintf(c.errOut, "birchmoor: no answer from %s over %s: %v\n", k.Server, network, err)
		return errRunFailed
	}
	answer := newDNSAnswer(response)
	answer.Name = dns.Fqdn(k.Name)
	answer.Type = dns.TypeToString[recordType]
	answer.At = k.Server
	answer.Transport = network
	answer.TookMs = float64(time.Since(begin).Microseconds()) / 1000
	if err := k.print(c.out, &answer); err != nil {
		return err
	}
	if response.Rcode != dns.RcodeSuccess && response.Rcode != dns.RcodeNameError {
		return errRunFailed
	}
	return nil
}

// exchange sends the query and returns the response, and the transport that was used last: an answer that is truncated
// over UDP is queried again over TCP.
func (k *dnsQueryCommand) exchange(
	ctx context.Context, recordType uint16,
) (response *dns.Msg, network string, err error) {
	query := new(dns.Msg).SetQuestion(dns.Fqdn(k.Name), recordType)
	query.SetEdns0(maxUDPAnswerBytes, k.DNSSEC)
	if !k.TCP {
		client := dns.Client{Net: "udp", Timeout: k.Timeout}
		response, _, err = client.ExchangeContext(ctx, query, k.Server)
		if err != nil || !response.Truncated {
			return response, "udp", err
		}
	}
	client := dns.Client{Net: "tcp", Timeout: k.Timeout}
	response, _, err = client.ExchangeContext(ctx, query, k.Server)
	return response, "tcp", err
}

// newDNSAnswer converts a response. The caller sets the fields that describe the query: Name, Type, At, Transport and
// TookMs.
func newDNSAnswer(response *dns.Msg) dnsAnswer {
	answer := dnsAnswer{Status: dns.RcodeToString[response.Rcode], Answer: []string{}, Bytes: response.Len()}
	for _, f := range []struct {
		name string
		set  bool
	}{
		{"aa", response.Authoritative},
		{"tc", response.Truncated},
		{"rd", response.RecursionDesired},
		{"ra", response.RecursionAvailable},
		{"ad", response.AuthenticatedData},
	} {
		if f.set {
			answer.Flags = append(answer.Flags, f.name)
		}
	}
	for _, record := range response.Answer {
		answer.Answer = append(answer.Answer, record.String())
	}
	opt := response.IsEdns0()
	if opt == nil {
		return answer
	}
	for _, option := range opt.Option {
		if extendedError, ok := option.(*dns.EDNS0_EDE); ok {
			answer.Extended = append(answer.Extended,
				fmt.Sprintf("%d %s", extendedError.InfoCode, extendedError.ExtraText))
		}
	}
	return answer
}

func (k *dnsQueryCommand) print(w io.Writer, answer *dnsAnswer) error {
	if k.JSON {
		return json.NewEncoder(w).Encode(answer)
	}
	fmt.Fprintf(w, "%s %s: %s from %s over %s, %d bytes in %.1f ms\n",
		answer.Name, answer.Type, answer.Status, answer.At, answer.Transport, answer.Bytes, answer.TookMs)
	for _, e := range answer.Extended {
		fmt.Fprintf(w, "  because: %s\n", e)
	}
	for _, record := range answer.Answer {
		fmt.Fprintf(w, "  %s\n", strings.ReplaceAll(record, "\t", " "))
	}
	return nil
}
