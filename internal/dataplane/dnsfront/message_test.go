package dnsfront

import (
	"errors"
	"net/netip"
	"testing"
	"time"

	"github.com/miekg/dns"
)

// FuzzFront takes a client's message and a server's, of any kind: nothing panics, what is passed on asks the same,
// and an answer has the client's id and fits into what it may get.
func FuzzFront(f *testing.F) {
	add := func(q, a *dns.Msg) {
		x, err := q.Pack()
		if err != nil {
			f.Fatal(err)
		}
		y, err := a.Pack()
		if err != nil {
			f.Fatal(err)
		}
		f.Add(x, y)
	}
	plain := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA)
	add(plain, answerWith(plain, 1))
	add(plain, answerWith(plain, 150))
	edns := new(dns.Msg).SetQuestion("b.look.test.", dns.TypeTXT)
	edns.SetEdns0(4096, true)
	edns.IsEdns0().Option = []dns.EDNS0{
		&dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: "0011223344556677"},
		&dns.EDNS0_TCP_KEEPALIVE{Code: dns.EDNS0TCPKEEPALIVE},
	}
	bad := new(dns.Msg).SetRcode(edns, dns.RcodeBadCookie)
	bad.SetEdns0(1232, false)
	add(edns, bad)
	add(new(dns.Msg).SetUpdate("look.test."), new(dns.Msg).SetRcode(plain, dns.RcodeNotImplemented))
	f.Fuzz(func(t *testing.T, client, server []byte) {
		q, err := parseQuery(client)
		if err != nil {
			var invalid *queryError
			if errors.As(err, &invalid) {
				q.errorAnswer(dns.RcodeFormatError, 0, "x", replyOptions{})
			}
			return
		}
		sent, err := q.forServer("00112233445566770011223344556677")
		if err != nil {
			return // it can be read, and not be written
		}
		again, err := parseQuery(sent)
		if err != nil || again.opcode != q.opcode || !q.isPassedThrough() && again.msg.Question[0] != q.msg.Question[0] {
			t.Fatalf("passed on as %x: %v", sent, err)
		}
		q.truncatedAnswer(nil, replyOptions{cookie: "x"})
		if len(server) > 0xffff || !q.isAnsweredBy(server) {
			return
		}
		a, _, err := q.readAnswer(server)
		if err != nil {
			return
		}
		for _, tcp := range []bool{false, true} {
			options := replyOptions{tcp: tcp, cookie: "00112233445566770011223344556677", keepalive: time.Second}
			raw, err := q.packAnswer(a, options)
			if err != nil {
				continue
			}
			if raw == nil || raw[0] != client[0] || raw[1] != client[1] || raw[2]&0x80 == 0 || !tcp && len(raw) > q.maxUDPSize {
				t.Fatalf("to %x, over TCP %v: %d bytes, %x", client, tcp, len(raw), raw)
			}
		}
	})
}

// A cookie proves to the server that gave it, for its lifetime, that a client receives what is sent to its address.
func TestClientCookieProvesAddressForALimitedTime(t *testing.T) {
	now, a := time.Unix(1_800_000_000, 0), netip.MustParseAddr("192.0.2.7")
	s, other := &cookieSecret{1}, &cookieSecret{2}
	const part = "0011223344556677"
	c := s.serverPart(now, a, part)
	for name, ok := range map[string]bool{
		"it":                 s.verify(now.Add(time.Minute), a, part, c),
		"mapped":             s.verify(now, netip.MustParseAddr("::ffff:192.0.2.7"), part, c),
		"not old":            !s.verify(now.Add(2*time.Hour), a, part, c),
		"not from ahead":     !s.verify(now.Add(-time.Hour), a, part, c),
		"not another's":      !s.verify(now, netip.MustParseAddr("192.0.2.8"), part, c),
		"not another key":    !other.verify(now, a, part, c),
		"not another's part": !s.verify(now, a, "1011223344556677", c),
		"not cut":            !s.verify(now, a, part, c[:10]) && !s.verify(now, a, part, ""),
	} {
		if !ok {
			t.Error(name)
		}
	}
}
