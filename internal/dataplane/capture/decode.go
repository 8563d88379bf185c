package capture

import (
	"encoding/binary"
	"errors"
	"math"

	"birchmoor/balancer"
)

var errTruncated = errors.New("the frame ends within a record")

// parser decodes the records of a frame. err is the first error; after it, the results are invalid.
type parser struct {
	in     []byte // the frame's records, decompressed
	offset int    // of the next byte to decode
	err    error
}

func (p *parser) fail(err error) {
	if p.err == nil {
		p.err = err
	}
}

func (p *parser) byte() byte {
	if p.offset >= len(p.in) {
		p.fail(errTruncated)
		return 0
	}
	p.offset++
	return p.in[p.offset-1]
}

// varint decodes a number of variable length. read decodes it from the remaining bytes and returns its length, or 0 or
// less if it is truncated or invalid.
func (p *parser) varint(read func([]byte) int) {
	length := read(p.in[min(p.offset, len(p.in)):])
	if length <= 0 {
		p.fail(errTruncated)
		return
	}
	p.offset += length
}

func (p *parser) uint(limit uint64) (value uint64) {
	p.varint(func(in []byte) (n int) {
		value, n = binary.Uvarint(in)
		return n
	})
	if value > limit {
		p.fail(errors.New("a number in a record is out of range"))
		return 0
	}
	return value
}

func (p *parser) uint32() uint32 { return uint32(p.uint(math.MaxUint32)) }

func (p *parser) int() (value int64) {
	p.varint(func(in []byte) (n int) {
		value, n = binary.Varint(in)
		return n
	})
	return value
}

// blob decodes up to limit bytes, which follow their length. The result is a part of in.
func (p *parser) blob(limit uint64) []byte {
	n := int(p.uint(limit))
	if p.err != nil {
		return nil
	}
	if n > len(p.in)-p.offset {
		p.fail(errTruncated)
		return nil
	}
	p.offset += n
	return p.in[p.offset-n : p.offset : p.offset]
}

func (p *parser) flags(flags ...*bool) {
	b := p.byte()
	for bit, flag := range flags {
		*flag = b&(1<<bit) != 0
	}
	if b>>len(flags) != 0 {
		p.fail(errors.New("a record has an unknown flag"))
	}
}

func (p *parser) load() []float32 {
	n := int(p.uint(maxLoadValues))
	if p.err != nil || n == 0 {
		return nil
	}
	if 4*n > len(p.in)-p.offset {
		p.err = errTruncated
		return nil
	}
	values := make([]float32, n)
	for i := range values {
		values[i] = math.Float32frombits(binary.LittleEndian.Uint32(p.in[p.offset:]))
		p.offset += 4
	}
	return values
}

// nextRecord decodes a record. last is the instant of the record before it. The record's blobs are parts of in.
func (p *parser) nextRecord(last balancer.Micros) Record {
	rec := Record{Kind: Kind(p.byte()), At: last}
	if p.err == nil && (rec.Kind == 0 || rec.Kind >= kindCount) {
		p.fail(errors.New("a record has an unknown kind: " + rec.Kind.String()))
	}
	if p.err != nil {
		return rec
	}
	if rec.Kind.IsAction() {
		p.action(&rec)
	} else {
		rec.At += p.int()
		p.event(&rec)
	}
	if rec.Status > balancer.NotSent || rec.List > balancer.ListFailed {
		p.fail(errors.New("a record has an unknown status"))
	}
	return rec
}

func (p *parser) event(rec *Record) {
	switch rec.Kind {
	case KindGap:
		rec.Count = p.uint(math.MaxUint64)
		rec.Line = string(p.blob(maxLineBytes))
	case KindSnapshot:
		p.flags(&rec.Flag)
		rec.Blob = p.blob(maxBlobBytes)
	case KindReload:
		rec.Blob = p.blob(maxBlobBytes)
	case KindRestore:
		rec.Time = p.int()
		rec.Blob = p.blob(maxBlobBytes)
	case KindUpdateEndpoints:
		p.endpoints(rec)
	case KindRequest:
		p.request(rec)
	case KindResponseStarted:
		p.attempt(rec)
	case KindOutcome:
		p.attempt(rec)
		rec.Endpoint = p.uint32()
		p.flags(&rec.Flag, &rec.NotReplayable)
		rec.Status = balancer.Status(p.byte())
		rec.Load = p.load()
	case KindUploadComplete:
		rec.ID = p.uint(math.MaxUint64)
		rec.Time = p.int()
	case KindClientDisconnected:
		rec.ID = p.uint(math.MaxUint64)
	case KindTimer:
		rec.Token = p.uint32()
	case KindProbeCompleted:
		rec.Endpoint = p.uint32()
		rec.Status = balancer.Status(p.byte())
		rec.Time = p.int()
		rec.Load = p.load()
	case KindDrainEndpoint, KindUndrainEndpoint, KindPeerEjected:
		rec.Endpoint = p.uint32()
		rec.Time = p.int()
	case KindSetCapacityShare:
		rec.Part = math.Float64frombits(p.uint(math.MaxUint64))
		if !(rec.Part > 0 && rec.Part <= 1) {
			p.fail(errors.New("a capacity share is not within 0 and 1"))
		}
	}
}

func (p *parser) action(rec *Record) {
	switch rec.Kind {
	case KindSend:
		rec.ID = p.uint(math.MaxUint64)
		rec.Endpoint = p.uint32()
		rec.Time = p.int()
	case KindReject:
		rec.ID = p.uint(math.MaxUint64)
		rec.Time = p.int()
	case KindFail:
		rec.ID = p.uint(math.MaxUint64)
	case KindCancel:
		rec.ID = p.uint(math.MaxUint64)
		rec.Attempt = int(p.int())
	case KindSetTimer:
		rec.Time = p.int()
		rec.Token = p.uint32()
	case KindProbe:
		rec.Endpoint = p.uint32()
	case KindWatch:
		p.flags(&rec.Flag)
	case KindLog:
		rec.Line = string(p.blob(maxLineBytes))
	}
}

// attempt decodes the request, the number and the time of an attempt.
func (p *parser) attempt(rec *Record) {
	rec.ID = p.uint(math.MaxUint64)
	rec.Attempt = int(p.int())
	rec.Time = p.int()
}

func (p *parser) endpoints(rec *Record) {
	rec.List = balancer.ListKind(p.byte())
	for range int(p.uint(maxEntries)) {
		var endpoint balancer.Endpoint
		endpoint.ID = p.uint32()
		endpoint.Zone = p.byte()
		endpoint.Kind = p.byte()
		endpoint.State = balancer.State(p.byte())
		endpoint.Cell = uint16(p.uint(math.MaxUint16))
		endpoint.Weight = math.Float32frombits(p.uint32())
		endpoint.StartTime = p.int()
		name := p.blob(maxNameBytes)
		if p.err != nil {
			return
		}
		rec.Entries = append(rec.Entries, endpoint)
		rec.Names = append(rec.Names, string(name))
	}
}

func (p *parser) request(rec *Record) {
	req := &rec.Request
	req.ID = p.uint(math.MaxUint64)
	req.Deadline = rec.At + p.int()
	var oldRules bool
	p.flags(&req.HasHint, &req.Retry, &req.Write, &req.BodyStreaming, &oldRules)
	if req.HasHint {
		req.Hint = p.int()
	}
	req.Tenant = uint16(p.uint(math.MaxUint16))
	req.Class = p.byte()
	if oldRules {
		rec.Rules = p.blob(maxBlobBytes)
	}
}
