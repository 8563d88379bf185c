package dnslab

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/miekg/dns"

	"birchmoor/internal/lab/trace"
)

// query is a query that a client has sent.
type query struct {
	number uint64
	raw    []byte
	sentAt time.Time
	ended  bool // answered, or given up by the client
}

// clientSocket is a client's socket, over UDP or TCP. Any goroutine may send.
type clientSocket struct {
	lab  *lab
	conn net.Conn
	tcp  bool

	mu      sync.Mutex
	lastID  uint16
	queries map[uint16]*query // by message id; includes recently ended ones, so that a duplicate answer is detected
}

func (l *lab) newClientSocket(tcp bool) (*clientSocket, error) {
	network := "udp"
	if tcp {
		network = "tcp"
	}
	conn, err := net.Dial(network, l.frontAddr)
	if err != nil {
		return nil, err
	}
	socket := &clientSocket{lab: l, conn: conn, tcp: tcp, queries: map[uint16]*query{}, lastID: uint16(rand.Uint32())}
	l.wg.Go(socket.read)
	return socket, nil
}

// send sends a query of a kind: "a", "big" or "update". It does not wait for the answer. The query's retransmission and
// the client's timeout are scheduled.
func (k *clientSocket) send(number uint64, kind string) {
	msg := new(dns.Msg)
	msg.SetQuestion(queryName(number, kind), dns.TypeA)
	if kind == "update" {
		msg.Opcode = dns.OpcodeUpdate
		msg.Question[0].Qtype = dns.TypeSOA
	} else {
		msg.SetEdns0(1232, false)
	}
	k.mu.Lock()
	for k.lastID++; k.queries[k.lastID] != nil; k.lastID++ {
	}
	msg.Id = k.lastID
	raw, err := msg.Pack()
	if err != nil {
		panic(err) // a bug: queryName returned no valid name
	}
	if k.tcp {
		raw = withLengthPrefix(raw)
	}
	sent := &query{number: number, raw: raw, sentAt: time.Now()}
	k.queries[msg.Id] = sent
	k.mu.Unlock()
	class := uint8(0)
	if kind == "update" {
		class = 1
	}
	k.lab.report(trace.Event{Kind: trace.RequestSent, Request: number, Task: number, Class: class, Work: 1e6})
	k.conn.SetWriteDeadline(time.Now().Add(time.Second))
	k.conn.Write(raw)
	k.lab.after(time.Duration(k.lab.scenario.Front.GiveUp)+giveUpSlack, func() { k.giveUp(msg.Id, sent) })
	if retransmitDelay := time.Duration(k.lab.scenario.Load.Retransmit); retransmitDelay > 0 && !k.tcp {
		k.lab.after(retransmitDelay, func() {
			k.mu.Lock()
			ended := sent.ended
			k.mu.Unlock()
			if !ended {
				k.conn.Write(raw)
			}
		})
	}
}

// giveUp ends a query that has not been answered. Its id is not used again for another second, to detect late answers.
func (k *clientSocket) giveUp(id uint16, sent *query) {
	k.mu.Lock()
	ended := sent.ended
	sent.ended = true
	k.mu.Unlock()
	if !ended {
		k.lab.report(trace.Event{Kind: trace.RequestAbandoned, Request: sent.number})
	}
	k.lab.after(time.Second, func() {
		k.mu.Lock()
		delete(k.queries, id)
		k.mu.Unlock()
	})
}

func (k *clientSocket) read() {
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
		k.receive(raw)
	}
}

// receive checks a message against the query with its id and reports the outcome to the checker.
func (k *clientSocket) receive(raw []byte) {
	msg := new(dns.Msg)
	if err := msg.Unpack(raw); err != nil {
		k.lab.strayMessages.Add(1)
		return
	}
	k.mu.Lock()
	sent := k.queries[msg.Id]
	var latency time.Duration
	if sent != nil {
		latency = time.Since(sent.sentAt)
		sent.ended = true
	}
	k.mu.Unlock()
	if sent == nil {
		k.lab.strayMessages.Add(1)
		return
	}
	if msg.Truncated && !k.tcp {
		k.lab.truncatedAnswers.Add(1)
	}
	verdict := trace.Failed
	switch msg.Rcode {
	case dns.RcodeSuccess:
		verdict = trace.Served
		if number, _ := parseName(msg.Question[0].Name); number != sent.number {
			verdict = trace.Foreign
		} else if msg.Opcode == dns.OpcodeQuery && !msg.Truncated {
			record, ok := (*dns.A)(nil), false
			if len(msg.Answer) > 0 {
				record, ok = msg.Answer[0].(*dns.A)
			}
			if !ok || !record.A.Equal(addressOf(sent.number)) {
				verdict = trace.Foreign
			}
		}
	case dns.RcodeRefused:
		verdict = trace.Rejected
	}
	k.lab.report(trace.Event{Kind: trace.RequestAnswered, Request: sent.number, Verdict: verdict})
	if verdict == trace.Served {
		k.lab.recordServed(latency)
	}
}
