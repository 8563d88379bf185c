package wire

import (
	"encoding/binary"
	"fmt"
	"io"
	"math"

	"birchmoor/balancer"
)

// Decoder decodes the records of batches. It keeps the numbered endpoint lists, to which updates in later batches may
// refer. The zero value is ready for Reset. It is not safe for concurrent use.
type Decoder struct {
	frame      []byte
	nextOffset int // offset of the next record in frame

	record       []byte // the current record, with its header
	recordOffset int    // offset of record in frame
	recordName   string // for errors
	offset       int    // offset of the next field in record
	err          error  // the first error in record

	lists      [maxLists][]balancer.Endpoint
	hasList    [maxLists]bool
	loadBuffer []float32
}

// Reset starts decoding a frame that ReadFrame returned, and returns its batch number and its clock.
func (d *Decoder) Reset(frame []byte) (batchNumber uint32, now balancer.Micros, err error) {
	if len(frame) < batchHeaderBytes {
		return 0, 0, &FrameError{"batch header", len(frame), "shorter than a header"}
	}
	if size := int(binary.BigEndian.Uint32(frame[4:])); size != len(frame) {
		return 0, 0, &FrameError{"batch header", 4, fmt.Sprintf("size %d but %d bytes", size, len(frame))}
	}
	d.frame = frame
	d.nextOffset = batchHeaderBytes
	return binary.BigEndian.Uint32(frame), balancer.Micros(binary.BigEndian.Uint64(frame[8:])), nil
}

// fail records an error at the current offset, unless the record has an error already.
func (d *Decoder) fail(reason string) {
	if d.err == nil {
		d.err = &FrameError{d.recordName, d.recordOffset + d.offset, reason}
	}
}

// take returns the next n bytes of the record. It returns nil after an error in the record, or if fewer bytes remain,
// which is an error.
func (d *Decoder) take(n int) []byte {
	if d.err != nil {
		return nil
	}
	if n < 0 || len(d.record)-d.offset < n {
		d.fail(fmt.Sprintf("needs %d more bytes, has %d", n, len(d.record)-d.offset))
		return nil
	}
	taken := d.record[d.offset : d.offset+n]
	d.offset += n
	return taken
}

func (d *Decoder) u8() uint8 {
	if p := d.take(1); p != nil {
		return p[0]
	}
	return 0
}

func (d *Decoder) u16() uint16 {
	if p := d.take(2); p != nil {
		return binary.BigEndian.Uint16(p)
	}
	return 0
}

func (d *Decoder) u32() uint32 {
	if p := d.take(4); p != nil {
		return binary.BigEndian.Uint32(p)
	}
	return 0
}

func (d *Decoder) u64() uint64 {
	if p := d.take(8); p != nil {
		return binary.BigEndian.Uint64(p)
	}
	return 0
}

// status decodes the outcome of an attempt or a probe. An unknown status is an error.
func (d *Decoder) status() balancer.Status {
	code := d.u16()
	if status, ok := statuses[code]; ok {
		return status
	}
	if d.err == nil {
		d.offset -= 2
		d.fail(fmt.Sprintf("unknown status %d", code))
	}
	return balancer.Error
}

// loadReport decodes the values of a load report. The slice is valid until the next call of Next.
func (d *Decoder) loadReport() []float32 {
	n := int(d.u8())
	p := d.take(4 * n)
	d.loadBuffer = d.loadBuffer[:0]
	for i := 0; i+4 <= len(p); i += 4 {
		d.loadBuffer = append(d.loadBuffer, math.Float32frombits(binary.BigEndian.Uint32(p[i:])))
	}
	return d.loadBuffer
}

// Next decodes the next record into e. It returns io.EOF after the last record of the batch, and a *FrameError if the
// record is malformed. For a record with an unknown code, it sets only the code and the offset.
func (d *Decoder) Next(e *Event) error {
	remaining := len(d.frame) - d.nextOffset
	if remaining == 0 {
		return io.EOF
	}
	d.recordOffset = d.nextOffset
	d.recordName = "record"
	d.offset = 0
	d.err = nil
	if remaining < recordHeaderBytes {
		d.fail(fmt.Sprintf("a record header needs %d bytes, has %d", recordHeaderBytes, remaining))
		return d.err
	}
	code := Code(d.frame[d.nextOffset])
	d.recordName = code.String()
	size := int(binary.BigEndian.Uint32(d.frame[d.nextOffset+1:]))
	if size > remaining-recordHeaderBytes {
		d.offset = 1
		d.fail(fmt.Sprintf("fields of %d bytes overrun the frame, which has %d left", size,
			remaining-recordHeaderBytes))
		return d.err
	}
	d.record = d.frame[d.nextOffset : d.nextOffset+recordHeaderBytes+size]
	d.offset = recordHeaderBytes
	e.Code = code
	e.Offset = d.nextOffset
	d.decodeFields(e)
	if d.err == nil && d.offset < len(d.record) {
		d.fail(fmt.Sprintf("%d bytes too many", len(d.record)-d.offset))
	}
	d.nextOffset += len(d.record)
	return d.err
}

