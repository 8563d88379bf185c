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

// The resolver of the standard library and the client of miekg/dns over both transports must be served, including large
// answers, which are truncated over UDP, and names that do not exist.
func TestStandardClientsAreServed(t *testing.T) {
	sidecar := startDefaultSidecar(t, startServer(t, func(w dns.ResponseWriter, query *dns.Msg) {
		if query.Question[0].Qtype == dns.TypeAAAA {
			writeAnswer(w, answerWith(query, 0))
			return
		}
		addresses := 2
		if strings.HasPrefix(query.Question[0].Name, "many.") {
			addresses = 200
		}
		answer := answerWith(query, addresses)
		if _, tcp := w.RemoteAddr().(*net.TCPAddr); !tcp {
			answer.Truncate(512)
		}
		if strings.HasPrefix(query.Question[0].Name, "none.") {
			answer = new(dns.Msg).SetRcode(query, dns.RcodeNameError)
		}
		writeAnswer(w, answer)
	}))
	resolver := &net.Resolver{PreferGo: true, Dial: func(ctx context.Context, network, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, sidecar.addr)
	}}
	// The answer with 200 addresses is truncated over UDP, and the resolver sends the query again over TCP.
	for name, want := range map[string]int{"two.look.test.": 2, "many.look.test.": 200} {
		if got, err := resolver.LookupHost(t.Context(), name); err != nil || len(got) != want {
			t.Errorf("LookupHost(%q): %d addresses, error %v", name, len(got), err)
		}
	}
	var missing *net.DNSError
	_, err := resolver.LookupHost(t.Context(), "none.look.test.")
	if err == nil || !errors.As(err, &missing) || !missing.IsNotFound {
		t.Errorf("LookupHost of a name that does not exist: error %v, want IsNotFound", err)
	}
	for _, network := range []string{"udp", "tcp"} {
		client := &dns.Client{Net: network, Timeout: sidecartest.WaitTimeout}
		response, _, err := client.Exchange(new(dns.Msg).SetQuestion("many.look.test.", dns.TypeA), sidecar.addr)
		if err != nil || response.Truncated != (network == "udp") || network == "tcp" && len(response.Answer) != 200 {
			t.Errorf("query over %s for 200 addresses: wrong answer, or error %v", network, err)
		}
		if response.Compress = true; network == "udp" && response.Len() > maxPlainUDPSize {
			t.Errorf("answer over UDP to a client without EDNS has %d bytes, want at most 512", response.Len())
		}
	}
}

// An administrative drain must apply to DNS servers as it does to HTTP servers, and the metrics must show both
// protocols.
func TestAdminDrainAppliesToDNSServers(t *testing.T) {
	var received [2]atomic.Int32
	server := func(i int) string {
		return startServer(t, func(w dns.ResponseWriter, query *dns.Msg) {
			received[i].Add(1)
			writeAnswer(w, answerWith(query, 1))
		})
	}
	sidecar := startDefaultSidecar(t, server(0), server(1))
	if output := sidecar.command(t, "maint-on d-0"); output != "YES\n" {
		t.Fatal(output)
	}
	before := received[0].Load()
	for range 50 {
		response, err := dns.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), sidecar.addr)
		if err != nil || response.Rcode != dns.RcodeSuccess {
			t.Errorf("query during the drain of a server: answer %v, error %v; want NOERROR", response, err)
		}
	}
	if received[0].Load() != before || received[1].Load() < 50 {
		t.Errorf("the drained server received %d of 50 queries, want none, and all at the other server",
			received[0].Load()-before)
	}
	if output := sidecar.command(t, "maint-on d-9"); !strings.Contains(output, "unknown id") {
		t.Error(output)
	}
	output := sidecar.command(t, "stats")
	for _, want := range []string{`app_dns_answered_total{group="dns.look"} `, `app_answered_total{group="look"} 0`} {
		if !strings.Contains(output, want) {
			t.Errorf("the metrics lack %s:\n%s", want, output)
		}
	}
}

