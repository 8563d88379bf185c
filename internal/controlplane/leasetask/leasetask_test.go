package leasetask

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/testutil/processtest"
)

// newRunners are daemons of these names over one copy of the store, each with what a test puts between it and the store.
func newRunners(t *testing.T, names ...string) []*Runner {
	t.Helper()
	quiet := slog.New(slog.DiscardHandler)
	var all []*Runner
	for _, n := range names {
		all = append(all, New(Config{Host: n, Log: quiet}))
	}
	cfg := engine.Config{Name: "a", Dir: t.TempDir(), Tick: 10 * time.Millisecond, Disk: disk.Options{NoSync: true}}
	cfg.Event = func(e store.Event) {
		for _, r := range all {
			r.Event(e)
		}
	}
	cfg.Reset = func(s *store.State) {
		for _, r := range all {
			r.Reset(s)
		}
	}
	e, err := engine.Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, r := range all {
			r.Close()
		}
		e.Kill()
	})
	for _, r := range all {
		r.Attach(daemon.Store(e))
	}
	return all
}

// newClaim is long enough that a busy machine renews it in time.
func newClaim(task string, slots int) Claim {
	return Claim{Task: task, Slots: slots, TTL: 30 * time.Second}
}

func acquire(t *testing.T, r *Runner, w Claim) *Lease {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processtest.Soon)
	defer cancel()
	h, err := r.Acquire(ctx, w, nil)
	if err != nil {
		t.Fatal(err)
	}
	return h
}

// Three hundred wait for one task, on two daemons of one name and one of another: each has it once, one at a time, in the order of
// tokens.
func TestAcquireGrantsInTokenOrderToManyWaiters(t *testing.T) {
	all := newRunners(t, "a", "b", "b")
	var now, most atomic.Int32
	var mu sync.Mutex
	var tokens []uint64
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			h, err := all[i%len(all)].Acquire(t.Context(), newClaim("one", 1), nil)
			if err != nil {
				t.Error(err)
				return
			}
			most.Store(max(most.Load(), now.Add(1)))
			mu.Lock()
			tokens = append(tokens, h.Token())
			mu.Unlock()
			now.Add(-1)
			h.Release()
		})
	}
	wg.Wait()
	if most.Load() != 1 || len(tokens) != 300 {
		t.Errorf("%d had it, %d at once", len(tokens), most.Load())
	}
	for i := 1; i < len(tokens); i++ {
		if tokens[i] <= tokens[i-1] {
			t.Fatalf("token %d after %d", tokens[i], tokens[i-1])
		}
	}
}

// Of three who want one of two permits one waits; who wants another number of them is refused.
func TestAcquireLimitsHoldersToSlots(t *testing.T) {
	all := newRunners(t, "a", "b", "c")
	one, two := acquire(t, all[0], newClaim("restarts", 2)), acquire(t, all[1], newClaim("restarts", 2))
	got := make(chan *Lease, 1)
	waits := make(chan int, 100)
	go func() {
		h, err := all[2].Acquire(t.Context(), newClaim("restarts", 2), func(before int, _ error) { waits <- before })
		if err != nil {
			t.Error(err)
		}
		got <- h
	}()
	for n := range waits {
		if n == 1 { // one has to go before it
			break
		}
	}
	if len(got) != 0 {
		t.Error("three hold two permits")
	}
	if _, err := all[0].Acquire(t.Context(), newClaim("restarts", 3), nil); !errors.Is(err, lease.ErrSlotsMismatch) {
		t.Errorf("another number of slots: %v", err)
	}
	one.Release()
	three := <-got
	for _, h := range []*Lease{two, three} {
		h.Release()
	}
}

// A release waits for the action under way before the next has its turn, and an action that may not end in time is not begun.
func TestReleaseWaitsForRunningAction(t *testing.T) {
	all := newRunners(t, "a", "b")
	h := acquire(t, all[0], newClaim("one", 1))
	begun, end := make(chan struct{}), make(chan struct{})
	var acting atomic.Bool
	done := make(chan error, 1)
	go func() {
		done <- h.Do(t.Context(), 5*time.Second, func(context.Context, uint64) error {
			acting.Store(true)
			close(begun)
			<-end // it does not heed its context
			acting.Store(false)
			return nil
		})
	}()
	<-begun
	next := make(chan *Lease, 1)
	go func() { next <- acquire(t, all[1], newClaim("one", 1)) }()
	go h.Release()
	<-h.Context().Done()
	close(end)
	if h := <-next; acting.Load() {
		t.Error("the next holds it while the action of the one before goes on")
	} else {
		h.Release()
	}
	if err := <-done; err != nil {
		t.Error(err)
	}
	if err := h.Do(t.Context(), time.Second, func(context.Context, uint64) error { return nil }); !errors.Is(err, lease.ErrLost) {
		t.Errorf("an action after the release: %v", err)
	}
	h = acquire(t, all[0], newClaim("one", 1))
	if err := h.Do(t.Context(), 30*time.Second, func(context.Context, uint64) error { return nil }); !errors.Is(err, lease.ErrLeaseTooShort) {
		t.Errorf("an action as long as the lease: %v", err)
	}
	h.Release()
}

