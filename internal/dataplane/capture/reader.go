package capture

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"github.com/klauspost/compress/s2"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Error says where a capture is not readable.
type Error struct {
	Offset    int64 // of the frame
	Reason    string
	Truncated bool // it ends there: what came before is whole
}

// Error names the offset.
func (e *Error) Error() string { return fmt.Sprintf("capture: byte %d: %s", e.Offset, e.Reason) }

// Reader reads the records of one file.
type Reader struct {
	in          *bufio.Reader
	offset      int64
	body        []byte
	raw         []byte
	parser      parser
	lastInstant balancer.Micros
	frameOffset int64 // of the frame under way
}

// NewReader reads a file's head.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{in: bufio.NewReaderSize(in, 4<<10)}
	var head [fileHeaderBytes]byte
	if n, err := io.ReadFull(r.in, head[:]); err != nil {
		return nil, &Error{0, fmt.Sprintf("cut: the file's head has %d bytes of %d", n, fileHeaderBytes), true}
	}
	if string(head[:len(fileMagic)]) != fileMagic {
		return nil, &Error{0, "foreign: no capture of ours begins so", false}
	}
	if v := binary.BigEndian.Uint16(head[6:]); v != fileVersion {
		return nil, &Error{6, fmt.Sprintf("of version %d, read is %d", v, fileVersion), false}
	}
	r.offset = fileHeaderBytes
	return r, nil
}

// Next returns the next record, or io.EOF after the last one. Any other error is an *Error; the records before it
// are whole. The slices of a record are good until the next call.
func (r *Reader) Next() (Record, error) {
	for r.parser.at >= len(r.parser.in) {
		if err := r.frame(); err != nil {
			return Record{}, err
		}
	}
	x := r.parser.next(r.lastInstant)
	if r.parser.err != nil {
		err := &Error{r.frameOffset, "damaged: " + r.parser.err.Error(), false}
		r.parser = parser{}
		return Record{}, err
	}
	r.lastInstant = x.At
	return x, nil
}

// Offset is that of the frame which the latest record stands in.
func (r *Reader) Offset() int64 { return r.frameOffset }

func (r *Reader) frame() error {
	r.frameOffset = r.offset
	var head [frameHeaderBytes]byte
	n, err := io.ReadFull(r.in, head[:])
	switch {
	case errors.Is(err, io.EOF) && n == 0:
		return io.EOF
	case err != nil:
		return &Error{r.frameOffset, fmt.Sprintf("cut: %d bytes of a frame's head", n), true}
	}
	length, raw := binary.BigEndian.Uint32(head[:]), binary.BigEndian.Uint32(head[4:])
	if length > maxFrameBytes || raw > maxFrameBytes {
		return &Error{r.frameOffset, "damaged: a frame of more bytes than any has", false}
	}
	r.body = append(r.body[:0], make([]byte, min(int(length), 64<<10))...)
	for got := 0; got < int(length); {
		// A length that is not true must not take memory that is not filled.
		if got == len(r.body) {
			r.body = append(r.body, make([]byte, min(int(length)-got, len(r.body)))...)
		}
		n, err := io.ReadFull(r.in, r.body[got:])
		got += n
		if err != nil {
			return &Error{r.frameOffset, fmt.Sprintf("cut: %d bytes of a frame of %d", got, length), true}
		}
	}
	if snapshot.Checksum(head[:24], r.body) != binary.BigEndian.Uint32(head[24:]) {
		return &Error{r.frameOffset, "damaged: the checksum does not hold", false}
	}
	if n, err := s2.DecodedLen(r.body); err != nil || n != int(raw) {
		return &Error{r.frameOffset, "damaged: not compressed as it says", false}
	}
	if r.raw, err = s2.Decode(nil, r.body); err != nil {
		return &Error{r.frameOffset, "damaged: " + err.Error(), false}
	}
	r.offset += frameHeaderBytes + int64(length)
	r.parser, r.lastInstant = parser{in: r.raw}, int64(binary.BigEndian.Uint64(head[8:]))
	return nil
}
