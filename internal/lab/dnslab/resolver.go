package dnslab

import (
	"encoding/binary"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/lab/trace"
)

const (
	bigAnswerRecords = 120 // about 2 KB of addresses
	coldFrom         = 0.2 // share of the capacity at the start of a cold resolver, as in the sidecar's settings
	coldFor          = 10 * time.Second
)

// queryName returns the name that a query asks for. It contains the request's number and the kind of query.
func queryName(number uint64, kind string) string {
	return fmt.Sprintf("r%d.%s.example.org.", number, kind)
}

// parseName returns the number and the kind in a name of queryName, or 0 and "" for any other name.
func parseName(name string) (number uint64, kind string) {
	label, rest, _ := strings.Cut(name, ".")
	kind, _, _ = strings.Cut(rest, ".")
	number, err := strconv.ParseUint(strings.TrimPrefix(label, "r"), 10, 64)
	if err != nil {
		return 0, ""
	}
	return number, kind
}

// addressOf returns the address that the name of a request resolves to. It contains the request's number.
func addressOf(number uint64) net.IP {
	return net.IPv4(10, byte(number>>16), byte(number>>8), byte(number))
}

// resolver is a stub resolver with the simulated link in front of it. It reports each query that it receives or
// accepts.
type resolver struct {
	id     int
	kind   Resolvers
	link   Link
	report func(trace.Event)
	udp    *net.UDPConn
	addr   string

	mu     sync.Mutex
	rng    *rand.Rand
	tcp    net.Listener
	conns  map[net.Conn]struct{}
	faults map[string]bool // faults in force, by kind
	begun  time.Time       // zero: long ago
	wg     sync.WaitGroup
}

// listenUDPAndTCP listens on a local port that is free for both transports.
func listenUDPAndTCP() (*net.UDPConn, net.Listener, error) {
	for failures := 0; ; failures++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		addr := ln.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port})
		if err == nil {
			udp.SetReadBuffer(8 << 20)
			return udp, ln, nil
		}
		ln.Close()
		if failures == 50 {
			return nil, nil, err
		}
	}
}

// newResolver starts a resolver. close ends it and waits for its goroutines.
func newResolver(id int, kind Resolvers, link Link, seed uint64, report func(trace.Event)) (*resolver, error) {
	r := &resolver{id: id, kind: kind, link: link, report: report, rng: rand.New(rand.NewPCG(seed, uint64(id))),
		conns: map[net.Conn]struct{}{}, faults: map[string]bool{}}
	var err error
	if r.udp, r.tcp, err = listenUDPAndTCP(); err != nil {
		return nil, err
	}
	r.addr = r.udp.LocalAddr().String()
	r.wg.Go(r.serveUDP)
	r.serveTCP(r.tcp)
	return r, nil
}

func (r *resolver) close() {
	r.udp.Close()
	r.mu.Lock()
	r.tcp.Close()
	for c := range r.conns {
		c.Close()
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// setFault begins or ends a fault. The fault tcp-dead closes the listener and all connections until it ends.
func (r *resolver) setFault(kind string, active bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind] = active
	if kind != "tcp-dead" {
		return
	}
	if active {
		r.tcp.Close()
		for c := range r.conns {
			c.Close()
		}
	} else if ln, err := net.Listen("tcp", r.addr); err == nil {
		r.tcp = ln
		r.serveTCP(ln)
	}
}

func (r *resolver) hasFault(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[kind]
}

// chance returns true with the given probability.
func (r *resolver) chance(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p > 0 && r.rng.Float64() < p
}

// randomDelay draws a delay that is uniform between 0 and twice the mean.
func (r *resolver) randomDelay(mean time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Float64() * 2 * float64(mean))
}

// after runs an action on another goroutine after a delay. close waits for it.
func (r *resolver) after(delay time.Duration, action func()) {
	r.wg.Add(1)
	time.AfterFunc(delay, func() { defer r.wg.Done(); action() })
}

// serveUDP handles the datagrams that the link delivers, until the socket is closed.
func (r *resolver) serveUDP() {
	buf := make([]byte, dns.MaxMsgSize)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		for range r.copies() {
			r.after(r.randomDelay(time.Duration(r.link.Jitter)), func() { r.handleDatagram(raw, from) })
		}
	}
}

// copies draws how often the link delivers a datagram: 0 if it is lost, 2 if it is duplicated.
func (r *resolver) copies() int {
	switch {
	case r.chance(r.link.Loss):
		return 0
	case r.chance(r.link.Double):
		return 2
	}
	return 1
}