// A change of the store by a holder that is one no more does nothing.
func TestTxnHasNoEffectAfterRelease(t *testing.T) {
	all := newRunners(t, "a", "b")
	put := func(h *Lease, value string) bool {
		r, err := h.Txn(t.Context(), store.Txn{Then: []store.Op{{Key: "k", Value: []byte(value)}}})
		if err != nil {
			t.Fatal(err)
		}
		return r.Succeeded
	}
	old := acquire(t, all[0], newClaim("one", 1))
	if !put(old, "old") {
		t.Error("the holder's change did nothing")
	}
	old.Release()
	h := acquire(t, all[1], newClaim("one", 1))
	if !put(h, "new") || put(old, "late") {
		t.Error("a change after the release took effect, or the next one's did not")
	}
	h.Release()
}

// Who holds a task and gets nothing done loses it to another, and is held off.
func TestRunTaskReleasesAndCoolsDownWithoutProgress(t *testing.T) {
	all := newRunners(t, "a", "b")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	task := func(do func() error) Task {
		return Task{Claim: newClaim("work", 1), Interval: time.Millisecond, Timeout: time.Second, ProgressTimeout: 5 * time.Millisecond, Cooldown: time.Hour,
			Do: func(context.Context, *Lease) error { return do() }}
	}
	failed, worked := make(chan struct{}, 1), make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		all[0].RunTask(ctx, task(func() error {
			select {
			case failed <- struct{}{}:
			default:
			}
			return errors.New("no disk")
		}))
	})
	<-failed
	once := sync.OnceFunc(func() { close(worked) })
	wg.Go(func() { all[1].RunTask(ctx, task(func() error { once(); return nil })) })
	<-worked
	list, err := all[0].List(ctx, "work")
	if err != nil || len(list) != 1 || list[0].Queue[0].Host != "b" {
		t.Errorf("%+v, %v", list, err)
	}
	if want := fmt.Sprint(lease.ErrSuspended); len(list) == 1 && list[0].LocalState[:len("is held off")] != "is held off" {
		t.Errorf("%q, want it to say %q", list[0].LocalState, want)
	}
	cancel()
	wg.Wait()
}

// Shards of one task are held by all who take part, each by one at a time; when one goes, the others have its shards and keep most of
// their own.
func TestRunShardsBalancesAndMovesFew(t *testing.T) {
	all := newRunners(t, "a", "b", "c")
	const shards = 12
	var mu sync.Mutex
	by, moved := map[int]string{}, 0
	var acting [shards]atomic.Int32
	task := Task{Claim: newClaim("index", 1), Interval: time.Millisecond, Timeout: 5 * time.Second, ProgressTimeout: time.Hour, Cooldown: time.Second}
	var wg sync.WaitGroup
	stop := map[string]context.CancelFunc{}
	for _, r := range all {
		ctx, cancel := context.WithCancel(t.Context())
		stop[r.cfg.Host] = cancel
		wg.Go(func() {
			r.RunShards(ctx, task, shards, func(_ context.Context, _ *Lease, shard int) error {
				if n := acting[shard].Add(1); n != 1 {
					t.Errorf("%d act upon shard %d", n, shard)
				}
				mu.Lock()
				if was := by[shard]; was != r.cfg.Host {
					if by[shard] = r.cfg.Host; was != "" {
						moved++
					}
				}
				mu.Unlock()
				acting[shard].Add(-1)
				return nil
			})
		})
	}
	spread := func(most int, hosts ...string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			count := map[string]int{}
			for _, h := range by {
				count[h]++
			}
			for _, h := range hosts {
				if count[h] == 0 || count[h] > most {
					return false
				}
			}
			return len(by) == shards && len(count) == len(hosts)
		}
	}
	processtest.Until(t, "an even share for three", spread(4, "a", "b", "c"))
	mu.Lock()
	moved = 0
	mu.Unlock()
	stop["c"]()
	processtest.Until(t, "an even share for two", spread(6, "a", "b"))
	mu.Lock()
	if moved > 8 {
		t.Errorf("%d of %d shards moved when one of three went", moved, shards)
	}
	mu.Unlock()
	for _, cancel := range stop {
		cancel()
	}
	wg.Wait()
}
