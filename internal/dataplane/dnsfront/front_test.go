package dnsfront

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/dnsfront/limit"
	"birchmoor/internal/dataplane/dnsfront/route"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/dataplane/sidecar"
	"birchmoor/internal/testutil/sidecartest"
)

// listenUDPAndTCP is a UDP and a TCP socket at one free address.
func listenUDPAndTCP(t *testing.T) (*net.UDPConn, *net.TCPListener) {
	t.Helper()
	for range 50 {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		at, _ := net.ResolveUDPAddr("udp", ln.Addr().String())
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

// startServer is a stand-in server; it answers A queries with 192.0.2.1 unless it is given something else to do.
func startServer(t *testing.T, handle dns.HandlerFunc) string {
	t.Helper()
	if handle == nil {
		handle = func(w dns.ResponseWriter, m *dns.Msg) { w.WriteMsg(answerWith(m, 1)) }
	}
	udp, tcp := listenUDPAndTCP(t)
	for _, s := range []*dns.Server{{PacketConn: udp, Handler: handle, MsgAcceptFunc: func(dns.Header) dns.MsgAcceptAction { return dns.MsgAccept }},
		{Listener: tcp, Handler: handle, MsgAcceptFunc: func(dns.Header) dns.MsgAcceptAction { return dns.MsgAccept }}} {
		go s.ActivateAndServe()
		t.Cleanup(func() { s.Shutdown() })
	}
	return udp.LocalAddr().String()
}

// answerWith is an answer with n addresses.
func answerWith(m *dns.Msg, n int) *dns.Msg {
	a := new(dns.Msg)
	a.SetReply(m)
	a.Compress = true
	for i := range n {
		a.Answer = append(a.Answer, &dns.A{Hdr: dns.RR_Header{Name: m.Question[0].Name, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 9},
			A: net.IPv4(192, 0, 2, byte(i+1))})
	}
	return a
}

func testSettings() Settings {
	class := func(name string, share bool, ops ...int) Class {
		return Class{Name: name, LatencyObjective: 500 * time.Millisecond, Timeout: 1500 * time.Millisecond, PriorityWeight: 1, LatePriorityWeight: 0.5, MaxAttempts: 3,
			ShareAnswers: share, Route: route.Class{Suffixes: []string{name + ".test"}, Opcodes: ops}}
	}
	return Settings{MaxSockets: 64, MaxConnsPerServer: 2, MaxClientConns: 8, MaxQueriesPerConn: 32, IdleTimeout: 2 * time.Second,
		Limit:   limit.Settings{MaxOpen: 1000, MaxOpenPerPrefix: 1000, UnverifiedShare: 1, AnswersPerSecond: 1e6, Burst: 1e6, TruncateEvery: 2, MaxPrefixes: 100},
		Classes: []Class{class("look", false), class("same", true), class("change", false, dns.OpcodeUpdate)}}
}

// retainedSockets is sockets that outlive those who listen on them, as the platform's do.
type retainedSockets struct {
	udp *net.UDPConn
	tcp *net.TCPListener
}

func (h retainedSockets) ListenPacket() (*net.UDPConn, error) {
	f, err := h.udp.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	c, err := net.FilePacketConn(f)
	if err != nil {
		return nil, err
	}
	return c.(*net.UDPConn), nil
}

func (h retainedSockets) Listen() (net.Listener, error) {
	f, err := h.tcp.File()
	if err != nil {
		return nil, err
	}
	defer f.Close()
	return net.FileListener(f)
}

type fixedListener struct{ net.Listener }

func (o fixedListener) Listen() (net.Listener, error) { return o.Listener, nil }

// testSidecar is a sidecar with the front, over servers at addrs.
type testSidecar struct {
	addr       string
	front      *Front
	management net.Listener // operators'
	stop       context.CancelFunc
	ended      chan error
}

// call makes an operator's call.
func (r *testSidecar) call(t *testing.T, line string) string {
	t.Helper()
	c, err := net.Dial("tcp", r.management.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(sidecartest.WaitTimeout))
	io.WriteString(c, line+"\n")
	answer, err := io.ReadAll(c)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

func startSidecar(t *testing.T, s Settings, h retainedSockets, dir string, addrs ...string) *testSidecar {
	t.Helper()
	var known []discovery.Instance
	for i, a := range addrs {
		in := sidecartest.ReadyInstance(fmt.Sprintf("d-%d", i), a)
		in.Protocol, in.StartedMs = Protocol, 1
		known = append(known, in)
	}
	known = append(known, sidecartest.ReadyInstance("web", sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})))
	c := sidecartest.Configure(t, sidecartest.ClosedAddress(t), known)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &testSidecar{addr: h.udp.LocalAddr().String(), ended: make(chan error, 1),
		front: &Front{Settings: s, Sockets: Sockets{UDP: h, TCP: h}}}
	var ctx context.Context
	ctx, r.stop = context.WithCancel(context.Background())
	if r.management, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	host := sidecar.Host{Socket: fixedListener{ln}, Management: r.management, Overrides: maintenance.Discard{}, Protocols: []core.Protocol{r.front},
		Reload: make(chan os.Signal), ReadConfig: func() (*config.Config, error) { return c, nil }, Log: sidecartest.DiscardLog}
	if dir != "" {
		host.HandoverPath = filepath.Join(dir, "sock")
	}
	go func() { r.ended <- sidecar.Run(ctx, c, host); close(r.ended) }()
	t.Cleanup(func() { r.stop(); <-r.ended })
	for end := time.Now().Add(sidecartest.WaitTimeout); ; {
		m, err := dns.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), r.addr)
		if err == nil && m.Rcode == dns.RcodeSuccess || len(addrs) == 0 {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the front does not answer: %v %v", m, err)
		}
	}
	for end := time.Now().Add(sidecartest.WaitTimeout); dir != "" && r.call(t, "status") != "YES\n"; { // then the next process finds it
		if time.Now().After(end) {
			t.Fatal("the front does not come to serve")
		}
	}
	return r
}

