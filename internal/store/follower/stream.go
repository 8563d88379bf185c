package follower

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/usage"
)

const (
	silenceTimeout      = 4 * time.Second // of a replica that sends a heartbeat every second
	maxLineBytes        = 8 << 20
	initialLineBytes    = 4 << 10
	maxImmediateRetries = 4 // of requests to one replica, before another is tried
)

// errNewRequest ends a stream without a fault of the replica: something else is to be requested from it.
var errNewRequest = errors.New("something else is to be requested")

// run follows one replica after another until Close. It begins with a random one, so that many followers spread.
func (f *Follower) run() {
	at := rand.IntN(len(f.cfg.Replicas))
	delays := newBackoff()
	retries := 0
	for f.ctx.Err() == nil {
		received, err := f.followReplica(at)
		f.mu.Lock()
		f.connectedTo = ""
		f.mu.Unlock()
		if f.ctx.Err() != nil {
			return
		}
		f.cfg.Log.Debug("the stream of a replica ended", "replica", f.cfg.Replicas[at].Name, "error", err)
		if received {
			delays.reset()
			retries = 0
		}
		if err == nil || errors.Is(err, errNewRequest) {
			retries++
			if retries < maxImmediateRetries {
				continue
			}
		}
		retries = 0
		at = f.nextReplica(at)
		f.pause(f.ctx, delays)
	}
}

func (f *Follower) nextReplica(at int) int { return (at + 1) % len(f.cfg.Replicas) }

// followReplica requests from a replica what the copy needs next: a state, or a stream, which it receives until
// that ends or the interest changes. received is true if a heartbeat came.
func (f *Follower) followReplica(at int) (received bool, err error) {
	f.mu.Lock()
	interestChanged := f.interestChanged
	request := f.mirror.NextRequest()
	sizePrefixes := f.subscription.SizePrefixes
	f.mu.Unlock()
	if request.Snapshot {
		if err := f.fetch(at, request.Interest); err != nil {
			return false, err
		}
		return false, errNewRequest
	}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	stopWaiting := callOnClose(interestChanged, cancel)
	defer stopWaiting()
	s := &replicaStream{follower: f, at: at, request: request, interestChanged: interestChanged}
	// A host that is cut off leaves the connection open and sends nothing.
	s.silence = time.AfterFunc(silenceTimeout, cancel)
	defer s.silence.Stop()
	response, err := s.open(ctx, sizePrefixes)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if accepted, err := s.accept(response); !accepted {
		return false, err
	}
	return s.receive(response.Body)
}

// callOnClose calls call once a channel is closed, until stop is called.
func callOnClose(closed <-chan struct{}, call func()) (stop func()) {
	stopped := make(chan struct{})
	go func() {
		select {
		case <-closed:
			call()
		case <-stopped:
		}
	}()
	return sync.OnceFunc(func() { close(stopped) })
}

// replicaStream is the stream of changes from one replica.
type replicaStream struct {
	follower        *Follower
	at              int // index of the replica
	request         changefeed.FetchRequest
	interestChanged chan struct{}
	silence         *time.Timer
}

// open requests the stream.
func (s *replicaStream) open(ctx context.Context, sizePrefixes []string) (*http.Response, error) {
	f := s.follower
	query := admin.StreamQuery(s.request.Interest, s.request.After, sizePrefixes)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(s.at, admin.StreamPath, query), nil)
	if err != nil {
		return nil, err
	}
	response, err := f.clients[s.at].Do(request)
	if err != nil {
		return nil, s.endedBy(err)
	}
	f.cfg.Usage.Count(usage.Heartbeats, usage.Out, 1, 0)
	return response, nil
}

// accept takes the status and the header of a response, and reports whether its lines are to be received. If
// not, and without an error, the copy was fetched anew.
func (s *replicaStream) accept(response *http.Response) (bool, error) {
	f := s.follower
	if response.StatusCode == http.StatusGone {
		return false, f.fetch(s.at, s.request.Interest)
	}
	if response.StatusCode != http.StatusOK {
		f.cfg.Usage.Count(usage.Heartbeats, usage.In, 1, int(max(0, response.ContentLength)))
		return false, fmt.Errorf("%w: %s", changefeed.ErrReplicaBehind, response.Status)
	}
	if s.request.Interest == nil {
		return true, nil
	}
	scoped := response.Header.Get(admin.ScopedHeader) != ""
	f.mu.Lock()
	narrowed, needsSnapshot := f.mirror.StreamOpened(scoped)
	if narrowed { // the file stays: what it has beyond the interest is of use to a start until something changes
		f.stateReplaced()
	}
	f.mu.Unlock()
	if !needsSnapshot {
		return true, nil
	}
	if err := f.fetch(s.at, nil); err != nil {
		return false, err
	}
	return false, errNewRequest
}