// decodeFields decodes the fields of the current record into e. It skips those of an unknown code.
func (d *Decoder) decodeFields(e *Event) {
	switch e.Code {
	case EventStart:
		e.Seed = d.u64()
		e.Config = string(d.take(int(d.u32())))
	case EventEndpointList:
		d.endpointList()
	case EventEndpointUpdate:
		d.u32()
		d.endpointUpdate(e)
	case EventRequest:
		d.request(&e.Request)
	case EventResponseStarted:
		d.attempt(&e.Outcome)
		e.Outcome.Latency = d.micros32()
	case EventOutcome:
		d.attempt(&e.Outcome)
		e.Outcome.Status = d.status()
		e.Outcome.Latency = d.micros32()
		e.Outcome.Answered = d.u8() != 0
		e.Outcome.Load = d.loadReport()
	case EventClientDisconnected:
		e.Outcome.ID = d.u64()
	case EventTimer:
		e.Token = d.u32()
	case EventProbeResult:
		e.Endpoint = d.u32()
		e.Status = d.status()
		e.Latency = d.micros32()
		e.Load = d.loadReport()
	case EventPeerMessage:
		e.From = d.u16()
		e.Data = d.take(int(d.u16()))
	case EventStop:
	case EventSelectInstance:
		e.Instance = d.u32()
	default:
		d.offset = len(d.record)
	}
}

// Bits of a request's options.
const (
	optionHint = 1 << iota
	optionRetry
	optionWrite
)

func (d *Decoder) request(r *balancer.Request) {
	r.ID = d.u64()
	r.Key = d.u64()
	r.Deadline = balancer.Micros(d.u64())
	r.Hint = d.micros32()
	options := d.u8()
	r.HasHint = options&optionHint != 0
	r.Retry = options&optionRetry != 0
	r.Write = options&optionWrite != 0
	r.Tenant = d.u16()
	r.Class = d.u8()
}

// attempt decodes the fields that identify an attempt.
func (d *Decoder) attempt(o *balancer.Outcome) {
	o.ID = d.u64()
	o.Attempt = int(d.u16())
	o.Endpoint = d.u32()
}

func (d *Decoder) micros32() balancer.Micros { return balancer.Micros(d.u32()) }

// listNumber decodes the number of an endpoint list. A number of maxLists or more is an error.
func (d *Decoder) listNumber() int {
	n := int(d.u8())
	if n >= maxLists && d.err == nil {
		d.offset--
		d.fail(fmt.Sprintf("list number %d is over %d", n, maxLists-1))
		return 0
	}
	return n
}

// endpointList decodes a numbered endpoint list and keeps it for the updates that refer to it.
func (d *Decoder) endpointList() {
	id := d.listNumber()
	n := int(d.u32())
	if d.err == nil && n*entryBytes > len(d.record)-d.offset {
		d.offset -= 4
		d.fail(fmt.Sprintf("%d entries overrun the record", n))
	}
	if d.err != nil {
		return
	}
	list := d.lists[id][:0]
	for i := 0; i < n && d.err == nil; i++ {
		list = append(list, d.endpoint())
	}
	d.lists[id] = list
	d.hasList[id] = true
}

func (d *Decoder) endpoint() balancer.Endpoint {
	var e balancer.Endpoint
	e.ID = d.u32()
	e.Zone = d.u8()
	e.Kind = d.u8()
	e.Cell = d.u16()
	code := d.u8()
	state, ok := endpointStates[code]
	if !ok {
		d.offset--
		d.fail(fmt.Sprintf("unknown endpoint status %d", code))
	}
	e.State = state
	e.Weight = math.Float32frombits(d.u32())
	e.StartTime = balancer.Micros(d.u64())
	return e
}

// endpointUpdate decodes an update of the endpoint list, which refers to a list that was decoded before. An update for
// a failed call of discovery has no list.
func (d *Decoder) endpointUpdate(e *Event) {
	id := d.u8()
	e.Entries = nil
	code := d.u8()
	kind, ok := listKinds[code]
	if !ok {
		d.offset--
		d.fail(fmt.Sprintf("unknown kind %d", code))
		return
	}
	e.Kind = kind
	if kind == balancer.ListFailed || d.err != nil {
		return
	}
	if id >= maxLists || !d.hasList[id] {
		d.offset -= 2
		d.fail(fmt.Sprintf("list number %d has not been conveyed", id))
		return
	}
	e.Entries = d.lists[id]
}
