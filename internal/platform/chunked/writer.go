package chunked

import (
	"io"
	"net"
	"strconv"
)

// End is the last chunk with an empty trailer.
const End = "0\r\n\r\n"

// maxSizeLineBytes is the length of the longest line before a chunk that a Writer writes.
const maxSizeLineBytes = 16 + len("\r\n")

// BuffersWriter is an io.Writer that can write several buffers at once.
type BuffersWriter interface {
	io.Writer

	// WriteBuffers writes the buffers one after the other, and removes from them what it has written.
	WriteBuffers(buffers *net.Buffers) (n int64, err error)
}

// Writer encodes a chunked body. Each chunk takes one write if the writer below is a BuffersWriter. It is not safe for
// concurrent use.
type Writer struct {
	out      io.Writer
	sizeLine [maxSizeLineBytes]byte
	parts    [3][]byte // of the chunk being written; they are written through buffers
	buffers  net.Buffers
}

// NewWriter returns a Writer that writes chunks to out.
func NewWriter(out io.Writer) *Writer { return &Writer{out: out} }

// Write implements io.Writer. It writes p as one chunk, or nothing if p is empty, since an empty chunk ends the body. n
// is the number of bytes of p that were written.
func (w *Writer) Write(p []byte) (n int, err error) {
	if len(p) == 0 {
		return 0, nil
	}
	sizeLine := append(strconv.AppendUint(w.sizeLine[:0], uint64(len(p)), 16), "\r\n"...)
	w.parts = [...][]byte{sizeLine, p, []byte("\r\n")}
	w.buffers = w.parts[:]
	written, err := w.writeBuffers()
	w.parts = [len(w.parts)][]byte{}
	return min(max(0, int(written)-len(sizeLine)), len(p)), err
}

func (w *Writer) writeBuffers() (int64, error) {
	if out, ok := w.out.(BuffersWriter); ok {
		return out.WriteBuffers(&w.buffers)
	}
	return w.buffers.WriteTo(w.out)
}

// Close writes the end of the body.
func (w *Writer) Close() error {
	_, err := io.WriteString(w.out, End)
	return err
}
