package sidecar

import (
	"slices"
	"sync"
	"testing"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/testutil/sidecartest"
)

// Calls that fakeFrontend records.
const (
	calledOpen          = "open"
	calledStopAccepting = "stop accepting"
	calledKeepAlive     = "SetClosing(false)"
	calledSetClosing    = "SetClosing(true)"
)

// fakeFrontend is a core.Frontend without connections that records the calls which change whether it accepts.
type fakeFrontend struct {
	core.Frontend
	onKeepAlive    func() // called by SetClosing(false); may be nil
	onCloseIdleFor func() // called by CloseIdleFor; may be nil

	mu    sync.Mutex
	calls []string
}

func (f *fakeFrontend) record(call string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.calls = append(f.calls, call)
}

func (f *fakeFrontend) recorded() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.calls)
}

func (f *fakeFrontend) Open(func(error)) error { f.record(calledOpen); return nil }
func (f *fakeFrontend) StopAccepting()         { f.record(calledStopAccepting) }

func (f *fakeFrontend) SetClosing(closing bool) {
	if closing {
		f.record(calledSetClosing)
		return
	}
	if f.onKeepAlive != nil {
		f.onKeepAlive()
	}
	f.record(calledKeepAlive)
}

func (f *fakeFrontend) CloseIdleFor(time.Duration) int {
	if f.onCloseIdleFor != nil {
		f.onCloseIdleFor()
	}
	return 0
}

func newFakeInstance(frontend *fakeFrontend) *instance {
	return &instance{
		log:          sidecartest.DiscardLog,
		stacks:       protocolStacks{{frontend: frontend}},
		acceptErrors: make(chan error, 1),
		handedOver:   make(chan struct{}, 1),
	}
}

// TestStopDuringReturnFromHandoverStaysFinal guards against a stop that a concurrent return from a handover undoes:
// connections then stayed open after their answers until the process was killed.
func TestStopDuringReturnFromHandoverStaysFinal(t *testing.T) {
	resuming, stopped := make(chan struct{}), make(chan struct{})
	const timeToStopEarly = 50 * time.Millisecond
	frontend := &fakeFrontend{onKeepAlive: func() {
		close(resuming)
		select {
		case <-stopped:
		case <-time.After(timeToStopEarly):
		}
	}}
	n := newFakeInstance(frontend)
	go func() {
		<-resuming
		n.beginStop()
		close(stopped)
	}()
	n.ResumeAccepting()
	sidecartest.Receive(t, stopped, "beginning of the stop")
	if got, want := frontend.recorded(), []string{calledKeepAlive, calledOpen, calledSetClosing}; !slices.Equal(got, want) {
		t.Errorf("calls %q, want %q", got, want)
	}
	n.ResumeAccepting()
	if got := frontend.recorded(); got[len(got)-1] != calledSetClosing {
		t.Errorf("after the stop, accepting resumed: calls %q", got)
	}
}

// TestProcessThatResumesDoesNotEnd guards against a process that ends as handed over, although it accepts again, because
// it found no open connection just before its successor ended.
func TestProcessThatResumesDoesNotEnd(t *testing.T) {
	frontend := &fakeFrontend{}
	n := newFakeInstance(frontend)
	counted := make(chan struct{})
	frontend.onCloseIdleFor = func() {
		n.ResumeAccepting()
		close(counted)
	}
	n.StopAccepting()
	sidecartest.Receive(t, counted, "count of open connections")
	const timeToEndWrongly = 50 * time.Millisecond
	select {
	case <-n.handedOver:
		t.Error("the process ends, and accepts connections")
	case <-time.After(timeToEndWrongly):
	}
	want := []string{calledStopAccepting, calledSetClosing, calledKeepAlive, calledOpen}
	if got := frontend.recorded(); !slices.Equal(got, want) {
		t.Errorf("calls %q, want %q", got, want)
	}
}