func startSidecarWith(t *testing.T, addrs ...string) *testSidecar {
	udp, tcp := listenUDPAndTCP(t)
	return startSidecar(t, testSettings(), retainedSockets{udp, tcp}, "", addrs...)
}

// Programs that nobody here wrote are content: the standard library's resolver, and miekg's client over both transports.
func TestStandardClientsAreServed(t *testing.T) {
	r := startSidecarWith(t, startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		if m.Question[0].Qtype == dns.TypeAAAA {
			w.WriteMsg(answerWith(m, 0))
			return
		}
		n := 2
		if strings.HasPrefix(m.Question[0].Name, "many.") {
			n = 200
		}
		a := answerWith(m, n)
		if _, tcp := w.RemoteAddr().(*net.TCPAddr); !tcp {
			a.Truncate(512)
		}
		if strings.HasPrefix(m.Question[0].Name, "none.") {
			a = new(dns.Msg).SetRcode(m, dns.RcodeNameError)
		}
		w.WriteMsg(a)
	}))
	std := &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, r.addr)
	}}
	for name, want := range map[string]int{"two.look.test.": 2, "many.look.test.": 200} { // the latter over TCP in the end
		if got, err := std.LookupHost(t.Context(), name); err != nil || len(got) != want {
			t.Errorf("%s: %d addresses, %v", name, len(got), err)
		}
	}
	var missing *net.DNSError
	if _, err := std.LookupHost(t.Context(), "none.look.test."); err == nil || !asDNS(err, &missing) || !missing.IsNotFound {
		t.Errorf("a name that does not exist: %v", err)
	}
	for _, network := range []string{"udp", "tcp"} {
		m, _, err := (&dns.Client{Net: network, Timeout: sidecartest.WaitTimeout}).Exchange(new(dns.Msg).SetQuestion("many.look.test.", dns.TypeA), r.addr)
		if err != nil || m.Truncated != (network == "udp") || network == "tcp" && len(m.Answer) != 200 {
			t.Errorf("%s: %v", network, err)
		}
		if m.Compress = true; network == "udp" && m.Len() > maxPlainUDPSize {
			t.Errorf("%d bytes to a client without EDNS", m.Len())
		}
	}
}

func asDNS(err error, to **net.DNSError) bool {
	e, ok := err.(*net.DNSError)
	*to = e
	return ok
}

