package dnsfront

import (
	"encoding/binary"
	"errors"
	"strings"

	"github.com/miekg/dns"
)

const (
	maxUDPSize      = 1232 // bytes of a message over UDP, which fit an IPv6 path without fragmentation
	maxPlainUDPSize = 512  // bytes of an answer over UDP to a client without EDNS
)

// question is a query as its client sent it.
type question struct {
	id            uint16
	opcode        int
	raw           []byte // the complete message, for what is passed through unchanged
	msg           *dns.Msg
	edns          bool
	dnssecOK      bool
	maxUDPSize    int    // bytes that an answer over UDP may have
	clientCookie  string // the client's part, in hex; "" for none
	serverCookie  string // the part that the client returns as this server's, in hex
	asksKeepalive bool   // the client asks how long a TCP connection stays open
}

var (
	errShort    = errors.New("shorter than a header")
	errResponse = errors.New("is a response")
)

// queryError says why a query cannot be handled, as its client is told.
type queryError struct {
	rcode int
	text  string
}

func (e *queryError) Error() string { return e.text }

// parseQuery parses a query. The question is nil where the message must not be answered: a server that answers
// responses could be made to exchange messages with itself. All other errors are a *queryError.
func parseQuery(raw []byte) (*question, error) {
	if len(raw) < headerSize {
		return nil, errShort
	}
	if isResponse(raw) {
		return nil, errResponse
	}
	q := &question{id: headerID(raw), opcode: headerOpcode(raw), maxUDPSize: maxPlainUDPSize, raw: raw}
	switch q.opcode {
	case dns.OpcodeQuery, dns.OpcodeNotify, dns.OpcodeUpdate:
	default:
		return q, &queryError{dns.RcodeNotImplemented, "opcode"}
	}
	if questionCount(raw) != 1 {
		return q, &queryError{dns.RcodeFormatError, "not one question"}
	}
	m := new(dns.Msg)
	if err := m.Unpack(raw); err != nil || len(m.Question) != 1 {
		return q, &queryError{dns.RcodeFormatError, "malformed"}
	}
	q.msg = m
	if err := q.parseEDNS(); err != nil {
		return q, err
	}
	if q.opcode != dns.OpcodeQuery {
		return q, nil
	}
	return q, checkQuestion(m.Question[0])
}

// checkQuestion returns a *queryError for a question that this front does not support.
func checkQuestion(asked dns.Question) error {
	switch {
	case asked.Qtype == dns.TypeAXFR, asked.Qtype == dns.TypeIXFR:
		return &queryError{dns.RcodeRefused, "transfers are not carried"}
	case asked.Qclass != dns.ClassINET:
		return &queryError{dns.RcodeRefused, "only class IN is carried"}
	default:
		return nil
	}
}

// parseEDNS reads the OPT record, if there is one. It returns a *queryError.
func (q *question) parseEDNS() error {
	for _, rr := range q.msg.Extra {
		opt, ok := rr.(*dns.OPT)
		if !ok {
			continue
		}
		if q.edns {
			return &queryError{dns.RcodeFormatError, "more than one OPT"}
		}
		q.edns, q.dnssecOK = true, opt.Do()
		q.maxUDPSize = min(max(maxPlainUDPSize, int(opt.UDPSize())), maxUDPSize)
		if opt.Version() != 0 {
			return &queryError{dns.RcodeBadVers, "EDNS version"}
		}
		if err := q.parseOptions(opt.Option); err != nil {
			return err
		}
	}
	return nil
}

func (q *question) parseOptions(options []dns.EDNS0) error {
	for _, option := range options {
		switch o := option.(type) {
		case *dns.EDNS0_COOKIE:
			if !isCookieLength(len(o.Cookie)) {
				return &queryError{dns.RcodeFormatError, "cookie"}
			}
			q.clientCookie, q.serverCookie = o.Cookie[:clientCookieDigits], o.Cookie[clientCookieDigits:]
		case *dns.EDNS0_TCP_KEEPALIVE:
			q.asksKeepalive = true
		}
	}
	return nil
}

// isCookieLength reports whether a cookie of so many hexadecimal digits has a client's part, alone or with a server's
// part of 8 to 32 bytes (RFC 7873, 4).
func isCookieLength(digits int) bool {
	if digits == clientCookieDigits {
		return true
	}
	return digits >= 4*cookieSize && digits <= 10*cookieSize
}

// key identifies queries with the same answer, by name in lower case, type, class, and the flags that affect an
// answer.
func (q *question) key() string {
	asked := q.msg.Question[0]
	var b [6]byte
	binary.BigEndian.PutUint16(b[:], asked.Qtype)
	binary.BigEndian.PutUint16(b[2:], asked.Qclass)
	flags := []bool{q.msg.RecursionDesired, q.msg.CheckingDisabled, q.dnssecOK, q.msg.AuthenticatedData, q.edns}
	for i, on := range flags {
		if on {
			b[4] |= 1 << i
		}
	}
	b[5] = byte(q.opcode)
	return string(b[:]) + strings.ToLower(asked.Name)
}

// isSigned reports whether a signature covers the message, so that only its ID may be changed.
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

// isPassedThrough reports whether the query and its answer are forwarded byte by byte.
func (q *question) isPassedThrough() bool { return q.opcode != dns.OpcodeQuery || q.isSigned() }

// forServer encodes the query for a server, with ID 0. EDNS is negotiated hop by hop (RFC 6891): the client's OPT
// record is replaced by one with this program's cookie for the server.
func (q *question) forServer(cookie string) ([]byte, error) {
	if q.isPassedThrough() {
		raw := append([]byte(nil), q.raw...)
		setID(raw, 0)
		return raw, nil
	}
	header := dns.MsgHdr{
		RecursionDesired:  q.msg.RecursionDesired,
		CheckingDisabled:  q.msg.CheckingDisabled,
		AuthenticatedData: q.msg.AuthenticatedData,
		Opcode:            q.opcode,
	}
	opt := newOPT(q.dnssecOK)
	if cookie != "" {
		opt.Option = append(opt.Option, &dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: cookie})
	}
	m := &dns.Msg{MsgHdr: header, Question: q.msg.Question, Extra: []dns.RR{opt}}
	return m.Pack()
}

func newOPT(dnssecOK bool) *dns.OPT {
	opt := &dns.OPT{Hdr: dns.RR_Header{Name: ".", Rrtype: dns.TypeOPT}}
	opt.SetUDPSize(maxUDPSize)
	if dnssecOK {
		opt.SetDo()
	}
	return opt
}
