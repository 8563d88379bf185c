package leasetask

import (
	"context"
	"errors"
	"log/slog"
	"strings"
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

// newRunners returns one Runner a name, all attached to the same replica of a store.
func newRunners(t *testing.T, names ...string) []*Runner {
	t.Helper()
	logger := slog.New(slog.DiscardHandler)
	var runners []*Runner
	for _, name := range names {
		runners = append(runners, New(Config{Host: name, Log: logger}))
	}
	cfg := engine.Config{
		Name:         "a",
		Dir:          t.TempDir(),
		TickInterval: 10 * time.Millisecond,
		DiskOptions:  disk.Options{NoSync: true},
	}
	cfg.OnEvent = func(e store.Event) {
		for _, r := range runners {
			r.Event(e)
		}
	}
	cfg.OnReset = func(s *store.State) {
		for _, r := range runners {
			r.Reset(s)
		}
	}
	replica, err := engine.Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		for _, r := range runners {
			r.Close()
		}
		if err := replica.Kill(); err != nil {
			t.Error(err)
		}
	})
	for _, r := range runners {
		r.Attach(daemon.Store(replica))
	}
	return runners
}

// newClaim returns a claim whose TTL is long enough for renewals on a busy machine.
func newClaim(task string, slots int) Claim {
	return Claim{Task: task, Slots: slots, TTL: 30 * time.Second}
}

// acquire returns the lease of a claim, and fails the test if it is not granted in time.
func acquire(t *testing.T, runner *Runner, claim Claim) *Lease {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), processtest.WaitTimeout)
	defer cancel()
	l, err := runner.Acquire(ctx, claim, nil)
	if err != nil {
		t.Fatal(err)
	}
	return l
}

// 300 claims of one task, on three Runners of which two have the same host name, are each granted once, one at a time
// and in the order of their tokens.
func TestAcquireGrantsInTokenOrderToManyWaiters(t *testing.T) {
	runners := newRunners(t, "a", "b", "b")
	var holders, maxHolders atomic.Int32
	var mu sync.Mutex
	var tokens []uint64
	var wg sync.WaitGroup
	for i := range 300 {
		wg.Go(func() {
			l, err := runners[i%len(runners)].Acquire(t.Context(), newClaim("one", 1), nil)
			if err != nil {
				t.Error(err)
				return
			}
			maxHolders.Store(max(maxHolders.Load(), holders.Add(1)))
			mu.Lock()
			tokens = append(tokens, l.Token())
			mu.Unlock()
			holders.Add(-1)
			l.Release()
		})
	}
	wg.Wait()
	if maxHolders.Load() != 1 || len(tokens) != 300 {
		t.Errorf("%d of 300 claims were granted, up to %d at once, want all and 1", len(tokens), maxHolders.Load())
	}
	for i := 1; i < len(tokens); i++ {
		if tokens[i] <= tokens[i-1] {
			t.Fatalf("token %d was granted after token %d", tokens[i], tokens[i-1])
		}
	}
}

// Of three claims of a task with two slots, one waits until another is released. A claim with a different number of
// slots is rejected.
func TestAcquireLimitsHoldersToSlots(t *testing.T) {
	runners := newRunners(t, "a", "b", "c")
	first, second := acquire(t, runners[0], newClaim("restarts", 2)), acquire(t, runners[1], newClaim("restarts", 2))
	acquired := make(chan *Lease, 1)
	aheadCounts := make(chan int, 100)
	go func() {
		l, err := runners[2].Acquire(t.Context(), newClaim("restarts", 2),
			func(ahead int, _ error) { aheadCounts <- ahead })
		if err != nil {
			t.Error(err)
		}
		acquired <- l
	}()
	for ahead := range aheadCounts {
		if ahead == 1 { // one of the two holders must release first
			break
		}
	}
	if len(acquired) != 0 {
		t.Error("the third claim was granted while two leases hold both slots")
	}
	if _, err := runners[0].Acquire(t.Context(), newClaim("restarts", 3),
		nil); !errors.Is(err, lease.ErrSlotsMismatch) {
		t.Errorf("claim with a different number of slots: error %v, want ErrSlotsMismatch", err)
	}
	first.Release()
	third := <-acquired
	for _, l := range []*Lease{second, third} {
		l.Release()
	}
}

// Release waits for a running action before the next claim in the queue is granted. An action is not started after the
// release, nor with a timeout as long as the lease's TTL.
func TestReleaseWaitsForRunningAction(t *testing.T) {
	runners := newRunners(t, "a", "b")
	l := acquire(t, runners[0], newClaim("one", 1))
	started, finish := make(chan struct{}), make(chan struct{})
	var running atomic.Bool
	result := make(chan error, 1)
	go func() {
		result <- l.Do(t.Context(), 5*time.Second, func(context.Context, uint64) error {
			running.Store(true)
			close(started)
			<-finish // the action ignores its context
			running.Store(false)
			return nil
		})
	}()
	<-started
	nextLease := make(chan *Lease, 1)
	go func() { nextLease <- acquire(t, runners[1], newClaim("one", 1)) }()
	go l.Release()
	<-l.Context().Done()
	close(finish)
	if l := <-nextLease; running.Load() {
		t.Error("the next claim was granted while an action of the previous holder runs")
	} else {
		l.Release()
	}
	if err := <-result; err != nil {
		t.Error(err)
	}
	noop := func(context.Context, uint64) error { return nil }
	if err := l.Do(t.Context(), time.Second, noop); !errors.Is(err, lease.ErrLost) {
		t.Errorf("action after the release: error %v, want ErrLost", err)
	}
	l = acquire(t, runners[0], newClaim("one", 1))
	if err := l.Do(t.Context(), 30*time.Second, noop); !errors.Is(err, lease.ErrLeaseTooShort) {
		t.Errorf("action with a timeout of the TTL: error %v, want ErrLeaseTooShort", err)
	}
	l.Release()
}

