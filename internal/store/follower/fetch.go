package follower

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/usage"
)

const fetchTimeout = 60 * time.Second // of a state

// fetch replaces the copy by a replica's state of an interest, nil for all keys. The error wraps
// changefeed.ErrReplicaBehind if that is older than the copy.
func (f *Follower) fetch(at int, interest *store.Interest) error {
	state, err := f.fetchState(f.ctx, at, interest)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.mirror.Replace(state); err != nil {
		return err
	}
	f.unsaved = true
	if state.Subset(f.subscription.Durable).Len() > 0 {
		f.saveBeforeEffect()
	}
	f.stateReplaced()
	if f.unsaved && !f.hasHeartbeat() { // the copy may be narrowed soon: the next start is to begin with what this one began with
		unsaved, number := f.takeUnsaved()
		f.background.Go(func() { _ = f.writeCopy(unsaved, number) }) // a copy that cannot be written stays unsaved
	}
	return nil
}

// fetchState fetches a replica's state of an interest, nil for all keys.
func (f *Follower) fetchState(ctx context.Context, at int, interest *store.Interest) (*store.State, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := f.url(at, admin.CopyPath, admin.CopyQuery(interest))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := f.clients[at].Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	f.cfg.Usage.Count(usage.Snapshots, usage.Out, 1, 0)
	f.cfg.Usage.Count(usage.Snapshots, usage.In, 1, 0)
	if response.StatusCode != http.StatusOK {
		f.cfg.Usage.Count(usage.Snapshots, usage.In, 0, int(max(0, response.ContentLength)))
		return nil, fmt.Errorf("%w: %s", changefeed.ErrReplicaBehind, response.Status)
	}
	state, err := store.LoadSubset(&countedReader{response.Body, f.cfg.Usage})
	if err != nil {
		return nil, err
	}
	if state.Level() > store.Level {
		f.cfg.Log.Error("the cluster uses commands that this build does not know: start a newer one",
			"level", state.Level(), "knows", store.Level)
		return nil, store.ErrUnknownCommand
	}
	return state, nil
}

// countedReader counts the bytes of a state as they are received.
type countedReader struct {
	io.Reader
	recorder *usage.Recorder
}

func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.recorder.Count(usage.Snapshots, usage.In, 0, n)
	return n, err
}
