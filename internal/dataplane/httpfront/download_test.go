package httpfront

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/testutil/sidecartest"
)

// While clients that read slowly hold all of the memory for answers, other answers are passed on without it.
func TestAnswerNeedsNoMemoryHeldBySlowReaders(t *testing.T) {
	for _, size := range []int{8 << 10, MaxBufferedBodyBytes, 3 * MaxBufferedBodyBytes} {
		body := strings.Repeat("b", size)
		for form, answer := range map[string]string{
			"length": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, body),
			"chunks": fmt.Sprintf("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", size, body),
			"close":  "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + body,
		} {
			addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				_, _ = sidecartest.ReadRequest(r)
				_, _ = io.WriteString(c, answer)
			})
			u := newTestUpstream(t)
			u.bodyBudget.Resize(1)
			u.bodyBudget.TryAcquire(1)
			replies := make(chan core.Reply, 1)
			go func() { replies <- u.sendAttemptWithin(sidecartest.WaitTimeout, keyedPost("x"), newTarget(addr)) }()
			reply := sidecartest.Receive(t, replies, "the answer, by "+form)
			if reply.Status != balancer.OK || !reply.Content.Streams() {
				t.Errorf("%d bytes by %s: status %v, want a streamed answer", size, form, reply.Status)
				continue
			}
			var got bytes.Buffer
			if end, _ := reply.Content.(*upstreamAnswer).stream.copyTo(&got); end != core.StreamComplete {
				t.Errorf("%d bytes by %s: the stream ended with %v", size, form, end)
			}
			if !strings.Contains(got.String(), body) && form == "length" || got.Len() < size {
				t.Errorf("%d bytes by %s: %d bytes were passed on", size, form, got.Len())
			}
			reply.Release()
		}
	}
}

// Once its beginning has been written, a streamed answer holds the memory of one piece.
func TestStreamedAnswerHoldsOnePiece(t *testing.T) {
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		size := 3 * MaxBufferedBodyBytes
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("b", size))
	})
	u := newTestUpstream(t)
	u.bodyBudget.Resize(MaxBufferedBodyBytes + pieceBytes)
	reply := u.sendAttempt(keyedPost("x"), newTarget(addr))
	if reply.Status != balancer.OK {
		t.Fatalf("status %v, want OK", reply.Status)
	}
	writes := 0
	reply.Content.(*upstreamAnswer).stream.copyTo(writerFunc(func(p []byte) (int, error) {
		if writes++; writes == 2 && !u.bodyBudget.TryAcquire(MaxBufferedBodyBytes) {
			t.Error("after its beginning, the answer holds more than one piece")
		}
		return len(p), nil
	}))
	reply.Release()
}

// writerFunc is an io.Writer.
type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }
