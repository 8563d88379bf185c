package dnsfront

import (
	"net"
	"testing"

	"github.com/miekg/dns"
)

// listenUDPAndTCP listens over UDP and TCP at one free address, until the test ends.
func listenUDPAndTCP(t *testing.T) (*net.UDPConn, *net.TCPListener) {
	t.Helper()
	for range 50 {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		addr, err := net.ResolveUDPAddr("udp", listener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", addr)
		if err == nil {
			t.Cleanup(func() { listener.Close(); udp.Close() })
			return udp, listener.(*net.TCPListener)
		}
		listener.Close()
	}
	t.Fatal("found no port that is free for both UDP and TCP in 50 attempts")
	return nil, nil
}

// startServer starts a fake DNS server over both transports, and returns its address. It runs until the test ends. A
// nil handler answers every query with 192.0.2.1.
func startServer(t *testing.T, handle dns.HandlerFunc) string {
	t.Helper()
	if handle == nil {
		handle = func(w dns.ResponseWriter, m *dns.Msg) { writeAnswer(w, answerWith(m, 1)) }
	}
	udp, tcp := listenUDPAndTCP(t)
	acceptAll := func(dns.Header) dns.MsgAcceptAction { return dns.MsgAccept }
	serve(t, &dns.Server{PacketConn: udp, Handler: handle, MsgAcceptFunc: acceptAll})
	serve(t, &dns.Server{Listener: tcp, Handler: handle, MsgAcceptFunc: acceptAll})
	return udp.LocalAddr().String()
}

// serve runs a fake DNS server until the test ends.
func serve(t *testing.T, server *dns.Server) {
	t.Helper()
	go func() { _ = server.ActivateAndServe() }() // fails if the test closes the socket first
	t.Cleanup(func() { _ = server.Shutdown() })
}

// writeAnswer sends an answer of a fake server. It ignores errors, since the client may have left.
func writeAnswer(w dns.ResponseWriter, m *dns.Msg) { _ = w.WriteMsg(m) }

// answerWith returns an answer to the query m with a number of addresses, from 192.0.2.1 on.
func answerWith(m *dns.Msg, addresses int) *dns.Msg {
	answer := new(dns.Msg)
	answer.SetReply(m)
	answer.Compress = true
	for i := range addresses {
		header := dns.RR_Header{Name: m.Question[0].Name, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 9}
		answer.Answer = append(answer.Answer, &dns.A{Hdr: header, A: net.IPv4(192, 0, 2, byte(i+1))})
	}
	return answer
}
