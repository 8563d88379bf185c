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

// fault is a reason why a call of discovery, or the open watch, does not bring a change.
type fault string

const (
	noFault           fault = "" // the call or watch brings the change
	connectionRefused fault = "connection refused"
	noReply           fault = "connection closed after the request"
	serverError       fault = "503"
	hungCall          fault = "no response"
	silentBeforeList  fault = "response without data"
	closedBeforeList  fault = "response that ends without a list"
	silentWithinList  fault = "no more data within a list"
	silentAfterList   fault = "no more data after a list" // of the open watch only
)

// responseDelay is how long discovery takes to answer a call. It is the longest that discovery can take, since it fails
// calls that it cannot answer within one second.
const responseDelay = time.Second

// delayMargin is the part of MaxChangeDelay that delays and timeouts must leave for network latency and a busy machine.
const delayMargin = 300 * time.Millisecond

// fakeDiscovery is a discovery service in virtual time. It has the endpoints s-1 and s-2, and removes s-1 with its one
// change, after which its complete lists have s-2 alone.
type fakeDiscovery struct {
	mu          sync.Mutex
	faultOfCall func(call int) fault // fault of a call, by its number since the last change, from 0
	calls       []time.Time          // starts of calls since the last change
	watchFault  fault                // fault of the open watch, from the change on
	changed     chan struct{}        // closed when the change is made
}

func newFakeDiscovery(faultOfCall func(int) fault, watchFault fault) *fakeDiscovery {
	return &fakeDiscovery{faultOfCall: faultOfCall, watchFault: watchFault, changed: make(chan struct{})}
}

// change removes s-1. faultOfCall gives the faults of calls from now on.
func (d *fakeDiscovery) change(faultOfCall func(int) fault) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.faultOfCall, d.calls = faultOfCall, nil
	close(d.changed)
}

func (d *fakeDiscovery) isChanged() bool {
	select {
	case <-d.changed:
		return true
	default:
		return false
	}
}

// completeList returns the complete list as discovery has it now.
func (d *fakeDiscovery) completeList() string {
	if d.isChanged() {
		return sidecartest.ListLine(9, true, sidecartest.ReadyInstance("s-2", "127.0.0.1:2"))
	}
	return sidecartest.ListLine(8, true,
		sidecartest.ReadyInstance("s-1", "127.0.0.1:1"),
		sidecartest.ReadyInstance("s-2", "127.0.0.1:2"))
}

// Dial replaces Watcher.Dial. Each connection is one call.
func (d *fakeDiscovery) Dial(context.Context, string, string) (net.Conn, error) {
	d.mu.Lock()
	f := d.faultOfCall(len(d.calls))
	d.calls = append(d.calls, time.Now())
	d.mu.Unlock()
	if f == connectionRefused {
		return nil, syscall.ECONNREFUSED
	}
	serverConn, clientConn := net.Pipe()
	go d.serve(serverConn, f)
	return clientConn, nil
}

