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
	silenceTimeout      = 4 * time.Second // replicas send a heartbeat every second
	maxLineBytes        = 8 << 20
	initialLineBytes    = 4 << 10
	maxImmediateRetries = 4 // requests to one replica without a delay, after which another is tried
)

// errNewRequest reports that the follower ended a stream, or did not begin one, because it has to send another request.
// The replica is not at fault.
var errNewRequest = errors.New("the follower needs a new request")

// run follows one replica after another until Close. It begins with a random one, so that followers are spread over the
// replicas.
func (f *Follower) run() {
	index := rand.IntN(len(f.cfg.Replicas))
	delays := newBackoff()
	retries := 0
	for f.ctx.Err() == nil {
		received, err := f.followReplica(index)
		f.mu.Lock()
		f.connectedTo = ""
		f.mu.Unlock()
		if f.ctx.Err() != nil {
			return
		}
		f.cfg.Log.Debug("the stream of a replica ended", "replica", f.cfg.Replicas[index].Name, "error", err)
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
		index = f.nextReplica(index)
		f.pause(f.ctx, delays)
	}
}

func (f *Follower) nextReplica(index int) int { return (index + 1) % len(f.cfg.Replicas) }

// followReplica sends a replica the request that the copy needs next: for a state, or for a stream, which it receives
// until the stream ends or the interest changes. received is true if a heartbeat arrived, unless the
// replica reports that it is cut off from the quorum and there are other replicas.
func (f *Follower) followReplica(index int) (received bool, err error) {
	f.mu.Lock()
	interestChanged := f.interestChanged
	request := f.mirror.NextRequest()
	sizePrefixes := f.subscription.SizePrefixes
	f.mu.Unlock()
	if request.Snapshot {
		if err := f.fetch(index, request.Interest); err != nil {
			return false, err
		}
		return false, errNewRequest
	}
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	stop := callOnClose(interestChanged, cancel)
	defer stop()
	stream := &replicaStream{follower: f, index: index, request: request, interestChanged: interestChanged}
	// The connection to a host that is cut off stays open but delivers nothing.
	stream.silenceTimer = time.AfterFunc(silenceTimeout, cancel)
	defer stream.silenceTimer.Stop()
	response, err := stream.open(ctx, sizePrefixes)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	if accepted, err := stream.acceptResponse(response); !accepted {
		return false, err
	}
	return stream.receive(response.Body)
}

// callOnClose starts a goroutine that calls call when a channel is closed, unless stop was called before.
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

// replicaStream is a stream of changes from one replica.
type replicaStream struct {
	follower        *Follower
	index           int // index of the replica in Config.Replicas
	request         changefeed.FetchRequest
	interestChanged chan struct{}
	silenceTimer    *time.Timer
}

// open requests the stream. The caller closes the body of the response.
func (s *replicaStream) open(ctx context.Context, sizePrefixes []string) (*http.Response, error) {
	f := s.follower
	query := admin.StreamQuery(s.request.Interest, s.request.After, sizePrefixes)
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(s.index, admin.StreamPath, query), nil)
	if err != nil {
		return nil, err
	}
	response, err := f.streams[s.index].Do(request)
	if err != nil {
		return nil, s.endReason(err)
	}
	f.cfg.Usage.Count(usage.Heartbeats, usage.Out, 1, 0)
	return response, nil
}

// acceptResponse evaluates the status and the header of a response and reports whether its lines can be received. If it
// returns false without an error, the copy was fetched again.
func (s *replicaStream) acceptResponse(response *http.Response) (bool, error) {
	f := s.follower
	if response.StatusCode == http.StatusGone {
		return false, f.fetch(s.index, s.request.Interest)
	}
	if response.StatusCode != http.StatusOK {
		f.cfg.Usage.Count(usage.Heartbeats, usage.In, 1, int(max(0, response.ContentLength)))
		return false, fmt.Errorf("%w: %s", changefeed.ErrCannotFollow, response.Status)
	}
	if s.request.Interest == nil {
		return true, nil
	}
	scoped := response.Header.Get(admin.ScopedHeader) != ""
	f.mu.Lock()
	narrowed, needsSnapshot := f.mirror.StreamOpened(scoped)
	if narrowed { // the file keeps its further keys, which help the next start, until another change is saved
		f.stateReplaced()
	}
	f.mu.Unlock()
	if !needsSnapshot {
		return true, nil
	}
	if err := f.fetch(s.index, nil); err != nil {
		return false, err
	}
	return false, errNewRequest
}

