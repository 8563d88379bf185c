package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
)

// maxTrailerBytes bounds the trailer of a chunked answer: its fields and the empty line after them.
const maxTrailerBytes = MaxHeaderBytes

var (
	errTrailerTooLarge  = fmt.Errorf("the trailer is over %d bytes", maxTrailerBytes)
	errMalformedTrailer = errors.New("the trailer has a line that is not a field")
)

// hasTrailerArrived reports whether skipTrailer would not wait: the empty line that ends the trailer is in the buffer.
func hasTrailerArrived(r *bufio.Reader) bool {
	rest, _ := r.Peek(r.Buffered()) // reads from memory, so it cannot fail
	for {
		line, following, complete := bytes.Cut(rest, []byte{'\n'})
		if !complete {
			return false
		}
		if len(bytes.TrimRight(line, "\r")) == 0 {
			return true
		}
		rest = following
	}
}

// skipTrailer reads the trailer of a chunked message up to and including the empty line that ends it. Trailer fields
// are not forwarded, so that none of them is kept: the trailer takes no memory beyond the reader's buffer. The error is
// io.EOF if the connection ends after a complete line.
func skipTrailer(r *bufio.Reader) error {
	remaining := maxTrailerBytes
	for lines := 0; ; lines++ {
		line, err := r.ReadSlice('\n')
		longLine := errors.Is(err, bufio.ErrBufferFull)
		switch {
		case errors.Is(err, io.EOF) && len(line) == 0:
			return io.EOF
		case errors.Is(err, io.EOF):
			return io.ErrUnexpectedEOF
		case err != nil && !longLine:
			return err
		}
		text := bytes.TrimRight(line, "\r\n")
		if len(text) == 0 && !longLine {
			return nil
		}
		if !isField(text, lines) {
			return errMalformedTrailer
		}
		remaining -= len(line)
		if longLine {
			skipped, err := skipLine(r, remaining)
			if err != nil {
				return err
			}
			remaining -= skipped
		}
		if remaining < 0 {
			return errTrailerTooLarge
		}
	}
}

// skipLine reads the rest of a line, and stops early once it is over limit bytes. It returns the number of bytes read.
func skipLine(r *bufio.Reader, limit int) (skipped int, err error) {
	for skipped <= limit {
		rest, err := r.ReadSlice('\n')
		skipped += len(rest)
		switch {
		case err == nil:
			return skipped, nil
		case errors.Is(err, io.EOF):
			return skipped, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return skipped, err
		}
	}
	return skipped, nil
}

// isField reports whether a line, of which start is the beginning, is a field with a name, or continues one of the
// lines before it.
func isField(start []byte, precedingLines int) bool {
	if len(start) > 0 && (start[0] == ' ' || start[0] == '\t') {
		return precedingLines > 0
	}
	return bytes.IndexByte(start, ':') > 0
}
