// Package chunked decodes and encodes the chunked transfer coding of HTTP/1.1 (RFC 9112, 7.1) for streams whose bytes
// are needed as soon as they arrive. The reader of net/http and net/http/httputil is not used for them: within a chunk
// it reads until the caller's buffer is full, and so holds back what has arrived of a chunk that is sent slowly. The
// package imports only the standard library.
package chunked

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"math"
)

// Errors of a Reader. None of them is temporary.
var (
	ErrLineTooLong      = errors.New("chunked: the line before a chunk is too long")
	ErrMalformed        = errors.New("chunked: malformed encoding")
	ErrTooMuchExtension = errors.New("chunked: too many bytes besides the data")
)

const (
	maxLineBytes  = 4096 // of the line before a chunk, without its end
	maxSizeDigits = 16   // of the size, with leading zeros

	// A sender may use short chunks and extensions, but the bytes that are no data must not exceed this by much: for
	// each chunk some bytes, for each byte of data some, and a reserve.
	allowedBytesPerChunk     = 16
	allowedBytesPerDataByte  = 2
	allowedBytesBesidesData  = 16 << 10
	maxCountedChunkDataBytes = math.MaxInt64 / 4 // avoids an overflow of the count
)

// phase is what a Reader expects next.
type phase uint8

const (
	phaseSize    phase = iota // the line with the size of the next chunk
	phaseData                 // data of the current chunk
	phaseDataEnd              // the line end after the data of a chunk
)

// Reader decodes a chunked body. It is not safe for concurrent use.
type Reader struct {
	in        *bufio.Reader
	phase     phase
	remaining uint64 // bytes of data of the current chunk that were not read
	excess    int64  // bytes besides the data that exceed the allowance so far
	err       error  // returned by all further calls
}

// NewReader returns a Reader of the chunked body that begins at the next byte of in.
func NewReader(in *bufio.Reader) *Reader { return &Reader{in: in} }

// SetInput replaces the input, whose buffer must be empty, by another one that reads on from there.
func (r *Reader) SetInput(in *bufio.Reader) { r.in = in }

// Read implements io.Reader. It waits only while it has no data: it returns what has arrived of a chunk without waiting
// for its rest. The error is io.EOF after the last chunk, whose trailer remains unread, and io.ErrUnexpectedEOF if the
// input ends before that.
func (r *Reader) Read(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, r.err
	}
	for r.err == nil {
		if r.phase == phaseData && n == len(p) {
			break
		}
		if n > 0 && !r.hasArrived() {
			break
		}
		n += r.next(p[n:])
	}
	return n, r.err
}

// hasArrived reports whether a call of next would not wait.
func (r *Reader) hasArrived() bool {
	arrived := r.in.Buffered()
	switch r.phase {
	case phaseData:
		return arrived > 0
	case phaseDataEnd:
		return arrived >= len("\r\n")
	default:
		line, _ := r.in.Peek(arrived) // reads from memory, so it cannot fail
		return bytes.IndexByte(line, '\n') >= 0
	}
}

// next reads what the phase expects, of data as much as one read returns, and sets r.err. It returns the number of
// bytes of data.
func (r *Reader) next(p []byte) int {
	n := 0
	switch r.phase {
	case phaseSize:
		r.err = r.readSize()
	case phaseData:
		n, r.err = r.readData(p)
	case phaseDataEnd:
		r.err = r.readDataEnd()
	}
	return n
}

func (r *Reader) readData(p []byte) (n int, err error) {
	if uint64(len(p)) > r.remaining {
		p = p[:r.remaining]
	}
	n, err = r.in.Read(p)
	r.remaining -= uint64(n)
	if r.remaining == 0 {
		r.phase = phaseDataEnd
	}
	return n, unexpectedEOF(err)
}

func (r *Reader) readDataEnd() error {
	end, err := r.in.Peek(len("\r\n"))
	if err != nil {
		return unexpectedEOF(err)
	}
	if string(end) != "\r\n" {
		return ErrMalformed
	}
	_, _ = r.in.Discard(len(end)) // from memory, so it cannot fail
	r.phase = phaseSize
	return nil
}

// readSize reads the line before a chunk. It returns io.EOF for the last chunk, which has no data.
func (r *Reader) readSize() error {
	line, err := r.in.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		return ErrLineTooLong
	}
	if err != nil {
		return unexpectedEOF(err)
	}
	// A line feed alone does not end the line, and no other carriage return may stand in it (RFC 9112, erratum 7633).
	line, endsInCRLF := bytes.CutSuffix(line, []byte("\r\n"))
	if !endsInCRLF || bytes.IndexByte(line, '\r') >= 0 {
		return ErrMalformed
	}
	if len(line) >= maxLineBytes {
		return ErrLineTooLong
	}
	if r.remaining, err = parseSize(line); err != nil {
		return err
	}
	if r.remaining == 0 {
		return io.EOF
	}
	r.phase = phaseData
	return r.countExcess(len(line) + len("\r\n"))
}

// countExcess counts the bytes of a chunk besides its data, and rejects a body that has too many of them.
func (r *Reader) countExcess(besidesData int) error {
	data := int64(min(r.remaining, maxCountedChunkDataBytes))
	r.excess = max(0, r.excess+int64(besidesData)-allowedBytesPerChunk-allowedBytesPerDataByte*data)
	if r.excess > allowedBytesBesidesData {
		return ErrTooMuchExtension
	}
	return nil
}

// parseSize returns the size that the line before a chunk begins with, in hexadecimal. Spaces or an extension may follow
// it.
func parseSize(line []byte) (size uint64, err error) {
	digits := 0
	for digits < len(line) && digits < maxSizeDigits {
		digit, ok := hexValue(line[digits])
		if !ok {
			break
		}
		size = size<<4 | uint64(digit)
		digits++
	}
	rest := line[digits:]
	if digits == 0 || len(rest) > 0 && rest[0] != ';' && len(bytes.TrimRight(rest, " \t")) > 0 {
		return 0, ErrMalformed
	}
	return size, nil
}

func hexValue(b byte) (value byte, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return b - '0', true
	case 'a' <= b && b <= 'f':
		return b - 'a' + 10, true
	case 'A' <= b && b <= 'F':
		return b - 'A' + 10, true
	}
	return 0, false
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
