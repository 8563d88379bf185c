package chunked

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http/httputil"
	"strings"
	"testing"
)

// randomWire returns a chunked body with extensions, in some cases with spoilt bytes or an early end.
func randomWire(rng *rand.Rand) []byte {
	var b bytes.Buffer
	for range rng.IntN(5) {
		size := 1 + rng.IntN([]int{3, 20, 9000}[rng.IntN(3)])
		extension := []string{"", "", " ", ";a=b", ";" + strings.Repeat("x", rng.IntN(5000))}[rng.IntN(5)]
		format := []string{"%x", "%X", "00000000000%x"}[rng.IntN(3)]
		fmt.Fprintf(&b, format+"%s\r\n%s\r\n", size, extension, strings.Repeat("d", size))
	}
	b.WriteString("0\r\n\r\n")
	wire := b.Bytes()
	switch rng.IntN(4) {
	case 0:
		for range 1 + rng.IntN(2) {
			wire[rng.IntN(len(wire))] = "\r\n 0;gfA\x00-_+x"[rng.IntN(13)]
		}
	case 1:
		wire = wire[:rng.IntN(len(wire))]
	}
	return wire
}

// TestReaderAgreesWithStandardLibrary compares data, acceptance and the unread rest with httputil's reader.
func TestReaderAgreesWithStandardLibrary(t *testing.T) {
	rng := rand.New(rand.NewPCG(75, 1))
	accepted := 0
	const rounds = 20000
	for round := range rounds {
		wire := randomWire(rng)
		in, wantIn := bufio.NewReader(bytes.NewReader(wire)), bufio.NewReader(bytes.NewReader(wire))
		got, err := io.ReadAll(NewReader(in))
		want, wantErr := io.ReadAll(httputil.NewChunkedReader(wantIn))
		if !bytes.Equal(got, want) || (err == nil) != (wantErr == nil) {
			t.Fatalf("round %d: %q: %d bytes and %v, want %d bytes and %v", round, wire, len(got), err, len(want), wantErr)
		}
		if (errors.Is(err, io.ErrUnexpectedEOF)) != (errors.Is(wantErr, io.ErrUnexpectedEOF)) {
			t.Fatalf("round %d: %q: error %v, want %v", round, wire, err, wantErr)
		}
		if err != nil {
			continue
		}
		accepted++
		rest, _ := io.ReadAll(in)
		wantRest, _ := io.ReadAll(wantIn)
		if !bytes.Equal(rest, wantRest) {
			t.Fatalf("round %d: %q: %q is unread, want %q", round, wire, rest, wantRest)
		}
	}
	if accepted < rounds/4 || accepted > rounds*9/10 {
		t.Errorf("%d of %d bodies were accepted; the test should have many of both", accepted, rounds)
	}
}

// countingReader returns the parts of a text one by one, and counts those that were read.
type countingReader struct {
	parts []string
	read  int
}

func (r *countingReader) Read(p []byte) (int, error) {
	if r.read == len(r.parts) {
		return 0, io.EOF
	}
	n := copy(p, r.parts[r.read])
	r.read++
	return n, nil
}

// TestReaderReturnsWhatHasArrived guards against data that waits for the rest of its chunk: a read that has data must
// not read from the connection again.
func TestReaderReturnsWhatHasArrived(t *testing.T) {
	for _, tc := range []struct {
		name  string
		parts []string
		want  []string
	}{
		{"one chunk", []string{"9\r\nab", "c", "defghi\r\n0\r\n"}, []string{"ab", "c", "defghi"}},
		{"cut within a size", []string{"2\r\nab\r\n1", "0\r\nc", "defghijklmnopqr\r\n0\r\n"}, []string{"ab", "c", "defghijklmnopqr"}},
		{"cut within a line end", []string{"2\r\nab\r", "\n1\r\nc\r\n", "0\r\n"}, []string{"ab", "c"}},
		{"several chunks at once", []string{"2\r\nab\r\n1\r\nc\r\n3\r\nd", "ef\r\n0\r\n"}, []string{"abcd", "ef"}},
		{"size without data", []string{"2\r\nab\r\n5\r\n", "cdefg\r\n0\r\n"}, []string{"ab", "cdefg"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			in := &countingReader{parts: tc.parts}
			r := NewReader(bufio.NewReader(in))
			buf := make([]byte, 1<<10)
			for i, want := range tc.want {
				n, err := r.Read(buf)
				if string(buf[:n]) != want || err != nil && i < len(tc.want)-1 {
					t.Fatalf("read %d: %q and %v, want %q", i, buf[:n], err, want)
				}
				if i == 0 && in.read != 1 {
					t.Errorf("the first data came after %d reads of the connection, want 1", in.read)
				}
			}
			if n, err := r.Read(buf); n > 0 || !errors.Is(err, io.EOF) {
				t.Errorf("after the body: %d bytes and %v, want EOF", n, err)
			}
		})
	}
}

// shortWriter accepts limit bytes and then fails.
type shortWriter struct{ limit int }

func (w *shortWriter) Write(p []byte) (int, error) {
	n := min(len(p), w.limit)
	w.limit -= n
	if n < len(p) {
		return n, io.ErrShortWrite
	}
	return n, nil
}

func TestWriterCountsDataOnly(t *testing.T) {
	for limit, want := range []int{0, 0, 0, 0, 1, 2, 3, 3, 3} { // "3\r\n", the data, "\r\n"
		n, err := NewWriter(&shortWriter{limit}).Write([]byte("abc"))
		if n != want || (err == nil) != (limit == 8) {
			t.Errorf("%d bytes accepted: %d bytes of data and %v, want %d", limit, n, err, want)
		}
	}
}

func TestWriterIsReadBack(t *testing.T) {
	var wire bytes.Buffer
	w := NewWriter(&wire)
	for _, data := range []string{"a", "", strings.Repeat("b", 70000)} {
		if n, err := io.WriteString(w, data); n != len(data) || err != nil {
			t.Fatalf("%d bytes written, %v", n, err)
		}
	}
	if err := w.Close(); err != nil {
		t.Fatal(err)
	}
	got, err := io.ReadAll(httputil.NewChunkedReader(&wire))
	if len(got) != 70001 || err != nil {
		t.Errorf("%d bytes read back, %v", len(got), err)
	}
}
