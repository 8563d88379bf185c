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

	"birchmoor/internal/platform/streamhttp"
)

// NoGeneration is the generation of a watcher that has not yet received a list from its discovery.
const NoGeneration = -1

// listMemoryDivisor divides the sidecar's memory limit to give the maximum size of a list.
const listMemoryDivisor = 16

// maxHeaderBytes bounds the head of a response of discovery.
const maxHeaderBytes = 16 << 10

var errIdle = errors.New("discovery sent no data within the timeout")

// Watcher watches the endpoint list of one discovery. Its methods are not safe for concurrent use, and its exported
// fields must not change while one of them runs.
type Watcher struct {
	Dial          func(ctx context.Context, network, addr string) (net.Conn, error)
	IdleTimeout   time.Duration // after which a watch without data is closed
	MaxRetryDelay time.Duration // maximum backoff of Run; jitter may extend it by half

	addr         string
	client       *http.Client
	generation   int64 // of the latest list of this discovery, or NoGeneration
	maxListBytes int
	onList       func(context.Context, List)
	log          *slog.Logger
}

// NewWatcher returns a watcher of the discovery at addr. It continues from the list with the given generation, or
// fetches a complete list first if that is NoGeneration. A list may take 1/listMemoryDivisor of memoryMB. onList is
// called with each list; if its context has ended, the watch was stopped and the list must be ignored.
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
	w.client = &http.Client{Transport: &streamhttp.Transport{Dial: dial, MaxHeaderBytes: maxHeaderBytes}}
	return w
}

// Run watches until ctx ends. It reopens a watch that breaks or falls silent, from the latest generation on. Between
// calls it waits for a bounded exponential backoff with jitter, which counts from the start of the failed call.
func (w *Watcher) Run(ctx context.Context) {
	backoff := minBackoff
	for ctx.Err() == nil {
		callStart := time.Now()
		received, err := w.watch(ctx)
		if ctx.Err() != nil {
			return
		}
		if received {
			backoff = minBackoff
		}
		if backoff == minBackoff { // logs one line per outage, not one per attempt
			w.log.Warn("discovery watch ended; reopening it", "error", err)
		}
		delay := backoff/2 + rand.N(backoff) - time.Since(callStart)
		select {
		case <-ctx.Done():
		case <-time.After(max(delay, rand.N(min(backoff, PollJitter)))):
		}
		backoff = min(2*backoff, w.MaxRetryDelay, maxBackoff)
	}
}

// RunOnce opens one watch, as a balancer in polling mode requests it, and returns when the watch ends: the balancer
// decides whether and when to poll again. The exception is a watch that brought a list and then fell silent. RunOnce
// reopens it after a short jitter, because the balancer's delay between polls is too long for changes that were missed
// during the silence.
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

// watch opens one watch, processes its lists until it ends, and reports whether it received any. The error is never
// nil.
func (w *Watcher) watch(ctx context.Context) (received bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	// When discovery's host loses its network, the connection stays open without data, so this timer ends the watch.
	idle := time.AfterFunc(w.responseTimeout(), func() { cancel(errIdle) })
	defer idle.Stop()
	onRead := func(inList bool) {
		// A watch may be idle between lists. Within a list the shorter timeout applies, because the list's changes are
		// not known until it is complete.
		if inList {
			idle.Reset(w.responseTimeout())
		} else {
			idle.Reset(w.IdleTimeout)
		}
	}
	if w.generation == NoGeneration {
		// Only a complete list shows which endpoints of the previous discovery this one does not have.
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
	anyList, err := w.readLists(ctx, resp.Body, onRead)
	return received || anyList, cmp.Or(context.Cause(ctx), err)
}

// responseTimeout returns how long a call may go without data while a list is expected.
func (w *Watcher) responseTimeout() time.Duration { return min(w.IdleTimeout, ResponseTimeout) }

// readLists passes the lists of a watch to onList until the watch ends, and reports whether there were any.
func (w *Watcher) readLists(ctx context.Context, body io.Reader, onRead func(inList bool)) (received bool, err error) {
	reader := &listReader{Reader: body, onRead: onRead}
	decoder := json.NewDecoder(reader) // a list may take several lines
	for {
		reader.remaining = w.maxListBytes
		buffered, _ := io.ReadAll(decoder.Buffered()) // reads from memory, so it cannot fail
		reader.endList(buffered)
		var l List
		if err := decoder.Decode(&l); err != nil {
			return received, err // the next watch resends the changes of an incomplete list
		}
		if l.Generation < w.generation {
			// An older list could return endpoints to service that are known to be draining.
			w.log.Warn("ignored a list older than the latest one", "generation", l.Generation, "have", w.generation)
			continue
		}
		w.generation = l.Generation
		received = true
		w.onList(ctx, l)
	}
}

// fetchList fetches the complete list and passes it to onList.
func (w *Watcher) fetchList(ctx context.Context, onRead func(inList bool)) error {
	resp, err := w.get(ctx, "")
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	reader := &listReader{Reader: resp.Body, onRead: onRead, remaining: w.maxListBytes}
	var l List
	if err := json.NewDecoder(reader).Decode(&l); err != nil {
		return fmt.Errorf("decode the endpoint list: %w", err)
	}
	l.Reset = true
	w.generation = l.Generation
	w.onList(ctx, l)
	return nil
}

// get sends a GET request to discovery. On success the caller must close the response's body; a status other than 200
// is an error.
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