// A transaction under a released lease has no effect, while those of the former and the current holder take effect
// during their leases.
func TestTxnHasNoEffectAfterRelease(t *testing.T) {
	runners := newRunners(t, "a", "b")
	put := func(l *Lease, value string) bool {
		result, err := l.Txn(t.Context(), store.Txn{Then: []store.Op{{Key: "k", Value: []byte(value)}}})
		if err != nil {
			t.Fatal(err)
		}
		return result.Succeeded
	}
	former := acquire(t, runners[0], newClaim("one", 1))
	if !put(former, "old") {
		t.Error("the change by the holder had no effect")
	}
	former.Release()
	current := acquire(t, runners[1], newClaim("one", 1))
	if !put(current, "new") || put(former, "late") {
		t.Error("the change by the next holder had no effect, or that by the former holder after its release had one")
	}
	current.Release()
}

// A holder whose actions all fail releases the task to another daemon, and does not claim it again during the cooldown.
func TestRunTaskReleasesAndCoolsDownWithoutProgress(t *testing.T) {
	runners := newRunners(t, "a", "b")
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	task := func(action func() error) Task {
		return Task{
			Claim:           newClaim("work", 1),
			Interval:        time.Millisecond,
			Timeout:         time.Second,
			ProgressTimeout: 5 * time.Millisecond,
			Cooldown:        time.Hour,
			Do:              func(context.Context, *Lease) error { return action() },
		}
	}
	failed, succeeded := make(chan struct{}, 1), make(chan struct{})
	var wg sync.WaitGroup
	run := func(r *Runner, action func() error) {
		if err := r.RunTask(ctx, task(action)); !errors.Is(err, context.Canceled) {
			t.Errorf("%s: RunTask returned %v, want context.Canceled", r.cfg.Host, err)
		}
	}
	wg.Go(func() {
		run(runners[0], func() error {
			select {
			case failed <- struct{}{}:
			default:
			}
			return errors.New("no disk")
		})
	})
	<-failed
	closeOnce := sync.OnceFunc(func() { close(succeeded) })
	wg.Go(func() {
		run(runners[1], func() error {
			closeOnce()
			return nil
		})
	})
	<-succeeded
	statuses, err := runners[0].List(ctx, "work")
	if err != nil || len(statuses) != 1 || statuses[0].Queue[0].Host != "b" {
		t.Errorf("status of the task: %+v, error %v, want one task with host b first in its queue", statuses, err)
	}
	if prefix := "cools down for another"; len(statuses) == 1 && !strings.HasPrefix(statuses[0].LocalState, prefix) {
		t.Errorf("local state %q, want the prefix %q", statuses[0].LocalState, prefix)
	}
	cancel()
	wg.Wait()
}

// The shards of a task are spread evenly over its members, and each shard has one holder at a time. When a member
// leaves, the others take over its shards, and few other shards move.
func TestRunShardsBalancesShardsAndMovesFew(t *testing.T) {
	runners := newRunners(t, "a", "b", "c")
	const shards = 12
	var mu sync.Mutex
	holderOfShard, moves := map[int]string{}, 0
	var running [shards]atomic.Int32
	task := Task{
		Claim:           newClaim("index", 1),
		Interval:        time.Millisecond,
		Timeout:         5 * time.Second,
		ProgressTimeout: time.Hour,
		Cooldown:        time.Second,
	}
	var wg sync.WaitGroup
	cancels := map[string]context.CancelFunc{}
	for _, r := range runners {
		ctx, cancel := context.WithCancel(t.Context())
		cancels[r.cfg.Host] = cancel
		wg.Go(func() {
			err := r.RunShards(ctx, task, shards, func(_ context.Context, _ *Lease, shard int) error {
				if concurrent := running[shard].Add(1); concurrent != 1 {
					t.Errorf("%d actions run at once for shard %d", concurrent, shard)
				}
				mu.Lock()
				if holderOfShard[shard] != "" && holderOfShard[shard] != r.cfg.Host {
					moves++
				}
				holderOfShard[shard] = r.cfg.Host
				mu.Unlock()
				running[shard].Add(-1)
				return nil
			})
			if !errors.Is(err, context.Canceled) {
				t.Errorf("%s: RunShards returned %v, want context.Canceled", r.cfg.Host, err)
			}
		})
	}
	balanced := func(maxPerHost int, hosts ...string) func() bool {
		return func() bool {
			mu.Lock()
			defer mu.Unlock()
			shardsOfHost := map[string]int{}
			for _, host := range holderOfShard {
				shardsOfHost[host]++
			}
			for _, host := range hosts {
				if shardsOfHost[host] == 0 || shardsOfHost[host] > maxPerHost {
					return false
				}
			}
			return len(holderOfShard) == shards && len(shardsOfHost) == len(hosts)
		}
	}
	processtest.Until(t, "an even spread of the shards over three members", balanced(4, "a", "b", "c"))
	mu.Lock()
	moves = 0
	mu.Unlock()
	cancels["c"]()
	processtest.Until(t, "an even spread of the shards over two members", balanced(6, "a", "b"))
	mu.Lock()
	if moves > 8 {
		t.Errorf("%d moves of %d shards after one of three members left, want 8 at most", moves, shards)
	}
	mu.Unlock()
	for _, cancel := range cancels {
		cancel()
	}
	wg.Wait()
}
