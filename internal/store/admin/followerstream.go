package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"slices"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/usage"
)

const (
	heartbeatInterval = time.Second
	progressInterval  = 250 * time.Millisecond // between lines that report progress without changes
	maxCatchUpEvents  = 4096                   // of the history that the replica's loop examines in one call
)

// stream sends the changes after a revision, and heartbeats, until the follower disconnects.
func (s *FollowerServer) stream(w http.ResponseWriter, r *http.Request) {
	select {
	case s.streamSlots <- struct{}{}:
		defer func() { <-s.streamSlots }()
	default:
		WriteError(w, fmt.Errorf("the maximum of %d followers is already connected", maxFollowers))
		return
	}
	query := r.URL.Query()
	after, afterErr := ParseNumber(query, afterParam)
	interest, interestErr := parseInterest(query)
	sizePrefixes, prefixesErr := parseSizePrefixes(query)
	if err := errors.Join(afterErr, interestErr, prefixesErr); err != nil {
		WriteError(w, err)
		return
	}
	if interest != nil {
		w.Header().Set(ScopedHeader, "1")
	}
	sender := s.feed.NewSender(interest, after)
	defer s.feed.Unsubscribe(sender.Stream)
	stream := &followerStream{
		server:       s,
		interest:     interest,
		sizePrefixes: sizePrefixes,
		response:     w,
		controller:   http.NewResponseController(w),
		feedSender:   sender,
		unsentAges:   s.cfg.SnapshotAges(),
		sentSizes:    map[string]store.PrefixSize{},
	}
	stream.run(r.Context())
}

// followerStream is the stream of one follower. Its methods that send return false if the connection has to end. The
// follower then reconnects and continues from its revision.
type followerStream struct {
	server       *FollowerServer
	interest     *store.Interest // nil: all keys
	sizePrefixes []string
	response     http.ResponseWriter
	controller   *http.ResponseController
	feedSender   *changefeed.Sender
	unsentAges   map[string]time.Duration    // of module snapshots, by key; nil once they were sent
	sentSizes    map[string]store.PrefixSize // last sent sizes, by prefix
}

