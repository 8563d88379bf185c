package httpfront

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"testing"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/bytebudget"
)

// While a client is slower than its reader, or more bytes follow than the sockets hold, it has not written its last
// byte. Otherwise it may have done so at any time since.
func TestBodyClockBoundsTimeOfLastByte(t *testing.T) {
	type read struct {
		at     balancer.Micros
		bytes  int
		waited bool
	}
	const mebi = 1 << 20
	for _, tc := range []struct {
		name   string
		length int64
		reads  []read
		want   balancer.Micros
	}{
		{"all written at once", 3 * mebi, []read{{10, mebi, false}, {20, mebi, false}, {30, mebi, false}}, 1},
		{"waited once", 3 * mebi, []read{{10, mebi, false}, {20, mebi, true}, {30, mebi, false}}, 20},
		{"more to come than sockets hold", 10 * mebi, []read{{10, mebi, false}, {20, mebi, false}}, 10},
		{"more came than sockets hold", -1, []read{{10, mebi, false}, {20, 7 * mebi, false}, {30, mebi, false}}, 1},
		{"much more came than sockets hold", -1, []read{{10, mebi, false}, {20, 8 * mebi, false}, {30, mebi, false}}, 10},
	} {
		clock := newBodyClock(1, tc.length)
		for _, r := range tc.reads {
			clock.add(r.at, r.bytes, r.waited)
		}
		if clock.unfinishedAt != tc.want {
			t.Errorf("%s: unfinished at %d, want %d", tc.name, clock.unfinishedAt, tc.want)
		}
	}
}

// The bytes leave the queue in their order, and all memory is released in the end, also if the body is not sent to its
// end.
func TestReadAheadKeepsOrderAndReleasesMemory(t *testing.T) {
	const bodyBytes = 3 * maxReadAheadBytes
	for _, sendBytes := range []int{bodyBytes, bodyBytes / 2, 0} {
		budget := bytebudget.New(4 * maxReadAheadBytes)
		rng := rand.New(rand.NewPCG(1, uint64(sendBytes)))
		body := make([]byte, bodyBytes)
		for i := range body {
			body[i] = byte(rng.Uint32())
		}
		queue := newReadAhead(budget)
		queue.addSpare(make([]byte, MaxBufferedBodyBytes))
		var sent []byte
		unread := body
		for len(sent) < sendBytes || sendBytes == 0 && len(unread) > 0 {
			space := queue.space()
			if space != nil && len(unread) > 0 {
				n := copy(space[:min(len(space), 1+rng.IntN(len(space)))], unread)
				unread = unread[n:]
				queue.add(n)
				if len(unread) == 0 {
					queue.finish(io.EOF)
				}
			}
			if sendBytes == 0 && space == nil {
				break
			}
			if data, _ := queue.take(); len(data) > 0 && sendBytes > 0 {
				n := 1 + rng.IntN(len(data))
				sent = append(sent, data[:n]...)
				queue.remove(n)
			}
		}
		if !bytes.Equal(sent, body[:len(sent)]) {
			t.Errorf("%d bytes were sent, not those of the body in their order", len(sent))
		}
		data, end := queue.take()
		if sendBytes == bodyBytes && !errors.Is(end, io.EOF) {
			t.Errorf("after the body: %d bytes, %v, want EOF", len(data), end)
		}
		queue.close()
		if len(data) > 0 {
			queue.remove(len(data)) // it was being sent
		}
		if !budget.TryAcquire(4 * maxReadAheadBytes) {
			t.Errorf("%d bytes sent: memory stays charged", len(sent))
		}
	}
}

// Reading ahead leaves half of the memory to the bodies of other requests.
func TestReadAheadLeavesMemoryToOthers(t *testing.T) {
	budget := bytebudget.New(4 * readAheadBlockBytes)
	queue := newReadAhead(budget)
	blocks := 0
	for space := queue.space(); space != nil; space = queue.space() {
		queue.add(len(space))
		blocks++
	}
	if blocks != 2 || !budget.TryAcquire(2*readAheadBlockBytes) {
		t.Errorf("%d blocks were read ahead, want 2 of the budget's 4", blocks)
	}
}
