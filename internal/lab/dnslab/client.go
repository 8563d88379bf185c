package dnslab

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/lab/trace"
)

// query is one of a client's.
type query struct {
	n     uint64
	raw   []byte
	asked time.Time
	done  bool // answered, or given up
}

// caller is one client socket, over either transport.
type caller struct {
	l    *lab
	conn net.Conn
	tcp  bool

	mu   sync.Mutex
	ids  uint16
	open map[uint16]*query // also those that ended of late, so that a second answer is seen
}

func (l *lab) newCaller(tcp bool) (*caller, error) {
	network := "udp"
	if tcp {
		network = "tcp"
	}
	c, err := net.Dial(network, l.front)
	if err != nil {
		return nil, err
	}
	k := &caller{l: l, conn: c, tcp: tcp, open: map[uint16]*query{}, ids: uint16(rand.Uint32())}
	l.wg.Go(k.read)
	return k, nil
}

// ask sends a query and waits for nothing.
func (k *caller) ask(n uint64, kind string) {
	m := new(dns.Msg)
	m.SetQuestion(nameOf(n, kind), dns.TypeA)
	if kind == "update" {
		m.Opcode = dns.OpcodeUpdate
		m.Question[0].Qtype = dns.TypeSOA
	} else {
		m.SetEdns0(1232, false)
	}
	k.mu.Lock()
	for k.ids++; k.open[k.ids] != nil; k.ids++ {
	}
	m.Id = k.ids
	raw, err := m.Pack()
	if err != nil {
		panic(err) // the names above are wrong
	}
	if k.tcp {
		raw = framed(raw)
	}
	q := &query{n: n, raw: raw, asked: time.Now()}
	k.open[m.Id] = q
	k.mu.Unlock()
	class := uint8(0)
	if kind == "update" {
		class = 1
	}
	k.l.note(trace.Event{Kind: trace.RequestSent, Request: n, Task: n, Class: class, Work: 1e6})
	k.conn.SetWriteDeadline(time.Now().Add(time.Second))
	k.conn.Write(raw)
	k.l.after(time.Duration(k.l.s.Front.GiveUp)+giveUpSlack, func() { k.giveUp(m.Id, q) })
	if again := time.Duration(k.l.s.Load.Retransmit); again > 0 && !k.tcp {
		k.l.after(again, func() {
			k.mu.Lock()
			over := q.done
			k.mu.Unlock()
			if !over {
				k.conn.Write(raw)
			}
		})
	}
}

func (k *caller) giveUp(id uint16, q *query) {
	k.mu.Lock()
	over := q.done
	q.done = true
	k.mu.Unlock()
	if !over {
		k.l.note(trace.Event{Kind: trace.RequestAbandoned, Request: q.n})
	}
	k.l.after(time.Second, func() {
		k.mu.Lock()
		delete(k.open, id)
		k.mu.Unlock()
	})
}

func (k *caller) read() {
	buf := make([]byte, dns.MaxMsgSize)
	for {
		var raw []byte
		var err error
		if k.tcp {
			raw, err = readMessage(k.conn)
		} else {
			var n int
			n, err = k.conn.Read(buf)
			raw = buf[:n]
		}
		if err != nil {
			return
		}
		k.got(raw)
	}
}

func (k *caller) got(raw []byte) {
	m := new(dns.Msg)
	if err := m.Unpack(raw); err != nil {
		k.l.stray.Add(1)
		return
	}
	k.mu.Lock()
	q := k.open[m.Id]
	var took time.Duration
	if q != nil {
		took = time.Since(q.asked)
		q.done = true
	}
	k.mu.Unlock()
	if q == nil {
		k.l.stray.Add(1)
		return
	}
	if m.Truncated && !k.tcp {
		k.l.truncated.Add(1)
	}
	v := trace.Failed
	switch m.Rcode {
	case dns.RcodeSuccess:
		v = trace.Served
		if n, _ := numberOf(m.Question[0].Name); n != q.n {
			v = trace.Foreign
		} else if m.Opcode == dns.OpcodeQuery && !m.Truncated {
			a, ok := (*dns.A)(nil), false
			if len(m.Answer) > 0 {
				a, ok = m.Answer[0].(*dns.A)
			}
			if !ok || !a.A.Equal(addressOf(q.n)) {
				v = trace.Foreign
			}
		}
	case dns.RcodeRefused:
		v = trace.Rejected
	}
	k.l.note(trace.Event{Kind: trace.RequestAnswered, Request: q.n, Verdict: v})
	if v == trace.Served {
		k.l.served(took)
	}
}
