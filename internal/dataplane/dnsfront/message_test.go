package dnsfront

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// FuzzFront takes any message of a client and any message of a server. Nothing may panic, a forwarded query must have
// the client's opcode and question, and an answer must have the client's ID and not exceed the client's maximum size.
func FuzzFront(f *testing.F) {
	add := func(query, answer *dns.Msg) {
		encodedQuery, err := query.Pack()
		if err != nil {
			f.Fatal(err)
		}
		encodedAnswer, err := answer.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(encodedQuery, encodedAnswer)
	}
	plainQuery := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA)
	add(plainQuery, answerWith(plainQuery, 1))
	add(plainQuery, answerWith(plainQuery, 150))
	ednsQuery := new(dns.Msg).SetQuestion("b.look.test.", dns.TypeTXT)
	ednsQuery.SetEdns0(4096, true)
	ednsQuery.IsEdns0().Option = []dns.EDNS0{
		&dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: "0011223344556677"},
		&dns.EDNS0_TCP_KEEPALIVE{Code: dns.EDNS0TCPKEEPALIVE},
	}
	badCookie := new(dns.Msg).SetRcode(ednsQuery, dns.RcodeBadCookie)
	badCookie.SetEdns0(1232, false)
	add(ednsQuery, badCookie)
	add(new(dns.Msg).SetUpdate("look.test."), new(dns.Msg).SetRcode(plainQuery, dns.RcodeNotImplemented))
	f.Fuzz(func(t *testing.T, client, server []byte) {
		query, err := parseQuery(client)
		if err != nil {
			var invalid *queryError
			if errors.As(err, &invalid) {
				query.errorAnswer(dns.RcodeFormatError, 0, "x", replyOptions{})
			}
			return
		}
		forwarded, err := query.packForServer("00112233445566770011223344556677")
		if err != nil {
			return // some queries can be parsed but not encoded
		}
		reparsed, err := parseQuery(forwarded)
		if err != nil || reparsed.opcode != query.opcode ||
			!query.isPassedThrough() && reparsed.msg.Question[0] != query.msg.Question[0] {
			t.Fatalf("forwarded query %x differs from the client's query, or parsing it fails with %v", forwarded, err)
		}
		query.truncatedAnswer(nil, replyOptions{serverCookie: "x"})
		if len(server) > 0xffff || !query.isAnsweredBy(server) {
			return
		}
		answer, _, err := query.parseAnswer(server)
		if err != nil {
			return
		}
		for _, tcp := range []bool{false, true} {
			options := replyOptions{
				overTCP:          tcp,
				serverCookie:     "00112233445566770011223344556677",
				keepaliveTimeout: time.Second,
			}
			raw, err := query.packAnswer(answer, options)
			if err != nil {
				continue
			}
			if raw == nil || raw[0] != client[0] || raw[1] != client[1] || raw[2]&0x80 == 0 ||
				!tcp && len(raw) > query.maxUDPSize {
				t.Fatalf("answer to query %x (over TCP: %v) has %d bytes: %x", client, tcp, len(raw), raw)
			}
		}
	})
}

// A cookie must prove that a client receives what is sent to its address, but only to the server that gave the cookie,
// only for that address and client's part, and only for its lifetime.
func TestClientCookieProvesAddressForALimitedTime(t *testing.T) {
	now, client := time.Unix(1_800_000_000, 0), netip.MustParseAddr("192.0.2.7")
	secret, otherSecret := &cookieSecret{1}, &cookieSecret{2}
	const clientPart = "0011223344556677"
	serverPart := secret.serverPart(now, client, clientPart)
	for name, ok := range map[string]bool{
		"it": secret.verify(now.Add(time.Minute), client, clientPart, serverPart),
		"mapped": secret.verify(
			now, netip.MustParseAddr("::ffff:192.0.2.7"), clientPart, serverPart),
		"an expired cookie is accepted":        !secret.verify(now.Add(2*time.Hour), client, clientPart, serverPart),
		"a cookie from the future is accepted": !secret.verify(now.Add(-time.Hour), client, clientPart, serverPart),
		"a cookie of another address is accepted": !secret.verify(
			now, netip.MustParseAddr("192.0.2.8"), clientPart, serverPart),
		"a cookie of another server is accepted": !otherSecret.verify(now, client, clientPart, serverPart),
		"another client's part is accepted":      !secret.verify(now, client, "1011223344556677", serverPart),
		"a shortened or empty cookie is accepted": !secret.verify(now, client, clientPart, serverPart[:10]) &&
			!secret.verify(now, client, clientPart, ""),
	} {
		if !ok {
			t.Error(name)
		}
	}
}