// A query without a class and an unsupported query must get an answer with the reason; a message that is no query must
// get none.
func TestInvalidQueriesAreRejectedWithReason(t *testing.T) {
	sidecar := startDefaultSidecar(t, startServer(t, nil))
	exchange := func(query *dns.Msg) *dns.Msg {
		t.Helper()
		query.SetEdns0(1232, false)
		response, err := dns.Exchange(query, sidecar.addr)
		if err != nil {
			t.Fatal(err)
		}
		return response
	}
	chaos := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeTXT)
	chaos.Question[0].Qclass = dns.ClassCHAOS
	two := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA)
	two.Question = append(two.Question, two.Question[0])
	notify := new(dns.Msg).SetNotify("a.look.test.")
	status := new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA)
	status.Opcode = dns.OpcodeStatus
	for name, test := range map[string]struct {
		query *dns.Msg
		want  int
	}{
		"no class":      {new(dns.Msg).SetQuestion("a.other.test.", dns.TypeA), dns.RcodeRefused},
		"zone transfer": {new(dns.Msg).SetAxfr("a.look.test."), dns.RcodeRefused},
		"class CHAOS":   {chaos, dns.RcodeRefused},
		"two":           {two, dns.RcodeFormatError},
		"notify":        {notify, dns.RcodeRefused},
		"opcode":        {status, dns.RcodeNotImplemented},
		"update, look":  {new(dns.Msg).SetUpdate("a.look.test."), dns.RcodeRefused},
	} {
		if response := exchange(test.query); response.Rcode != test.want {
			t.Errorf("query of kind %q: response code %s, want %s",
				name, dns.RcodeToString[response.Rcode], dns.RcodeToString[test.want])
		}
	}
	conn, err := net.Dial("udp", sidecar.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	answer, _ := answerWith(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), 1).Pack()
	for _, raw := range [][]byte{{1}, make([]byte, 12), answer} { // too short, no question, a response
		if _, err := conn.Write(raw); err != nil {
			t.Fatal(err)
		}
	}
	setReadTimeout(t, conn, sidecartest.WaitTimeout)
	buf := make([]byte, 512)
	size, err := conn.Read(buf) // only the second message has an answer
	if err != nil || size < 12 || buf[3]&0xf != dns.RcodeFormatError {
		t.Errorf("answer to a query without a question: %d bytes, error %v; want FORMERR", size, err)
	}
	if got := sidecar.front.counters.Malformed.Value(); got < 4 {
		t.Errorf("%d messages are counted as malformed, want at least 4", got)
	}
}

// A client that repeats its open query must get one answer, and the server only one query. In a class that shares
// answers, queries of other clients with the same question must get that answer too, each with its own ID.
func TestRepeatedAndSharedQueriesAreSentOnce(t *testing.T) {
	var received atomic.Int32
	var sentQueries sync.Map // by socket and ID, which are the same if a datagram is sent again
	release := make(chan struct{})
	server := startServer(t, func(w dns.ResponseWriter, m *dns.Msg) {
		if strings.HasPrefix(m.Question[0].Name, "slow.") {
			received.Add(1)
			sentQueries.Store(fmt.Sprint(w.RemoteAddr(), m.Id), true)
			<-release
		}
		writeAnswer(w, answerWith(m, 1))
	})
	settings := testSettings()
	for i := range settings.Classes {
		settings.Classes[i].MaxAttempts = 1 // on a busy machine a retry may become due
	}
	udp, tcp := listenUDPAndTCP(t)
	sidecar := startSidecar(t, settings, retainedSockets{udp, tcp}, "", server)
	resentBefore := sidecar.front.counters.Resent.Value()
	var conns []net.Conn
	send := func(conn net.Conn, id uint16, name string) {
		m := new(dns.Msg).SetQuestion(name, dns.TypeA)
		m.Id = id
		raw, err := m.Pack()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := conn.Write(raw); err != nil {
			t.Fatal(err)
		}
	}
	for range 3 {
		conn, err := net.Dial("udp", sidecar.addr)
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		conns = append(conns, conn)
	}
	send(conns[0], 1, "slow.look.test.")
	send(conns[0], 1, "slow.look.test.")
	send(conns[0], 1, "SLOW.look.test.")
	for i, conn := range conns {
		send(conn, uint16(10+i), "slow.same.test.")
	}
	repeated, shared := sidecar.front.counters.Repeated, sidecar.front.counters.AnswersShared
	for end := time.Now().Add(sidecartest.WaitTimeout); repeated.Value() < 2 || shared.Value() < 2; {
		if time.Now().After(end) {
			t.Fatalf("%d queries are counted as repeated and %d as shared before the deadline, want 2 of each",
				repeated.Value(), shared.Value())
		}
	}
	close(release)
	buf := make([]byte, 512)
	for i, conn := range conns {
		want := map[uint16]bool{uint16(10 + i): true}
		if i == 0 {
			want[1] = true
		}
		for len(want) > 0 {
			setReadTimeout(t, conn, sidecartest.WaitTimeout)
			if _, err := conn.Read(buf); err != nil {
				t.Fatalf("client %d: reading the answers with the IDs %v: %v", i, want, err)
			}
			id := binary.BigEndian.Uint16(buf)
			if !want[id] {
				t.Errorf("client %d received an answer with ID %d: a second one, or that of another client", i, id)
			}
			delete(want, id)
		}
		setReadTimeout(t, conn, 50*time.Millisecond)
		if _, err := conn.Read(buf); err == nil {
			t.Errorf("client %d received another answer after all its queries were answered", i)
		}
	}
	distinct := 0
	sentQueries.Range(func(any, any) bool {
		distinct++
		return true
	})
	if distinct != 2 { // one for each question
		t.Errorf("the server received %d distinct queries, want 2", distinct)
	}
	if datagrams, resent := int(received.Load()),
		int(sidecar.front.counters.Resent.Value()-resentBefore); datagrams > 2+resent {
		t.Errorf("the server received %d datagrams for 2 queries with %d resends", datagrams, resent)
	}
}

