package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// cause is why a call of discovery, or the open watch, does not bring a change.
type cause string

const (
	none    cause = ""                     // it brings the change
	refused cause = "connection refused"   //
	reset   cause = "reset after the call" //
	failed  cause = "503"                  //
	hangs   cause = "never answered"       //
	mute    cause = "opened, and no data"  //
	ends    cause = "opened, and ended"    //
	half    cause = "silent in a list"     //
	silent  cause = "silent after a while" // only of the open watch
)

// answerLate is how long discovery takes to answer a call: it fails one that waits for longer.
const answerLate = time.Second

// margin is what the sum of all delays leaves of the time, for network latency and a busy machine.
const margin = 300 * time.Millisecond

// fakeDiscovery is a discovery in virtual time. Its complete lists leave out what drains.
type fakeDiscovery struct {
	mu      sync.Mutex
	causeOf func(call int) cause // of calls that begin now
	calls   []time.Time
	open    cause         // of the watch that is open, from the change on
	changed chan struct{} // closed with the change
}

func newFakeDiscovery(causeOf func(int) cause, open cause) *fakeDiscovery {
	return &fakeDiscovery{causeOf: causeOf, open: open, changed: make(chan struct{})}
}

// change makes the change; causeOf is of calls from now on.
func (b *fakeDiscovery) change(causeOf func(int) cause) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.causeOf, b.calls = causeOf, nil
	close(b.changed)
}

func (b *fakeDiscovery) isChanged() bool {
	select {
	case <-b.changed:
		return true
	default:
		return false
	}
}

// list is the complete list.
func (b *fakeDiscovery) list() string {
	if b.isChanged() {
		return sidecartest.ListLine(9, true, sidecartest.ReadyInstance("s-2", "127.0.0.1:2"))
	}
	return sidecartest.ListLine(8, true,
		sidecartest.ReadyInstance("s-1", "127.0.0.1:1"),
		sidecartest.ReadyInstance("s-2", "127.0.0.1:2"))
}

// Dial is for Watcher.Dial.
func (b *fakeDiscovery) Dial(context.Context, string, string) (net.Conn, error) {
	b.mu.Lock()
	why := b.causeOf(len(b.calls))
	b.calls = append(b.calls, time.Now())
	b.mu.Unlock()
	if why == refused {
		return nil, syscall.ECONNREFUSED
	}
	ours, its := net.Pipe()
	go b.serve(ours, why)
	return its, nil
}

func (b *fakeDiscovery) serve(c net.Conn, why cause) {
	defer c.Close()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil || why == reset {
		return
	}
	gone := make(chan struct{})
	go func() {
		defer close(gone)
		_, _ = io.Copy(io.Discard, r) // until the client closes the connection
	}()
	send := func(text string) { _, _ = io.WriteString(c, text) } // fails once the client is gone
	const opened = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	switch why {
	case failed:
		send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case hangs:
		<-gone
	case mute:
		send(opened)
		<-gone
	case ends:
		send(opened)
	case half:
		send(opened + `{"generation":9,`)
		<-gone
	default:
		select {
		case <-gone:
			return
		case <-time.After(answerLate):
		}
		change := b.changed
		if b.isChanged() {
			change = nil // the list has it
		}
		send(opened + b.list() + "\n")
		if req.FormValue("watch") == "" {
			return
		}
		idle := time.NewTicker(2 * time.Second)
		defer idle.Stop()
		for {
			select {
			case <-gone:
				return
			case <-idle.C:
				send("\n")
			case <-change:
				switch change = nil; b.open {
				case ends:
					return
				case half:
					send(`{"generation":9,`)
					fallthrough
				case silent:
					<-gone
					return
				default:
					send(sidecartest.ListLine(9, true, sidecartest.ReadyInstance("s-2", "127.0.0.1:2")) + "\n")
				}
			}
		}
	}
}

// nothing is a protocol without an upstream side.
type nothing struct{}

func (nothing) Target(string) core.Target                         { return nothing{} }
func (nothing) SetConfig(*config.Config)                          {}
func (nothing) AcceptsLateReplies() bool                          { return false }
func (nothing) Close()                                            {}
func (nothing) CloseUnusedSince(time.Time)                        {}
func (nothing) Probe() core.Reply                                 { return core.Reply{Status: balancer.ConnectFailed} }
func (nothing) Send(context.Context, core.Attempt) (r core.Reply) { return r }

// follower is the complete sidecar's side of discovery: feed, watcher, loop and decision module.
type follower struct {
	feed  *discovery.Feed
	loop  *core.EventLoop
	known chan time.Time // when s-1 was first known to be draining
}

