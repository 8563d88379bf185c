package dnsfront

import (
	"net"
	"testing"

	"github.com/miekg/dns"
)

// listenUDPAndTCP opens a UDP and a TCP socket at one free address.
func listenUDPAndTCP(t *testing.T) (*net.UDPConn, *net.TCPListener) {
	t.Helper()
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at, err := net.ResolveUDPAddr("udp", ln.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		udp, err := net.ListenUDP("udp", at)
		if err == nil {
			t.Cleanup(func() { ln.Close(); udp.Close() })
			return udp, ln.(*net.TCPListener)
		}
		ln.Close()
	}
	t.Fatal("no port is free for both transports")
	return nil, nil
}

// startServer starts a stand-in server over both transports, and returns its address. A nil handler answers with
// 192.0.2.1.
func startServer(t *testing.T, handle dns.HandlerFunc) string {
	t.Helper()
	if handle == nil {
		handle = func(w dns.ResponseWriter, m *dns.Msg) { write(w, answerWith(m, 1)) }
	}
	udp, tcp := listenUDPAndTCP(t)
	acceptAll := func(dns.Header) dns.MsgAcceptAction { return dns.MsgAccept }
	serve(t, &dns.Server{PacketConn: udp, Handler: handle, MsgAcceptFunc: acceptAll})
	serve(t, &dns.Server{Listener: tcp, Handler: handle, MsgAcceptFunc: acceptAll})
	return udp.LocalAddr().String()
}

// serve runs a stand-in server until the test ends.
func serve(t *testing.T, s *dns.Server) {
	t.Helper()
	go func() { _ = s.ActivateAndServe() }() // it fails when the test closes its socket
	t.Cleanup(func() { _ = s.Shutdown() })
}

// write answers as a stand-in server. A client that has left is none of its concern.
func write(w dns.ResponseWriter, m *dns.Msg) { _ = w.WriteMsg(m) }

// answerWith returns an answer with n addresses.
func answerWith(m *dns.Msg, n int) *dns.Msg {
	a := new(dns.Msg)
	a.SetReply(m)
	a.Compress = true
	for i := range n {
		header := dns.RR_Header{Name: m.Question[0].Name, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 9}
		a.Answer = append(a.Answer, &dns.A{Hdr: header, A: net.IPv4(192, 0, 2, byte(i+1))})
	}
	return a
}
