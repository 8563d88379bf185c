package httpfront

import (
	"io"
	"net/http/httputil"

	"birchmoor/internal/dataplane/core"
)

// download is an answer that is passed on while it comes. One goroutine has it at a time; whoever has it last
// calls done.
type download struct {
	beginning []byte    // what has been read
	more      io.Reader // what comes behind that
	length    int64     // of the whole; -1: not known
	buf       []byte    // to pass it on through; begin is a part of it
	done      func(how core.StreamEnd)
}

// copyTo passes the answer's body on, and says how that went.
func (d *download) copyTo(w io.Writer, progress func()) core.StreamEnd {
	var out io.Writer = w
	var chunks io.WriteCloser
	if d.length < 0 {
		chunks = httputil.NewChunkedWriter(w)
		out = chunks
	}
	piece, total := d.beginning, int64(0)
	for {
		if len(piece) > 0 {
			progress()
			if _, err := out.Write(piece); err != nil {
				return core.StreamAbandoned
			}
		}
		n, err := d.more.Read(d.buf)
		piece = d.buf[:n]
		if total += int64(n); total > MaxBody {
			return core.StreamCut
		}
		if err == io.EOF {
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
