package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"birchmoor/internal/lease"
	"birchmoor/internal/tasks"
)

const (
	locksMost = 256 // held or waited for through the socket at once
	lockBeat  = time.Second
)

// Order is an operator's word on a task.
type Order struct {
	Task string `json:"task"`
	lease.Order
}

// LockLine is one of those that a lock's holder is sent: at each change, and every second, so that one who is gone is found.
type LockLine struct {
	Before *int   `json:"before,omitempty"` // it waits, and so many are to go before it; -1: it has no place yet
	Why    string `json:"why,omitempty"`    // it waits for, or is to end
	Token  uint64 `json:"token,omitempty"`  // it holds
	Until  int64  `json:"until,omitempty"`  // and may act up to then, by the host's boot clock in nanoseconds
	Over   bool   `json:"over,omitempty"`   // it is to end now, at Until at the latest
}

func (s *Server) listTasks(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	name := r.URL.Query().Get("task")
	all, err := s.Tasks.List(ctx, name)
	if err == nil && name != "" && len(all) == 0 {
		err = fmt.Errorf("%s: %w", name, tasks.ErrNoTask)
	}
	return all, err
}

func (s *Server) orderTask(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var o Order
	if err := decode(w, r, &o); err != nil {
		return nil, err
	}
	if err := s.Tasks.Tell(ctx, o.Task, o.Order); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

// lock holds a task for as long as the connection lasts.
func (s *Server) lock(w http.ResponseWriter, r *http.Request) {
	select {
	case s.locks <- struct{}{}:
		defer func() { <-s.locks }()
	default:
		fail(w, fmt.Errorf("%d locks are held or waited for at this daemon already", locksMost))
		return
	}
	q := r.URL.Query()
	slots, err := number(q, "slots")
	ttl, bad := time.ParseDuration(q.Get("ttl"))
	if err != nil || bad != nil {
		fail(w, fmt.Errorf("%w: slots %q, ttl %q", errBad, q.Get("slots"), q.Get("ttl")))
		return
	}
	want := tasks.Want{Task: q.Get("task"), Slots: int(min(slots, lease.SlotsMost+1)), TTL: ttl, Note: q.Get("note")}
	enc, c := json.NewEncoder(w), http.NewResponseController(w)
	lines := make(chan LockLine, 1)
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	type got struct {
		h   *tasks.Hold
		err error
	}
	done := make(chan got, 1)
	go func() {
		h, err := s.Tasks.Acquire(ctx, want, func(before int, why error) {
			l := LockLine{Before: &before}
			if why != nil {
				l.Why = why.Error()
			}
			select { // the newest counts
			case <-lines:
			default:
			}
			lines <- l
		})
		done <- got{h, err}
	}()
	send := func(l LockLine) bool {
		_ = c.SetWriteDeadline(time.Now().Add(lockBeat))
		return enc.Encode(l) == nil && c.Flush() == nil
	}
	beat := time.NewTicker(lockBeat)
	defer beat.Stop()
	var h *tasks.Hold
	for wait := (LockLine{}); h == nil; {
		select {
		case wait = <-lines:
		case <-beat.C:
		case x := <-done:
			if x.err != nil {
				if r.Context().Err() == nil {
					_ = send(LockLine{Over: true, Why: x.err.Error()})
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
	defer h.Release()
	for told := int64(0); ; {
		until := h.Until()
		if h.Context().Err() != nil {
			_ = send(LockLine{Over: true, Why: context.Cause(h.Context()).Error(), Until: told})
			t := time.NewTimer(time.Duration(told - tasks.Boottime()))
			defer t.Stop()
			select { // the holder ends what it does, and then the connection
			case <-r.Context().Done():
			case <-t.C:
			}
			return
		}
		if until != told {
			told = until
			if !send(LockLine{Token: h.Token(), Until: until}) {
				return
			}
		}
		select {
		case <-h.Renewed(told):
		case <-r.Context().Done():
			return
		}
	}
}

// Tasks lists all tasks, or those of a name.
func (c *Client) Tasks(ctx context.Context, name string) (all []tasks.Info, err error) {
	return all, c.call(ctx, "GET", "/v1/tasks", url.Values{"task": {name}}, nil, &all)
}

// OrderTask puts an operator's order on a task.
func (c *Client) OrderTask(ctx context.Context, o Order) error {
	return c.call(ctx, "POST", "/v1/task", nil, o, &struct{}{})
}

// Lock waits for a task and holds it until ctx ends, f fails or the daemon says that it is over; f is told of each change.
func (c *Client) Lock(ctx context.Context, w tasks.Want, f func(LockLine) error) error {
	q := url.Values{"task": {w.Task}, "slots": {strconv.Itoa(w.Slots)}, "ttl": {w.TTL.String()}, "note": {w.Note}}
	a, err := c.do(ctx, "GET", "/v1/lock", q, nil)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	for d := json.NewDecoder(a.Body); ; {
		var l LockLine
		if err := d.Decode(&l); err != nil {
			return err
		}
		if err := f(l); err != nil {
			return err
		}
	}
}
