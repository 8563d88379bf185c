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

// testUpstream returns an Upstream that may open so many sockets, for as long as the test runs.
func testUpstream(t *testing.T, sockets int) *Upstream {
	t.Helper()
	s := testSettings()
	s.MaxSockets = sockets
	r := metrics.New()
	c := sidecartest.Configure(t, "127.0.0.1:1", nil)
	u := newUpstream(c, &s, core.NewClock(), newCounters(r), &r.AttemptsSent, sidecartest.DiscardLog)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		u.Maintain(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return u
}

func always(balancer.Micros) bool { return true }

// sendAttempt makes one attempt, with a timeout as the event loop has.
func sendAttempt(t *testing.T, to core.Target, m *dns.Msg, tcp bool, more func(balancer.Micros) bool) core.Reply {
	t.Helper()
	raw, err := m.Pack()
	if err != nil {
		t.Fatal(err)
	}
	q, err := parseQuery(raw)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	return to.Send(ctx, core.Attempt{Request: &upstreamQuery{question: q, tcp: tcp}, Begin: always, MayContinue: more})
}

func addressQuery() *dns.Msg { return new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA) }

// A truncated answer is continued over TCP at the same server as a part of the attempt, unless the server is draining
// by then or its TCP port is dead.
func TestTruncatedAnswerIsRetriedOverTCP(t *testing.T) {
	var connections atomic.Int32
	big := func(w dns.ResponseWriter, m *dns.Msg) {
		a := answerWith(m, 200)
		if _, tcp := w.RemoteAddr().(*net.TCPAddr); !tcp {
			a.Truncate(1232)
		} else {
			connections.Add(1)
		}
		write(w, a)
	}
	u := testUpstream(t, 8)
	to := u.Target(startServer(t, big))
	r := sendAttempt(t, to, addressQuery(), false, func(balancer.Micros) bool { return false })
	if r.Status != balancer.NotSent || connections.Load() != 0 {
		t.Errorf("at a server that drains: status %v, %d asked over TCP", r.Status, connections.Load())
	}
	r = sendAttempt(t, to, addressQuery(), false, always)
	if r.Status != balancer.OK || len(r.Content.(*answer).msg.Answer) != 200 || connections.Load() != 1 {
		t.Errorf("status %v, %d asked over TCP", r.Status, connections.Load())
	}
	pc, err := net.ListenPacket("udp", "127.0.0.1:0") // and nobody listens for TCP there
	if err != nil {
		t.Fatal(err)
	}
	s := &dns.Server{PacketConn: pc, Handler: dns.HandlerFunc(big)}
	serve(t, s)
	r = sendAttempt(t, u.Target(pc.LocalAddr().String()), addressQuery(), false, always)
	if r.Status != balancer.ConnectFailed {
		t.Errorf("with a dead TCP port: status %v, want one that blames the server", r.Status)
	}
	r = sendAttempt(t, u.Target(sidecartest.ClosedAddress(t)), addressQuery(), false, always)
	if r.Status != balancer.ConnectFailed {
		t.Errorf("where nobody listens: status %v", r.Status)
	}
}

// A response code counts as an answer, a rejection or an error of the server, by its meaning.
func TestResponseCodesMapToStatuses(t *testing.T) {
	u := testUpstream(t, 8)
	for rcode, want := range map[int]balancer.Status{dns.RcodeSuccess: balancer.OK, dns.RcodeNameError: balancer.OK,
		dns.RcodeServerFailure: balancer.Error, dns.RcodeRefused: balancer.Rejected, dns.RcodeNotImplemented: balancer.OK} {
		to := u.Target(startServer(t, func(w dns.ResponseWriter, m *dns.Msg) { write(w, new(dns.Msg).SetRcode(m, rcode)) }))
		if r := sendAttempt(t, to, addressQuery(), false, always); r.Status != want {
			t.Errorf("%s: status %v, want %v", dns.RcodeToString[rcode], r.Status, want)
		}
	}
}

