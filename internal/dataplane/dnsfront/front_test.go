package dnsfront

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/testutil/sidecartest"
)

// The standard library's resolver, and miekg's client over both transports, get their answers.
func TestStandardClientsAreServed(t *testing.T) {
	r := startSidecarWith(t, startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		if m.Question[0].Qtype == dns.TypeAAAA {
			write(w, answerWith(m, 0))
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
		write(w, a)
	}))
	std := &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, r.addr)
	}}
	// The answer with many addresses is truncated, and asked for again over TCP.
	for name, want := range map[string]int{"two.look.test.": 2, "many.look.test.": 200} {
		if got, err := std.LookupHost(t.Context(), name); err != nil || len(got) != want {
			t.Errorf("%s: %d addresses, %v", name, len(got), err)
		}
	}
	var missing *net.DNSError
	_, err := std.LookupHost(t.Context(), "none.look.test.")
	if err == nil || !errors.As(err, &missing) || !missing.IsNotFound {
		t.Errorf("a name that does not exist: %v", err)
	}
	for _, network := range []string{"udp", "tcp"} {
		client := &dns.Client{Net: network, Timeout: sidecartest.WaitTimeout}
		m, _, err := client.Exchange(new(dns.Msg).SetQuestion("many.look.test.", dns.TypeA), r.addr)
		if err != nil || m.Truncated != (network == "udp") || network == "tcp" && len(m.Answer) != 200 {
			t.Errorf("%s: %v", network, err)
		}
		if m.Compress = true; network == "udp" && m.Len() > maxPlainUDPSize {
			t.Errorf("%d bytes to a client without EDNS", m.Len())
		}
	}
}

// An administrative drain applies to DNS servers as to HTTP servers, and the metrics show both protocols.
func TestAdminDrainAppliesToDNSServers(t *testing.T) {
	var asked [2]atomic.Int32
	server := func(i int) string {
		return startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
			asked[i].Add(1)
			write(w, answerWith(m, 1))
		})
	}
	r := startSidecarWith(t, server(0), server(1))
	if got := r.call(t, "maint-on d-0"); got != "YES\n" {
		t.Fatal(got)
	}
	before := asked[0].Load()
	for range 50 {
		m, err := dns.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), r.addr)
		if err != nil || m.Rcode != dns.RcodeSuccess {
			t.Errorf("%v %v", m, err)
		}
	}
	if asked[0].Load() != before || asked[1].Load() < 50 {
		t.Errorf("the drained server was asked %d times", asked[0].Load()-before)
	}
	if got := r.call(t, "maint-on d-9"); !strings.Contains(got, "unknown id") {
		t.Error(got)
	}
	got := r.call(t, "stats")
	for _, want := range []string{`app_dns_answered_total{group="dns.look"} `, `app_answered_total{group="look"} 0`} {
		if !strings.Contains(got, want) {
			t.Errorf("no %s in %s", want, got)
		}
	}
}

// A query without a class, or an unsupported one, gets an answer that says why; a message that is no query gets none.
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
	for _, raw := range [][]byte{{1}, make([]byte, 12), answer} { // short, without a question, and a response
		if _, err := c.Write(raw); err != nil {
			t.Fatal(err)
		}
	}
	setReadTimeout(t, c, sidecartest.WaitTimeout)
	buf := make([]byte, 512)
	n, err := c.Read(buf) // of the second alone
	if err != nil || n < 12 || buf[3]&0xf != dns.RcodeFormatError {
		t.Errorf("%d bytes, %v", n, err)
	}
	if got := r.front.counters.Malformed.Value(); got < 4 {
		t.Errorf("%d counted as malformed", got)
	}
}

// A client that repeats its open query gets one answer, and one query is sent. In a class that shares answers,
// queries of other clients with the same question get the answer, too, each with its own ID.
func TestRepeatedAndSharedQueriesAreSentOnce(t *testing.T) {
	var received atomic.Int32
	var queries sync.Map // by socket and ID: a datagram that is sent again has the same
	release := make(chan struct{})
	server := startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		if strings.HasPrefix(m.Question[0].Name, "slow.") {
			received.Add(1)
			queries.Store(fmt.Sprint(w.RemoteAddr(), m.Id), true)
			<-release
		}
		write(w, answerWith(m, 1))
	})
	s := testSettings()
	for i := range s.Classes {
		s.Classes[i].MaxAttempts = 1 // on a busy machine there may be time for a retry
	}
	udp, tcp := listenUDPAndTCP(t)
	r := startSidecar(t, s, retainedSockets{udp, tcp}, "", server)
	resentBefore := r.front.counters.Resent.Value()
	var conns []net.Conn
	ask := func(c net.Conn, id uint16, name string) {
		m := new(dns.Msg).SetQuestion(name, dns.TypeA)
		m.Id = id
		raw, err := m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := c.Write(raw); err != nil {
			t.Fatal(err)
		}
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
	repeated, shared := r.front.counters.Repeated, r.front.counters.AnswersShared
	for end := time.Now().Add(sidecartest.WaitTimeout); repeated.Value() < 2 || shared.Value() < 2; {
		if time.Now().After(end) {
			t.Fatalf("%d repeated, %d shared", repeated.Value(), shared.Value())
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
			setReadTimeout(t, c, sidecartest.WaitTimeout)
			if _, err := c.Read(buf); err != nil {
				t.Fatalf("client %d lacks %v: %v", i, want, err)
			}
			id := binary.BigEndian.Uint16(buf)
			if !want[id] {
				t.Errorf("client %d has a second answer, or another's: %d", i, id)
			}
			delete(want, id)
		}
		setReadTimeout(t, c, 50*time.Millisecond)
		if _, err := c.Read(buf); err == nil {
			t.Errorf("client %d has a second answer", i)
		}
	}
	distinct := 0
	queries.Range(func(any, any) bool {
		distinct++
		return true
	})
	if distinct != 2 { // one for each name
		t.Errorf("%d queries were sent", distinct)
	}
	if n, resent := int(received.Load()), int(r.front.counters.Resent.Value()-resentBefore); n > 2+resent {
		t.Errorf("the server received %d datagrams, and %d were sent again", n, resent)
	}
}

// A client that keeps sending queries and reads no answer has no more than its limit open, loses its connection,
// and does not delay others.
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
		write(w, a)
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
	// Meanwhile each query of another client is answered, though the module may refuse it: the one server has much
	// to do. Once the flood is over it is served.
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

// A new process takes over both sockets under load, and each query has one answer from either process.
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
				client := &dns.Client{Net: network, Timeout: sidecartest.WaitTimeout}
				m, _, err := client.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), old.addr)
				if asked.Add(1); err != nil {
					failed.Add(1)
				} else if m.Rcode != dns.RcodeSuccess { // still an answer: on a machine that stalls some fail
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
		t.Errorf("%d of %d had no answer, %d were not served, %d asked before",
			failed.Load(), asked.Load(), unserved.Load(), before)
	}
	next.stop()
}

var _ handover.PacketSocket = retainedSockets{}