func (s *followerStream) run(ctx context.Context) {
	// The first heartbeat names the cluster before the first change is sent.
	if !s.sendHeartbeat(ctx, false) || !s.catchUp(ctx) || !s.sendHeartbeat(ctx, true) {
		return
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	progress := time.NewTicker(progressInterval)
	defer progress.Stop()
	if s.interest == nil {
		progress.Stop()
	}
	for {
		var sent bool
		select {
		case <-ctx.Done():
			return
		case <-s.feedSender.Ready():
			sent = s.sendPending(false)
		case <-progress.C:
			sent = s.sendPending(true)
		case <-heartbeat.C:
			sent = s.sendHeartbeat(ctx, true)
		}
		if !sent || s.controller.Flush() != nil {
			return
		}
	}
}

// catchUp sends the changes between the follower's revision and the start of its stream in the feed.
func (s *followerStream) catchUp(ctx context.Context) bool {
	for done := false; !done; {
		var batches []changefeed.Batch
		var historyErr error
		_, err := s.server.engine.View(ctx, true, func(state *store.State) {
			batches, done, historyErr = s.feedSender.CatchUp(state, maxCatchUpEvents)
		})
		if err != nil {
			return false
		}
		if oldest := oldestRevision(historyErr); oldest > 0 {
			s.sendLine(StreamLine{Error: &ErrorBody{Error: historyErr.Error(), OldestRevision: oldest}})
		}
		if historyErr != nil || !s.sendBatches(batches, 0) {
			return false
		}
	}
	return true
}

// sendPending sends the pending changes. If there are none and progress is set, it sends the revision up to which all
// changes were sent.
func (s *followerStream) sendPending(progress bool) bool {
	batches, through, closed := s.feedSender.Take(progress)
	if closed || !s.sendBatches(batches, through) {
		return false
	}
	if s.interest == nil || len(batches) > 0 || through == 0 {
		return true
	}
	return s.sendLine(StreamLine{Through: through})
}

// sendBatches sends the changes of several revisions. Unless through is 0, it is sent with the last of them.
func (s *followerStream) sendBatches(batches []changefeed.Batch, through uint64) bool {
	for i, batch := range batches {
		isLast := i == len(batches)-1
		switch {
		case s.interest == nil:
			if !s.sendEvents(batch) {
				return false
			}
		case isLast:
			if !s.sendBatch(batch, through) {
				return false
			}
		default:
			if !s.sendBatch(batch, 0) {
				return false
			}
		}
	}
	return true
}

// sendEvents sends each change of a batch as a StreamLine of its own. The lines are assembled from the encoded events,
// which all streams share.
func (s *followerStream) sendEvents(batch changefeed.Batch) bool {
	for _, change := range batch.Changes {
		line := slices.Concat([]byte(`{"event":`), change.JSON(), []byte("}"))
		if !s.writeLine(s.keyPurpose(change), line) {
			return false
		}
	}
	return true
}

// sendBatch sends all changes of a batch as one StreamLine. The line is assembled from the encoded events, which all
// streams share.
func (s *followerStream) sendBatch(batch changefeed.Batch, through uint64) bool {
	line := []byte(`{"events":[`)
	for i, change := range batch.Changes {
		if i > 0 {
			line = append(line, ',')
		}
		line = append(line, change.JSON()...)
	}
	line = append(line, ']')
	if through > 0 {
		line = fmt.Appendf(line, `,"through":%d`, through)
	}
	line = append(line, '}')
	return s.writeLine(s.keyPurpose(batch.Changes[0]), line)
}

func (s *followerStream) keyPurpose(change *changefeed.Change) usage.Purpose {
	return s.server.cfg.Usage.KeyPurpose(change.Item.Key)
}

// sendHeartbeat sends a heartbeat with the state of this replica. If caughtUp is set, it first sends all changes up to
// the heartbeat's revision.
func (s *followerStream) sendHeartbeat(ctx context.Context, caughtUp bool) bool {
	var heartbeat Heartbeat
	age, err := s.server.engine.View(ctx, true, func(state *store.State) { heartbeat.Cluster = state.Cluster() })
	if err != nil {
		return false
	}
	if caughtUp {
		s.server.awaitFeed(ctx, age.Revision)
		if !s.sendPending(true) {
			return false
		}
		heartbeat.PrefixSizes, err = s.changedSizes(ctx)
		if err != nil {
			return false
		}
	}
	heartbeat.Revision, heartbeat.Confirmed = s.feedSender.ConfirmedRevision(age.Revision, age.Confirmed)
	heartbeat.Age = age.Age
	heartbeat.Ages = s.takeAges()
	return s.sendLine(StreamLine{Heartbeat: &heartbeat}) && s.controller.Flush() == nil
}

// changedSizes returns the sizes of the prefixes whose size differs from the one sent last, or nil if there are none,
// and records them as sent.
func (s *followerStream) changedSizes(ctx context.Context) (map[string]store.PrefixSize, error) {
	var changed map[string]store.PrefixSize
	for _, prefix := range s.sizePrefixes {
		size, err := s.server.prefixSize(ctx, prefix)
		if err != nil {
			return nil, err
		}
		if sent, ok := s.sentSizes[prefix]; ok && sent == size {
			continue
		}
		if changed == nil {
			changed = map[string]store.PrefixSize{}
		}
		s.sentSizes[prefix] = size
		changed[prefix] = size
	}
	return changed, nil
}

// takeAges returns the ages of the module snapshots that the interest covers on its first call, and nil on later calls.
func (s *followerStream) takeAges() []KeyAge {
	var ages []KeyAge
	for key, age := range s.unsentAges {
		if s.interest == nil || s.interest.Covers(key) {
			ages = append(ages, KeyAge{Key: key, Age: age})
		}
	}
	s.unsentAges = nil
	return ages
}

func (s *followerStream) sendLine(line StreamLine) bool {
	encoded, err := json.Marshal(line)
	return err == nil && s.writeLine(usage.Heartbeats, encoded)
}

// writeLine writes a line and counts it for a purpose.
func (s *followerStream) writeLine(purpose usage.Purpose, line []byte) bool {
	setPurpose(s.response, purpose)
	_ = s.controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	_, err := s.response.Write(append(line, '\n'))
	return err == nil
}
