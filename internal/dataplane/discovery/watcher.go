package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"time"
)

// NoGeneration is the generation of a watcher that has no list of its discovery yet.
const NoGeneration = -1

// listMemoryDivisor is the part of the memory that a list may take.
const listMemoryDivisor = 16

var errIdle = errors.New("no data in time")

// Watcher watches the list at one discovery. Its methods are for one goroutine at a time; its exported fields must
// not change while it runs.
type Watcher struct {
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	IdleTimeout   time.Duration // of a watch without data
	MaxRetryDelay time.Duration // of Run; with jitter it may be half as long again

	addr         string
	client       *http.Client
	generation   int64 // of the latest list of this discovery, or NoGeneration
	maxListBytes int
	onList       func(context.Context, List)
	log          *slog.Logger
}

// NewWatcher returns a watcher of the discovery at addr, which continues from the list with this generation. A list
// may take a part of memoryMB. onList is called with each list; if the context that it gets has ended, the list
// came too late.
func NewWatcher(
	addr string, generation int64, memoryMB int, onList func(context.Context, List), log *slog.Logger,
) *Watcher {
	w := &Watcher{
		Dial:          (&net.Dialer{Timeout: dialTimeout}).DialContext,
		IdleTimeout:   watchIdleTimeout,
		MaxRetryDelay: maxBackoff,
		addr:          addr,
		generation:    generation,
		maxListBytes:  memoryMB << 20 / listMemoryDivisor,
		onList:        onList,
		log:           log,
	}
	dial := func(ctx context.Context, network, addr string) (net.Conn, error) { return w.Dial(ctx, network, addr) }
	w.client = &http.Client{Transport: &http.Transport{
		DialContext:        dial,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}}
	return w
}

// Run watches until ctx ends. It reopens a watch that breaks or falls silent, from the latest generation on, with
// bounded exponential backoff and jitter that count from the beginning of the call.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		begun := time.Now()
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff = minBackoff
		}
		if backoff == minBackoff { // one line for an outage, not one for each attempt
			w.log.Warn("discovery watch ended, retrying", "error", err)
		}
		delay := backoff/2 + rand.N(backoff) - time.Since(begun)
		select {
		case <-ctx.Done():
		case <-time.After(max(delay, rand.N(min(backoff, PollJitter)))):
		}
		backoff = min(2*backoff, w.MaxRetryDelay, maxBackoff)
	}
}

// RunOnce holds one watch, for a balancer that polls for each. A watch that brought a list and falls silent is
// reopened after a jitter. Otherwise it returns: whether and when to poll again is the balancer's decision, but its
// delay between calls is too long for changes that were missed during the silence.
func (w *Watcher) RunOnce(ctx context.Context) {
	for {
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		w.log.Warn("discovery watch ended", "error", err)
		if !received || !errors.Is(err, errIdle) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(rand.N(PollJitter)):
		}
	}
}

// watch holds one watch until it ends, and reports whether it brought a list.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// A host that is cut off leaves the connection open and silent, so a timer here ends it.
	idle := time.AfterFunc(w.responseTimeout(), func() { cancel(errIdle) })
	defer idle.Stop()
	onRead := func(inList bool) {
		// Between lists a watch may be idle. Within one it may not: what the list changes is not known yet.
		if inList {
			idle.Reset(w.responseTimeout())
		} else {
			idle.Reset(w.IdleTimeout)
		}
	}
	if w.generation == NoGeneration {
		// Only a complete list says which endpoints an earlier discovery knew and this one does not.
		if err := w.fetchList(ctx, onRead); err != nil {
			return false, cmp.Or(context.Cause(ctx), err)
		}
		idle.Reset(w.responseTimeout())
		received = true
	}
	resp, err := w.get(ctx, "?watch=1&after="+strconv.FormatInt(w.generation, 10))
	if err != nil {
		return received, cmp.Or(context.Cause(ctx), err)
	}
	defer resp.Body.Close()
	some, err := w.readLists(ctx, resp.Body, onRead)
	return received || some, cmp.Or(context.Cause(ctx), err)
}

// responseTimeout is the timeout while a list is awaited.
func (w *Watcher) responseTimeout() time.Duration { return min(w.IdleTimeout, ResponseTimeout) }

// readLists passes on the lists of a watch until it ends, and reports whether there were any.
func (w *Watcher) readLists(ctx context.Context, body io.Reader, onRead func(inList bool)) (received bool, err error) {
	reader := &listReader{Reader: body, onRead: onRead}
	lists := json.NewDecoder(reader) // a list may take several lines
	for {
		reader.remaining = w.maxListBytes
		buffered, _ := io.ReadAll(lists.Buffered()) // it is in memory
		reader.endList(buffered)
		var l List
		if err := lists.Decode(&l); err != nil {
			return received, err // the next watch brings the changes of an incomplete list
		}
		if l.Generation < w.generation {
			// An older list would bring back endpoints that are known to be draining.
			w.log.Warn("ignored a stale list", "generation", l.Generation, "have", w.generation)
			continue
		}
		w.generation = l.Generation
		received = true
		w.onList(ctx, l)
	}
}

// fetchList gets the complete list.
func (w *Watcher) fetchList(ctx context.Context, onRead func(inList bool)) error {
	resp, err := w.get(ctx, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	reader := &listReader{Reader: resp.Body, onRead: onRead, remaining: w.maxListBytes}
	var l List
	if err := json.NewDecoder(reader).Decode(&l); err != nil {
		return fmt.Errorf("malformed list: %w", err)
	}
	l.Reset = true
	w.generation = l.Generation
	w.onList(ctx, l)
	return nil
}

// get calls discovery. The caller closes the body of the response.
func (w *Watcher) get(ctx context.Context, query string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+w.addr+"/api/targets"+query, nil)
	if err != nil {
		return nil, err
	}
	resp, err := w.client.Do(req)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode != http.StatusOK {
		_ = resp.Body.Close()
		return nil, fmt.Errorf("discovery responded with %s", resp.Status)
	}
	return resp, nil
}
