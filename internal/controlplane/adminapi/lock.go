package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"sync"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/store/admin"
)

const (
	maxLocks      = 256 // held or waited for through the socket at once
	lockHeartbeat = time.Second
)

// LockStatus is sent to the client of a lock at each change. While it waits it is also sent each second, so that a
// client that is gone is noticed.
type LockStatus struct {
	Position   *int   `json:"before,omitempty"` // waiting: queue entries ahead; -1: there is no entry yet
	Reason     string `json:"why,omitempty"`    // for waiting, or for the end
	Token      uint64 `json:"token,omitempty"`  // held
	ValidUntil int64  `json:"until,omitempty"`  // held: in nanoseconds of the host's boot clock
	Ended      bool   `json:"over,omitempty"`   // the client must end now, at ValidUntil at the latest
}

// lockTable counts the locks of the socket and knows those that are held.
type lockTable struct {
	slots chan struct{}
	held  *sync.Map // of lockKey: a func() that reports that the client has unlocked
}

// lockKey identifies a held lock.
type lockKey struct {
	task  string
	token uint64
}

func newLockTable() lockTable {
	return lockTable{slots: make(chan struct{}, maxLocks), held: &sync.Map{}}
}

// begin takes one of the slots, unless all are in use.
func (t *lockTable) begin() (end func(), ok bool) {
	select {
	case t.slots <- struct{}{}:
		return func() { <-t.slots }, true
	default:
		return nil, false
	}
}

// add registers a held lock. The channel is closed once the client has unlocked it.
func (t *lockTable) add(key lockKey) (unlocked <-chan struct{}) {
	done := make(chan struct{})
	t.held.Store(key, sync.OnceFunc(func() { close(done) }))
	return done
}

// remove forgets a lock.
func (t *lockTable) remove(key lockKey) { t.held.Delete(key) }

// unlock marks a lock as unlocked by its client, if it is held.
func (t *lockTable) unlock(key lockKey) {
	if unlock, ok := t.held.Load(key); ok {
		unlock.(func())()
	}
}

// lockStream sends a lock's status to its client.
type lockStream struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func newLockStream(w http.ResponseWriter) *lockStream {
	return &lockStream{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
}

// send reports whether the client has taken a status in time.
func (s *lockStream) send(status LockStatus) bool {
	// Without support for deadlines a write to a client that is gone fails later.
	_ = s.controller.SetWriteDeadline(time.Now().Add(lockHeartbeat))
	return s.encoder.Encode(status) == nil && s.controller.Flush() == nil
}

// lock holds a task for as long as the connection lasts.
func (s *server) lock(w http.ResponseWriter, r *http.Request) {
	end, ok := s.locks.begin()
	if !ok {
		admin.WriteError(w, fmt.Errorf("%d locks are held or waited for at this daemon already", maxLocks))
		return
	}
	defer end()
	claim, err := parseClaim(r.URL.Query())
	if err != nil {
		admin.WriteError(w, err)
		return
	}
	stream := newLockStream(w)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	l := s.acquireLock(ctx, cancel, stream, claim)
	if l == nil {
		return
	}
	defer l.Release()
	s.holdLock(r.Context(), stream, l)
}

func parseClaim(q url.Values) (leasetask.Claim, error) {
	slots, slotsErr := admin.ParseNumber(q, "slots")
	ttl, ttlErr := time.ParseDuration(q.Get("ttl"))
	if slotsErr != nil || ttlErr != nil {
		return leasetask.Claim{}, fmt.Errorf("%w: slots %q, ttl %q", admin.ErrBadRequest, q.Get("slots"), q.Get("ttl"))
	}
	return leasetask.Claim{
		Task:  q.Get("task"),
		Slots: int(min(slots, lease.MaxSlots+1)), // one too many is rejected with the claim
		TTL:   ttl,
		Note:  q.Get("note"),
	}, nil
}

// acquireLock waits for a task and keeps the client informed. It returns nil if the client is gone, or was sent why the
// task cannot be had. cancel ends ctx, which the lease needs, too.
func (s *server) acquireLock(
	ctx context.Context, cancel context.CancelFunc, stream *lockStream, claim leasetask.Claim,
) *leasetask.Lease {
	type result struct {
		lease *leasetask.Lease
		err   error
	}
	statuses := make(chan LockStatus, 1)
	results := make(chan result, 1)
	go func() {
		l, err := s.Tasks.Acquire(ctx, claim, func(ahead int, reason error) {
			replaceLatest(statuses, waitingStatus(ahead, reason))
		})
		results <- result{lease: l, err: err}
	}()
	heartbeat := time.NewTicker(lockHeartbeat)
	defer heartbeat.Stop()
	var latest LockStatus
	for {
		select {
		case latest = <-statuses:
		case <-heartbeat.C:
		case res := <-results:
			if res.err != nil && ctx.Err() == nil {
				stream.send(LockStatus{Ended: true, Reason: res.err.Error()})
			}
			return res.lease
		}
		if stream.send(latest) {
			continue
		}
		cancel()
		if res := <-results; res.lease != nil {
			res.lease.Release()
		}
		return nil
	}
}

func waitingStatus(ahead int, reason error) LockStatus {
	status := LockStatus{Position: &ahead}
	if reason != nil {
		status.Reason = reason.Error()
	}
	return status
}

// replaceLatest puts a status in a channel of capacity one, in the place of one that was not received yet.
func replaceLatest(statuses chan LockStatus, status LockStatus) {
	select {
	case <-statuses:
	default:
	}
	statuses <- status
}

// holdLock keeps the client informed until its lock ends. Until the client has unlocked, or the time is up that it was
// last sent, its command may still be running: also when the connection is gone, and when this daemon ends.
func (s *server) holdLock(ctx context.Context, stream *lockStream, l *leasetask.Lease) {
	key := lockKey{task: l.Task(), token: l.Token()}
	unlocked := s.locks.add(key)
	sentUntil := int64(0)
	defer l.TrackAction()()
	defer func() {
		s.waitUntil(sentUntil, unlocked)
		s.locks.remove(key)
	}()
	for {
		validUntil := l.ValidUntil()
		if l.Context().Err() != nil {
			reason := context.Cause(l.Context()).Error()
			stream.send(LockStatus{Ended: true, Reason: reason, ValidUntil: sentUntil})
			return
		}
		if validUntil != sentUntil {
			sentUntil = validUntil
			if !stream.send(LockStatus{Token: l.Token(), ValidUntil: validUntil}) {
				return
			}
		}
		select {
		case <-l.Renewed(sentUntil):
		case <-unlocked:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waitUntil waits for an instant of the boot clock, or until the client has unlocked.
func (s *server) waitUntil(instant int64, unlocked <-chan struct{}) {
	timer := time.NewTimer(s.Clock.TimerDuration(instant - s.Clock.Now()))
	defer timer.Stop()
	select {
	case <-unlocked:
	case <-timer.C:
	}
}

func (s *server) unlock(_ context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	token, err := admin.ParseNumber(q, "token")
	if err != nil {
		return nil, err
	}
	s.locks.unlock(lockKey{task: q.Get("task"), token: token})
	return struct{}{}, nil
}
