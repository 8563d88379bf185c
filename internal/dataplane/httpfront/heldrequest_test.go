package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// TestPartsOfRequestAreForwardedAsTheyCome guards against parts of a long request that wait for later parts: those of a
// chunk waited until 32 KiB of it had come, those before a trailer until the trailer's end.
func TestPartsOfRequestAreForwardedAsTheyCome(t *testing.T) {
	const size = 160 << 10
	for _, form := range []wireForm{lengthForm, chunkForm, trailerForm} {
		for chunkName, sizes := range chunkSizes {
			if !form.chunked && chunkName != "one chunk" {
				continue
			}
			for _, atOnce := range []int{68 << 10, 128 << 10} {
				t.Run(fmt.Sprintf("%s, %s, %d at once", form.name, chunkName, atOnce), func(t *testing.T) {
					t.Parallel()
					request := partedMessage{form, size, sizes, atOnce}
					playRequestsInParts(t, rand.New(rand.NewPCG(75, uint64(atOnce))), request, request)
				})
			}
		}
	}
}

// playRequestsInParts plays requests one after the other on one connection of a client. The first part of a long one
// must be longer than the buffer. It returns how long bytes were held at most.
func playRequestsInParts(t *testing.T, rng *rand.Rand, requests ...partedMessage) time.Duration {
	t.Helper()
	conns := make(chan *partReceiver, 4)
	mayAnswer := make(chan struct{})
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		conns <- receiveParts(c)
		for range mayAnswer {
			if _, err := io.WriteString(c, sidecartest.OKResponse); err != nil {
				return
			}
		}
	})
	defer close(mayAnswer)
	f := startFront(t, readyInstances(addr), longTimeouts...)
	c := f.connect(t)
	answers := receiveParts(c)
	var endpoint *partReceiver
	for i, request := range requests {
		if endpoint != nil {
			endpoint.wire = nil
		}
		fields, body := request.form.encode(request.size, request.chunkSizes)
		atOnce := min(request.atOnce, len(body))
		head := encodeHead(t, sidecartest.Request("POST", "/book/1", "book", partTimeout, ""))
		write(t, c, head+fields+"\r\n"+body[:atOnce])
		isShort := request.size <= MaxBufferedBodyBytes
		for from, cuts := atOnce, cutPoints(rng, body, atOnce, 60); len(cuts) > 0; cuts = cuts[1:] {
			if endpoint == nil && !isShort {
				endpoint = sidecartest.Receive(t, conns, "a connection to the endpoint")
			}
			write(t, c, body[from:cuts[0]])
			from = cuts[0]
			if isShort {
				continue // it is sent once it is complete, since it may have to be sent again
			}
			sent := strings.Count(body[:from], string(rune(bodyByte)))
			if err := endpoint.awaitBody(sent); err != nil {
				t.Fatalf("request %d, of %d bytes that the client has written: %v", i, sent, err)
			}
		}
		write(t, c, request.form.trailer)
		if endpoint == nil {
			endpoint = sidecartest.Receive(t, conns, "a connection to the endpoint")
		}
		if err := endpoint.awaitBody(request.size); err != nil {
			t.Fatalf("request %d, the end of the request: %v", i, err)
		}
		if request.form.chunked && !isShort {
			if err := endpoint.await(hasEnded); err != nil {
				t.Fatalf("request %d, the end of the request: %v", i, err)
			}
		}
		mayAnswer <- struct{}{}
		answers.wire = nil
		if err := answers.await(func(wire []byte) bool { return bytes.HasSuffix(wire, []byte("\r\n\r\nok")) }); err != nil {
			t.Fatalf("request %d, the answer: %v, received %q", i, err, answers.wire)
		}
		if n := countBody(endpoint.wire); n != request.size {
			t.Fatalf("request %d: %d bytes of the body were received, want %d", i, n, request.size)
		}
	}
	return endpoint.longestHeld
}

// TestBeginningOfLongRequestIsForwarded guards against the beginning of a long request that waits until 64 KiB of it have
// come, although its length tells that it does not fit the buffer. The client writes it slowly, and the endpoint must
// receive some of it long before that.
func TestBeginningOfLongRequestIsForwarded(t *testing.T) {
	conns := make(chan *partReceiver, 4)
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, _ *bufio.Reader) {
		conns <- receiveParts(c)
		<-t.Context().Done()
	})
	f := startFront(t, readyInstances(addr))
	c := f.connect(t)
	const size, partBytes, interval = 4 * MaxBufferedBodyBytes, 256, 100 * time.Millisecond
	fields, body := encodeLength(size, nil)
	write(t, c, encodeHead(t, sidecartest.Request("POST", "/book/1", "book", 900, ""))+fields+"\r\n")
	for sent := 0; ; sent += partBytes {
		if sent > MaxBufferedBodyBytes/2 {
			t.Fatalf("%d bytes were written, and the endpoint has received nothing", sent)
		}
		write(t, c, body[sent:sent+partBytes])
		select {
		case endpoint := <-conns:
			if err := endpoint.awaitBody(sent); err != nil {
				t.Errorf("of %d bytes that the client has written: %v", sent+partBytes, err)
			}
			return
		case <-time.After(interval):
		}
	}
}