// Messages that are not the answer do not change the outcome; the genuine one after them counts.
func TestForgedAnswersAreIgnored(t *testing.T) {
	other := func(m *dns.Msg, change func(*dns.Msg)) *dns.Msg {
		a := answerWith(m, 1)
		a.Answer[0].(*dns.A).A = net.IPv4(203, 0, 113, 9)
		change(a)
		return a
	}
	u := testUpstream(t, 8)
	to := u.Target(startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		write(w, other(m, func(a *dns.Msg) { a.Id++ }))
		write(w, other(m, func(a *dns.Msg) { a.Question[0].Name = "b.look.test." }))
		write(w, other(m, func(a *dns.Msg) { a.Question[0].Qtype = dns.TypeTXT }))
		write(w, other(m, func(a *dns.Msg) { a.Response = false }))
		write(w, other(m, func(a *dns.Msg) { a.Question = nil }))
		_, _ = w.Write([]byte{1, 2, 3})
		write(w, answerWith(m, 1))
		write(w, answerWith(m, 1))
	}))
	r := sendAttempt(t, to, addressQuery(), false, always)
	if r.Status != balancer.OK || !r.Content.(*answer).msg.Answer[0].(*dns.A).A.Equal(net.IPv4(192, 0, 2, 1)) {
		t.Fatalf("status %v, %v", r.Status, r.Content)
	}
	count := func() uint64 {
		return u.counters.UnknownID.Value() + u.counters.Mismatched.Value() + u.counters.Duplicate.Value()
	}
	for end := time.Now().Add(sidecartest.WaitTimeout); count() < 7; {
		if time.Now().After(end) {
			t.Fatalf("%d of 7 were counted", count())
		}
	}
}

// A server's cookie is returned to it from then on; an answer without the client's part is not the server's.
func TestServerCookieIsReturnedAndVerified(t *testing.T) {
	var spoil atomic.Bool
	var seen atomic.Pointer[string]
	u := testUpstream(t, 8)
	to := u.Target(startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		a := answerWith(m, 1)
		opt := m.IsEdns0()
		if opt == nil || opt.UDPSize() != maxUDPSize || len(opt.Option) != 1 {
			t.Errorf("asked with %v", opt)
			return
		}
		c := opt.Option[0].(*dns.EDNS0_COOKIE).Cookie
		seen.Store(&c)
		a.SetEdns0(1232, false)
		mine := c[:clientCookieDigits]
		if spoil.Load() {
			mine = strings.Repeat("0", clientCookieDigits)
		}
		a.IsEdns0().Option = []dns.EDNS0{&dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: mine + "0123456789abcdef"}}
		if len(c) == clientCookieDigits { // it does not know us yet
			a.Rcode, a.Answer = dns.RcodeBadCookie, nil
		}
		write(w, a)
	}))
	r := sendAttempt(t, to, addressQuery(), false, always)
	if r.Status != balancer.OK || !strings.HasSuffix(*seen.Load(), "0123456789abcdef") {
		t.Errorf("status %v, cookie %s", r.Status, *seen.Load())
	}
	spoil.Store(true)
	if r := sendAttempt(t, to, addressQuery(), false, always); r.Status != balancer.Error {
		t.Errorf("with another's cookie: status %v", r.Status)
	}
}

