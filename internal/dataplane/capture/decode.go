package capture

import (
	"encoding/binary"
	"errors"
	"math"

	"birchmoor/balancer"
)

var errTruncated = errors.New("it ends within a record")

// parser reads records from a frame's bytes. The first fault ends it.
type parser struct {
	in  []byte
	at  int
	err error
}

func (p *parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *parser) byte() byte {
	if p.at >= len(p.in) {
		p.fail(errTruncated)
		return 0
	}
	p.at++
	return p.in[p.at-1]
}

// varint reads a number of variable length; read returns its bytes, or nothing if it is truncated.
func (p *parser) varint(read func([]byte) int) {
	n := read(p.in[min(p.at, len(p.in)):])
	if n <= 0 {
		p.fail(errTruncated)
		return
	}
	p.at += n
}

func (p *parser) uint(limit uint64) (v uint64) {
	p.varint(func(in []byte) (n int) {
		v, n = binary.Uvarint(in)
		return n
	})
	if v > limit {
		p.fail(errors.New("a number is out of range"))
		return 0
	}
	return v
}

func (p *parser) uint32() uint32 { return uint32(p.uint(math.MaxUint32)) }

func (p *parser) int() (v int64) {
	p.varint(func(in []byte) (n int) {
		v, n = binary.Varint(in)
		return n
	})
	return v
}

// blob reads bytes with their length. They stay a part of the frame's bytes.
func (p *parser) blob(limit uint64) []byte {
	n := int(p.uint(limit))
	if p.err != nil {
		return nil
	}
	if n > len(p.in)-p.at {
		p.fail(errTruncated)
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
		p.fail(errors.New("a flag is not known"))
	}
}

func (p *parser) load() []float32 {
	n := int(p.uint(maxLoadFigures))
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
		p.fail(errors.New("a kind is not known: " + r.Kind.String()))
	}
	if p.err != nil {
		return r
	}
	if r.Kind.IsAction() {
		p.action(&r)
	} else {
		r.At += p.int()
		p.event(&r)
	}
	if r.Status > balancer.NotSent || r.List > balancer.ListFailed {
		p.fail(errors.New("a status is not known"))
	}
	return r
}

func (p *parser) event(r *Record) {
	switch r.Kind {
	case KindGap:
		r.Count = p.uint(math.MaxUint64)
		r.Line = string(p.blob(maxLineBytes))
	case KindSnapshot:
		p.flags(&r.Flag)
		r.Blob = p.blob(maxBlobBytes)
	case KindReload:
		r.Blob = p.blob(maxBlobBytes)
	case KindRestore:
		r.Time = p.int()
		r.Blob = p.blob(maxBlobBytes)
	case KindUpdateEndpoints:
		p.endpoints(r)
	case KindRequest:
		p.request(r)
	case KindResponseStarted:
		p.attempt(r)
	case KindOutcome:
		p.attempt(r)
		r.Endpoint = p.uint32()
		p.flags(&r.Flag, &r.NotReplayable)
		r.Status = balancer.Status(p.byte())
		r.Load = p.load()
	case KindUploadComplete:
		r.ID = p.uint(math.MaxUint64)
		r.Time = p.int()
	case KindClientDisconnected:
		r.ID = p.uint(math.MaxUint64)
	case KindTimer:
		r.Token = p.uint32()
	case KindProbeCompleted:
		r.Endpoint = p.uint32()
		r.Status = balancer.Status(p.byte())
		r.Time = p.int()
		r.Load = p.load()
	case KindDrainEndpoint, KindUndrainEndpoint, KindPeerEjected:
		r.Endpoint = p.uint32()
		r.Time = p.int()
	case KindSetCapacityShare:
		r.Part = math.Float64frombits(p.uint(math.MaxUint64))
		if !(r.Part > 0 && r.Part <= 1) {
			p.fail(errors.New("a share is not within 0 and 1"))
		}
	}
}

func (p *parser) action(r *Record) {
	switch r.Kind {
	case KindSend:
		r.ID = p.uint(math.MaxUint64)
		r.Endpoint = p.uint32()
		r.Time = p.int()
	case KindReject:
		r.ID = p.uint(math.MaxUint64)
		r.Time = p.int()
	case KindFail:
		r.ID = p.uint(math.MaxUint64)
	case KindCancel:
		r.ID = p.uint(math.MaxUint64)
		r.Attempt = int(p.int())
	case KindSetTimer:
		r.Time = p.int()
		r.Token = p.uint32()
	case KindProbe:
		r.Endpoint = p.uint32()
	case KindWatch:
		p.flags(&r.Flag)
	case KindLog:
		r.Line = string(p.blob(maxLineBytes))
	}
}

// attempt reads what names an attempt, and a time.
func (p *parser) attempt(r *Record) {
	r.ID = p.uint(math.MaxUint64)
	r.Attempt = int(p.int())
	r.Time = p.int()
}

func (p *parser) endpoints(r *Record) {
	r.List = balancer.ListKind(p.byte())
	for range int(p.uint(maxEntries)) {
		var e balancer.Endpoint
		e.ID = p.uint32()
		e.Zone = p.byte()
		e.Kind = p.byte()
		e.State = balancer.State(p.byte())
		e.Cell = uint16(p.uint(math.MaxUint16))
		e.Weight = math.Float32frombits(p.uint32())
		e.StartTime = p.int()
		name := p.blob(maxNameBytes)
		if p.err != nil {
			return
		}
		r.Entries = append(r.Entries, e)
		r.Names = append(r.Names, string(name))
	}
}

func (p *parser) request(r *Record) {
	q := &r.Request
	q.ID = p.uint(math.MaxUint64)
	q.Deadline = r.At + p.int()
	var oldRules bool
	p.flags(&q.HasHint, &q.Retry, &q.Write, &q.BodyStreaming, &oldRules)
	if q.HasHint {
		q.Hint = p.int()
	}
	q.Tenant = uint16(p.uint(math.MaxUint16))
	q.Class = p.byte()
	if oldRules {
		r.Rules = p.blob(maxBlobBytes)
	}
}
