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
	maxLocks      = 256         // locks that clients of the socket hold or wait for
	lockHeartbeat = time.Second // interval of statuses to a waiting client, and timeout for sending one
)

// LockStatus is sent to the client of a lock at each change. While the client waits for the lock, the status is also
// sent every lockHeartbeat, so that the daemon notices a client that has disconnected.
type LockStatus struct {
	// while waiting: number of queue entries ahead; -1: there is no entry yet
	Position   *int   `json:"before,omitempty"`
	Reason     string `json:"why,omitempty"`   // why the client waits, or why the lock has ended
	Token      uint64 `json:"token,omitempty"` // while held: the fencing token
	ValidUntil int64  `json:"until,omitempty"` // while held: end of the lease in nanoseconds of the host's boot clock
	// the client must stop its work at once, and by ValidUntil at the latest
	Ended bool `json:"over,omitempty"`
}

// lockTable limits the number of locks of the socket and tracks those that are held. It is safe for concurrent use.
type lockTable struct {
	slots       chan struct{}
	unlockFuncs *sync.Map // lockKey of each held lock -> func() that marks it as unlocked by its client
}

// lockKey identifies a held lock by its task and fencing token.
type lockKey struct {
	task  string
	token uint64
}

func newLockTable() lockTable {
	return lockTable{slots: make(chan struct{}, maxLocks), unlockFuncs: &sync.Map{}}
}

// acquireSlot takes one of maxLocks slots. It returns false if all are in use; otherwise the caller must call release.
func (t *lockTable) acquireSlot() (release func(), ok bool) {
	select {
	case t.slots <- struct{}{}:
		return func() { <-t.slots }, true
	default:
		return nil, false
	}
}

// add registers a held lock. It returns a channel that is closed when the client unlocks the lock.
func (t *lockTable) add(key lockKey) (unlocked <-chan struct{}) {
	unlockedChan := make(chan struct{})
	t.unlockFuncs.Store(key, sync.OnceFunc(func() { close(unlockedChan) }))
	return unlockedChan
}

// remove removes a lock that add registered.
func (t *lockTable) remove(key lockKey) { t.unlockFuncs.Delete(key) }

// unlock marks a lock as unlocked by its client, if it is held.
func (t *lockTable) unlock(key lockKey) {
	if unlock, ok := t.unlockFuncs.Load(key); ok {
		unlock.(func())()
	}
}

// lockStream sends the status of a lock to its client, as lines of JSON.
type lockStream struct {
	encoder    *json.Encoder
	controller *http.ResponseController
}

func newLockStream(w http.ResponseWriter) *lockStream {
	return &lockStream{encoder: json.NewEncoder(w), controller: http.NewResponseController(w)}
}

// send sends a status and reports whether this succeeded within lockHeartbeat.
func (s *lockStream) send(status LockStatus) bool {
	// If the connection does not support deadlines, writing to a client that has disconnected fails later.
	_ = s.controller.SetWriteDeadline(time.Now().Add(lockHeartbeat))
	return s.encoder.Encode(status) == nil && s.controller.Flush() == nil
}

// lock acquires a task for a client and holds it until the client disconnects or unlocks it, or the lease ends.
func (s *server) lock(w http.ResponseWriter, r *http.Request) {
	releaseSlot, ok := s.locks.acquireSlot()
	if !ok {
		admin.WriteError(w, fmt.Errorf("clients already hold or wait for the maximum of %d locks at this daemon",
			maxLocks))
		return
	}
	defer releaseSlot()
	claim, err := parseClaim(r.URL.Query())
	if err != nil {
		admin.WriteError(w, err)
		return
	}
	stream := newLockStream(w)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	acquired := s.acquireLock(ctx, cancel, stream, claim)
	if acquired == nil {
		return
	}
	defer acquired.Release()
	s.holdLock(r.Context(), stream, acquired)
}