// A client that keeps sending queries over TCP and reads no answers must lose its connection, and must not keep other
// clients from being answered.
func TestClientThatReadsNothingIsDisconnected(t *testing.T) {
	sidecar := startDefaultSidecar(t, startServer(t, func(w dns.ResponseWriter, query *dns.Msg) {
		addresses := 1
		if strings.HasPrefix(query.Question[0].Name, "big.") {
			addresses = 250
		}
		answer := answerWith(query, addresses)
		if _, tcp := w.RemoteAddr().(*net.TCPAddr); !tcp {
			answer.Truncate(1232)
		}
		writeAnswer(w, answer)
	}))
	conn, err := net.Dial("tcp", sidecar.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for i := 0; ; i++ { // until the sidecar closes the connection
			query := new(dns.Msg).SetQuestion("big.look.test.", dns.TypeA)
			query.Id = uint16(i)
			raw, _ := query.Pack()
			if _, err := conn.Write(append(binary.BigEndian.AppendUint16(nil, uint16(len(raw))), raw...)); err != nil {
				return
			}
		}
	}()
	// Meanwhile each query of another client is answered, though the decision module may reject it because the only
	// server is busy. Once the flood is over the other client must be served.
	other := dns.Client{Timeout: sidecartest.WaitTimeout}
	isServed := func() bool {
		response, _, err := other.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), sidecar.addr)
		if err != nil {
			t.Fatalf("query of another client: %v", err)
		}
		return response.Rcode == dns.RcodeSuccess
	}
	queries, end := 0, time.Now().Add(sidecartest.WaitTimeout)
	for ; sidecar.front.counters.Unsent.Value() == 0; queries++ {
		if time.Now().After(end) {
			t.Fatal("the sidecar still accepts answers for the client that reads none at the deadline")
		}
		isServed()
	}
	if queries == 0 {
		t.Error("another client sent no queries during the flood")
	}
	conn.Close()
	<-closed
	for end := time.Now().Add(sidecartest.WaitTimeout); !isServed(); {
		if time.Now().After(end) {
			t.Fatal("another client is not served before the deadline after the flood")
		}
	}
}

// When a new process takes over both sockets under load, each query must still be answered by one of the processes.
func TestHandoverUnderLoadAnswersEachQueryOnce(t *testing.T) {
	udp, tcp := listenUDPAndTCP(t)
	dir, server := t.TempDir(), startServer(t, nil)
	old := startSidecar(t, testSettings(), retainedSockets{udp, tcp}, dir, server)
	var clients sync.WaitGroup
	stop := make(chan struct{})
	var sent, failed, unserved atomic.Int32
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
				response, _, err := client.Exchange(new(dns.Msg).SetQuestion("a.look.test.", dns.TypeA), old.addr)
				if sent.Add(1); err != nil {
					failed.Add(1)
				} else if response.Rcode != dns.RcodeSuccess { // some queries fail if the machine stalls
					unserved.Add(1)
				}
			}
		})
	}
	next := startSidecar(t, testSettings(), retainedSockets{udp, tcp}, dir, server)
	if err := sidecartest.Receive(t, old.ended, "the old process's end"); err != nil {
		t.Error(err)
	}
	sentBefore := sent.Load()
	for end := time.Now().Add(sidecartest.WaitTimeout); sent.Load() < sentBefore+100 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	close(stop)
	clients.Wait()
	if sent.Load() < sentBefore+100 || failed.Load() > 0 || unserved.Load() > sent.Load()/2 {
		t.Errorf(
			"%d of %d queries had no answer, %d were answered with an error; %d were sent before the handover ended",
			failed.Load(), sent.Load(), unserved.Load(), sentBefore)
	}
	next.stop()
}

var _ handover.PacketSocket = retainedSockets{}
