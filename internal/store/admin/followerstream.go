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
	progressInterval  = 250 * time.Millisecond // between two lines that say that nothing of the interest changed
	maxCatchUpEvents  = 4096                   // that the replica's event loop looks at in one go
)

// stream sends changes after a revision, and heartbeats, for as long as the connection lasts.
func (s *FollowerServer) stream(w http.ResponseWriter, r *http.Request) {
	select {
	case s.streamSlots <- struct{}{}:
		defer func() { <-s.streamSlots }()
	default:
		WriteError(w, fmt.Errorf("%d followers are connected already", maxFollowers))
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
		sender:       sender,
		ages:         s.cfg.SnapshotAges(),
		sentSizes:    map[string]store.PrefixSize{},
	}
	stream.run(r.Context())
}

// followerStream is the connection of one follower. Its methods that send report whether the connection can go
// on: a follower that is cut off connects again from where it is.
type followerStream struct {
	server       *FollowerServer
	interest     *store.Interest // nil: all keys
	sizePrefixes []string
	response     http.ResponseWriter
	controller   *http.ResponseController
	sender       *changefeed.Sender
	ages         map[string]time.Duration // to be sent with the next heartbeat
	sentSizes    map[string]store.PrefixSize
}

func (s *followerStream) run(ctx context.Context) {
	// The first heartbeat names the cluster, before any change of it.
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
		case <-s.sender.Ready():
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

// catchUp sends what changed between the follower's revision and the beginning of its stream.
func (s *followerStream) catchUp(ctx context.Context) bool {
	for done := false; !done; {
		var batches []changefeed.Batch
		var historyErr error
		_, err := s.server.engine.View(ctx, true, func(state *store.State) {
			batches, done, historyErr = s.sender.CatchUp(state, maxCatchUpEvents)
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

// sendPending sends the changes that wait. With progress set it also says up to where they are complete if
// there are none.
func (s *followerStream) sendPending(progress bool) bool {
	batches, through, closed := s.sender.Take(progress)
	if closed || !s.sendBatches(batches, through) {
		return false
	}
	if s.interest == nil || len(batches) > 0 || through == 0 {
		return true
	}
	return s.sendLine(StreamLine{Through: through})
}

// sendBatches sends what some revisions changed. through, unless it is 0, goes with the last of them.
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

// sendEvents sends the changes of a batch by a line each. The line is a StreamLine; its event is encoded once
// for all streams.
func (s *followerStream) sendEvents(batch changefeed.Batch) bool {
	for _, change := range batch.Changes {
		line := slices.Concat([]byte(`{"event":`), change.JSON(), []byte("}"))
		if !s.writeLine(s.purposeOf(change), line) {
			return false
		}
	}
	return true
}

// sendBatch sends the changes of a batch by one line. The line is a StreamLine; its events are encoded once for
// all streams.
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
	return s.writeLine(s.purposeOf(batch.Changes[0]), line)
}

func (s *followerStream) purposeOf(change *changefeed.Change) usage.Purpose {
	return s.server.cfg.Usage.KeyPurpose(change.Item.Key)
}

// sendHeartbeat says how this replica stands. Unless it is the first, it does so behind all changes up to there.
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
	heartbeat.Revision, heartbeat.Confirmed = s.sender.ConfirmedRevision(age.Revision, age.Confirmed)
	heartbeat.Age = age.Age
	heartbeat.Ages = s.takeAges()
	return s.sendLine(StreamLine{Heartbeat: &heartbeat}) && s.controller.Flush() == nil
}

// changedSizes returns the sizes of prefixes that differ from those that were sent, or nil, and counts them as
// sent.
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

// takeAges returns the ages of module snapshots of interest, once.
func (s *followerStream) takeAges() []KeyAge {
	var ages []KeyAge
	for key, age := range s.ages {
		if s.interest == nil || s.interest.Covers(key) {
			ages = append(ages, KeyAge{Key: key, Age: age})
		}
	}
	s.ages = nil
	return ages
}

func (s *followerStream) sendLine(line StreamLine) bool {
	encoded, err := json.Marshal(line)
	return err == nil && s.writeLine(usage.Heartbeats, encoded)
}

// writeLine writes a line that counts for a purpose.
func (s *followerStream) writeLine(purpose usage.Purpose, line []byte) bool {
	setPurpose(s.response, purpose)
	_ = s.controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
	_, err := s.response.Write(append(line, '\n'))
	return err == nil
}
