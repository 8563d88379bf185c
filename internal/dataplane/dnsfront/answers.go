package dnsfront

import (
	"encoding/binary"
	"strings"
	"time"

	"github.com/miekg/dns"
)

// isAnsweredBy says whether a message is the answer to q: no other may pass for it. The id is compared by who reads.
func (q *question) isAnsweredBy(raw []byte) bool {
	if len(raw) < headerSize || raw[2]&0x80 == 0 || int(raw[2]>>3)&0xf != q.opcode ||
		binary.BigEndian.Uint16(raw[4:]) != 1 {
		// A server that could not read the question may leave it out of what it says of that.
		return len(raw) >= headerSize && raw[2]&0x80 != 0 && int(raw[2]>>3)&0xf == q.opcode &&
			binary.BigEndian.Uint16(raw[4:]) == 0 &&
			(raw[3]&0xf == dns.RcodeFormatError || raw[3]&0xf == dns.RcodeNotImplemented)
	}
	want := q.msg.Question[0]
	name, off, err := dns.UnpackDomainName(raw, headerSize)
	return err == nil && len(raw) >= off+4 && strings.EqualFold(name, want.Name) &&
		binary.BigEndian.Uint16(raw[off:]) == want.Qtype && binary.BigEndian.Uint16(raw[off+2:]) == want.Qclass
}

// isTruncated says whether a message says that there is more.
func isTruncated(raw []byte) bool { return raw[2]&0x02 != 0 }

// answer is what a server said.
type answer struct {
	raw []byte
	msg *dns.Msg // nil where it is passed on as it is
}

// Streams says that it is whole.
func (a *answer) Streams() bool { return false }

// Release does nothing: what an answer holds is its own.
func (a *answer) Release() {}

// readAnswer reads a server's answer, and returns the cookie that it sent with ours, in hex.
func (q *question) readAnswer(raw []byte) (a *answer, cookie string, err error) {
	a = &answer{raw: raw}
	if q.isPassedThrough() {
		return a, "", nil
	}
	a.msg = new(dns.Msg)
	if err := a.msg.Unpack(raw); err != nil {
		return nil, "", err
	}
	if opt := a.msg.IsEdns0(); opt != nil {
		for _, o := range opt.Option {
			if c, ok := o.(*dns.EDNS0_COOKIE); ok {
				cookie = c.Cookie
			}
		}
	}
	return a, cookie, nil
}

// replyOptions is what the client gets besides the answer.
type replyOptions struct {
	tcp       bool
	cookie    string        // for its OPT, if it sent one
	keepalive time.Duration // TCP connections are kept for
}

// packAnswer writes a server's answer as the answer to q. What does not fit its transport is truncated.
func (q *question) packAnswer(a *answer, r replyOptions) ([]byte, error) {
	if a.msg == nil {
		raw := append([]byte(nil), a.raw...)
		binary.BigEndian.PutUint16(raw, q.id)
		if !r.tcp && len(raw) > q.maxUDPSize {
			return q.truncatedAnswer(raw, r), nil
		}
		return raw, nil
	}
	m := *a.msg // its records are shared with others that asked the same, and not changed
	m.Id, m.Question, m.Compress = q.id, q.msg.Question, true
	m.Extra = nil
	var told []dns.EDNS0
	for _, rr := range a.msg.Extra {
		opt, ok := rr.(*dns.OPT)
		if !ok {
			m.Extra = append(m.Extra, rr)
			continue
		}
		for _, o := range opt.Option {
			if e, ok := o.(*dns.EDNS0_EDE); ok {
				told = append(told, e)
			}
		}
	}
	if q.edns {
		opt := q.replyOPT(r)
		opt.Option = append(opt.Option, told...)
		m.Extra = append(m.Extra, opt)
	} else if m.Rcode > 0xf {
		m.Rcode = dns.RcodeServerFailure // the rest of it stands in an OPT
	}
	most := dns.MaxMsgSize
	if !r.tcp {
		most = q.maxUDPSize
	}
	m.Truncate(most)
	return m.Pack()
}

// truncatedAnswer answers that there is more than fits.
func (q *question) truncatedAnswer(raw []byte, r replyOptions) []byte {
	m := &dns.Msg{MsgHdr: dns.MsgHdr{Id: q.id, Response: true, Opcode: q.opcode, Truncated: true}}
	if q.msg != nil {
		m.Question, m.RecursionDesired = q.msg.Question, q.msg.RecursionDesired
	}
	if raw != nil {
		m.Rcode = int(raw[3] & 0xf)
	}
	if q.edns {
		m.Extra = []dns.RR{q.replyOPT(r)}
	}
	text, err := m.Pack()
	if err != nil {
		return nil
	}
	return text
}

// errorAnswer writes an answer of our own, with an extended error (RFC 8914) where the client can take one.
func (q *question) errorAnswer(rcode int, code uint16, text string, r replyOptions) []byte {
	m := &dns.Msg{MsgHdr: dns.MsgHdr{Id: q.id, Response: true, Opcode: q.opcode, Rcode: rcode}}
	if q.msg != nil {
		m.Question, m.RecursionDesired = q.msg.Question, q.msg.RecursionDesired
		m.RecursionAvailable = q.msg.RecursionDesired
	}
	if q.edns {
		opt := q.replyOPT(r)
		if text != "" {
			opt.Option = append(opt.Option, &dns.EDNS0_EDE{InfoCode: code, ExtraText: text})
		}
		m.Extra = []dns.RR{opt}
	} else if rcode > 0xf {
		m.Rcode = dns.RcodeFormatError
	}
	raw, err := m.Pack()
	if err != nil {
		return nil // its question can be read and not be written: nothing true can be said
	}
	return raw
}

func (q *question) replyOPT(r replyOptions) *dns.OPT {
	opt := newOPT(q.dnssecOK)
	if q.clientCookie != "" && r.cookie != "" {
		opt.Option = append(opt.Option, &dns.EDNS0_COOKIE{Code: ednsCookie, Cookie: q.clientCookie + r.cookie})
	}
	if r.tcp && q.asksKeepalive {
		opt.Option = append(opt.Option, &dns.EDNS0_TCP_KEEPALIVE{Code: dns.EDNS0TCPKEEPALIVE,
			Timeout: uint16(min(r.keepalive/(100*time.Millisecond), 0xffff))})
	}
	return opt
}
