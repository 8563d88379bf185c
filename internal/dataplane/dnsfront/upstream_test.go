package dnsfront

import (
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// testUpstream returns an Upstream that may open maxSockets sockets. They are closed when the test ends.
func testUpstream(t *testing.T, maxSockets int) *Upstream {
	t.Helper()
	settings := testSettings()
	settings.MaxSockets = maxSockets
	registry := metrics.New()
	cfg := sidecartest.Configure(t, "127.0.0.1:1", nil)
	upstream := newUpstream(
		cfg, &settings, core.NewClock(), newCounters(registry), &registry.AttemptsSent, sidecartest.DiscardLog)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		upstream.Maintain(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return upstream
}

// always permits every step of an attempt.
func always(balancer.Micros) bool { return true }

// sendAttempt sends a query to target in one attempt with a timeout of 1 s, and returns the result. tcp sends the query
// over TCP from the start.
func sendAttempt(
	t *testing.T, target core.Target, message *dns.Msg, tcp bool, mayContinue func(balancer.Micros) bool,
) core.Reply {
	t.Helper()
	raw, err := message.Pack()
	if err != nil {
		t.Fatal(err)
	}
	query, err := parseQuery(raw)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return target.Send(ctx, core.Attempt{
		Request:     &upstreamQuery{query: query, overTCP: tcp},
		Begin:       always,
		MayContinue: mayContinue,
	})
}

func addressQuery() *dns.Msg { return new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA) }

// After a truncated answer the query must be sent again over TCP to the same server, as a part of the attempt. If the
// server has begun to drain, nothing may be sent; if nothing listens at its TCP port, the server is at fault.
func TestTruncatedAnswerIsRetriedOverTCP(t *testing.T) {
	var tcpQueries atomic.Int32
	answerBig := func(w dns.ResponseWriter, m *dns.Msg) {
		answer := answerWith(m, 200)
		if _, tcp := w.RemoteAddr().(*net.TCPAddr); !tcp {
			answer.Truncate(1232)
		} else {
			tcpQueries.Add(1)
		}
		writeAnswer(w, answer)
	}
	upstream := testUpstream(t, 8)
	target := upstream.Target(startServer(t, answerBig))
	reply := sendAttempt(t, target, addressQuery(), false, func(balancer.Micros) bool { return false })
	if reply.Status != balancer.NotSent || tcpQueries.Load() != 0 {
		t.Errorf("at a draining server: status %v, %d queries over TCP; want NotSent and none",
			reply.Status, tcpQueries.Load())
	}
	reply = sendAttempt(t, target, addressQuery(), false, always)
	if reply.Status != balancer.OK || len(reply.Content.(*serverAnswer).msg.Answer) != 200 || tcpQueries.Load() != 1 {
		t.Errorf("after a truncated answer: status %v, %d queries over TCP; want OK with 200 addresses after 1 query",
			reply.Status, tcpQueries.Load())
	}
	udp, err := net.ListenPacket("udp", "127.0.0.1:0") // nothing listens at the TCP port of this address
	if err != nil {
		t.Fatal(err)
	}
	server := &dns.Server{PacketConn: udp, Handler: dns.HandlerFunc(answerBig)}
	serve(t, server)
	reply = sendAttempt(t, upstream.Target(udp.LocalAddr().String()), addressQuery(), false, always)
	if reply.Status != balancer.ConnectFailed {
		t.Errorf("after a truncated answer with a closed TCP port: status %v, want ConnectFailed", reply.Status)
	}
	reply = sendAttempt(t, upstream.Target(sidecartest.ClosedAddress(t)), addressQuery(), false, always)
	if reply.Status != balancer.ConnectFailed {
		t.Errorf("at an address with no listener: status %v, want ConnectFailed", reply.Status)
	}
}

// The response code must decide whether an answer counts as success, a rejection or an error of the server.
func TestResponseCodesMapToStatuses(t *testing.T) {
	upstream := testUpstream(t, 8)
	for rcode, want := range map[int]balancer.Status{dns.RcodeSuccess: balancer.OK, dns.RcodeNameError: balancer.OK,
		dns.RcodeServerFailure: balancer.Error, dns.RcodeRefused: balancer.Rejected, dns.RcodeNotImplemented: balancer.OK} {
		target := upstream.Target(startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
			writeAnswer(w, new(dns.Msg).SetRcode(m, rcode))
		}))
		if reply := sendAttempt(t, target, addressQuery(), false, always); reply.Status != want {
			t.Errorf("response code %s: status %v, want %v", dns.RcodeToString[rcode], reply.Status, want)
		}
	}
}

