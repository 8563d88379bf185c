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

const fetchTimeout = 60 * time.Second // for the transfer of a state

// fetch replaces the copy by the keys of an interest that it fetches from a replica; nil means all keys. The error
// wraps changefeed.ErrCannotFollow if the replica's state is older than the copy, or of another cluster.
func (f *Follower) fetch(index int, interest *store.Interest) error {
	state, err := f.fetchState(f.ctx, index, interest)
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
	if f.unsaved && !f.hasHeartbeat() {
		// The first copy is saved at once, because it may be narrowed soon and the next start needs all of it.
		copied, number := f.takeCopyToSave()
		f.background.Go(func() { _ = f.writeCopy(copied, number) }) // saveLoop retries if this fails
	}
	return nil
}

// fetchState fetches the keys of an interest from a replica; nil means all keys. It doesn't change the copy.
func (f *Follower) fetchState(ctx context.Context, index int, interest *store.Interest) (*store.State, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	url := f.url(index, admin.CopyPath, admin.CopyQuery(interest))
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	response, err := f.clients[index].Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	f.cfg.Usage.Count(usage.Snapshots, usage.Out, 1, 0)
	f.cfg.Usage.Count(usage.Snapshots, usage.In, 1, 0)
	if response.StatusCode != http.StatusOK {
		f.cfg.Usage.Count(usage.Snapshots, usage.In, 0, int(max(0, response.ContentLength)))
		return nil, fmt.Errorf("%w: %s", changefeed.ErrCannotFollow, response.Status)
	}
	state, err := store.LoadSubset(&countedReader{response.Body, f.cfg.Usage})
	if err != nil {
		return nil, err
	}
	if state.Level() > store.Level {
		f.cfg.Log.Error("the cluster uses commands that this build does not know: upgrade this daemon",
			"level", state.Level(), "knows", store.Level)
		return nil, store.ErrUnknownCommand
	}
	return state, nil
}

// countedReader counts the bytes of a state that are received.
type countedReader struct {
	io.Reader
	recorder *usage.Recorder
}

func (r *countedReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.recorder.Count(usage.Snapshots, usage.In, 0, n)
	return n, err
}
