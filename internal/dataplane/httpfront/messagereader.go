package httpfront

import (
	"bufio"
	"io"
)

// messageReader reads messages from a connection through a buffer, which can be larger for the time of a long body.
type messageReader struct {
	*bufio.Reader
	in    io.Reader
	usual *bufio.Reader // the reader with the usual buffer, which is empty while a larger one replaces it; else nil
}

func newMessageReader(in io.Reader, bufferSize int) *messageReader {
	return &messageReader{Reader: bufio.NewReaderSize(in, bufferSize), in: in}
}

// grow replaces the buffer by one of size bytes, if it is empty and smaller. It reports whether it did.
func (r *messageReader) grow(size int) bool {
	if size <= r.Size() || r.Buffered() > 0 {
		return false
	}
	r.usual = r.Reader
	r.Reader = bufio.NewReaderSize(r.in, size)
	return true
}

// shrink undoes grow, if the buffer is empty.
func (r *messageReader) shrink() {
	if r.usual != nil && r.Buffered() == 0 {
		r.Reader = r.usual
		r.usual = nil
	}
}