// parseClaim parses the query of a request for a lock. Other limits of a claim are checked when it is acquired.
func parseClaim(query url.Values) (leasetask.Claim, error) {
	slots, slotsErr := admin.ParseNumber(query, "slots")
	ttl, ttlErr := time.ParseDuration(query.Get("ttl"))
	if slotsErr != nil || ttlErr != nil {
		return leasetask.Claim{}, fmt.Errorf("%w: cannot parse slots %q or ttl %q",
			admin.ErrBadRequest, query.Get("slots"), query.Get("ttl"))
	}
	return leasetask.Claim{
		Task:  query.Get("task"),
		Slots: int(min(slots, lease.MaxSlots+1)), // MaxSlots+1 makes the claim invalid and fits an int
		TTL:   ttl,
		Note:  query.Get("note"),
	}, nil
}

// acquireLock waits for the lease of a task and sends the client its status meanwhile. It returns nil if the client has
// disconnected, or if the acquisition failed, which it reports to the client. cancel must cancel ctx, with which
// acquireLock stops the acquisition if the client disconnects.
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
		acquired, err := s.Tasks.Acquire(ctx, claim, func(ahead int, reason error) {
			replaceLatest(statuses, waitingStatus(ahead, reason))
		})
		results <- result{lease: acquired, err: err}
	}()
	heartbeat := time.NewTicker(lockHeartbeat)
	defer heartbeat.Stop()
	var latest LockStatus
	for {
		select {
		case latest = <-statuses:
		case <-heartbeat.C:
		case acquisition := <-results:
			if acquisition.err != nil && ctx.Err() == nil {
				stream.send(LockStatus{Ended: true, Reason: acquisition.err.Error()})
			}
			return acquisition.lease
		}
		if stream.send(latest) {
			continue
		}
		cancel()
		if acquisition := <-results; acquisition.lease != nil {
			acquisition.lease.Release()
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

// replaceLatest sends a status to a channel of capacity 1, and replaces one that was not received yet. It does not
// block if there is only one sender.
func replaceLatest(statuses chan LockStatus, status LockStatus) {
	select {
	case <-statuses:
	default:
	}
	statuses <- status
}

// holdLock sends the client the status of its lease until the lease ends, the client disconnects or it unlocks. Before
// it returns, it waits until the client unlocks or the last ValidUntil that it sent has passed, because until then the
// client's command may still be running, even if the client has disconnected or this daemon is stopping.
func (s *server) holdLock(ctx context.Context, stream *lockStream, held *leasetask.Lease) {
	key := lockKey{task: held.Task(), token: held.Token()}
	unlocked := s.locks.add(key)
	sentUntil := int64(0)
	defer held.TrackAction()()
	defer func() {
		s.waitUntil(sentUntil, unlocked)
		s.locks.remove(key)
	}()
	for {
		validUntil := held.ValidUntil()
		if held.Context().Err() != nil {
			reason := context.Cause(held.Context()).Error()
			stream.send(LockStatus{Ended: true, Reason: reason, ValidUntil: sentUntil})
			return
		}
		if validUntil != sentUntil {
			sentUntil = validUntil
			if !stream.send(LockStatus{Token: held.Token(), ValidUntil: validUntil}) {
				return
			}
		}
		select {
		case <-held.Renewed(sentUntil):
		case <-unlocked:
			return
		case <-ctx.Done():
			return
		}
	}
}

// waitUntil waits until the boot clock reaches a time in nanoseconds, or until the client unlocks.
func (s *server) waitUntil(bootNanos int64, unlocked <-chan struct{}) {
	timer := time.NewTimer(s.Clock.TimerDuration(bootNanos - s.Clock.Now()))
	defer timer.Stop()
	select {
	case <-unlocked:
	case <-timer.C:
	}
}

func (s *server) unlock(_ context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	query := r.URL.Query()
	token, err := admin.ParseNumber(query, "token")
	if err != nil {
		return nil, err
	}
	s.locks.unlock(lockKey{task: query.Get("task"), token: token})
	return struct{}{}, nil
}