// handleDatagram answers a query over UDP after the resolver's delay. Under the fault "forged", forged answers precede
// the genuine one; they do not cross the simulated link.
func (r *resolver) handleDatagram(raw []byte, from netip.AddrPort) {
	reply, delay := r.answer(raw, false)
	if reply == nil {
		return
	}
	sendReply := func(datagram []byte) {
		for range r.copies() {
			r.after(r.randomDelay(time.Duration(r.link.Jitter)), func() { r.udp.WriteToUDPAddrPort(datagram, from) })
		}
	}
	r.after(delay, func() {
		if r.hasFault("forged") {
			wrongID := append([]byte(nil), reply...)
			binary.BigEndian.PutUint16(wrongID, binary.BigEndian.Uint16(reply)+1)
			r.udp.WriteToUDPAddrPort(wrongID, from)
			wrongName := append([]byte(nil), reply...)
			wrongName[13] ^= 0x01 // within the name's first label
			r.udp.WriteToUDPAddrPort(wrongName, from)
		}
		sendReply(reply)
	})
}

// answer reports a query and returns its packed answer with the delay until it is due. It returns nil if the query is
// malformed or is not answered.
func (r *resolver) answer(raw []byte, tcp bool) ([]byte, time.Duration) {
	msg := new(dns.Msg)
	if msg.Unpack(raw) != nil || len(msg.Question) != 1 {
		return nil, 0
	}
	number, kind := parseName(msg.Question[0].Name)
	if number > 0 { // queries of the flood have no number
		r.report(trace.Event{Kind: trace.AttemptSent, Request: number, Server: int32(r.id)})
	}
	if r.hasFault("silent") {
		return nil, 0
	}
	if number > 0 {
		r.report(trace.Event{Kind: trace.AttemptAccepted, Request: number, Server: int32(r.id), Work: 1e6})
	}
	reply := new(dns.Msg)
	reply.SetReply(msg)
	reply.RecursionAvailable, reply.Compress = true, true
	records := 1
	if kind == "big" {
		records = bigAnswerRecords
	}
	fails := r.hasFault("servfail") || r.chance(r.kind.ServFail)
	switch {
	case fails:
		reply.Rcode = dns.RcodeServerFailure
	case msg.Opcode == dns.OpcodeQuery:
		for i := range records {
			ip := addressOf(number)
			if i > 0 {
				ip = net.IPv4(192, 0, 2, byte(i))
			}
			reply.Answer = append(reply.Answer, &dns.A{Hdr: dns.RR_Header{Name: msg.Question[0].Name, Rrtype: dns.TypeA,
				Class: dns.ClassINET, Ttl: 30}, A: ip})
		}
	}
	if r.hasFault("foreign") {
		reply.Question[0].Name = queryName(number+1, kind)
	}
	if opt := msg.IsEdns0(); opt != nil && !r.kind.Small {
		reply.SetEdns0(1232, opt.Do())
	}
	if !tcp {
		maxBytes := 512
		if opt := msg.IsEdns0(); opt != nil && !r.kind.Small {
			maxBytes = int(opt.UDPSize())
		}
		reply.Truncate(maxBytes)
	}
	packed, err := reply.Pack()
	if err != nil {
		return nil, 0
	}
	return packed, r.randomDelay(time.Duration(r.kind.Delay))
}

// serveTCP accepts connections on another goroutine, until the listener is closed.
func (r *resolver) serveTCP(ln net.Listener) {
	r.wg.Go(func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[conn] = struct{}{}
			r.mu.Unlock()
			r.wg.Go(func() { r.serveConn(conn) })
		}
	})
}

// serveConn answers the queries of a connection, in the order in which their delays end.
func (r *resolver) serveConn(conn net.Conn) {
	defer func() {
		conn.Close()
		r.mu.Lock()
		delete(r.conns, conn)
		r.mu.Unlock()
	}()
	var writing sync.Mutex
	for received := 1; ; received++ {
		raw, err := readMessage(conn)
		if err != nil {
			return
		}
		reply, delay := r.answer(raw, true)
		if r.hasFault("closes") && received%10 == 0 {
			return // closes the connection with queries in flight
		}
		if reply == nil {
			continue
		}
		r.after(delay, func() {
			writing.Lock()
			defer writing.Unlock()
			conn.Write(withLengthPrefix(reply))
		})
	}
}

// withLengthPrefix returns a message as it is sent over TCP.
func withLengthPrefix(message []byte) []byte {
	return append(binary.BigEndian.AppendUint16(nil, uint16(len(message))), message...)
}

// readMessage reads a message with its length prefix from a TCP connection.
func readMessage(r io.Reader) ([]byte, error) {
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	message := make([]byte, binary.BigEndian.Uint16(size[:]))
	_, err := io.ReadFull(r, message)
	return message, err
}
