package main

import (
	"errors"
	"fmt"
	"sync"
	"time"
)

const (
	answerGrace = 550 * time.Millisecond // half a second after a request's time, and the 50 ms of the rules on sockets
	noise       = 100 * time.Millisecond // left to a busy machine
)

// totals counts what clients got.
type totals struct {
	mu                                 sync.Mutex
	sent, served, refused, other, lost int
	slowest                            time.Duration
}

func (t *totals) add(a answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sent++
	switch {
	case a.err != nil:
		t.other++
	case a.code == 200:
		t.served++
	case a.code == 503 || a.code == 429:
		t.refused++
	default:
		t.other++
	}
	t.slowest = max(t.slowest, a.took())
}

// judge counts a request as lost if all of it was written to the sidecar's connection and its final answer came later
// than half a second after its time, or not within the client's wait.
func (t *totals) judge(a answer, expires time.Duration) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.unread || a.took() <= expires+answerGrace+noise {
		return false
	}
	t.lost++
	return true
}

func (t *totals) String() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d sent, %d served, %d refused, %d failed, %d lost, the slowest answer after %.3f s",
		t.sent, t.served, t.refused, t.other, t.lost, t.slowest.Seconds())
}

// check returns an error if no request was served: then the case couldn't run.
func (t *totals) check() error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.served == 0 {
		return errors.New("no request was served")
	}
	return nil
}
