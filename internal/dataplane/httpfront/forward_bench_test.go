package httpfront

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// processorTime returns the processor time of this process in nanoseconds.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}

// BenchmarkForward measures one request after the other on one connection, with bodies that arrive without a pause. The
// endpoint and the client are part of the figures; they work alike for all forms.
func BenchmarkForward(b *testing.B) {
	const size = 1 << 20
	b.Run("short", func(b *testing.B) { benchmarkForward(b, "", sidecartest.OKResponse) })
	bodies := []struct {
		name       string
		form       wireForm
		chunkSizes []int
	}{
		{"length", lengthForm, nil},
		{"one chunk", chunkForm, []int{1 << 30}},
		{"chunks of 32 KiB", chunkForm, []int{32 << 10}},
		{"chunks of 5000 bytes", chunkForm, []int{5000}},
		{"chunks of 100 bytes", chunkForm, []int{100}},
	}
	for _, body := range bodies {
		fields, text := body.form.encode(size, body.chunkSizes)
		text += body.form.trailer
		b.Run("answer, "+body.name, func(b *testing.B) {
			benchmarkForward(b, "", "HTTP/1.1 200 OK\r\n"+fields+"\r\n"+text)
		})
		b.Run("request, "+body.name, func(b *testing.B) {
			benchmarkForward(b, fields+"\r\n"+text, sidecartest.OKResponse)
		})
	}
}

// benchmarkForward sends a request with the given fields and body, or a short one if that is empty, b.N times.
func benchmarkForward(b *testing.B, fieldsAndBody, answer string) {
	b.Helper()
	addr := sidecartest.RawEndpoint(b, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			if _, err := io.WriteString(c, answer); err != nil {
				return
			}
		}
	})
	f := startFront(b, readyInstances(addr))
	go func() {
		for range f.dials {
		}
	}()
	c := f.connect(b)
	_ = c.SetReadDeadline(noDeadline) // fails on a closed connection, as reads do
	reader := bufio.NewReaderSize(c, 64<<10)
	b.ReportAllocs()
	start := processorTime(b)
	for b.Loop() {
		request := encode(b, sidecartest.IdempotentRequest(900))
		if fieldsAndBody != "" {
			request = encodeHead(b, sidecartest.Request("POST", "/book/1", "book", 900, "")) + fieldsAndBody
		}
		write(b, c, request)
		readWholeAnswer(b, reader)
	}
	b.ReportMetric(float64(processorTime(b)-start)/float64(b.N), "cpu-ns/op")
}

// noDeadline removes the deadline of a connection.
var noDeadline time.Time

// readWholeAnswer reads an answer, and discards its body.
func readWholeAnswer(b *testing.B, r *bufio.Reader) {
	b.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		b.Fatal(err)
	}
	if resp.StatusCode != http.StatusOK {
		b.Fatalf("status %d", resp.StatusCode)
	}
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		b.Fatal(err)
	}
}
