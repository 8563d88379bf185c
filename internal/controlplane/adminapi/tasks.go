package adminapi

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
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

// OverrideRequest is an operator's word on a task.
type OverrideRequest struct {
	Task string `json:"task"`
	lease.TaskOverride
}

// LockStatus is one of those that a lock's holder is sent: at each change, and every second, so that one who is gone is found.
type LockStatus struct {
	Position   *int   `json:"before,omitempty"` // it waits, and so many are to go before it; -1: it has no place yet
	Reason     string `json:"why,omitempty"`    // it waits for, or is to end
	Token      uint64 `json:"token,omitempty"`  // it holds
	ValidUntil int64  `json:"until,omitempty"`  // and may act up to then, by the host's boot clock in nanoseconds
	Ended      bool   `json:"over,omitempty"`   // it is to end now, at Until at the latest
}

func (s *server) listTasks(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	name := r.URL.Query().Get("task")
	all, err := s.Tasks.List(ctx, name)
	if err == nil && name != "" && len(all) == 0 {
		err = admin.Missing(fmt.Errorf("%s: %w", name, leasetask.ErrTaskNotFound))
	}
	return all, err
}

func (s *server) overrideTask(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var o OverrideRequest
	if err := admin.Decode(w, r, &o); err != nil {
		return nil, err
	}
	if err := s.Tasks.SetOverride(ctx, o.Task, o.TaskOverride); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

// lock holds a task for as long as the connection lasts.
func (s *server) lock(w http.ResponseWriter, r *http.Request) {
	select {
	case s.lockSlots <- struct{}{}:
		defer func() { <-s.lockSlots }()
	default:
		admin.Fail(w, fmt.Errorf("%d locks are held or waited for at this daemon already", maxLocks))
		return
	}
	q := r.URL.Query()
	slots, err := admin.Number(q, "slots")
	ttl, bad := time.ParseDuration(q.Get("ttl"))
	if err != nil || bad != nil {
		admin.Fail(w, fmt.Errorf("%w: slots %q, ttl %q", admin.ErrBad, q.Get("slots"), q.Get("ttl")))
		return
	}
	want := leasetask.Claim{Task: q.Get("task"), Slots: int(min(slots, lease.MaxSlots+1)), TTL: ttl, Note: q.Get("note")}
	enc, c := json.NewEncoder(w), http.NewResponseController(w)
	lines := make(chan LockStatus, 1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	type got struct {
		h   *leasetask.Lease
		err error
	}
	done := make(chan got, 1)
	go func() {
		h, err := s.Tasks.Acquire(ctx, want, func(before int, why error) {
			l := LockStatus{Position: &before}
			if why != nil {
				l.Reason = why.Error()
			}
			select { // the newest counts
			case <-lines:
			default:
			}
			lines <- l
		})
		done <- got{h, err}
	}()
	send := func(l LockStatus) bool {
		_ = c.SetWriteDeadline(time.Now().Add(lockHeartbeat))
		return enc.Encode(l) == nil && c.Flush() == nil
	}
	beat := time.NewTicker(lockHeartbeat)
	defer beat.Stop()
	var h *leasetask.Lease
	for wait := (LockStatus{}); h == nil; {
		select {
		case wait = <-lines:
		case <-beat.C:
		case x := <-done:
			if x.err != nil {
				if r.Context().Err() == nil {
					_ = send(LockStatus{Ended: true, Reason: x.err.Error()})
				}
				return
			}
			h = x.h
			continue
		}
		if !send(wait) {
			cancel()
			if x := <-done; x.h != nil {
				x.h.Release()
			}
			return
		}
	}
	// Until the client says that its command has ended, or its time as it was told is up, the command may be at it: also when the
	// connection is gone, and when this daemon ends.
	told := int64(0)
	ended := s.expectUnlock(want.Task, h.Token())
	defer h.Release()
	defer h.TrackAction()()
	defer func() {
		t := time.NewTimer(s.Clock.Span(told - s.Clock.Now()))
		defer t.Stop()
		select {
		case <-ended:
		case <-t.C:
		}
		s.heldLocks.Delete(lockKey{want.Task, h.Token()})
	}()
	for {
		until := h.ValidUntil()
		if h.Context().Err() != nil {
			_ = send(LockStatus{Ended: true, Reason: context.Cause(h.Context()).Error(), ValidUntil: told})
			return
		}
		if until != told {
			told = until
			if !send(LockStatus{Token: h.Token(), ValidUntil: until}) {
				return
			}
		}
		select {
		case <-h.Renewed(told):
		case <-ended:
			return
		case <-r.Context().Done():
			return
		}
	}
}

// lockKey names a lock that is held through the socket.
type lockKey struct {
	task  string
	token uint64
}

// expectUnlock is closed once the client says that what it did under a lock has ended.
func (s *server) expectUnlock(task string, token uint64) <-chan struct{} {
	ended := make(chan struct{})
	s.heldLocks.Store(lockKey{task, token}, sync.OnceFunc(func() { close(ended) }))
	return ended
}

func (s *server) unlock(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	token, err := admin.Number(r.URL.Query(), "token")
	if err != nil {
		return nil, err
	}
	if end, ok := s.heldLocks.Load(lockKey{r.URL.Query().Get("task"), token}); ok {
		end.(func())()
	}
	return struct{}{}, nil
}

// Unlock says that what was done under a lock has ended. Without it the daemon waits for the time that it last told.
func (c *Client) Unlock(ctx context.Context, task string, token uint64) error {
	return c.Call(ctx, "POST", "/v1/unlock", url.Values{"task": {task}, "token": {strconv.FormatUint(token, 10)}}, nil, &struct{}{})
}

// Tasks lists all tasks, or those of a name.
func (c *Client) Tasks(ctx context.Context, name string) (all []leasetask.TaskStatus, err error) {
	return all, c.Call(ctx, "GET", "/v1/tasks", url.Values{"task": {name}}, nil, &all)
}

// OverrideTask puts an operator's order on a task.
func (c *Client) OverrideTask(ctx context.Context, o OverrideRequest) error {
	return c.Call(ctx, "POST", "/v1/task", nil, o, &struct{}{})
}

// Lock waits for a task and holds it until ctx ends, f fails or the daemon says that it is over; f is told of each change.
func (c *Client) Lock(ctx context.Context, w leasetask.Claim, f func(LockStatus) error) error {
	q := url.Values{"task": {w.Task}, "slots": {strconv.Itoa(w.Slots)}, "ttl": {w.TTL.String()}, "note": {w.Note}}
	a, err := c.Do(ctx, "GET", "/v1/lock", q, nil)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	for d := json.NewDecoder(a.Body); ; {
		var l LockStatus
		if err := d.Decode(&l); err != nil {
			return err
		}
		if err := f(l); err != nil {
			return err
		}
	}
}