func follow(t *testing.T, b *fakeDiscovery, polled bool, within time.Duration) *follower {
	t.Helper()
	mode := "automatic"
	if polled {
		mode = "subscribe"
	}
	known := []discovery.Instance{
		sidecartest.ReadyInstance("s-1", "127.0.0.1:1"),
		sidecartest.ReadyInstance("s-2", "127.0.0.1:2"),
	}
	c := sidecartest.Configure(t, "127.0.0.1:1", known,
		`"discovery":"automatic"`, `"discovery":"`+mode+`"`,
		`"ask-within":10000000`, fmt.Sprintf(`"ask-within":%d`, within.Microseconds()))
	f := &follower{feed: &discovery.Feed{}, known: make(chan time.Time, 1)}
	var err error
	figures := metrics.New(c.Classes...)
	f.loop, err = core.New(c, core.NewClock(), nothing{}, f.feed.SetEnabled, figures, nil, sidecartest.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	f.feed.Watcher = f.watcher(b, 7)
	f.feed.Run, f.feed.OnEnded = (*discovery.Watcher).Run, f.loop.WatchFailed
	if polled {
		f.feed.Run = (*discovery.Watcher).RunOnce
	}
	return f
}

func (f *follower) watcher(b *fakeDiscovery, after int64) *discovery.Watcher {
	w := discovery.NewWatcher("127.0.0.1:1", after, 16, func(watch context.Context, l discovery.List) {
		f.loop.WatchEvent(watch, l)
		listed := slices.ContainsFunc(l.Instances, func(in discovery.Instance) bool { return in.ID == "s-1" })
		if l.Reset && !listed && watch.Err() == nil {
			select {
			case f.known <- time.Now():
			default:
			}
		}
	}, sidecartest.DiscardLog)
	w.Dial = b.Dial
	return w
}

// Here discovery is in each of its states for long, and then has a change and can be reached but for its next call,
// which fails in any way as well: what is open or waited for then, and that call, are a pair of causes.
func TestChangeIsKnownWithinMaxDelay(t *testing.T) {
	before := []cause{none, silent, ends, half, refused, reset, failed, hangs, mute}
	next := []cause{none, refused, reset, failed, hangs, mute, ends, half}
	worst, n := map[string]time.Duration{}, 0
	for _, way := range []struct {
		name   string
		polled bool
		within time.Duration
	}{
		{"pushed", false, 10 * time.Second},
		{"polled", true, 10 * time.Second},
		{"polled often", true, 0},
		{"polled seldom", true, time.Hour},
	} {
		for _, move := range []string{"", "moved, ", "moved, and changed right behind the complete list, "} {
			for _, was := range before {
				for _, then := range next {
					if move != "" && (was == silent || was == ends || was == half || way.within != 10*time.Second) {
						continue // the move ends the open watch and calls at once, whatever the settings
					}
					n++
					var took time.Duration
					synctest.Test(t, func(t *testing.T) {
						took = changeDelay(t, way.polled, way.within, move, was, then, n%4)
					})
					if worst[way.name] = max(worst[way.name], took); took > discovery.MaxChangeDelay-margin {
						t.Errorf("%s: %s%q, then %q: known after %v", way.name, move, was, then, took)
					}
				}
			}
		}
	}
	t.Log("the longest of each:", worst)
}

// changeDelay returns how long after the change it was known.
func changeDelay(
	t *testing.T, polled bool, within time.Duration, move string, was, then cause, phase int,
) time.Duration {
	t.Helper()
	why, open := was, none
	if was == silent || was == ends || was == half {
		why, open = none, was // of the watch, not of the calls
	}
	b := newFakeDiscovery(func(int) cause { return why }, open)
	f := follow(t, b, polled, within)
	ctx, cancel := context.WithCancel(t.Context())
	over := make(chan struct{})
	go func() {
		defer close(over)
		f.loop.Run(ctx)
	}()
	defer func() {
		cancel()
		<-over // it polls no more
		f.feed.SetEnabled(false)
		synctest.Wait()
	}()
	f.feed.SetEnabled(true)
	time.Sleep(9*time.Second + time.Duration(phase)*470*time.Millisecond) // backoffs are at their longest
	nth := func(k int) func(int) cause {
		return func(call int) cause {
			if call == k {
				return then
			}
			return none
		}
	}
	at := time.Now()
	switch move {
	case "":
		b.change(nth(0))
	case "moved, ":
		b = newFakeDiscovery(nil, none)
		b.change(nth(0))
		f.feed.SwitchTo(f.watcher(b, discovery.NoGeneration))
	default:
		b = newFakeDiscovery(nth(1), none)
		f.feed.SwitchTo(f.watcher(b, discovery.NoGeneration))
		time.Sleep(answerLate + time.Millisecond) // the complete list has come, and the watch is requested
		at = time.Now()
		b.change(func(int) cause { return none })
	}
	select {
	case known := <-f.known:
		synctest.Wait()
		// What a complete list does not name is gone.
		if l, err := f.loop.List(ctx); err != nil || len(l.Instances) != 1 || l.Instances[0].ID != "s-2" {
			t.Errorf("the loop has %v (%v)", l, err)
		}
		return known.Sub(at)
	case <-time.After(time.Minute):
		return time.Minute
	}
}

// The sum of delays and timeouts on the longest path leaves a margin, in both modes. No setting is part of it: the
// module's delays are held to their bound by its own test, and the backoff of Run by
// TestRunRetryDelayHasUpperBound.
func TestTimeoutsSumToLessThanMaxDelay(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"pushed": discovery.MaxPushedDelay, "polled": discovery.MaxPolledDelay,
	} {
		if delay > discovery.MaxChangeDelay-margin {
			t.Errorf("%s: known after %v", name, delay)
		}
	}
	w := discovery.NewWatcher("127.0.0.1:1", 7, 16, nil, sidecartest.DiscardLog)
	// A change that a silent watch misses must be known MaxChangeDelay after the last data, which may have come
	// right before it. One more call may stay without data, for as long as discovery may take to answer one.
	const idle = 2 * time.Second
	if w.IdleTimeout <= idle || discovery.ResponseTimeout <= answerLate ||
		w.IdleTimeout+discovery.PollJitter+discovery.ResponseTimeout > discovery.MaxChangeDelay-answerLate {
		t.Errorf("a silence is detected after %v, and the next call is made within %v",
			w.IdleTimeout, discovery.PollJitter)
	}
}
