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

// Error says where a capture cannot be read.
type Error struct {
	Offset    int64 // of the frame
	Reason    string
	Truncated bool // the file ends there: all records before it were returned
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

// Next returns the next record, or io.EOF after the last one. Any other error is an *Error. The slices of a record
// are valid until the next call.
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

// Offset returns the offset of the frame that holds the latest record.
func (r *Reader) Offset() int64 { return r.frameOffset }

// frame reads the next frame, for Next to return its records.
func (r *Reader) frame() error {
	r.frameOffset = r.offset
	var head [frameHeaderBytes]byte
	n, err := io.ReadFull(r.in, head[:])
	switch {
	case errors.Is(err, io.EOF) && n == 0:
		return io.EOF
	case err != nil:
		return r.truncated("%d bytes of a frame's head", n)
	}
	length := binary.BigEndian.Uint32(head[:])
	rawLength := binary.BigEndian.Uint32(head[4:])
	if length > maxFrameBytes || rawLength > maxFrameBytes {
		return r.damaged("a frame of more bytes than any has")
	}
	if err := r.readBody(int(length)); err != nil {
		return err
	}
	if snapshot.Checksum(head[:24], r.body) != binary.BigEndian.Uint32(head[24:]) {
		return r.damaged("the checksum does not hold")
	}
	if n, err := s2.DecodedLen(r.body); err != nil || n != int(rawLength) {
		return r.damaged("not compressed as it says")
	}
	if r.raw, err = s2.Decode(nil, r.body); err != nil {
		return r.damaged(err.Error())
	}
	r.offset += frameHeaderBytes + int64(length)
	r.parser = parser{in: r.raw}
	r.lastInstant = int64(binary.BigEndian.Uint64(head[8:]))
	return nil
}

// readBody reads a frame's compressed records.
func (r *Reader) readBody(length int) error {
	const firstChunk = 64 << 10
	r.body = append(r.body[:0], make([]byte, min(length, firstChunk))...)
	for got := 0; got < length; {
		// Memory grows with the bytes that come, so that a wrong length does not take it.
		if got == len(r.body) {
			r.body = append(r.body, make([]byte, min(length-got, len(r.body)))...)
		}
		n, err := io.ReadFull(r.in, r.body[got:])
		got += n
		if err != nil {
			return r.truncated("%d bytes of a frame of %d", got, length)
		}
	}
	return nil
}

func (r *Reader) truncated(format string, args ...any) *Error {
	return &Error{Offset: r.frameOffset, Reason: "cut: " + fmt.Sprintf(format, args...), Truncated: true}
}

func (r *Reader) damaged(reason string) *Error {
	return &Error{Offset: r.frameOffset, Reason: "damaged: " + reason}
}
