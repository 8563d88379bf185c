package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

const (
	batchHeaderBytes  = 16
	replyHeaderBytes  = 12
	recordHeaderBytes = 5
	entryBytes        = 21 // an endpoint in a list
	maxLists          = 16
	maxFrameBytes     = 1 << 30
)

// FrameError is the error for a malformed batch.
type FrameError struct {
	Record string // the simulator's name of the malformed record, or the part of the frame
	Offset int    // in the frame
	Reason string
}

// Error implements error. It returns the record, the offset and the reason.
func (e *FrameError) Error() string {
	return fmt.Sprintf("%s at byte %d: %s", e.Record, e.Offset, e.Reason)
}

// ReadFrame reads one batch into buf, which it grows as needed, and returns it. It returns io.EOF only if the input
// ends before the batch, and a *FrameError if the input ends within it or its size is out of range.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	if cap(buf) < batchHeaderBytes {
		buf = make([]byte, 1<<16)
	}
	buf = buf[:batchHeaderBytes]
	if n, err := io.ReadFull(r, buf); err != nil {
		if errors.Is(err, io.EOF) {
			return nil, io.EOF
		}
		return nil, &FrameError{"batch header", n, "input ends inside it"}
	}
	size := int(binary.BigEndian.Uint32(buf[4:]))
	if size < batchHeaderBytes || size > maxFrameBytes {
		return nil, &FrameError{"batch header", 4, fmt.Sprintf("frame size %d is out of range", size)}
	}
	for filled := batchHeaderBytes; filled < size; {
		// The buffer grows as bytes arrive, so that a header with a large size does not allocate memory by itself.
		step := min(size-filled, 1<<20)
		if cap(buf) < filled+step {
			grown := make([]byte, filled, max(filled+step, 2*cap(buf)))
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:filled+step]
		n, err := io.ReadFull(r, buf[filled:])
		if err != nil {
			return nil, &FrameError{"batch", filled + n, fmt.Sprintf("input ends inside a frame of %d bytes", size)}
		}
		filled += step
	}
	return buf, nil
}
