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
	bigRecords = 120 // some 2 KB of addresses
	coldFrom   = 0.2
	coldFor    = 10 * time.Second
)

// nameOf and numberOf tell a request's number by its name.
func nameOf(n uint64, kind string) string { return fmt.Sprintf("r%d.%s.example.org.", n, kind) }

func numberOf(name string) (n uint64, kind string) {
	first, rest, _ := strings.Cut(name, ".")
	kind, _, _ = strings.Cut(rest, ".")
	n, err := strconv.ParseUint(strings.TrimPrefix(first, "r"), 10, 64)
	if err != nil {
		return 0, ""
	}
	return n, kind
}

// addressOf is what a name resolves to: it holds the number, too.
func addressOf(n uint64) net.IP { return net.IPv4(10, byte(n>>16), byte(n>>8), byte(n)) }

// resolver is one stand-in, with the link before it.
type resolver struct {
	id   int
	kind Resolvers
	link Link
	note func(trace.Event)
	udp  *net.UDPConn
	addr string

	mu     sync.Mutex
	rng    *rand.Rand
	tcp    net.Listener
	conns  map[net.Conn]struct{}
	faults map[string]bool
	begun  time.Time // 0: long ago
	wg     sync.WaitGroup
}

// listenBoth finds a port that is free for both transports.
func listenBoth() (*net.UDPConn, net.Listener, error) {
	for try := 0; ; try++ {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, nil, err
		}
		at := ln.Addr().(*net.TCPAddr)
		udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: at.IP, Port: at.Port})
		if err == nil {
			udp.SetReadBuffer(8 << 20)
			return udp, ln, nil
		}
		ln.Close()
		if try == 50 {
			return nil, nil, err
		}
	}
}

// newResolver starts one.
func newResolver(id int, kind Resolvers, link Link, seed uint64, note func(trace.Event)) (*resolver, error) {
	r := &resolver{id: id, kind: kind, link: link, note: note, rng: rand.New(rand.NewPCG(seed, uint64(id))),
		conns: map[net.Conn]struct{}{}, faults: map[string]bool{}}
	var err error
	if r.udp, r.tcp, err = listenBoth(); err != nil {
		return nil, err
	}
	r.addr = r.udp.LocalAddr().String()
	r.wg.Go(r.datagrams)
	r.listen(r.tcp)
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

// set begins or ends a fault.
func (r *resolver) set(kind string, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults[kind] = on
	if kind != "tcp-dead" {
		return
	}
	if on {
		r.tcp.Close()
		for c := range r.conns {
			c.Close()
		}
	} else if ln, err := net.Listen("tcp", r.addr); err == nil {
		r.tcp = ln
		r.listen(ln)
	}
}

func (r *resolver) is(kind string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.faults[kind]
}

// chance draws whether something of a probability happens.
func (r *resolver) chance(p float64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return p > 0 && r.rng.Float64() < p
}

func (r *resolver) some(mean time.Duration) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.rng.Float64() * 2 * float64(mean))
}

// later does something after a while.
func (r *resolver) later(after time.Duration, do func()) {
	r.wg.Add(1)
	time.AfterFunc(after, func() { defer r.wg.Done(); do() })
}

// datagrams takes what the link lets through.
func (r *resolver) datagrams() {
	buf := make([]byte, dns.MaxMsgSize)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(buf)
		if err != nil {
			return
		}
		raw := append([]byte(nil), buf[:n]...)
		for range r.copies() {
			r.later(r.some(time.Duration(r.link.Jitter)), func() { r.asked(raw, from) })
		}
	}
}

// copies is how often the link delivers a datagram.
func (r *resolver) copies() int {
	switch {
	case r.chance(r.link.Loss):
		return 0
	case r.chance(r.link.Double):
		return 2
	}
	return 1
}

