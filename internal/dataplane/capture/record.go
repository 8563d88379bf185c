// Package capture records what a sidecar's decision module is told and what it answers, and reads such records.
//
// A capture is a row of files. Each holds frames, and a frame holds records, compressed, under a length and a
// checksum. A segment is a row of frames that begins with a snapshot of the module, so that it can be replayed
// without what came before; it ends where the next one begins. Where the disk was slow or full a whole stretch is
// missing: the next segment begins with a record of the gap. Paths, queries, bodies and clients' ids are not
// recorded, nor keys: requests are numbers.
package capture

import (
	"encoding/binary"
	"errors"
	"fmt"
	"math"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Kind is what a record tells.
type Kind uint8

// The kinds: what begins a segment, what the module is told, and what it answers.
const (
	KindGap      Kind = iota + 1 // a stretch is missing: Count records, for Line's reason
	KindSnapshot                 // Blob: package snapshot's form, without names of endpoints that are not listed. Flag: it follows the segment before

	KindUpdateEndpoints
	KindRequest
	KindResponseStarted
	KindUploadComplete
	KindOutcome
	KindClientDisconnected
	KindTimer
	KindProbeCompleted
	KindDrainEndpoint
	KindUndrainEndpoint
	KindSetCapacityShare
	KindReload // Blob: the settings
	KindPeerEjected
	KindRestore // Blob: the snapshot, of an age

	KindSend
	KindReject
	KindFail
	KindCancel
	KindSetTimer
	KindProbe
	KindWatch
	KindLog
	kindCount
)

var kindNames = [kindCount]string{KindGap: "gap", KindSnapshot: "snapshot", KindUpdateEndpoints: "members",
	KindRequest: "request", KindResponseStarted: "headers", KindUploadComplete: "uploaded", KindOutcome: "outcome",
	KindClientDisconnected: "client-gone", KindTimer: "timer", KindProbeCompleted: "probed", KindDrainEndpoint: "take-out",
	KindUndrainEndpoint: "call-back", KindSetCapacityShare: "share", KindReload: "reload", KindPeerEjected: "heard", KindRestore: "recall",
	KindSend: "send", KindReject: "refuse", KindFail: "fail", KindCancel: "cancel", KindSetTimer: "set-timer",
	KindProbe: "probe", KindWatch: "watch", KindLog: "log"}

// String is the kind's name.
func (k Kind) String() string {
	if k < kindCount && kindNames[k] != "" {
		return kindNames[k]
	}
	return fmt.Sprintf("kind %d", uint8(k))
}

// IsAction says whether a record is what the module answered; all others are what it was told.
func (k Kind) IsAction() bool { return k >= KindSend && k < kindCount }

// Record is one of them. Which fields count depends on the kind.
type Record struct {
	Kind          Kind
	At            balancer.Micros // of the event; answers have that of what they follow
	ID            uint64          // of the request
	Endpoint      uint32
	Attempt       int
	Token         uint32
	Time          balancer.Micros // a delay, an age, a latency, a retry-after, or an operator's instant
	Status        balancer.Status
	List          balancer.ListKind
	Flag          bool // settled, or on
	NotReplayable bool
	Part          float64
	Count         uint64
	Line          string
	Blob          []byte
	Load          []float32
	Entries       []balancer.Endpoint
	Names         []string // of Entries
	Request       balancer.Request
	Rules         []byte // of a request that came with old ones: balancer.RulesState in CBOR
}

const (
	maxLineBytes   = 4 << 10
	maxBlobBytes   = 16 << 20
	maxLoadFigures = 256
	maxEntries     = 1 << 16
	maxNameBytes   = 1024
)

// append adds r's bytes to out; the instant is told as the time since last.
func (r *Record) append(out []byte, last balancer.Micros) []byte {
	u := func(v uint64) { out = binary.AppendUvarint(out, v) }
	i := func(v int64) { out = binary.AppendVarint(out, v) }
	flags := func(list ...bool) {
		b := byte(0)
		for n, f := range list {
			if f {
				b |= 1 << n
			}
		}
		out = append(out, b)
	}
	text := func(s string) {
		u(uint64(len(s)))
		out = append(out, s...)
	}
	out = append(out, byte(r.Kind))
	if !r.Kind.IsAction() {
		i(r.At - last)
	}
	switch r.Kind {
	case KindGap:
		u(r.Count)
		text(r.Line)
	case KindSnapshot:
		flags(r.Flag)
		text(string(r.Blob))
	case KindReload:
		text(string(r.Blob))
	case KindRestore:
		i(r.Time)
		text(string(r.Blob))
	case KindUpdateEndpoints:
		out = append(out, byte(r.List))
		u(uint64(len(r.Entries)))
		for n := range r.Entries {
			e := &r.Entries[n]
			u(uint64(e.ID))
			out = append(out, e.Zone, e.Kind, byte(e.State))
			u(uint64(e.Cell))
			u(uint64(math.Float32bits(e.Weight)))
			i(e.StartTime)
			name := ""
			if n < len(r.Names) {
				name = r.Names[n]
			}
			text(name)
		}
	case KindRequest:
		q := &r.Request
		u(q.ID)
		i(q.Deadline - r.At)
		flags(q.HasHint, q.Retry, q.Write, q.BodyStreaming, r.Rules != nil)
		if q.HasHint {
			i(q.Hint)
		}
		u(uint64(q.Tenant))
		out = append(out, q.Class)
		if r.Rules != nil {
			text(string(r.Rules))
		}
	case KindResponseStarted, KindOutcome:
		u(r.ID)
		i(int64(r.Attempt))
		i(r.Time)
		if r.Kind == KindOutcome {
			u(uint64(r.Endpoint))
			flags(r.Flag, r.NotReplayable)
			out = append(out, byte(r.Status))
			out = appendLoad(out, r.Load)
		}
	case KindUploadComplete, KindReject:
		u(r.ID)
		i(r.Time)
	case KindClientDisconnected, KindFail:
		u(r.ID)
	case KindTimer:
		u(uint64(r.Token))
	case KindProbeCompleted:
		u(uint64(r.Endpoint))
		out = append(out, byte(r.Status))
		i(r.Time)
		out = appendLoad(out, r.Load)
	case KindDrainEndpoint, KindUndrainEndpoint, KindPeerEjected:
		u(uint64(r.Endpoint))
		i(r.Time)
	case KindSetCapacityShare:
		u(math.Float64bits(r.Part))
	case KindSend:
		u(r.ID)
		u(uint64(r.Endpoint))
		i(r.Time)
	case KindCancel:
		u(r.ID)
		i(int64(r.Attempt))
	case KindSetTimer:
		i(r.Time)
		u(uint64(r.Token))
	case KindProbe:
		u(uint64(r.Endpoint))
	case KindWatch:
		flags(r.Flag)
	case KindLog:
		text(r.Line[:min(len(r.Line), maxLineBytes)])
	}
	return out
}

func appendLoad(out []byte, load []float32) []byte {
	out = binary.AppendUvarint(out, uint64(len(load)))
	for _, v := range load {
		out = binary.LittleEndian.AppendUint32(out, math.Float32bits(v))
	}
	return out
}

var errTruncated = errors.New("it ends within a record")

// parser reads records from a frame's bytes. The first fault ends it.
type parser struct {
	in  []byte
	at  int
	err error
}

func (p *parser) fail(reason string) {
	if p.err == nil {
		p.err = errors.New(reason)
	}
}

func (p *parser) byte() byte {
	if p.at >= len(p.in) {
		if p.err == nil {
			p.err = errTruncated
		}
		return 0
	}
	p.at++
	return p.in[p.at-1]
}

func (p *parser) varint(read func([]byte) int) {
	n := read(p.in[min(p.at, len(p.in)):])
	if n <= 0 {
		if p.err == nil {
			p.err = errTruncated
		}
		return
	}
	p.at += n
}

func (p *parser) u(most uint64) (v uint64) {
	p.varint(func(in []byte) (n int) { v, n = binary.Uvarint(in); return n })
	if v > most {
		p.fail("a number is out of range")
		return 0
	}
	return v
}

func (p *parser) i() (v int64) {
	p.varint(func(in []byte) (n int) { v, n = binary.Varint(in); return n })
	return v
}

func (p *parser) blob(most uint64) []byte {
	n := int(p.u(most))
	if p.err != nil || n > len(p.in)-p.at {
		if p.err == nil {
			p.err = errTruncated
		}
		return nil
	}
	p.at += n
	return p.in[p.at-n : p.at : p.at]
}

func (p *parser) flags(to ...*bool) {
	b := p.byte()
	for n, f := range to {
		*f = b&(1<<n) != 0
	}
	if b>>len(to) != 0 {
		p.fail("a flag is not known")
	}
}

func (p *parser) load() []float32 {
	n := int(p.u(maxLoadFigures))
	if p.err != nil || n == 0 {
		return nil
	}
	if 4*n > len(p.in)-p.at {
		p.err = errTruncated
		return nil
	}
	list := make([]float32, n)
	for k := range list {
		list[k] = math.Float32frombits(binary.LittleEndian.Uint32(p.in[p.at:]))
		p.at += 4
	}
	return list
}

// next reads a record. Blobs stay parts of the frame's bytes.
func (p *parser) next(last balancer.Micros) Record {
	r := Record{Kind: Kind(p.byte()), At: last}
	if p.err == nil && (r.Kind == 0 || r.Kind >= kindCount) {
		p.fail("a kind is not known: " + r.Kind.String())
	}
	if p.err != nil {
		return r
	}
	if !r.Kind.IsAction() {
		r.At += p.i()
	}
	number := func() uint32 { return uint32(p.u(math.MaxUint32)) }
	switch r.Kind {
	case KindGap:
		r.Count = p.u(math.MaxUint64)
		r.Line = string(p.blob(maxLineBytes))
	case KindSnapshot:
		p.flags(&r.Flag)
		r.Blob = p.blob(maxBlobBytes)
	case KindReload:
		r.Blob = p.blob(maxBlobBytes)
	case KindRestore:
		r.Time = p.i()
		r.Blob = p.blob(maxBlobBytes)
	case KindUpdateEndpoints:
		r.List = balancer.ListKind(p.byte())
		n := int(p.u(maxEntries))
		for range n {
			e := balancer.Endpoint{ID: number(), Zone: p.byte(), Kind: p.byte(), State: balancer.State(p.byte())}
			e.Cell = uint16(p.u(math.MaxUint16))
			e.Weight = math.Float32frombits(number())
			e.StartTime = p.i()
			name := p.blob(maxNameBytes)
			if p.err != nil {
				return r
			}
			r.Entries, r.Names = append(r.Entries, e), append(r.Names, string(name))
		}
	case KindRequest:
		q := &r.Request
		q.ID = p.u(math.MaxUint64)
		q.Deadline = r.At + p.i()
		var old bool
		p.flags(&q.HasHint, &q.Retry, &q.Write, &q.BodyStreaming, &old)
		if q.HasHint {
			q.Hint = p.i()
		}
		q.Tenant = uint16(p.u(math.MaxUint16))
		q.Class = p.byte()
		if old {
			r.Rules = p.blob(maxBlobBytes)
		}
	case KindResponseStarted, KindOutcome:
		r.ID = p.u(math.MaxUint64)
		r.Attempt = int(p.i())
		r.Time = p.i()
		if r.Kind == KindOutcome {
			r.Endpoint = number()
			p.flags(&r.Flag, &r.NotReplayable)
			r.Status = balancer.Status(p.byte())
			r.Load = p.load()
		}
	case KindUploadComplete, KindReject:
		r.ID = p.u(math.MaxUint64)
		r.Time = p.i()
	case KindClientDisconnected, KindFail:
		r.ID = p.u(math.MaxUint64)
	case KindTimer:
		r.Token = number()
	case KindProbeCompleted:
		r.Endpoint = number()
		r.Status = balancer.Status(p.byte())
		r.Time = p.i()
		r.Load = p.load()
	case KindDrainEndpoint, KindUndrainEndpoint, KindPeerEjected:
		r.Endpoint = number()
		r.Time = p.i()
	case KindSetCapacityShare:
		r.Part = math.Float64frombits(p.u(math.MaxUint64))
		if !(r.Part > 0 && r.Part <= 1) {
			p.fail("a share is not within 0 and 1")
		}
	case KindSend:
		r.ID = p.u(math.MaxUint64)
		r.Endpoint = number()
		r.Time = p.i()
	case KindCancel:
		r.ID = p.u(math.MaxUint64)
		r.Attempt = int(p.i())
	case KindSetTimer:
		r.Time = p.i()
		r.Token = number()
	case KindProbe:
		r.Endpoint = number()
	case KindWatch:
		p.flags(&r.Flag)
	case KindLog:
		r.Line = string(p.blob(maxLineBytes))
	}
	if r.Status > balancer.NotSent || r.List > balancer.ListFailed {
		p.fail("a status is not known")
	}
	return r
}

// Bytes is a record's canonical form, by which two are compared.
func (r *Record) Bytes() []byte { return r.append(nil, r.At) }

// String is a line for people and for decision logs.
func (r *Record) String() string {
	switch r.Kind {
	case KindGap:
		return fmt.Sprintf("gap: %d records lost: %s", r.Count, r.Line)
	case KindSnapshot, KindReload, KindRestore:
		return fmt.Sprintf("%v of %d bytes, %08x", r.Kind, len(r.Blob), snapshot.Checksum(r.Blob))
	case KindUpdateEndpoints:
		return fmt.Sprintf("members: kind %d, %d entries", r.List, len(r.Entries))
	case KindRequest:
		return fmt.Sprintf("request %d: class %d, tenant %d, %d us", r.Request.ID, r.Request.Class, r.Request.Tenant,
			r.Request.Deadline-r.At)
	case KindResponseStarted:
		return fmt.Sprintf("headers of request %d, attempt %d", r.ID, r.Attempt)
	case KindOutcome:
		return fmt.Sprintf("outcome of request %d, attempt %d at %d: status %d after %d us", r.ID, r.Attempt, r.Endpoint,
			r.Status, r.Time)
	case KindUploadComplete, KindClientDisconnected:
		return fmt.Sprintf("%v: request %d", r.Kind, r.ID)
	case KindTimer:
		return fmt.Sprintf("timer %d", r.Token)
	case KindProbeCompleted:
		return fmt.Sprintf("probed %d: status %d after %d us, %v", r.Endpoint, r.Status, r.Time, r.Load)
	case KindDrainEndpoint, KindUndrainEndpoint, KindPeerEjected:
		return fmt.Sprintf("%v %d", r.Kind, r.Endpoint)
	case KindSetCapacityShare:
		return fmt.Sprintf("share %v", r.Part)
	case KindSend:
		return fmt.Sprintf("send %d to %d within %d us", r.ID, r.Endpoint, r.Time)
	case KindReject:
		return fmt.Sprintf("refuse %d, again after %d us", r.ID, r.Time)
	case KindFail:
		return fmt.Sprintf("fail %d", r.ID)
	case KindCancel:
		return fmt.Sprintf("cancel %d, attempt %d", r.ID, r.Attempt)
	case KindSetTimer:
		return fmt.Sprintf("set timer %d in %d us", r.Token, r.Time)
	case KindProbe:
		return fmt.Sprintf("probe %d", r.Endpoint)
	case KindWatch:
		return fmt.Sprintf("watch %v", r.Flag)
	case KindLog:
		return "log " + r.Line
	}
	return r.Kind.String()
}
