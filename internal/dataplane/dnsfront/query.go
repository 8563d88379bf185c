package dnsfront

import (
	"encoding/binary"
	"errors"
	"strings"

	"github.com/miekg/dns"
)

const (
	maxUDPSize      = 1232 // bytes of a message over UDP, which fits an IPv6 path without fragmentation
	maxPlainUDPSize = 512  // bytes of an answer over UDP to a client without EDNS
)

// parsedQuery is a client's query in parsed form. It is not changed after parsing, and may be shared.
type parsedQuery struct {
	id                uint16
	opcode            int
	raw               []byte   // the complete message, for a query that is passed through
	msg               *dns.Msg // nil if the message could not be parsed
	hasEDNS           bool
	dnssecOK          bool
	maxUDPSize        int    // maximum size of an answer over UDP, in bytes
	clientCookie      string // the client's part of the cookie, in hex; "" without a cookie
	serverCookie      string // the server's part of the cookie as the client returned it, in hex; may be ""
	requestsKeepalive bool   // the client requests the idle timeout of its TCP connection (RFC 7828)
}

var (
	errShort    = errors.New("message is shorter than a DNS header")
	errResponse = errors.New("message is a response")
)

// queryError is the reason why a query cannot be handled: the response code for the client, and the text of the
// extended error.
type queryError struct {
	rcode int
	text  string
}

func (e *queryError) Error() string { return e.text }

// parseQuery parses a query. It returns a nil query for a message that must not be answered: one that is too short, or
// a response, since a server that answers responses could be made to exchange messages with itself. All other errors
// are a *queryError, and the query is returned with them for the error answer.
func parseQuery(raw []byte) (*parsedQuery, error) {
	if len(raw) < headerSize {
		return nil, errShort
	}
	if isResponse(raw) {
		return nil, errResponse
	}
	query := &parsedQuery{id: headerID(raw), opcode: headerOpcode(raw), maxUDPSize: maxPlainUDPSize, raw: raw}
	switch query.opcode {
	case dns.OpcodeQuery, dns.OpcodeNotify, dns.OpcodeUpdate:
	default:
		return query, &queryError{dns.RcodeNotImplemented, "opcode"}
	}
	if questionCount(raw) != 1 {
		return query, &queryError{dns.RcodeFormatError, "not one question"}
	}
	message := new(dns.Msg)
	if err := message.Unpack(raw); err != nil || len(message.Question) != 1 {
		return query, &queryError{dns.RcodeFormatError, "malformed"}
	}
	query.msg = message
	if err := query.parseEDNS(); err != nil {
		return query, err
	}
	if query.opcode != dns.OpcodeQuery {
		return query, nil
	}
	return query, checkQuestion(message.Question[0])
}

// checkQuestion returns a *queryError for a question that the front does not support: a zone transfer, or a class other
// than IN.
func checkQuestion(question dns.Question) error {
	switch {
	case question.Qtype == dns.TypeAXFR, question.Qtype == dns.TypeIXFR:
		return &queryError{dns.RcodeRefused, "transfers are not carried"}
	case question.Qclass != dns.ClassINET:
		return &queryError{dns.RcodeRefused, "only class IN is carried"}
	default:
		return nil
	}
}

// parseEDNS reads the OPT record, if there is one. Its error is a *queryError.
func (q *parsedQuery) parseEDNS() error {
	for _, record := range q.msg.Extra {
		opt, ok := record.(*dns.OPT)
		if !ok {
			continue
		}
		if q.hasEDNS {
			return &queryError{dns.RcodeFormatError, "more than one OPT"}
		}
		q.hasEDNS, q.dnssecOK = true, opt.Do()
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

func (q *parsedQuery) parseOptions(options []dns.EDNS0) error {
	for _, option := range options {
		switch typed := option.(type) {
		case *dns.EDNS0_COOKIE:
			if !isCookieLength(len(typed.Cookie)) {
				return &queryError{dns.RcodeFormatError, "cookie"}
			}
			q.clientCookie, q.serverCookie = typed.Cookie[:clientCookieDigits], typed.Cookie[clientCookieDigits:]
		case *dns.EDNS0_TCP_KEEPALIVE:
			q.requestsKeepalive = true
		}
	}
	return nil
}

// isCookieLength reports whether a cookie with a number of hexadecimal digits has a valid length: the client's part,
// alone or followed by a server's part of 8 to 32 bytes (RFC 7873, 4).
func isCookieLength(digits int) bool {
	if digits == clientCookieDigits {
		return true
	}
	return digits >= 4*cookieSize && digits <= 10*cookieSize
}

// questionKey returns a key that is the same for all queries with the same answer. It consists of the type, the class,
// the flags that affect an answer, the opcode, and the name in lower case.
func (q *parsedQuery) questionKey() string {
	question := q.msg.Question[0]
	var prefix [6]byte
	binary.BigEndian.PutUint16(prefix[:], question.Qtype)
	binary.BigEndian.PutUint16(prefix[2:], question.Qclass)
	flags := []bool{q.msg.RecursionDesired, q.msg.CheckingDisabled, q.dnssecOK, q.msg.AuthenticatedData, q.hasEDNS}
	for i, set := range flags {
		if set {
			prefix[4] |= 1 << i
		}
	}
	prefix[5] = byte(q.opcode)
	return string(prefix[:]) + strings.ToLower(question.Name)
}

// isSigned reports whether a TSIG or SIG(0) signature covers the message, so that only its ID may be changed.
func (q *parsedQuery) isSigned() bool {
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

// isPassedThrough reports whether the query and its answer are forwarded byte by byte, except for the ID.
func (q *parsedQuery) isPassedThrough() bool { return q.opcode != dns.OpcodeQuery || q.isSigned() }

// packForServer encodes the query for a server, with ID 0. EDNS is negotiated hop by hop (RFC 6891): unless the query
// is passed through, the client's OPT record is replaced by one with cookie, the sidecar's cookie for the server in
// hex.
func (q *parsedQuery) packForServer(cookie string) ([]byte, error) {
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
	message := &dns.Msg{MsgHdr: header, Question: q.msg.Question, Extra: []dns.RR{opt}}
	return message.Pack()
}

// newOPT returns an OPT record that offers maxUDPSize.
func newOPT(dnssecOK bool) *dns.OPT {
	opt := &dns.OPT{Hdr: dns.RR_Header{Name: ".", Rrtype: dns.TypeOPT}}
	opt.SetUDPSize(maxUDPSize)
	if dnssecOK {
		opt.SetDo()
	}
	return opt
}
