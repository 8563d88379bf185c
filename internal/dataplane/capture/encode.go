package capture

import (
	"encoding/binary"
	"math"

	"birchmoor/balancer"
)

// encoder appends encoded fields of a record to out.
type encoder struct{ out []byte }

func (e *encoder) byte(value byte)     { e.out = append(e.out, value) }
func (e *encoder) uint(value uint64)   { e.out = binary.AppendUvarint(e.out, value) }
func (e *encoder) int(value int64)     { e.out = binary.AppendVarint(e.out, value) }
func (e *encoder) uint32(value uint32) { e.uint(uint64(value)) }

// flags appends a byte that holds up to 8 flags, the first one as its lowest bit.
func (e *encoder) flags(flags ...bool) {
	b := byte(0)
	for bit, flag := range flags {
		if flag {
			b |= 1 << bit
		}
	}
	e.byte(b)
}

func (e *encoder) text(s string) {
	e.uint(uint64(len(s)))
	e.out = append(e.out, s...)
}

func (e *encoder) blob(b []byte) {
	e.uint(uint64(len(b)))
	e.out = append(e.out, b...)
}

func (e *encoder) load(load []float32) {
	e.uint(uint64(len(load)))
	for _, v := range load {
		e.out = binary.LittleEndian.AppendUint32(e.out, math.Float32bits(v))
	}
}

// append appends the encoded record to out. The instant of an event is encoded relative to last. Actions have no
// instant of their own: they happen at that of the event before them.
func (r *Record) append(out []byte, last balancer.Micros) []byte {
	e := &encoder{out: out}
	e.byte(byte(r.Kind))
	if r.Kind.IsAction() {
		r.encodeAction(e)
		return e.out
	}
	e.int(r.At - last)
	r.encodeEvent(e)
	return e.out
}

func (r *Record) encodeEvent(e *encoder) {
	switch r.Kind {
	case KindGap:
		e.uint(r.Count)
		e.text(r.Line)
	case KindSnapshot:
		e.flags(r.Flag)
		e.blob(r.Blob)
	case KindReload:
		e.blob(r.Blob)
	case KindRestore:
		e.int(r.Time)
		e.blob(r.Blob)
	case KindUpdateEndpoints:
		r.encodeEndpoints(e)
	case KindRequest:
		r.encodeRequest(e)
	case KindResponseStarted:
		r.encodeAttempt(e)
	case KindOutcome:
		r.encodeAttempt(e)
		e.uint32(r.Endpoint)
		e.flags(r.Flag, r.NotReplayable)
		e.byte(byte(r.Status))
		e.load(r.Load)
	case KindUploadComplete:
		e.uint(r.ID)
		e.int(r.Time)
	case KindClientDisconnected:
		e.uint(r.ID)
	case KindTimer:
		e.uint32(r.Token)
	case KindProbeCompleted:
		e.uint32(r.Endpoint)
		e.byte(byte(r.Status))
		e.int(r.Time)
		e.load(r.Load)
	case KindDrainEndpoint, KindUndrainEndpoint, KindPeerEjected:
		e.uint32(r.Endpoint)
		e.int(r.Time)
	case KindSetCapacityShare:
		e.uint(math.Float64bits(r.Part))
	}
}

func (r *Record) encodeAction(e *encoder) {
	switch r.Kind {
	case KindSend:
		e.uint(r.ID)
		e.uint32(r.Endpoint)
		e.int(r.Time)
	case KindReject:
		e.uint(r.ID)
		e.int(r.Time)
	case KindFail:
		e.uint(r.ID)
	case KindCancel:
		e.uint(r.ID)
		e.int(int64(r.Attempt))
	case KindSetTimer:
		e.int(r.Time)
		e.uint32(r.Token)
	case KindProbe:
		e.uint32(r.Endpoint)
	case KindWatch:
		e.flags(r.Flag)
	case KindLog:
		e.text(r.Line[:min(len(r.Line), maxLineBytes)])
	}
}

// encodeAttempt encodes the request, the number and the time of an attempt.
func (r *Record) encodeAttempt(e *encoder) {
	e.uint(r.ID)
	e.int(int64(r.Attempt))
	e.int(r.Time)
}

func (r *Record) encodeEndpoints(e *encoder) {
	e.byte(byte(r.List))
	e.uint(uint64(len(r.Entries)))
	for i := range r.Entries {
		entry := &r.Entries[i]
		e.uint32(entry.ID)
		e.byte(entry.Zone)
		e.byte(entry.Kind)
		e.byte(byte(entry.State))
		e.uint(uint64(entry.Cell))
		e.uint32(math.Float32bits(entry.Weight))
		e.int(entry.StartTime)
		name := ""
		if i < len(r.Names) {
			name = r.Names[i]
		}
		e.text(name)
	}
}

func (r *Record) encodeRequest(e *encoder) {
	req := &r.Request
	e.uint(req.ID)
	e.int(req.Deadline - r.At)
	e.flags(req.HasHint, req.Retry, req.Write, req.BodyStreaming, r.Rules != nil)
	if req.HasHint {
		e.int(req.Hint)
	}
	e.uint(uint64(req.Tenant))
	e.byte(req.Class)
	if r.Rules != nil {
		e.blob(r.Rules)
	}
}
