package dnsfront

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/netip"
	"strings"
	"time"

	"github.com/miekg/dns"
)

const (
	maxUDPSize    = 1232 // bytes of a message over UDP, either way: what passes every path unfragmented
	maxPlainUDPSize   = 512  // without EDNS
	headerSize = 12

	ednsCookie    = dns.EDNS0COOKIE
	cookieSize    = 8         // of a client's part, and of ours
	cookieLifetime    = time.Hour // a cookie of ours holds
	maxClockSkew    = 5 * time.Minute
	clientCookieDigits = 2 * cookieSize // in hex
)

// question is a query as its client asked it.
type question struct {
	id       uint16
	opcode   int
	raw      []byte // the whole message; kept for what is passed on as it is
	msg      *dns.Msg
	edns     bool
	dnssecOK   bool   // DO
	maxUDPSize     int    // bytes that an answer over UDP may have
	clientCookie   string // the client's part, in hex; "" for none
	serverCookie     string // what it gives as ours, in hex
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
	tcp    bool
	cookie string        // for its OPT, if it sent one
	keepalive   time.Duration // TCP connections are kept for
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

// ---- Cookies (RFC 7873) ----------------------------------------------------

// cookieSecret makes cookies, for clients as their server and for servers as their client. Without state: it tells its own
// again by the address.
type cookieSecret [32]byte

func (s *cookieSecret) mac(parts ...[]byte) []byte {
	h := hmac.New(sha256.New, s[:])
	for _, p := range parts {
		h.Write([]byte{byte(len(p))})
		h.Write(p)
	}
	return h.Sum(nil)[:cookieSize]
}

// clientPart is our part of a cookie, the same for one server for as long as we run.
func (s *cookieSecret) clientPart(addr string) string {
	return hex.EncodeToString(s.mac([]byte("server"), []byte(addr)))
}

// serverPart is the server's part of a cookie of a client, with the time in it.
func (s *cookieSecret) serverPart(now time.Time, client netip.Addr, part string) string {
	at := binary.BigEndian.AppendUint32(nil, uint32(now.Unix()))
	return hex.EncodeToString(append(at, s.mac([]byte("client"), at, client.Unmap().AsSlice(), []byte(part))...))
}

// verify says whether a cookie is one of ours for this client and not old.
func (s *cookieSecret) verify(now time.Time, client netip.Addr, part, ours string) bool {
	b, err := hex.DecodeString(ours)
	if err != nil || len(b) != 4+cookieSize {
		return false
	}
	age := now.Sub(time.Unix(int64(binary.BigEndian.Uint32(b)), 0))
	return age < cookieLifetime && age > -maxClockSkew &&
		hmac.Equal(b[4:], s.mac([]byte("client"), b[:4], client.Unmap().AsSlice(), []byte(part)))
}
