package httpfront

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/testutil/sidecartest"
)

// Clients that announce long bodies and stop take memory only for what they have sent.
func TestStalledBodiesDoNotHoldMemoryOfOthers(t *testing.T) {
	const crowd = 200
	f := startFront(t, nil, longTimeouts...)
	budgetBytes := f.eventLoop.ConfigSnapshot().MaxBufferedBytes(1)
	request := encode(t, sidecartest.Request("POST", "/pay", "pay", 900_000, strings.Repeat("b", MaxBufferedBodyBytes)))
	head, _, _ := strings.Cut(request, "\r\n\r\n")
	for range crowd {
		write(t, f.connect(t), head+"\r\n\r\n"+strings.Repeat("b", 100))
	}
	waitUntil(t, "all requests are being read", func() bool { return countReading(f) == crowd })
	if !f.bodies.TryAcquire(budgetBytes - crowd*100) {
		t.Error("stalled bodies hold more memory than their bytes")
		return
	}
	f.bodies.Release(budgetBytes - crowd*100)
}

// While there is no memory, a request waits for as long as its client does at most, from its last byte on. It is then
// rejected, also if another one may wait longer.
func TestWaitForBodyMemoryEndsWithClientsTime(t *testing.T) {
	f := startFront(t, nil, longTimeouts...)
	f.bodies.Resize(1)
	f.bodies.TryAcquire(1)
	short, long := f.connect(t), f.connect(t)
	send := func(c net.Conn, timeoutMs int) {
		write(t, c, encode(t, sidecartest.Request("POST", "/pay", "pay", timeoutMs, strings.Repeat("b", 20<<10))))
	}
	send(long, 900_000)
	waitUntil(t, "the request waits for memory", func() bool { return countWaiting(f) == 1 })
	sentAt := time.Now()
	send(short, 50)
	answered := make(chan string, 2)
	for name, c := range map[string]net.Conn{"short": short, "long": long} {
		go func() {
			status := make([]byte, len("HTTP/1.1 503"))
			_, err := c.Read(status)
			answered <- fmt.Sprintf("%s: %s %v", name, status, err)
		}()
	}
	if got := sidecartest.Receive(t, answered, "answer"); got != "short: HTTP/1.1 503 <nil>" {
		t.Errorf("first answer %q, want that to the request with a short time", got)
	}
	if took := time.Since(sentAt); took < 45*time.Millisecond {
		t.Errorf("it was rejected after %v, want the client's time", took)
	}
}
