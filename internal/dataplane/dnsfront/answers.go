package dnsfront

import (
	"encoding/binary"
	"math"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const keepaliveUnit = 100 * time.Millisecond // of the TCP keepalive option (RFC 7828)

// isAnsweredBy reports whether a message is an answer to the question. The caller compares the ID.
func (q *question) isAnsweredBy(raw []byte) bool {
	if len(raw) < headerSize || !isResponse(raw) || headerOpcode(raw) != q.opcode {
		return false
	}
	switch questionCount(raw) {
	case 0: // a server that could not parse the question may omit it
		rcode := headerRcode(raw)
		return rcode == dns.RcodeFormatError || rcode == dns.RcodeNotImplemented
	case 1:
		return q.isRepeatedIn(raw)
	default:
		return false
	}
}

// isRepeatedIn reports whether the question of an encoded message is this one.
func (q *question) isRepeatedIn(raw []byte) bool {
	const fixedSize = 4 // bytes of type and class behind the name
	asked := q.msg.Question[0]
	name, end, err := dns.UnpackDomainName(raw, headerSize)
	if err != nil || len(raw) < end+fixedSize || !strings.EqualFold(name, asked.Name) {
		return false
	}
	return binary.BigEndian.Uint16(raw[end:]) == asked.Qtype && binary.BigEndian.Uint16(raw[end+2:]) == asked.Qclass
}

// answer is a server's answer.
type answer struct {
	raw []byte
	msg *dns.Msg // nil where the answer is passed through
}

// Streams returns false: an answer is complete.
func (a *answer) Streams() bool { return false }

// Release does nothing: an answer holds no shared resources.
func (a *answer) Release() {}

// rcode returns the response code, with its extension where the message was parsed.
func (a *answer) rcode() int {
	if a.msg != nil {
		return a.msg.Rcode
	}
	return headerRcode(a.raw)
}

// readAnswer parses a server's answer, and returns its cookie in hex, "" for none.
func (q *question) readAnswer(raw []byte) (a *answer, cookie string, err error) {
	a = &answer{raw: raw}
	if q.isPassedThrough() {
		return a, "", nil
	}
	a.msg = new(dns.Msg)
	if err := a.msg.Unpack(raw); err != nil {
		return nil, "", err
	}
	opt := a.msg.IsEdns0()
	if opt == nil {
		return a, "", nil
	}
	for _, option := range opt.Option {
		if c, ok := option.(*dns.EDNS0_COOKIE); ok {
			cookie = c.Cookie
		}
	}
	return a, cookie, nil
}

// replyOptions is what a client gets besides the answer.
type replyOptions struct {
	tcp       bool
	cookie    string        // the server's part in hex, for a client that sent a cookie
	keepalive time.Duration // how long a TCP connection stays open without a query
}

// packAnswer encodes a server's answer as the answer to q. It is truncated if it exceeds the size limit of its
// transport.
func (q *question) packAnswer(a *answer, options replyOptions) ([]byte, error) {
	if a.msg == nil {
		return q.packRaw(a.raw, options), nil
	}
	m := *a.msg // a shallow copy: other queries may share its records
	m.Id, m.Question, m.Compress = q.id, q.msg.Question, true
	records, extendedErrors := splitExtra(a.msg.Extra)
	m.Extra = records
	if q.edns {
		opt := q.replyOPT(options)
		opt.Option = append(opt.Option, extendedErrors...)
		m.Extra = append(m.Extra, opt)
	} else if m.Rcode > rcodeMask {
		m.Rcode = dns.RcodeServerFailure // the code needs an OPT record
	}
	maxSize := dns.MaxMsgSize
	if !options.tcp {
		maxSize = q.maxUDPSize
	}
	m.Truncate(maxSize)
	return m.Pack()
}

// packRaw returns an answer that is passed through, with the client's ID.
func (q *question) packRaw(answer []byte, options replyOptions) []byte {
	raw := append([]byte(nil), answer...)
	setID(raw, q.id)
	if !options.tcp && len(raw) > q.maxUDPSize {
		return q.truncatedAnswer(raw, options)
	}
	return raw
}

// splitExtra returns the additional records without OPT, and the extended errors (RFC 8914) of OPT.
func splitExtra(extra []dns.RR) (records []dns.RR, extendedErrors []dns.EDNS0) {
	for _, rr := range extra {
		opt, ok := rr.(*dns.OPT)
		if !ok {
			records = append(records, rr)
			continue
		}
		for _, option := range opt.Option {
			if e, ok := option.(*dns.EDNS0_EDE); ok {
				extendedErrors = append(extendedErrors, e)
			}
		}
	}
	return records, extendedErrors
}

// truncatedAnswer encodes an empty answer that has the client ask again over TCP, with the response code of raw
// unless that is nil. It returns nil if the question cannot be encoded.
func (q *question) truncatedAnswer(raw []byte, options replyOptions) []byte {
	m := &dns.Msg{MsgHdr: dns.MsgHdr{Id: q.id, Response: true, Opcode: q.opcode, Truncated: true}}
	if q.msg != nil {
		m.Question, m.RecursionDesired = q.msg.Question, q.msg.RecursionDesired
	}
	if raw != nil {
		m.Rcode = headerRcode(raw)
	}
	if q.edns {
		m.Extra = []dns.RR{q.replyOPT(options)}
	}
	return packOrNil(m)
}

// errorAnswer encodes an answer without records, with an extended error (RFC 8914) if the client supports EDNS. It
// returns nil if the question cannot be encoded.
func (q *question) errorAnswer(rcode int, code uint16, text string, options replyOptions) []byte {
	m := &dns.Msg{MsgHdr: dns.MsgHdr{Id: q.id, Response: true, Opcode: q.opcode, Rcode: rcode}}
	if q.msg != nil {
		m.Question, m.RecursionDesired = q.msg.Question, q.msg.RecursionDesired
		m.RecursionAvailable = q.msg.RecursionDesired
	}
	if q.edns {
		opt := q.replyOPT(options)
		if text != "" {
			opt.Option = append(opt.Option, &dns.EDNS0_EDE{InfoCode: code, ExtraText: text})
		}
		m.Extra = []dns.RR{opt}
	} else if rcode > rcodeMask {
		m.Rcode = dns.RcodeFormatError // the code needs an OPT record
	}
	return packOrNil(m)
}

func packOrNil(m *dns.Msg) []byte {
	raw, err := m.Pack()
	if err != nil {
		return nil
	}
	return raw
}

// replyOPT returns the OPT record of an answer to a client that sent one.
func (q *question) replyOPT(options replyOptions) *dns.OPT {
	opt := newOPT(q.dnssecOK)
	if q.clientCookie != "" && options.cookie != "" {
		cookie := &dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: q.clientCookie + options.cookie}
		opt.Option = append(opt.Option, cookie)
	}
	if options.tcp && q.asksKeepalive {
		timeout := min(options.keepalive/keepaliveUnit, math.MaxUint16)
		opt.Option = append(opt.Option, &dns.EDNS0_TCP_KEEPALIVE{Code: dns.EDNS0TCPKEEPALIVE, Timeout: uint16(timeout)})
	}
	return opt
}