// receive applies lines until the stream ends. received is true if a heartbeat arrived, unless the replica reports that
// it is cut off from the quorum and there are other replicas.
func (s *replicaStream) receive(body io.Reader) (received bool, err error) {
	f := s.follower
	f.mu.Lock()
	cluster := f.mirror.State().Cluster()
	f.mu.Unlock()
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 0, initialLineBytes), maxLineBytes)
	for lines.Scan() {
		s.silenceTimer.Reset(silenceTimeout)
		line, err := s.decode(lines.Bytes())
		if err != nil {
			return received, err
		}
		if line.Error != nil {
			return received, s.fetchIfCompacted(line.Error)
		}
		if line.Heartbeat != nil && line.Heartbeat.Cluster != cluster {
			return received, fmt.Errorf("%w: it belongs to cluster %x, but this copy belongs to cluster %x",
				changefeed.ErrCannotFollow, line.Heartbeat.Cluster, cluster)
		}
		if err := f.applyLine(line); err != nil {
			return received, err
		}
		if line.Heartbeat == nil {
			continue
		}
		received = true
		f.applyHeartbeat(s.index, line.Heartbeat)
		isCutOff := !line.Heartbeat.Confirmed || line.Heartbeat.Age > maxFreshAge
		if isCutOff && len(f.cfg.Replicas) > 1 { // another replica may reach a quorum
			return false, fmt.Errorf("%w: no quorum confirmed its copy recently", changefeed.ErrCannotFollow)
		}
	}
	return received, s.endReason(cmp.Or(lines.Err(), io.EOF))
}

// decode decodes a line and counts it by the purpose of its first event, or as a heartbeat if it has none.
func (s *replicaStream) decode(text []byte) (*admin.StreamLine, error) {
	recorder := s.follower.cfg.Usage
	var line admin.StreamLine
	if err := json.Unmarshal(text, &line); err != nil {
		return nil, fmt.Errorf("%w: %w", changefeed.ErrCannotFollow, err)
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

// fetchIfCompacted fetches a state if a replica's error says that its history is compacted. Otherwise it returns the
// replica's error.
func (s *replicaStream) fetchIfCompacted(errorBody *admin.ErrorBody) error {
	if errorBody.OldestRevision > 0 {
		return s.follower.fetch(s.index, s.request.Interest)
	}
	return fmt.Errorf("%w: %s", changefeed.ErrCannotFollow, errorBody.Error)
}

// endReason returns errNewRequest if a stream ended because the interest changed, else err.
func (s *replicaStream) endReason(err error) error {
	select {
	case <-s.interestChanged:
		return errNewRequest
	default:
		return err
	}
}

// applyLine applies the events of a line, calls OnEvent with them, and advances the copy to the revision up to which
// the line is complete. If the events change durable keys, it saves the copy before it calls OnEvent.
func (f *Follower) applyLine(line *admin.StreamLine) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	events, err := f.applyEvents(line)
	if err != nil {
		return err
	}
	mustSave := false
	for _, event := range events {
		isSaved := f.mirror.State().Interest() == nil || f.subscription.Retained.Covers(event.Item.Key)
		f.unsaved = f.unsaved || isSaved
		mustSave = mustSave || f.subscription.Durable.Covers(event.Item.Key)
	}
	if mustSave {
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

// applyEvents applies and returns the events of a line: a single one in a stream of all keys, or all of one revision.
// The caller holds the lock.
func (f *Follower) applyEvents(line *admin.StreamLine) ([]store.Event, error) {
	switch {
	case line.Event != nil:
		return []store.Event{*line.Event}, f.mirror.ApplyEvent(*line.Event)
	case len(line.Events) > 0:
		return line.Events, f.mirror.ApplyRevision(line.Events)
	}
	return nil, nil
}

// applyHeartbeat records a heartbeat of a replica and calls the hooks with its contents. Only the goroutine of run may
// call it.
func (f *Follower) applyHeartbeat(index int, heartbeat *admin.Heartbeat) {
	confirmed, isFirst := f.recordHeartbeat(index, heartbeat)
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

// recordHeartbeat records the connection and, if the heartbeat confirms the copy, the time of the confirmation. isFirst
// is true for the first confirmation since Open.
func (f *Follower) recordHeartbeat(index int, heartbeat *admin.Heartbeat) (confirmed, isFirst bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.connectedTo = f.cfg.Replicas[index].Addr
	if !heartbeat.Confirmed || !f.mirror.HasRevision(heartbeat.Revision) {
		return false, false
	}
	isFirst = f.confirmedAt == 0
	const minConfirmedAt = 1 // nanosecond; 0 means that no quorum has confirmed the copy
	f.confirmedAt = max(f.confirmedAt, time.Since(f.startedAt)-heartbeat.Age, minConfirmedAt)
	return true, isFirst
}

// hasHeartbeat reports whether a heartbeat has arrived since Open. Only the goroutine of run may call it.
func (f *Follower) hasHeartbeat() bool {
	select {
	case <-f.firstHeartbeat:
		return true
	default:
		return false
	}
}
