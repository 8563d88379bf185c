package httpfront

import (
	"errors"
	"io"
	"net/http/httputil"

	"birchmoor/internal/dataplane/core"
)

// download is the body of an endpoint's answer that is streamed to the client. One goroutine owns it at a time; the
// last owner calls done.
type download struct {
	beginning []byte    // the part of the body that was read before the stream began
	rest      io.Reader // the body after beginning
	length    int64     // bytes of the complete body; -1 if unknown
	buf       []byte    // buffer for copying; beginning is a part of it
	done      func(end core.StreamEnd)
}

// copyTo copies the body to the client, as chunks if its length is unknown. It returns how that ended, and how many
// bytes of the body were written. It calls progress before each write.
func (d *download) copyTo(w io.Writer, progress func()) (end core.StreamEnd, sent int64) {
	bodyWriter := w
	var chunks io.WriteCloser
	if d.length < 0 {
		chunks = httputil.NewChunkedWriter(w)
		bodyWriter = chunks
	}
	write := func(piece []byte) error {
		if len(piece) == 0 {
			return nil
		}
		progress()
		n, err := bodyWriter.Write(piece)
		sent += int64(n)
		return err
	}
	piece := d.beginning
	var total int64
	for {
		if err := write(piece); err != nil {
			return core.StreamAbandoned, sent
		}
		n, err := d.rest.Read(d.buf)
		piece = d.buf[:n]
		total += int64(n)
		if total > MaxBodyBytes {
			return core.StreamCut, sent
		}
		if errors.Is(err, io.EOF) {
			if err := write(piece); err != nil {
				return core.StreamAbandoned, sent
			}
			break
		}
		if err != nil {
			return core.StreamCut, sent
		}
	}
	if chunks != nil {
		progress()
		if _, err := io.WriteString(w, "0\r\n\r\n"); err != nil {
			return core.StreamAbandoned, sent
		}
	}
	return core.StreamComplete, sent
}
