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

// Error says where and why a capture cannot be read.
type Error struct {
	Offset    int64 // offset of the frame in the file, in bytes
	Reason    string
	Truncated bool // the file ends within the frame; all records before it were returned
}

// Error returns the offset and the reason.
func (e *Error) Error() string { return fmt.Sprintf("capture: byte %d: %s", e.Offset, e.Reason) }

// Reader reads the records of one file. It is for one goroutine.
type Reader struct {
	in          *bufio.Reader
	offset      int64  // of the next frame
	body        []byte // the current frame's records, compressed
	raw         []byte // the current frame's records, decompressed
	parser      parser
	lastInstant balancer.Micros // of the latest record
	frameOffset int64           // offset of the current frame
}

// NewReader returns a reader of a file, after reading the file's header. An error is an *Error.
func NewReader(in io.Reader) (*Reader, error) {
	r := &Reader{in: bufio.NewReaderSize(in, 4<<10)}
	var head [fileHeaderBytes]byte
	if n, err := io.ReadFull(r.in, head[:]); err != nil {
		return nil, &Error{0, fmt.Sprintf("cut: the file header has %d of %d bytes", n, fileHeaderBytes), true}
	}
	if string(head[:len(fileMagic)]) != fileMagic {
		return nil, &Error{0, "foreign: the file does not begin as a capture does", false}
	}
	if v := binary.BigEndian.Uint16(head[6:]); v != fileVersion {
		return nil, &Error{6, fmt.Sprintf("of version %d, but the supported one is %d", v, fileVersion), false}
	}
	r.offset = fileHeaderBytes
	return r, nil
}

// Next returns the next record, or io.EOF after the last one. Any other error is an *Error. The slices of a record are
// valid until the next call.
func (r *Reader) Next() (Record, error) {
	for r.parser.offset >= len(r.parser.in) {
		if err := r.frame(); err != nil {
			return Record{}, err
		}
	}
	rec := r.parser.nextRecord(r.lastInstant)
	if r.parser.err != nil {
		err := &Error{r.frameOffset, "damaged: " + r.parser.err.Error(), false}
		r.parser = parser{}
		return Record{}, err
	}
	r.lastInstant = rec.At
	return rec, nil
}

// Offset returns the offset of the frame that holds the latest record.
func (r *Reader) Offset() int64 { return r.frameOffset }

// frame reads and checks the next frame, whose records Next then returns.
func (r *Reader) frame() error {
	r.frameOffset = r.offset
	var head [frameHeaderBytes]byte
	n, err := io.ReadFull(r.in, head[:])
	switch {
	case errors.Is(err, io.EOF) && n == 0:
		return io.EOF
	case err != nil:
		return r.truncated("the file ends after %d bytes of a frame's header", n)
	}
	length := binary.BigEndian.Uint32(head[:])
	rawLength := binary.BigEndian.Uint32(head[4:])
	if length > maxFrameBytes || rawLength > maxFrameBytes {
		return r.damaged("the frame's length is over the maximum")
	}
	if err := r.readBody(int(length)); err != nil {
		return err
	}
	if snapshot.Checksum(head[:24], r.body) != binary.BigEndian.Uint32(head[24:]) {
		return r.damaged("the frame's checksum is wrong")
	}
	if n, err := s2.DecodedLen(r.body); err != nil || n != int(rawLength) {
		return r.damaged("the frame's decompressed length is wrong")
	}
	if r.raw, err = s2.Decode(nil, r.body); err != nil {
		return r.damaged(err.Error())
	}
	r.offset += frameHeaderBytes + int64(length)
	r.parser = parser{in: r.raw}
	r.lastInstant = int64(binary.BigEndian.Uint64(head[8:]))
	return nil
}

// readBody reads the compressed records of a frame into body.
func (r *Reader) readBody(length int) error {
	const firstChunk = 64 << 10
	r.body = append(r.body[:0], make([]byte, min(length, firstChunk))...)
	for got := 0; got < length; {
		// The buffer grows with the bytes that are read, so that a wrong length does not allocate much memory.
		if got == len(r.body) {
			r.body = append(r.body, make([]byte, min(length-got, len(r.body)))...)
		}
		n, err := io.ReadFull(r.in, r.body[got:])
		got += n
		if err != nil {
			return r.truncated("the file ends after %d of a frame's %d bytes", got, length)
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