// Of ten thousand queries that are open on four sockets no two of a socket have the same ID, and each gets its own
// answer, in any order.
func TestTenThousandOpenQueriesHaveDistinctIDs(t *testing.T) {
	const open = 10_000
	udp, _ := listenUDPAndTCP(t)
	if err := udp.SetReadBuffer(8 << 20); err != nil {
		t.Fatal(err)
	}
	type from struct {
		raw []byte
		at  *net.UDPAddr
	}
	all := make(chan from, open)
	go func() {
		for {
			buf := make([]byte, 512)
			n, at, err := udp.ReadFromUDP(buf)
			if err != nil {
				return
			}
			all <- from{buf[:n], at}
		}
	}()
	u := testUpstream(t, 4)
	to := u.Target(udp.LocalAddr().String())
	var wrong, answered atomic.Int32
	var wait sync.WaitGroup
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	room := make(chan struct{}, 64) // sent and not seen by the server yet, or its buffer overflows
	for i := range open {
		wait.Go(func() {
			raw, _ := new(dns.Msg).SetQuestion(fmt.Sprintf("q%d.look.test.", i), dns.TypeA).Pack()
			q, _ := parseQuery(raw)
			room <- struct{}{}
			r := to.Send(ctx, core.Attempt{Request: &upstreamQuery{question: q}, Begin: always, MayContinue: always})
			if r.Status != balancer.OK {
				if wrong.Add(1) == 1 {
					t.Errorf("query %d: status %v after %v", i, r.Status, ctx.Err())
				}
				return
			}
			answered.Add(1)
			if r.Content.(*answer).msg.Question[0].Name != fmt.Sprintf("q%d.look.test.", i) {
				wrong.Add(1)
			}
		})
	}
	held := make([]from, 0, open)
	seen := map[string]string{}
	for len(held) < open {
		select {
		case f := <-all:
			key := f.at.String() + string(f.raw[:2])
			if before, known := seen[key]; known {
				if before != string(f.raw) {
					t.Error("two open queries of one socket have the same id")
					cancel()
				}
				continue // sent again
			}
			seen[key] = string(f.raw)
			held = append(held, f)
			<-room
		case <-ctx.Done():
			t.Fatalf("%d of %d came", len(held), open)
		}
	}
	for i := range held { // the last first
		f := held[len(held)-1-i]
		m := new(dns.Msg)
		if err := m.Unpack(f.raw); err != nil {
			t.Fatal(err)
		}
		raw, err := answerWith(m, 1).Pack()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := udp.WriteToUDP(raw, f.at); err != nil {
			t.Fatal(err)
		}
		for i >= int(answered.Load()+wrong.Load())+100 && ctx.Err() == nil { // or the sockets' buffers overflow
			time.Sleep(50 * time.Microsecond)
		}
	}
	wait.Wait()
	if answered.Load() != open || wrong.Load() > 0 {
		t.Errorf("%d answered, %d wrong", answered.Load(), wrong.Load())
	}
}

// A connection that closes fails each of its queries in flight once; the next query opens another.
func TestConnectionLossFailsEachQueryInFlightOnce(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer ln.Close()
	var conns atomic.Int32
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			first := conns.Add(1) == 1
			go func() {
				defer c.Close()
				for n := 1; ; n++ {
					raw, err := readFrame(c, nil)
					if err != nil || first && n == 10 {
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
					text, err := answerWith(m, 1).Pack()
					if err != nil {
						t.Error(err)
						return
					}
					if _, err := c.Write(appendFrame(nil, text)); err != nil {
						return // the client has closed the connection
					}
				}
			}()
		}
	}()
	u := testUpstream(t, 1)
	to := u.Target(ln.Addr().String())
	var wait sync.WaitGroup
	var reset atomic.Int32
	for range 10 {
		wait.Go(func() {
			if sendAttempt(t, to, addressQuery(), true, always).Status == balancer.Reset {
				reset.Add(1)
			}
		})
	}
	wait.Wait()
	if reset.Load() != 10 || conns.Load() != 1 {
		t.Errorf("%d of 10 in flight were told, over %d connections", reset.Load(), conns.Load())
	}
	if r := sendAttempt(t, to, addressQuery(), true, always); r.Status != balancer.OK || conns.Load() != 2 {
		t.Errorf("afterwards: status %v, %d connections", r.Status, conns.Load())
	}
	to.Close()
	if r := sendAttempt(t, to, addressQuery(), true, always); r.Status != balancer.NotSent {
		t.Errorf("of what is gone: status %v", r.Status)
	}
}

// Connections to many servers stay within the descriptors that the front reserves: idle ones are closed.
func TestServerConnectionsAreBounded(t *testing.T) {
	u := testUpstream(t, 4)
	for i := range 2 * u.settings.maxServerConns() {
		if r := sendAttempt(t, u.Target(startServer(t, nil)), addressQuery(), true, always); r.Status != balancer.OK {
			t.Fatalf("server %d: status %v", i, r.Status)
		}
		u.mu.Lock()
		n := len(u.conns)
		u.mu.Unlock()
		if n > u.settings.maxServerConns() {
			t.Fatalf("%d connections are open, %d may be", n, u.settings.maxServerConns())
		}
	}
}
