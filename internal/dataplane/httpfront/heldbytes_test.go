package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// The tests of this file write a message in parts, and each part only once the other side has received all bytes of the
// body that came before. So a byte that waits for later ones is never received, on a machine of any speed. How long bytes
// were held is measured, and judged only where heldLimitEnv sets a bound.

const (
	bodyByte     = '\x01' // each byte of the bodies; it occurs nowhere else in a message
	heldLimitEnv = "HELD_BYTES_LIMIT"
	partTimeout  = 60_000 // of the requests, in milliseconds
)

// wireForm is an encoding of a body in HTTP/1.1. encode returns the header fields that announce the body, and the body
// as it is sent in chunks of the given sizes, if the form has chunks.
type wireForm struct {
	name    string
	encode  func(size int, chunkSizes []int) (fields, body string)
	closes  bool // the body ends with the connection
	chunked bool
	trailer string // of a chunked body, with the empty line that ends it
}

func encodeLength(size int, _ []int) (fields, body string) {
	return fmt.Sprintf("Content-Length: %d\r\n", size), bodyOf(size)
}

func encodeClose(size int, _ []int) (fields, body string) {
	return "Connection: close\r\n", bodyOf(size)
}

// encodeChunks returns a body without the empty line after its last chunk.
func encodeChunks(size int, chunkSizes []int) (fields, body string) {
	var b strings.Builder
	for i := 0; size > 0; i++ {
		chunkSize := min(size, chunkSizes[i%len(chunkSizes)])
		fmt.Fprintf(&b, "%x\r\n%s\r\n", chunkSize, bodyOf(chunkSize))
		size -= chunkSize
	}
	b.WriteString("0\r\n")
	return "Transfer-Encoding: chunked\r\n", b.String()
}

func bodyOf(size int) string { return strings.Repeat(string(rune(bodyByte)), size) }

func countBody(wire []byte) int { return bytes.Count(wire, []byte{bodyByte}) }

var (
	lengthForm  = wireForm{name: "length", encode: encodeLength}
	closeForm   = wireForm{name: "close", encode: encodeClose, closes: true}
	chunkForm   = wireForm{name: "chunks", encode: encodeChunks, chunked: true, trailer: "\r\n"}
	trailerForm = wireForm{name: "trailer", encode: encodeChunks, chunked: true, trailer: "X-Sum: 7\r\nX-Note: n\r\n\r\n"}
)

// chunkSizes are the sizes of the chunks of a body: one chunk, usual ones, and short ones.
var chunkSizes = map[string][]int{
	"one chunk":     {1 << 30},
	"usual chunks":  {32 << 10, 5000, 1},
	"little chunks": {700, 1, 16},
}

// partReceiver counts the bytes of a body that have arrived on a connection.
type partReceiver struct {
	updates chan []byte

	// Used by the waiting goroutine only.
	wire        []byte // all that was received
	longestHeld time.Duration
}

func receiveParts(c io.Reader) *partReceiver {
	p := &partReceiver{updates: make(chan []byte, 1<<16)}
	go func() {
		defer close(p.updates)
		buf := make([]byte, 256<<10)
		for {
			n, err := c.Read(buf)
			if n > 0 {
				p.updates <- bytes.Clone(buf[:n])
			}
			if err != nil {
				return
			}
		}
	}()
	return p
}

// await waits until a condition on the received bytes is true.
func (p *partReceiver) await(condition func(wire []byte) bool) error {
	startedAt := time.Now()
	timeout := time.After(sidecartest.WaitTimeout)
	for !condition(p.wire) {
		select {
		case part, open := <-p.updates:
			if !open {
				return fmt.Errorf("the connection ended after %d bytes of the body", countBody(p.wire))
			}
			p.wire = append(p.wire, part...)
		case <-timeout:
			return fmt.Errorf("%d bytes of the body arrived in time", countBody(p.wire))
		}
	}
	p.longestHeld = max(p.longestHeld, time.Since(startedAt))
	if limit, err := time.ParseDuration(os.Getenv(heldLimitEnv)); err == nil && p.longestHeld > limit {
		return fmt.Errorf("bytes were held for %v, the limit is %v", p.longestHeld, limit)
	}
	return nil
}

func (p *partReceiver) awaitBody(size int) error {
	return p.await(func(wire []byte) bool { return countBody(wire) >= size })
}

// encodeHead returns the head of a request without the fields that announce its body and without its end.
func encodeHead(tb testing.TB, r *http.Request) string {
	tb.Helper()
	head := strings.Replace(encode(tb, r), "Content-Length: 0\r\n", "", 1)
	return strings.TrimSuffix(head, "\r\n")
}

// cutPoints returns ascending positions in a wire text at which it is cut, the last of which is its end.
func cutPoints(rng *rand.Rand, wire string, from, count int) []int {
	cuts := []int{}
	for pos := from; pos < len(wire) && len(cuts) < count; {
		// Many steps are short, so that cuts fall into the lines between the chunks too.
		pos += 1 + rng.IntN([]int{2, 8, 800, 20000}[rng.IntN(4)])
		cuts = append(cuts, min(pos, len(wire)))
	}
	if last := len(cuts) - 1; last >= 0 && cuts[last] < len(wire) {
		// The end of the body is where a reader waits for the next line: it is cut at each byte.
		for pos := max(cuts[last]+1, len(wire)-10); pos <= len(wire); pos++ {
			cuts = append(cuts, pos)
		}
	}
	return cuts
}