// Messages that are not the answer to the query must not change its outcome: the genuine answer after them is accepted,
// and each other message is counted.
func TestForgedAnswersAreIgnored(t *testing.T) {
	forged := func(m *dns.Msg, change func(*dns.Msg)) *dns.Msg {
		answer := answerWith(m, 1)
		answer.Answer[0].(*dns.A).A = net.IPv4(203, 0, 113, 9)
		change(answer)
		return answer
	}
	upstream := testUpstream(t, 8)
	target := upstream.Target(startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		writeAnswer(w, forged(m, func(answer *dns.Msg) { answer.Id++ }))
		writeAnswer(w, forged(m, func(answer *dns.Msg) { answer.Question[0].Name = "b.look.test." }))
		writeAnswer(w, forged(m, func(answer *dns.Msg) { answer.Question[0].Qtype = dns.TypeTXT }))
		writeAnswer(w, forged(m, func(answer *dns.Msg) { answer.Response = false }))
		writeAnswer(w, forged(m, func(answer *dns.Msg) { answer.Question = nil }))
		_, _ = w.Write([]byte{1, 2, 3})
		writeAnswer(w, answerWith(m, 1))
		writeAnswer(w, answerWith(m, 1))
	}))
	reply := sendAttempt(t, target, addressQuery(), false, always)
	if reply.Status != balancer.OK ||
		!reply.Content.(*serverAnswer).msg.Answer[0].(*dns.A).A.Equal(net.IPv4(192, 0, 2, 1)) {
		t.Fatalf("after forged answers: status %v, content %v; want the genuine answer", reply.Status, reply.Content)
	}
	count := func() uint64 {
		return upstream.counters.UnknownID.Value() + upstream.counters.Mismatched.Value() +
			upstream.counters.Duplicate.Value()
	}
	for end := time.Now().Add(sidecartest.WaitTimeout); count() < 7; {
		if time.Now().After(end) {
			t.Fatalf("%d of 7 messages besides the answer are counted before the deadline", count())
		}
	}
}

// A server's cookie must be returned to it with later queries. An answer whose cookie lacks the client's part is not
// from the server, and must fail the attempt.
func TestServerCookieIsReturnedAndVerified(t *testing.T) {
	var wrongClientPart atomic.Bool
	var lastCookie atomic.Pointer[string]
	upstream := testUpstream(t, 8)
	target := upstream.Target(startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		answer := answerWith(m, 1)
		opt := m.IsEdns0()
		if opt == nil || opt.UDPSize() != maxUDPSize || len(opt.Option) != 1 {
			t.Errorf("the query has the OPT record %v, want one with the maximum size and only a cookie", opt)
			return
		}
		cookie := opt.Option[0].(*dns.EDNS0_COOKIE).Cookie
		lastCookie.Store(&cookie)
		answer.SetEdns0(1232, false)
		clientPart := cookie[:clientCookieDigits]
		if wrongClientPart.Load() {
			clientPart = strings.Repeat("0", clientCookieDigits)
		}
		answer.IsEdns0().Option = []dns.EDNS0{
			&dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: clientPart + "0123456789abcdef"},
		}
		if len(cookie) == clientCookieDigits { // the client has no cookie of this server yet
			answer.Rcode, answer.Answer = dns.RcodeBadCookie, nil
		}
		writeAnswer(w, answer)
	}))
	reply := sendAttempt(t, target, addressQuery(), false, always)
	if reply.Status != balancer.OK || !strings.HasSuffix(*lastCookie.Load(), "0123456789abcdef") {
		t.Errorf("with a server that requires cookies: status %v, last cookie %s; want OK and the server's part",
			reply.Status, *lastCookie.Load())
	}
	wrongClientPart.Store(true)
	if reply := sendAttempt(t, target, addressQuery(), false, always); reply.Status != balancer.Error {
		t.Errorf("answer with the wrong client's part of the cookie: status %v, want Error", reply.Status)
	}
}