// An operator's ban binds for servers of this front as for those of HTTP, and its figures stand beside.
func TestAdminDrainAppliesToDNSServers(t *testing.T) {
	var asked [2]atomic.Int32
	server := func(i int) string {
		return startServer(t, func(w dns.ResponseWriter, m *dns.Msg) { asked[i].Add(1); w.WriteMsg(answerWith(m, 1)) })
	}
	r := startSidecarWith(t, server(0), server(1))
	if got := r.call(t, "maint-on d-0"); got != "YES\n" {
		t.Fatal(got)
	}
	before := asked[0].Load()
	for range 50 {
		if m, err := dns.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), r.addr); err != nil || m.Rcode != dns.RcodeSuccess {
			t.Errorf("%v %v", m, err)
		}
	}
	if asked[0].Load() != before || asked[1].Load() < 50 {
		t.Errorf("the banned server was asked %d times", asked[0].Load()-before)
	}
	if got := r.call(t, "maint-on d-9"); !strings.Contains(got, "unknown id") {
		t.Error(got)
	}
	if got := r.call(t, "stats"); !strings.Contains(got, `app_dns_answered_total{group="dns.look"} `) || !strings.Contains(got, `app_answered_total{group="look"} 0`) {
		t.Error(got)
	}
}

// What is no query of a class has an answer that says why, or none.
func TestInvalidQueriesAreRejectedWithReason(t *testing.T) {
	r := startSidecarWith(t, startServer(t, nil))
	ask := func(m *dns.Msg) *dns.Msg {
		t.Helper()
		m.SetEdns0(1232, false)
		a, err := dns.Exchange(m, r.addr)
		if err != nil {
			t.Fatal(err)
		}
		return a
	}
	chaos := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeTXT)
	chaos.Question[0].Qclass = dns.ClassCHAOS
	two := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA)
	two.Question = append(two.Question, two.Question[0])
	notify := new(dns.Msg).SetNotify("a.look.test.")
	status := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA)
	status.Opcode = dns.OpcodeStatus
	for name, c := range map[string]struct {
		m    *dns.Msg
		want int
	}{
		"no class":     {new(dns.Msg).SetQuestion("a.other.test.", dns.TypeA), dns.RcodeRefused},
		"a transfer":   {new(dns.Msg).SetAxfr("a.look.test."), dns.RcodeRefused},
		"class CHAOS":  {chaos, dns.RcodeRefused},
		"two":          {two, dns.RcodeFormatError},
		"notify":       {notify, dns.RcodeRefused},
		"opcode":       {status, dns.RcodeNotImplemented},
		"update, look": {new(dns.Msg).SetUpdate("a.look.test."), dns.RcodeRefused},
	} {
		if a := ask(c.m); a.Rcode != c.want {
			t.Errorf("%s: %s, want %s", name, dns.RcodeToString[a.Rcode], dns.RcodeToString[c.want])
		}
	}
	c, err := net.Dial("udp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	answer, _ := answerWith(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), 1).Pack()
	for _, raw := range [][]byte{{1}, make([]byte, 12), answer} { // short, no question, and an answer: talk to no server
		c.Write(raw)
	}
	c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
	buf := make([]byte, 512)
	n, err := c.Read(buf) // of the second alone
	if err != nil || n < 12 || buf[3]&0xf != dns.RcodeFormatError {
		t.Errorf("%d bytes, %v", n, err)
	}
	if got := r.front.counters.Malformed.Value(); got < 4 {
		t.Errorf("%d counted as malformed", got)
	}
}

// A client that repeats its open query gets one answer, and one query goes out; in a class that shares, queries of others
// that ask the same have its answer, each with its own id.
func TestRepeatedAndSharedQueriesAreSentOnce(t *testing.T) {
	var asked atomic.Int32
	release := make(chan struct{})
	r := startSidecarWith(t, startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		if strings.HasPrefix(m.Question[0].Name, "slow.") {
			asked.Add(1)
			<-release
		}
		w.WriteMsg(answerWith(m, 1))
	}))
	var conns []net.Conn
	ask := func(c net.Conn, id uint16, name string) {
		m := new(dns.Msg).SetQuestion(name, dns.TypeA)
		m.Id = id
		raw, _ := m.Pack()
		c.Write(raw)
	}
	for range 3 {
		c, err := net.Dial("udp", r.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		conns = append(conns, c)
	}
	ask(conns[0], 1, "slow.look.test.")
	ask(conns[0], 1, "slow.look.test.")
	ask(conns[0], 1, "SLOW.look.test.")
	for i, c := range conns {
		ask(c, uint16(10+i), "slow.same.test.")
	}
	for end := time.Now().Add(sidecartest.WaitTimeout); r.front.counters.Repeated.Value() < 2 || r.front.counters.AnswersShared.Value() < 2; {
		if time.Now().After(end) {
			t.Fatalf("%d joined, %d followed", r.front.counters.Repeated.Value(), r.front.counters.AnswersShared.Value())
		}
	}
	close(release)
	buf := make([]byte, 512)
	for i, c := range conns {
		want := map[uint16]bool{uint16(10 + i): true}
		if i == 0 {
			want[1] = true
		}
		for len(want) > 0 {
			c.SetReadDeadline(time.Now().Add(sidecartest.WaitTimeout))
			if _, err := c.Read(buf); err != nil {
				t.Fatalf("client %d lacks %v: %v", i, want, err)
			}
			id := binary.BigEndian.Uint16(buf)
			if !want[id] {
				t.Errorf("client %d has a second answer, or another's: %d", i, id)
			}
			delete(want, id)
		}
		c.SetReadDeadline(time.Now().Add(50 * time.Millisecond))
		if _, err := c.Read(buf); err == nil {
			t.Errorf("client %d has a second answer", i)
		}
	}
	if n := asked.Load(); n != 2 { // one for each name, unless the module asked again, for which there was no time
		t.Errorf("servers were asked %d times", n)
	}
}