func (d *fakeDiscovery) serve(c net.Conn, f fault) {
	defer c.Close()
	r := bufio.NewReader(c)
	req, err := http.ReadRequest(r)
	if err != nil || f == noReply {
		return
	}
	clientClosed := make(chan struct{})
	go func() {
		defer close(clientClosed)
		_, _ = io.Copy(io.Discard, r) // returns when the client closes the connection
	}()
	send := func(text string) { _, _ = io.WriteString(c, text) } // fails if the client has closed
	const responseHead = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
	switch f {
	case serverError:
		send("HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
	case hungCall:
		<-clientClosed
	case silentBeforeList:
		send(responseHead)
		<-clientClosed
	case closedBeforeList:
		send(responseHead)
	case silentWithinList:
		send(responseHead + `{"generation":9,`)
		<-clientClosed
	default:
		select {
		case <-clientClosed:
			return
		case <-time.After(responseDelay):
		}
		pendingChange := d.changed
		if d.isChanged() {
			pendingChange = nil // the complete list below has it
		}
		send(responseHead + d.completeList() + "\n")
		if req.FormValue("watch") == "" {
			return
		}
		idle := time.NewTicker(2 * time.Second)
		defer idle.Stop()
		for {
			select {
			case <-clientClosed:
				return
			case <-idle.C:
				send("\n")
			case <-pendingChange:
				switch pendingChange = nil; d.watchFault {
				case closedBeforeList:
					return
				case silentWithinList:
					send(`{"generation":9,`)
					fallthrough
				case silentAfterList:
					<-clientClosed
					return
				default:
					send(sidecartest.ListLine(9, true, sidecartest.ReadyInstance("s-2", "127.0.0.1:2")) + "\n")
				}
			}
		}
	}
}

// noTarget is a protocol, and its target, whose attempts and probes reach no endpoint.
type noTarget struct{}

func (noTarget) Target(string) core.Target                         { return noTarget{} }
func (noTarget) SetConfig(*config.Config)                          {}
func (noTarget) AcceptsLateReplies() bool                          { return false }
func (noTarget) Close()                                            {}
func (noTarget) CloseUnusedSince(time.Time)                        {}
func (noTarget) Probe() core.Reply                                 { return core.Reply{Status: balancer.ConnectFailed} }
func (noTarget) Send(context.Context, core.Attempt) (r core.Reply) { return r }

// discoveryClient is a sidecar's complete client of discovery: feed, watcher, event loop and decision module.
type discoveryClient struct {
	feed      *discovery.Feed
	loop      *core.EventLoop
	removedAt chan time.Time // receives the time of the first complete list without s-1
}

// newDiscoveryClient returns a client that has a list of s-1 and s-2 and continues from generation 7 at d. If polled,
// the balancer requests each watch, at least every pollInterval; otherwise one watch stays open.
func newDiscoveryClient(t *testing.T, d *fakeDiscovery, polled bool, pollInterval time.Duration) *discoveryClient {
	t.Helper()
	mode := "automatic"
	if polled {
		mode = "subscribe"
	}
	initialList := []discovery.Instance{
		sidecartest.ReadyInstance("s-1", "127.0.0.1:1"),
		sidecartest.ReadyInstance("s-2", "127.0.0.1:2"),
	}
	c := sidecartest.Configure(t, "127.0.0.1:1", initialList,
		`"discovery":"automatic"`, `"discovery":"`+mode+`"`,
		`"ask-within":10000000`, fmt.Sprintf(`"ask-within":%d`, pollInterval.Microseconds()))
	client := &discoveryClient{feed: &discovery.Feed{}, removedAt: make(chan time.Time, 1)}
	var err error
	registry := metrics.New(c.Classes...)
	client.loop, err = core.New(
		c, core.NewClock(), noTarget{}, client.feed.SetEnabled, registry, nil, sidecartest.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	client.feed.Watcher = client.newWatcher(d, 7)
	client.feed.Run, client.feed.OnEnded = (*discovery.Watcher).Run, client.loop.WatchFailed
	if polled {
		client.feed.Run = (*discovery.Watcher).RunOnce
	}
	return client
}

// newWatcher returns a watcher of d that continues from a generation.
func (c *discoveryClient) newWatcher(d *fakeDiscovery, generation int64) *discovery.Watcher {
	w := discovery.NewWatcher("127.0.0.1:1", generation, 16, func(watch context.Context, l discovery.List) {
		c.loop.WatchEvent(watch, l)
		listed := slices.ContainsFunc(l.Instances, func(in discovery.Instance) bool { return in.ID == "s-1" })
		if l.Reset && !listed && watch.Err() == nil {
			select {
			case c.removedAt <- time.Now():
			default:
			}
		}
	}, sidecartest.DiscardLog)
	w.Dial = d.Dial
	return w
}

// A change must be known within MaxChangeDelay of when discovery has it and can be reached. The test covers each pair
// of faults: discovery has the first one for several seconds, so that backoffs are at their maximum; then the change is
// made, the next call has the second fault, and all later calls succeed.
func TestChangeIsKnownWithinMaxDelay(t *testing.T) {
	faultsBefore := []fault{noFault, silentAfterList, closedBeforeList, silentWithinList,
		connectionRefused, noReply, serverError, hungCall, silentBeforeList}
	faultsOfNextCall := []fault{noFault, connectionRefused, noReply, serverError,
		hungCall, silentBeforeList, closedBeforeList, silentWithinList}
	maxDelay, runs := map[string]time.Duration{}, 0
	for _, mode := range []struct {
		name         string
		polled       bool
		pollInterval time.Duration
	}{
		{"pushed", false, 10 * time.Second},
		{"polled", true, 10 * time.Second},
		{"polled often", true, 0},
		{"polled seldom", true, time.Hour},
	} {
		for _, move := range []string{
			"", "switched to another discovery, ", "switched, and changed right after the complete list, ",
		} {
			for _, faultBefore := range faultsBefore {
				for _, faultOfNextCall := range faultsOfNextCall {
					if move != "" && (faultBefore == silentAfterList || faultBefore == closedBeforeList ||
						faultBefore == silentWithinList || mode.pollInterval != 10*time.Second) {
						continue // the switch ends the open watch and calls at once, whatever the settings
					}
					runs++
					var delay time.Duration
					synctest.Test(t, func(t *testing.T) {
						delay = changeDelay(t, mode.polled, mode.pollInterval, move, faultBefore, faultOfNextCall,
							runs%4)
					})
					if maxDelay[mode.name] = max(maxDelay[mode.name],
						delay); delay > discovery.MaxChangeDelay-delayMargin {
						t.Errorf("%s: %sfault %q before the change, %q at the next call: known after %v",
							mode.name, move, faultBefore, faultOfNextCall, delay)
					}
				}
			}
		}
	}
	t.Log("longest delay by mode:", maxDelay)
}

// changeDelay returns how long after the change the client knew it, or one minute if it did not. The first phase of 4
// makes the change 9 s after the start, and each later one 470 ms later, so that changes fall on different moments of
// the client's timers.
func changeDelay(
	t *testing.T, polled bool, pollInterval time.Duration, move string, faultBefore, faultOfNextCall fault, phase int,
) time.Duration {
	t.Helper()
	callFault, watchFault := faultBefore, noFault
	if faultBefore == silentAfterList || faultBefore == closedBeforeList || faultBefore == silentWithinList {
		callFault, watchFault = noFault, faultBefore // a fault of the open watch, not of calls
	}
	d := newFakeDiscovery(func(int) fault { return callFault }, watchFault)
	client := newDiscoveryClient(t, d, polled, pollInterval)
	ctx, cancel := context.WithCancel(t.Context())
	loopEnded := make(chan struct{})
	go func() {
		defer close(loopEnded)
		client.loop.Run(ctx)
	}()
	defer func() {
		cancel()
		<-loopEnded // the loop no longer enables the feed
		client.feed.SetEnabled(false)
		synctest.Wait()
	}()
	client.feed.SetEnabled(true)
	time.Sleep(9*time.Second + time.Duration(phase)*470*time.Millisecond) // backoffs are at their maximum
	failCall := func(failing int) func(int) fault {
		return func(call int) fault {
			if call == failing {
				return faultOfNextCall
			}
			return noFault
		}
	}
	changedAt := time.Now()
	switch move {
	case "":
		d.change(failCall(0))
	case "switched to another discovery, ":
		d = newFakeDiscovery(nil, noFault)
		d.change(failCall(0))
		client.feed.SwitchTo(client.newWatcher(d, discovery.NoGeneration))
	default:
		d = newFakeDiscovery(failCall(1), noFault)
		client.feed.SwitchTo(client.newWatcher(d, discovery.NoGeneration))
		time.Sleep(responseDelay + time.Millisecond) // the list has arrived, and the watch is requested
		changedAt = time.Now()
		d.change(func(int) fault { return noFault })
	}
	select {
	case removedAt := <-client.removedAt:
		synctest.Wait()
		// An endpoint that is not in a complete list is removed.
		if l, err := client.loop.List(ctx); err != nil || len(l.Instances) != 1 || l.Instances[0].ID != "s-2" {
			t.Errorf("after the complete list the event loop has %v, error %v; want s-2 alone", l, err)
		}
		return removedAt.Sub(changedAt)
	case <-time.After(time.Minute):
		return time.Minute
	}
}

// In both modes, the sum of the delays and timeouts on the longest path must leave delayMargin of MaxChangeDelay. The
// sum does not depend on settings: tests of the decision module check the bound of its delays, and
// TestRunRetryDelayHasUpperBound that of the backoff of Run.
func TestTimeoutsSumToLessThanMaxDelay(t *testing.T) {
	for name, delay := range map[string]time.Duration{
		"pushed": discovery.MaxPushedDelay, "polled": discovery.MaxPolledDelay,
	} {
		if delay > discovery.MaxChangeDelay-delayMargin {
			t.Errorf("%s: a change may be known only after %v, too late for the margin", name, delay)
		}
	}
	w := discovery.NewWatcher("127.0.0.1:1", 7, 16, nil, sidecartest.DiscardLog)
	// A change that a silent watch misses must be known within MaxChangeDelay of the last data, which may have arrived
	// right before the change. One more call may go without data, for as long as discovery may take to answer a call.
	const idleInterval = 2 * time.Second
	if w.IdleTimeout <= idleInterval || discovery.ResponseTimeout <= responseDelay ||
		w.IdleTimeout+discovery.PollJitter+discovery.ResponseTimeout > discovery.MaxChangeDelay-responseDelay {
		t.Errorf("a silent watch is closed after %v, and the next call is made within %v: the timeouts do not fit",
			w.IdleTimeout, discovery.PollJitter)
	}
}