// receive takes lines until the stream ends. received is true if a heartbeat came, and the replica is not cut
// off from the quorum.
func (s *replicaStream) receive(body io.Reader) (received bool, err error) {
	f := s.follower
	f.mu.Lock()
	cluster := f.mirror.State().Cluster()
	f.mu.Unlock()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	for lines.Scan() {
		s.silence.Reset(silenceTimeout)
		line, err := s.decode(lines.Bytes())
		if err != nil {
			return received, err
		}
		if line.Error != nil {
			return received, s.fetchAfter(line.Error)
		}
		if line.Heartbeat != nil && line.Heartbeat.Cluster != cluster {
			return received, fmt.Errorf("%w: it is of cluster %x, and this copy of %x",
				changefeed.ErrReplicaBehind, line.Heartbeat.Cluster, cluster)
		}
		if err := f.applyLine(line); err != nil {
			return received, err
		}
		if line.Heartbeat == nil {
			continue
		}
		received = true
		f.applyHeartbeat(s.at, line.Heartbeat)
		isCutOff := !line.Heartbeat.Confirmed || line.Heartbeat.Age > maxFreshAge
		if isCutOff && len(f.cfg.Replicas) > 1 { // another may not be
			return false, fmt.Errorf("%w: no quorum confirms its copy", changefeed.ErrReplicaBehind)
		}
	}
	return received, s.endedBy(cmp.Or(lines.Err(), io.EOF))
}

// decode decodes and counts a line.
func (s *replicaStream) decode(text []byte) (*admin.StreamLine, error) {
	recorder := s.follower.cfg.Usage
	var line admin.StreamLine
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, fmt.Errorf("%w: %w", changefeed.ErrReplicaBehind, err)
	}
	purpose := usage.Heartbeats
	switch {
	case line.Event != nil:
		purpose = recorder.KeyPurpose(line.Event.Item.Key)
	case len(line.Events) > 0:
		purpose = recorder.KeyPurpose(line.Events[0].Item.Key)
	}
	recorder.Count(purpose, usage.In, 1, len(text)+len("\n"))
	return &line, nil
}

// fetchAfter fetches a state after an error that a replica sent because its history is compacted. Another error
// is returned.
func (s *replicaStream) fetchAfter(sent *admin.ErrorBody) error {
	if sent.OldestRevision > 0 {
		return s.follower.fetch(s.at, s.request.Interest)
	}
	return fmt.Errorf("%w: %s", changefeed.ErrReplicaBehind, sent.Error)
}

// endedBy is the error with which a stream ended: errNewRequest if that was because the interest changed.
func (s *replicaStream) endedBy(err error) error {
	select {
	case <-s.interestChanged:
		return errNewRequest
	default:
		return err
	}
}

// applyLine applies what changed, and the revision up to which that is complete.
func (f *Follower) applyLine(line *admin.StreamLine) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, err := f.applyEvents(line)
	if err != nil {
		return err
	}
	isDurable := false
	for _, event := range events {
		isSaved := f.mirror.State().Interest() == nil || f.subscription.Retained.Covers(event.Item.Key)
		f.unsaved = f.unsaved || isSaved
		isDurable = isDurable || f.subscription.Durable.Covers(event.Item.Key)
	}
	if isDurable {
		f.saveBeforeEffect()
	}
	if f.cfg.OnEvent != nil {
		for _, event := range events {
			f.cfg.OnEvent(event)
		}
	}
	if line.Through > 0 {
		if err := f.mirror.Progress(line.Through); err != nil {
			return err
		}
	}
	if len(events) > 0 || line.Through > 0 {
		f.notifyAdvanced()
	}
	return nil
}

// applyEvents applies and returns the events of a line: one of a stream of all keys, or all of one revision.
// The lock is held.
func (f *Follower) applyEvents(line *admin.StreamLine) ([]store.Event, error) {
	switch {
	case line.Event != nil:
		return []store.Event{*line.Event}, f.mirror.ApplyEvent(*line.Event)
	case len(line.Events) > 0:
		return line.Events, f.mirror.ApplyRevision(line.Events)
	}
	return nil, nil
}

// applyHeartbeat takes how a replica stands, and calls the hooks.
func (f *Follower) applyHeartbeat(at int, heartbeat *admin.Heartbeat) {
	confirmed, isFirst := f.recordHeartbeat(at, heartbeat)
	if confirmed && f.cfg.OnConfirmed != nil {
		f.cfg.OnConfirmed(heartbeat.Age)
	}
	if isFirst && f.cfg.OnCaughtUp != nil {
		f.cfg.OnCaughtUp()
	}
	if f.cfg.OnSnapshotAge != nil {
		for _, snapshot := range heartbeat.Ages {
			f.cfg.OnSnapshotAge(snapshot.Key, snapshot.Age)
		}
	}
	if f.cfg.OnPrefixSize != nil {
		for prefix, size := range heartbeat.PrefixSizes {
			f.cfg.OnPrefixSize(prefix, size)
		}
	}
	if !f.hasHeartbeat() {
		close(f.firstHeartbeat)
	}
}

// recordHeartbeat reports whether a heartbeat confirms the copy, and whether it is the first to do so.
func (f *Follower) recordHeartbeat(at int, heartbeat *admin.Heartbeat) (confirmed, isFirst bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connectedTo = f.cfg.Replicas[at].Addr
	if !heartbeat.Confirmed || !f.mirror.HasRevision(heartbeat.Revision) {
		return false, false
	}
	isFirst = f.confirmedAt == 0
	const notNever = 1 // nanosecond
	f.confirmedAt = max(f.confirmedAt, time.Since(f.startedAt)-heartbeat.Age, notNever)
	return true, isFirst
}

// hasHeartbeat reports whether a heartbeat came since the start. Only the goroutine of run may call it.
func (f *Follower) hasHeartbeat() bool {
	select {
	case <-f.firstHeartbeat:
		return true
	default:
		return false
	}
}