// asked handles a query over UDP.
func (r *resolver) asked(raw []byte, from netip.AddrPort) {
	a, wait := r.answer(raw, false)
	if a == nil {
		return
	}
	send := func(b []byte) {
		for range r.copies() {
			r.later(r.some(time.Duration(r.link.Jitter)), func() { r.udp.WriteToUDPAddrPort(b, from) })
		}
	}
	r.later(wait, func() {
		if r.is("forged") {
			guess := append([]byte(nil), a...)
			binary.BigEndian.PutUint16(guess, binary.BigEndian.Uint16(a)+1)
			r.udp.WriteToUDPAddrPort(guess, from)
			other := append([]byte(nil), a...)
			other[13] ^= 0x01 // within the name's first label
			r.udp.WriteToUDPAddrPort(other, from)
		}
		send(a)
	})
}

// answer makes the answer to a query, nil for none, and says when it is due.
func (r *resolver) answer(raw []byte, tcp bool) ([]byte, time.Duration) {
	m := new(dns.Msg)
	if m.Unpack(raw) != nil || len(m.Question) != 1 {
		return nil, 0
	}
	n, kind := numberOf(m.Question[0].Name)
	if n > 0 { // the flood's have none
		r.note(trace.Event{Kind: trace.AttemptSent, Request: n, Server: int32(r.id)})
	}
	if r.is("silent") {
		return nil, 0
	}
	if n > 0 {
		r.note(trace.Event{Kind: trace.AttemptAccepted, Request: n, Server: int32(r.id), Work: 1e6})
	}
	a := new(dns.Msg)
	a.SetReply(m)
	a.RecursionAvailable, a.Compress = true, true
	records := 1
	if kind == "big" {
		records = bigRecords
	}
	fails := r.is("servfail") || r.chance(r.kind.ServFail)
	switch {
	case fails:
		a.Rcode = dns.RcodeServerFailure
	case m.Opcode == dns.OpcodeQuery:
		for i := range records {
			ip := addressOf(n)
			if i > 0 {
				ip = net.IPv4(192, 0, 2, byte(i))
			}
			a.Answer = append(a.Answer, &dns.A{Hdr: dns.RR_Header{Name: m.Question[0].Name, Rrtype: dns.TypeA, Class: dns.ClassINET, Ttl: 30}, A: ip})
		}
	}
	if r.is("foreign") {
		a.Question[0].Name = nameOf(n+1, kind)
	}
	if opt := m.IsEdns0(); opt != nil && !r.kind.Small {
		a.SetEdns0(1232, opt.Do())
	}
	if !tcp {
		size := 512
		if opt := m.IsEdns0(); opt != nil && !r.kind.Small {
			size = int(opt.UDPSize())
		}
		a.Truncate(size)
	}
	b, err := a.Pack()
	if err != nil {
		return nil, 0
	}
	return b, r.some(time.Duration(r.kind.Delay))
}

// listen takes connections.
func (r *resolver) listen(ln net.Listener) {
	r.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			r.mu.Lock()
			r.conns[c] = struct{}{}
			r.mu.Unlock()
			r.wg.Go(func() { r.talk(c) })
		}
	})
}

func (r *resolver) talk(c net.Conn) {
	defer func() {
		c.Close()
		r.mu.Lock()
		delete(r.conns, c)
		r.mu.Unlock()
	}()
	var write sync.Mutex
	for seen := 1; ; seen++ {
		raw, err := readMessage(c)
		if err != nil {
			return
		}
		a, wait := r.answer(raw, true)
		if r.is("closes") && seen%10 == 0 {
			return // with those before it unanswered
		}
		if a == nil {
			continue
		}
		r.later(wait, func() {
			write.Lock()
			defer write.Unlock()
			c.Write(framed(a))
		})
	}
}

func framed(b []byte) []byte { return append(binary.BigEndian.AppendUint16(nil, uint16(len(b))), b...) }

func readMessage(r io.Reader) ([]byte, error) {
	var size [2]byte
	if _, err := io.ReadFull(r, size[:]); err != nil {
		return nil, err
	}
	b := make([]byte, binary.BigEndian.Uint16(size[:]))
	_, err := io.ReadFull(r, b)
	return b, err
}
