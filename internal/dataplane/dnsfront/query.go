package dnsfront

import (
	"encoding/binary"
	"errors"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const (
	maxUDPSize      = 1232 // bytes of a message over UDP, either way: what passes every path unfragmented
	maxPlainUDPSize = 512  // without EDNS
	headerSize      = 12

	ednsCookie         = dns.EDNS0COOKIE
	cookieSize         = 8         // of a client's part, and of ours
	cookieLifetime     = time.Hour // a cookie of ours holds
	maxClockSkew       = 5 * time.Minute
	clientCookieDigits = 2 * cookieSize // in hex
)

// question is a query as its client asked it.
type question struct {
	id            uint16
	opcode        int
	raw           []byte // the whole message; kept for what is passed on as it is
	msg           *dns.Msg
	edns          bool
	dnssecOK      bool   // DO
	maxUDPSize    int    // bytes that an answer over UDP may have
	clientCookie  string // the client's part, in hex; "" for none
	serverCookie  string // what it gives as ours, in hex
	asksKeepalive bool   // asks how long a TCP connection is kept
}

var (
	errShort    = errors.New("shorter than a header")
	errResponse = errors.New("is a response")
)

// queryError is what is wrong with a query, as its client is told.
type queryError struct {
	rcode int
	text  string
}

func (f *queryError) Error() string { return f.text }

// parseQuery reads a query. An error that is no *fault gets no answer: what answers anything could be made to talk to itself.
func parseQuery(raw []byte) (*question, error) {
	if len(raw) < headerSize {
		return nil, errShort
	}
	if raw[2]&0x80 != 0 {
		return nil, errResponse
	}
	q := &question{id: binary.BigEndian.Uint16(raw), opcode: int(raw[2]>>3) & 0xf, maxUDPSize: maxPlainUDPSize, raw: raw}
	switch q.opcode {
	case dns.OpcodeQuery, dns.OpcodeNotify, dns.OpcodeUpdate:
	default:
		return q, &queryError{dns.RcodeNotImplemented, "opcode"}
	}
	if binary.BigEndian.Uint16(raw[4:]) != 1 {
		return q, &queryError{dns.RcodeFormatError, "not one question"}
	}
	m := new(dns.Msg)
	if err := m.Unpack(raw); err != nil || len(m.Question) != 1 {
		return q, &queryError{dns.RcodeFormatError, "malformed"}
	}
	q.msg = m
	opts := 0
	for _, rr := range m.Extra {
		opt, ok := rr.(*dns.OPT)
		if !ok {
			continue
		}
		if opts++; opts > 1 {
			return q, &queryError{dns.RcodeFormatError, "more than one OPT"}
		}
		q.edns, q.dnssecOK = true, opt.Do()
		q.maxUDPSize = min(max(maxPlainUDPSize, int(opt.UDPSize())), maxUDPSize)
		if opt.Version() != 0 {
			return q, &queryError{dns.RcodeBadVers, "EDNS version"}
		}
		for _, o := range opt.Option {
			switch o := o.(type) {
			case *dns.EDNS0_COOKIE:
				if n := len(o.Cookie); n != clientCookieDigits && (n < 4*cookieSize || n > 10*cookieSize) {
					return q, &queryError{dns.RcodeFormatError, "cookie"}
				}
				q.clientCookie, q.serverCookie = o.Cookie[:clientCookieDigits], o.Cookie[clientCookieDigits:]
			case *dns.EDNS0_TCP_KEEPALIVE:
				q.asksKeepalive = true
			}
		}
	}
	if q.opcode == dns.OpcodeQuery {
		switch t := m.Question[0].Qtype; {
		case t == dns.TypeAXFR, t == dns.TypeIXFR:
			return q, &queryError{dns.RcodeRefused, "transfers are not carried"}
		case m.Question[0].Qclass != dns.ClassINET:
			return q, &queryError{dns.RcodeRefused, "only class IN is carried"}
		}
	}
	return q, nil
}

// key names a query for joining those that ask the same: name in lower case, type, and the flags that an answer turns on.
func (q *question) key() string {
	d := q.msg.Question[0]
	var b [6]byte
	binary.BigEndian.PutUint16(b[:], d.Qtype)
	binary.BigEndian.PutUint16(b[2:], d.Qclass)
	for i, on := range []bool{q.msg.RecursionDesired, q.msg.CheckingDisabled, q.dnssecOK, q.msg.AuthenticatedData, q.edns} {
		if on {
			b[4] |= 1 << i
		}
	}
	b[5] = byte(q.opcode)
	return string(b[:]) + strings.ToLower(d.Name)
}

// isSigned says whether a message must not be changed but for its id: a signature covers it.
func (q *question) isSigned() bool {
	if q.msg.IsTsig() != nil {
		return true
	}
	for _, rr := range q.msg.Extra {
		if rr.Header().Rrtype == dns.TypeSIG {
			return true
		}
	}
	return false
}

// isPassedThrough says whether it is passed on byte by byte, and so is its answer.
func (q *question) isPassedThrough() bool { return q.opcode != dns.OpcodeQuery || q.isSigned() }

// forServer makes what goes to a server, with id 0. EDNS is between neighbours: the client's OPT ends here, and ours, with
// our cookie for that server, goes on.
func (q *question) forServer(cookie string) ([]byte, error) {
	if q.isPassedThrough() {
		raw := append([]byte(nil), q.raw...)
		raw[0], raw[1] = 0, 0
		return raw, nil
	}
	m := &dns.Msg{MsgHdr: dns.MsgHdr{RecursionDesired: q.msg.RecursionDesired, CheckingDisabled: q.msg.CheckingDisabled,
		AuthenticatedData: q.msg.AuthenticatedData, Opcode: q.opcode}, Question: q.msg.Question}
	opt := newOPT(q.dnssecOK)
	if cookie != "" {
		opt.Option = append(opt.Option, &dns.EDNS0_COOKIE{Code: ednsCookie, Cookie: cookie})
	}
	m.Extra = []dns.RR{opt}
	return m.Pack()
}

func newOPT(do bool) *dns.OPT {
	opt := &dns.OPT{Hdr: dns.RR_Header{Name: ".", Rrtype: dns.TypeOPT}}
	opt.SetUDPSize(maxUDPSize)
	if do {
		opt.SetDo()
	}
	return opt
}
