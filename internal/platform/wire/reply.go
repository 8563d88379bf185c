package wire

import (
	"encoding/binary"
	"math"

	"birchmoor/balancer"
)

// Reply encodes the reply to one batch: a header and a record for each action. Reset reuses its buffer for the next
// batch.
type Reply struct {
	buf   []byte
	count uint32
}

// Reset starts the reply to the batch with the given number.
func (w *Reply) Reset(batchNumber uint32) {
	w.buf = binary.BigEndian.AppendUint32(w.buf[:0], batchNumber)
	w.buf = append(w.buf, 0, 0, 0, 0, 0, 0, 0, 0)
	w.count = 0
}

// Bytes completes the header and returns the reply, which is valid until the next call of Reset.
func (w *Reply) Bytes() []byte {
	binary.BigEndian.PutUint32(w.buf[4:], uint32(len(w.buf)))
	binary.BigEndian.PutUint32(w.buf[8:], w.count)
	return w.buf
}

func (w *Reply) beginRecord(c Code, size int) {
	w.count++
	w.buf = append(w.buf, byte(c))
	w.u32(uint32(size))
}

func (w *Reply) u16(v uint16) { w.buf = binary.BigEndian.AppendUint16(w.buf, v) }

func (w *Reply) u32(v uint32) { w.buf = binary.BigEndian.AppendUint32(w.buf, v) }

func (w *Reply) u64(v uint64) { w.buf = binary.BigEndian.AppendUint64(w.buf, v) }

func (w *Reply) micros(v balancer.Micros) { w.u32(uint32(min(max(v, 0), math.MaxUint32))) }

// SelectInstance writes an as record: the following actions are those of the given instance.
func (w *Reply) SelectInstance(instance uint32) {
	w.beginRecord(ActionSelectInstance, 4)
	w.u32(instance)
}

// Send writes a deliver record: an attempt of a request is sent to an endpoint.
func (w *Reply) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	w.beginRecord(ActionSend, 16)
	w.u64(id)
	w.u32(endpoint)
	w.micros(timeout)
}

// Reject writes a decline record: a request is rejected, with a Retry-After.
func (w *Reply) Reject(id uint64, retryAfter balancer.Micros) {
	w.beginRecord(ActionReject, 12)
	w.u64(id)
	w.micros(retryAfter)
}

// Fail writes a fail record: a request has failed.
func (w *Reply) Fail(id uint64) { w.beginRecord(ActionFail, 8); w.u64(id) }

// Cancel writes a revoke record: an attempt is cancelled.
func (w *Reply) Cancel(id uint64, attempt int) {
	w.beginRecord(ActionCancel, 10)
	w.u64(id)
	w.u16(uint16(attempt))
}

// SetTimer writes an arm record: a timer event with the token is due after the delay.
func (w *Reply) SetTimer(delay balancer.Micros, token uint32) {
	w.beginRecord(ActionSetTimer, 8)
	w.micros(delay)
	w.u32(token)
}

// Probe writes a sound_out record: a probe is sent to an endpoint.
func (w *Reply) Probe(endpoint uint32) { w.beginRecord(ActionProbe, 4); w.u32(endpoint) }

// ReleaseEndpoint writes a let_go record for an endpoint.
func (w *Reply) ReleaseEndpoint(endpoint uint32) {
	w.beginRecord(ActionReleaseEndpoint, 4)
	w.u32(endpoint)
}

// AllPeers is the peer number that addresses SendPeerMessage to all peers.
const AllPeers uint32 = math.MaxUint32

// SendPeerMessage writes a write_peer record. It truncates data to 256 bytes.
func (w *Reply) SendPeerMessage(peer uint32, data []byte) {
	data = data[:min(len(data), 256)]
	w.beginRecord(ActionSendPeerMessage, 6+len(data))
	w.u32(peer)
	w.u16(uint16(len(data)))
	w.buf = append(w.buf, data...)
}

func (w *Reply) text(c Code, line string) {
	line = line[:min(len(line), math.MaxUint16)]
	w.beginRecord(c, 2+len(line))
	w.u16(uint16(len(line)))
	w.buf = append(w.buf, line...)
}

// Log writes a trace record with a log line.
func (w *Reply) Log(line string) { w.text(ActionLog, line) }

// ReportError writes an exception record with an error message.
func (w *Reply) ReportError(line string) { w.text(ActionReportError, line) }

// Watch writes a track record: the watch of discovery is enabled or disabled.
func (w *Reply) Watch(enabled bool) {
	w.beginRecord(ActionWatch, 1)
	if enabled {
		w.buf = append(w.buf, 1)
	} else {
		w.buf = append(w.buf, 0)
	}
}

// RequestList writes a list_all record: the complete endpoint list is requested.
func (w *Reply) RequestList() { w.beginRecord(ActionRequestList, 0) }
