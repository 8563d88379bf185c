package dnsfront

import (
	"encoding/binary"
	"math"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const keepaliveUnit = 100 * time.Millisecond // unit of the timeout in the TCP keepalive option (RFC 7828)

// isAnsweredBy reports whether an encoded message is an answer to the query. The caller compares the ID.
func (q *parsedQuery) isAnsweredBy(raw []byte) bool {
	if len(raw) < headerSize || !isResponse(raw) || headerOpcode(raw) != q.opcode {
		return false
	}
	switch questionCount(raw) {
	case 0: // a server that could not parse the query may omit the question
		rcode := headerRcode(raw)
		return rcode == dns.RcodeFormatError || rcode == dns.RcodeNotImplemented
	case 1:
		return q.matchesQuestionOf(raw)
	default:
		return false
	}
}

// matchesQuestionOf reports whether the first question of an encoded message is that of the query.
func (q *parsedQuery) matchesQuestionOf(raw []byte) bool {
	const fixedSize = 4 // bytes of the type and the class after the name
	question := q.msg.Question[0]
	name, end, err := dns.UnpackDomainName(raw, headerSize)
	if err != nil || len(raw) < end+fixedSize || !strings.EqualFold(name, question.Name) {
		return false
	}
	return binary.BigEndian.Uint16(raw[end:]) == question.Qtype &&
		binary.BigEndian.Uint16(raw[end+2:]) == question.Qclass
}

// serverAnswer is the answer of a server to an attempt. It is not changed, and the answers to several queries may be
// encoded from it at the same time.
type serverAnswer struct {
	raw []byte
	msg *dns.Msg // nil if the answer is passed through
}

// Streams returns false: an answer is one complete message.
func (a *serverAnswer) Streams() bool { return false }

// Release does nothing: an answer has only memory of its own.
func (a *serverAnswer) Release() {}

// rcode returns the response code, which includes the bits from the OPT record if the message was parsed.
func (a *serverAnswer) rcode() int {
	if a.msg != nil {
		return a.msg.Rcode
	}
	return headerRcode(a.raw)
}

// parseAnswer parses an answer to the query, unless it is passed through. The cookie of the answer is in hex; it is ""
// if the answer has none or is passed through.
func (q *parsedQuery) parseAnswer(raw []byte) (parsed *serverAnswer, cookie string, err error) {
	parsed = &serverAnswer{raw: raw}
	if q.isPassedThrough() {
		return parsed, "", nil
	}
	parsed.msg = new(dns.Msg)
	if err := parsed.msg.Unpack(raw); err != nil {
		return nil, "", err
	}
	opt := parsed.msg.IsEdns0()
	if opt == nil {
		return parsed, "", nil
	}
	for _, option := range opt.Option {
		if cookieOption, ok := option.(*dns.EDNS0_COOKIE); ok {
			cookie = cookieOption.Cookie
		}
	}
	return parsed, cookie, nil
}

// replyOptions are the properties of an answer to a client that do not come from the server's answer.
type replyOptions struct {
	overTCP          bool          // whether the answer is sent over TCP, where it is not truncated
	serverCookie     string        // the server's part of the cookie in hex; "" if the client sent no cookie
	keepaliveTimeout time.Duration // how long a TCP connection stays open without an open query
}

// packAnswer encodes a server's answer as the answer to the query, truncated to the maximum size for its client and
// transport.
func (q *parsedQuery) packAnswer(answer *serverAnswer, options replyOptions) ([]byte, error) {
	if answer.msg == nil {
		return q.packRaw(answer.raw, options), nil
	}
	message := *answer.msg // a shallow copy, since other queries may share the records
	message.Id, message.Question, message.Compress = q.id, q.msg.Question, true
	records, extendedErrors := splitExtra(answer.msg.Extra)
	message.Extra = records
	if q.hasEDNS {
		opt := q.replyOPT(options)
		opt.Option = append(opt.Option, extendedErrors...)
		message.Extra = append(message.Extra, opt)
	} else if message.Rcode > rcodeMask {
		message.Rcode = dns.RcodeServerFailure // the actual code needs an OPT record
	}
	maxSize := dns.MaxMsgSize
	if !options.overTCP {
		maxSize = q.maxUDPSize
	}
	message.Truncate(maxSize)
	return message.Pack()
}

// packRaw returns an answer that is passed through, with the ID of the query. Over UDP, an answer that is too long for
// the client is replaced by a truncated, empty one.
func (q *parsedQuery) packRaw(answer []byte, options replyOptions) []byte {
	raw := append([]byte(nil), answer...)
	setID(raw, q.id)
	if !options.overTCP && len(raw) > q.maxUDPSize {
		return q.truncatedAnswer(raw, options)
	}
	return raw
}

// splitExtra splits additional records into those other than OPT, and the extended errors (RFC 8914) in OPT.
func splitExtra(extra []dns.RR) (records []dns.RR, extendedErrors []dns.EDNS0) {
	for _, rr := range extra {
		opt, ok := rr.(*dns.OPT)
		if !ok {
			records = append(records, rr)
			continue
		}
		for _, option := range opt.Option {
			if extendedError, ok := option.(*dns.EDNS0_EDE); ok {
				extendedErrors = append(extendedErrors, extendedError)
			}
		}
	}
	return records, extendedErrors
}

// truncatedAnswer encodes a truncated, empty answer, after which the client sends the query again over TCP. It has the
// response code of the encoded answer raw, or NOERROR if raw is nil. It returns nil if the question cannot be encoded.
func (q *parsedQuery) truncatedAnswer(raw []byte, options replyOptions) []byte {
	message := &dns.Msg{MsgHdr: dns.MsgHdr{Id: q.id, Response: true, Opcode: q.opcode, Truncated: true}}
	if q.msg != nil {
		message.Question, message.RecursionDesired = q.msg.Question, q.msg.RecursionDesired
	}
	if raw != nil {
		message.Rcode = headerRcode(raw)
	}
	if q.hasEDNS {
		message.Extra = []dns.RR{q.replyOPT(options)}
	}
	return packOrNil(message)
}

// errorAnswer encodes an answer without records. If the client supports EDNS and text is not empty, it has an extended
// error (RFC 8914). It returns nil if the question cannot be encoded.
func (q *parsedQuery) errorAnswer(rcode int, code uint16, text string, options replyOptions) []byte {
	message := &dns.Msg{MsgHdr: dns.MsgHdr{Id: q.id, Response: true, Opcode: q.opcode, Rcode: rcode}}
	if q.msg != nil {
		message.Question, message.RecursionDesired = q.msg.Question, q.msg.RecursionDesired
		message.RecursionAvailable = q.msg.RecursionDesired
	}
	if q.hasEDNS {
		opt := q.replyOPT(options)
		if text != "" {
			opt.Option = append(opt.Option, &dns.EDNS0_EDE{InfoCode: code, ExtraText: text})
		}
		message.Extra = []dns.RR{opt}
	} else if rcode > rcodeMask {
		message.Rcode = dns.RcodeFormatError // the actual code needs an OPT record
	}
	return packOrNil(message)
}

// packOrNil encodes a message, and returns nil if that fails.
func packOrNil(message *dns.Msg) []byte {
	raw, err := message.Pack()
	if err != nil {
		return nil
	}
	return raw
}

// replyOPT returns the OPT record of an answer to a client whose query had one.
func (q *parsedQuery) replyOPT(options replyOptions) *dns.OPT {
	opt := newOPT(q.dnssecOK)
	if q.clientCookie != "" && options.serverCookie != "" {
		cookie := &dns.EDNS0_COOKIE{Code: dns.EDNS0COOKIE, Cookie: q.clientCookie + options.serverCookie}
		opt.Option = append(opt.Option, cookie)
	}
	if options.overTCP && q.requestsKeepalive {
		timeout := min(options.keepaliveTimeout/keepaliveUnit, math.MaxUint16)
		opt.Option = append(opt.Option,
			&dns.EDNS0_TCP_KEEPALIVE{Code: dns.EDNS0TCPKEEPALIVE, Timeout: uint16(timeout)})
	}
	return opt
}