// Of ten thousand queries that are open on four sockets, no two on the same socket may have the same ID, and each must
// get its own answer, whatever the order of the answers.
func TestTenThousandOpenQueriesHaveDistinctIDs(t *testing.T) {
	const openQueries = 10_000
	udp, _ := listenUDPAndTCP(t)
	if err := udp.SetReadBuffer(8 << 20); err != nil {
		t.Fatal(err)
	}
	type datagram struct {
		raw []byte
		at  *net.UDPAddr
	}
	datagrams := make(chan datagram, openQueries)
	go func() {
		for {
			buf := make([]byte, 512)
			size, clientAddr, err := udp.ReadFromUDP(buf)
			if err != nil {
				return
			}
			datagrams <- datagram{buf[:size], clientAddr}
		}
	}()
	upstream := testUpstream(t, 4)
	target := upstream.Target(udp.LocalAddr().String())
	var wrong, answered atomic.Int32
	var senders sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	// unreceived limits the queries that the server has not read yet, so that its socket's buffer does not overflow.
	unreceived := make(chan struct{}, 64)
	for i := range openQueries {
		senders.Go(func() {
			raw, _ := new(dns.Msg).SetQuestion(fmt.Sprintf("q%d.look.test.", i), dns.TypeA).Pack()
			query, _ := parseQuery(raw)
			unreceived <- struct{}{}
			reply := target.Send(ctx, core.Attempt{
				Request:     &upstreamQuery{query: query},
				Begin:       always,
				MayContinue: always,
			})
			if reply.Status != balancer.OK {
				if wrong.Add(1) == 1 {
					t.Errorf("query %d: status %v, want OK (context: %v)", i, reply.Status, ctx.Err())
				}
				return
			}
			answered.Add(1)
			if reply.Content.(*serverAnswer).msg.Question[0].Name != fmt.Sprintf("q%d.look.test.", i) {
				wrong.Add(1)
			}
		})
	}
	received := make([]datagram, 0, openQueries)
	seen := map[string]string{}
	for len(received) < openQueries {
		select {
		case query := <-datagrams:
			key := query.at.String() + string(query.raw[:2])
			if previous, known := seen[key]; known {
				if previous != string(query.raw) {
					t.Error("two open queries on the same socket have the same ID")
					cancel()
				}
				continue // the same query was sent again
			}
			seen[key] = string(query.raw)
			received = append(received, query)
			<-unreceived
		case <-ctx.Done():
			t.Fatalf("the server received %d of %d queries before the deadline", len(received), openQueries)
		}
	}
	for i := range received { // answers the queries in reverse order
		query := received[len(received)-1-i]
		m := new(dns.Msg)
		if err := m.Unpack(query.raw); err != nil {
			t.Fatal(err)
		}
		raw, err := answerWith(m, 1).Pack()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := udp.WriteToUDP(raw, query.at); err != nil {
			t.Fatal(err)
		}
		for i >= int(answered.Load()+wrong.Load())+100 && ctx.Err() == nil { // else the sockets' buffers overflow
			time.Sleep(50 * time.Microsecond)
		}
	}
	senders.Wait()
	if answered.Load() != openQueries || wrong.Load() > 0 {
		t.Errorf("%d queries were answered, want 10000; %d failed or got the answer to another query",
			answered.Load(), wrong.Load())
	}
}

// A connection that closes must fail each of its queries in flight once, and the next query must open another one.
// After Close nothing may be sent.
func TestConnectionLossFailsEachQueryInFlightOnce(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	var conns atomic.Int32
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			first := conns.Add(1) == 1
			go func() {
				defer conn.Close()
				for received := 1; ; received++ {
					raw, err := readFrame(conn, nil)
					if err != nil || first && received == 10 {
						return
					}
					if first {
						continue
					}
					m := new(dns.Msg)
					if err := m.Unpack(raw); err != nil {
						t.Error(err)
						return
					}
					encoded, err := answerWith(m, 1).Pack()
					if err != nil {
						t.Error(err)
						return
					}
					if _, err := conn.Write(appendFrame(nil, encoded)); err != nil {
						return // the client has closed the connection
					}
				}
			}()
		}
	}()
	upstream := testUpstream(t, 1)
	target := upstream.Target(listener.Addr().String())
	var senders sync.WaitGroup
	var reset atomic.Int32
	for range 10 {
		senders.Go(func() {
			if sendAttempt(t, target, addressQuery(), true, always).Status == balancer.Reset {
				reset.Add(1)
			}
		})
	}
	senders.Wait()
	if reset.Load() != 10 || conns.Load() != 1 {
		t.Errorf("%d of 10 queries in flight ended as Reset, on %d connections; want all, on 1",
			reset.Load(), conns.Load())
	}
	if reply := sendAttempt(t, target, addressQuery(), true, always); reply.Status != balancer.OK || conns.Load() != 2 {
		t.Errorf("next query after the loss: status %v, %d connections in all; want OK and 2",
			reply.Status, conns.Load())
	}
	target.Close()
	if reply := sendAttempt(t, target, addressQuery(), true, always); reply.Status != balancer.NotSent {
		t.Errorf("query after Close: status %v, want NotSent", reply.Status)
	}
}

// The connections to many servers must not exceed the file descriptors that the front may use: idle connections are
// closed in time.
func TestServerConnectionsAreBounded(t *testing.T) {
	upstream := testUpstream(t, 4)
	for i := range 2 * upstream.settings.maxServerConns() {
		if reply := sendAttempt(
			t, upstream.Target(startServer(t, nil)), addressQuery(), true, always,
		); reply.Status != balancer.OK {
			t.Fatalf("query to server %d: status %v, want OK", i, reply.Status)
		}
		upstream.mu.Lock()
		open := len(upstream.conns)
		upstream.mu.Unlock()
		if open > upstream.settings.maxServerConns() {
			t.Fatalf("%d connections are open, want at most %d", open, upstream.settings.maxServerConns())
		}
	}
}
