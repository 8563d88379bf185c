package httpfront

import (
	"errors"
	"io"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/chunked"
)

// download is the body of an endpoint's answer that is streamed to the client. One goroutine owns it at a time; the
// last owner calls finish.
type download struct {
	length    int64 // bytes of the complete body; -1 if unknown
	beginning []byte
	next      *piece // the piece after beginning, if it was read already
	source    *bodySource
	charge    charge // for the memory of beginning
	done      func(end core.StreamEnd)

	awaitsTrailer bool // the body has been read completely, but not its trailer
}

// pieceBytes is the size of the pieces in which a streamed answer is read and written. If there is no memory, it is
// maxUnbudgetedBytes.
const pieceBytes = 16 << 10

// trailerTimeout is the time from the last byte of a streamed body to the end of its trailer. The client gets the end of
// the answer at the latest then, since the last chunk ends the body (RFC 9112, 8) and the trailer is not forwarded.
const trailerTimeout = 200 * time.Millisecond

// piece is a part of a body. Its data is valid until the next piece is received.
type piece struct {
	data          []byte
	err           error // io.EOF after the last byte of the body and its trailer
	awaitsTrailer bool  // no byte of the body follows, but its trailer
}

// failed reports whether the body could not be read completely.
func (p *piece) failed() bool { return p.err != nil && !errors.Is(p.err, io.EOF) }

// trailedBody is a body that a trailer may follow.
type trailedBody interface {
	io.Reader

	// isBodyRead reports whether the last byte of the body was read. If no error was returned with it, the next read
	// waits for the trailer.
	isBodyRead() bool
}

// bodySource reads a body piece by piece on a goroutine of its own. So its owner can wait for a piece with a timeout: a
// read itself must not be interrupted, since a reader of chunks would lose its place.
type bodySource struct {
	pieces   chan piece
	received chan struct{} // the data of the latest piece is not needed any more
	stopped  chan struct{}
	holds    bool // the owner has the data of the latest piece; used by the owner only
}

func newBodySource(body io.Reader, pieceSize int) *bodySource {
	s := &bodySource{pieces: make(chan piece), received: make(chan struct{}), stopped: make(chan struct{})}
	go s.run(body, pieceSize)
	return s
}

func (s *bodySource) run(body io.Reader, pieceSize int) {
	buf := make([]byte, pieceSize)
	trailed, _ := body.(trailedBody)
	for {
		n, err := body.Read(buf)
		awaitsTrailer := err == nil && trailed != nil && trailed.isBodyRead()
		select {
		case s.pieces <- piece{buf[:n], err, awaitsTrailer}:
		case <-s.stopped:
			return
		}
		if err != nil {
			return
		}
		select {
		case <-s.received:
		case <-s.stopped:
			return
		}
	}
}

// receive returns the next piece. ok is false if timeout fires first; a nil timeout never does.
func (s *bodySource) receive(timeout <-chan time.Time) (p piece, ok bool) {
	if s.holds {
		s.received <- struct{}{}
		s.holds = false
	}
	select {
	case p = <-s.pieces:
		s.holds = p.err == nil
		return p, true
	case <-timeout:
		return piece{}, false
	}
}

// stop lets the goroutine end once its read has returned. It must be called once, unless the body has ended.
func (s *bodySource) stop() { close(s.stopped) }

// newDownload starts to read a body of the given length, or -1 if that is unknown.
func newDownload(body io.Reader, length int64, pieceSize int) *download {
	return &download{length: length, source: newBodySource(body, pieceSize)}
}

// fill reads the beginning of the body until holdUntil: of a body of known length its first piece, of another one up to
// MaxBufferedBodyBytes bytes. It reports whether that is all of the body.
func (d *download) fill(holdUntil time.Time) (complete bool, err error) {
	timer := time.NewTimer(time.Until(holdUntil))
	defer timer.Stop()
	for {
		p, ok := d.source.receive(timer.C)
		switch {
		case !ok:
			return false, nil
		case p.failed():
			return false, p.err
		case len(d.beginning)+len(p.data) > MaxBufferedBodyBytes:
			d.next = &p
			return false, nil
		}
		d.beginning = append(d.beginning, p.data...)
		d.awaitsTrailer = p.awaitsTrailer
		if p.err != nil {
			return true, nil
		}
		if d.length >= 0 {
			return false, nil
		}
	}
}

// nextPiece waits for the next piece. Once it has waited for the trailer for trailerTimeout, it returns the end of the
// body, and awaitsTrailer stays set.
func (d *download) nextPiece() piece {
	if next := d.next; next != nil {
		d.next = nil
		d.awaitsTrailer = next.awaitsTrailer
		return *next
	}
	var timeout <-chan time.Time
	if d.awaitsTrailer {
		timeout = time.After(trailerTimeout)
	}
	p, ok := d.source.receive(timeout)
	if !ok {
		return piece{err: io.EOF}
	}
	d.awaitsTrailer = p.awaitsTrailer
	return p
}

// copyTo copies the body to the client, as chunks if its length is unknown. It returns how that ended, and how many
// bytes of the body were written.
func (d *download) copyTo(w io.Writer) (end core.StreamEnd, sent int64) {
	bodyWriter := w
	var chunks *chunked.Writer
	if d.length < 0 {
		chunks = chunked.NewWriter(w)
		bodyWriter = chunks
	}
	write := func(data []byte) error {
		if len(data) == 0 {
			return nil
		}
		n, err := bodyWriter.Write(data)
		sent += int64(n)
		return err
	}
	if err := write(d.beginning); err != nil {
		return core.StreamAbandoned, sent
	}
	d.beginning = nil
	d.charge.release()
	for ended := false; !ended; {
		p := d.nextPiece()
		ended = p.err != nil
		if p.failed() || sent+int64(len(p.data)) > MaxBodyBytes {
			return core.StreamCut, sent
		}
		if err := write(p.data); err != nil {
			return core.StreamAbandoned, sent
		}
	}
	if chunks != nil {
		if err := chunks.Close(); err != nil {
			return core.StreamAbandoned, sent
		}
	}
	return core.StreamComplete, sent
}

// drop ends the reading of the body, which is not needed any more.
func (d *download) drop() {
	d.source.stop()
	d.charge.release()
}

// finish ends the use of the body, and reports how its stream ended.
func (d *download) finish(end core.StreamEnd) {
	d.drop()
	d.done(end)
}