// partedMessage is a message with a body that is written in parts.
type partedMessage struct {
	form       wireForm
	size       int   // of the body
	chunkSizes []int // if the form has chunks
	atOnce     int   // bytes of the encoded body in the first part
}

// isBufferedWhole reports whether the sidecar needs the complete body before it passes any of it on: that of a short
// answer shows whether the attempt has succeeded.
func (m *partedMessage) isBufferedWhole() bool {
	return m.form.name == lengthForm.name && m.size <= MaxBufferedBodyBytes
}

// hasEnded reports whether the received bytes end as a chunked body does.
func hasEnded(wire []byte) bool { return bytes.HasSuffix(wire, []byte("\r\n0\r\n\r\n")) }

// TestPartsOfAnswerAreForwardedAsTheyCome guards against parts of a long answer that wait for later parts: those of a
// chunk waited until 16 KiB of it had come, those before a trailer until the trailer's end (review/7).
func TestPartsOfAnswerAreForwardedAsTheyCome(t *testing.T) {
	const size = 160 << 10
	for _, form := range []wireForm{lengthForm, closeForm, chunkForm, trailerForm} {
		for chunkName, sizes := range chunkSizes {
			if !form.chunked && chunkName != "one chunk" {
				continue
			}
			for _, atOnce := range []int{1, 2000, 68 << 10, 128 << 10} {
				t.Run(fmt.Sprintf("%s, %s, %d at once", form.name, chunkName, atOnce), func(t *testing.T) {
					t.Parallel()
					answer := partedMessage{form, size, sizes, atOnce}
					playAnswersInParts(t, rand.New(rand.NewPCG(75, uint64(atOnce))), answer, answer)
				})
			}
		}
	}
}

// partWritten tells how much of a message has been written.
type partWritten struct {
	bodyBytes int
	ended     bool // the last byte of the body, but not of the trailer, was written
}

// writeInParts writes an answer, and each part only after received has a value, which is sent for the part before.
func writeInParts(c io.Writer, rng *rand.Rand, m *partedMessage, parts chan<- partWritten, received <-chan struct{}) error {
	fields, body := m.form.encode(m.size, m.chunkSizes)
	head := "HTTP/1.1 200 OK\r\n" + fields + "\r\n"
	from := 0
	for _, cut := range append([]int{min(m.atOnce, len(body))}, cutPoints(rng, body, m.atOnce, 60)...) {
		if _, err := io.WriteString(c, head+body[from:cut]); err != nil {
			return err
		}
		head = ""
		from = cut
		if m.isBufferedWhole() && cut < len(body) {
			continue
		}
		parts <- partWritten{strings.Count(body[:cut], string(rune(bodyByte))), cut == len(body)}
		<-received
	}
	_, err := io.WriteString(c, m.form.trailer)
	return err
}

// playAnswersInParts plays answers one after the other on one connection of a client. It returns how long bytes were held
// at most.
func playAnswersInParts(t *testing.T, rng *rand.Rand, answers ...partedMessage) time.Duration {
	t.Helper()
	parts, received := make(chan partWritten), make(chan struct{})
	next := make(chan *partedMessage, 1)
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			answer := <-next
			if err := writeInParts(c, rng, answer, parts, received); err != nil || answer.form.closes {
				return
			}
		}
	})
	f := startFront(t, readyInstances(addr), longTimeouts...)
	c := f.connect(t)
	receiver := receiveParts(c)
	for i := range answers {
		answer := &answers[i]
		next <- answer
		receiver.wire = nil
		write(t, c, encode(t, sidecartest.IdempotentRequest(partTimeout)))
		for ended := false; !ended; {
			part := sidecartest.Receive(t, parts, "a part of the answer")
			if err := receiver.awaitBody(part.bodyBytes); err != nil {
				t.Fatalf("answer %d, of %d bytes that the endpoint has written: %v", i, part.bodyBytes, err)
			}
			ended = part.ended
			isStreamed := bytes.Contains(receiver.wire, []byte("Transfer-Encoding: chunked"))
			if ended && answer.form.chunked && isStreamed {
				if err := receiver.await(hasEnded); err != nil {
					t.Fatalf("answer %d, the end after the last chunk: %v", i, err)
				}
			}
			received <- struct{}{}
		}
		if answer.form.closes && bytes.Contains(receiver.wire, []byte("Transfer-Encoding: chunked")) {
			if err := receiver.await(hasEnded); err != nil {
				t.Fatalf("answer %d, the end of the connection: %v", i, err)
			}
		}
		if n := countBody(receiver.wire); n != answer.size {
			t.Fatalf("answer %d: %d bytes of the body were received, want %d", i, n, answer.size)
		}
	}
	return receiver.longestHeld
}