// A client that sends a thousand queries and reads nothing has no more than its share open, loses its connection, and
// costs others nothing.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	r := startSidecarWith(t, startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		n := 1
		if strings.HasPrefix(m.Question[0].Name, "big.") {
			n = 250
		}
		a := answerWith(m, n)
		if _, tcp := w.RemoteAddr().(*net.TCPAddr); !tcp {
			a.Truncate(1232)
		}
		w.WriteMsg(a)
	}))
	c, err := net.Dial("tcp", r.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for i := 0; ; i++ { // until it is given up
			m := new(dns.Msg).SetQuestion("big.look.test.", dns.TypeA)
			m.Id = uint16(i)
			raw, _ := m.Pack()
			if _, err := c.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...)); err != nil {
				return
			}
		}
	}()
	// Meanwhile each query of another client is answered, though the module may refuse it: the one server has much to do. Once the
	// flood is over it is served.
	other := dns.Client{Timeout: sidecartest.WaitTimeout}
	ask := func() bool {
		m, _, err := other.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), r.addr)
		if err != nil {
			t.Fatalf("another client: %v", err)
		}
		return m.Rcode == dns.RcodeSuccess
	}
	asked, end := 0, time.Now().Add(sidecartest.WaitTimeout)
	for ; r.front.counters.Unsent.Value() == 0; asked++ {
		if time.Now().After(end) {
			t.Fatal("it is not given up")
		}
		ask()
	}
	if asked == 0 {
		t.Error("nothing was asked while it read nothing")
	}
	c.Close()
	<-closed
	for end := time.Now().Add(sidecartest.WaitTimeout); !ask(); {
		if time.Now().After(end) {
			t.Fatal("another client is not served after it")
		}
	}
}

// A new process takes over both listeners under load: each query has one answer, whichever process had it.
func TestHandoverUnderLoadAnswersEachQueryOnce(t *testing.T) {
	udp, tcp := listenUDPAndTCP(t)
	dir, server := t.TempDir(), startServer(t, nil)
	old := startSidecar(t, testSettings(), retainedSockets{udp, tcp}, dir, server)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	var asked, failed, unserved atomic.Int32
	for i := range 4 {
		clients.Go(func() {
			network := []string{"udp", "tcp"}[i%2]
			for {
				select {
				case <-stop:
					return
				default:
				}
				m, _, err := (&dns.Client{Net: network, Timeout: sidecartest.WaitTimeout}).Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), old.addr)
				if asked.Add(1); err != nil {
					failed.Add(1)
				} else if m.Rcode != dns.RcodeSuccess { // an answer all the same: a machine that stands still fails some
					unserved.Add(1)
				}
			}
		})
	}
	next := startSidecar(t, testSettings(), retainedSockets{udp, tcp}, dir, server)
	if err := sidecartest.Receive(t, old.ended, "the old process's end"); err != nil {
		t.Error(err)
	}
	before := asked.Load()
	for end := time.Now().Add(sidecartest.WaitTimeout); asked.Load() < before+100 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	clients.Wait()
	if asked.Load() < before+100 || failed.Load() > 0 || unserved.Load() > asked.Load()/2 {
		t.Errorf("%d of %d had no answer, %d were not served, %d asked before", failed.Load(), asked.Load(), unserved.Load(), before)
	}
	next.stop()
}

var _ handover.PacketSocket = retainedSockets{}
