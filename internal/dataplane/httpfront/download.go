package httpfront

import (
	"errors"
	"io"
	"net/http/httputil"

	"birchmoor/internal/dataplane/core"
)

// download is an answer that is passed on while it comes. One goroutine owns it at a time; the last one calls done.
type download struct {
	beginning []byte    // what was read so far
	more      io.Reader // what follows that
	length    int64     // of the complete body; -1: unknown
	buf       []byte    // through which it is passed on; beginning is a part of it
	done      func(how core.StreamEnd)
}

// copyTo passes the body on, and returns how that ended. progress is called before each write.
func (d *download) copyTo(w io.Writer, progress func()) core.StreamEnd {
	out := w
	var chunks io.WriteCloser
	if d.length < 0 {
		chunks = httputil.NewChunkedWriter(w)
		out = chunks
	}
	piece := d.beginning
	var total int64
	for {
		if len(piece) > 0 {
			progress()
			if _, err := out.Write(piece); err != nil {
				return core.StreamAbandoned
			}
		}
		n, err := d.more.Read(d.buf)
		piece = d.buf[:n]
		total += int64(n)
		if total > MaxBody {
			return core.StreamCut
		}
		if errors.Is(err, io.EOF) {
			if n > 0 {
				progress()
				if _, err := out.Write(piece); err != nil {
					return core.StreamAbandoned
				}
			}
			break
		}
		if err != nil {
			return core.StreamCut
		}
	}
	if chunks != nil {
		progress()
		if _, err := io.WriteString(w, "0\r\n\r\n"); err != nil {
			return core.StreamAbandoned
		}
	}
	return core.StreamComplete
}
