// Package maintenance holds operators' overrides: which endpoints they drain for maintenance. A Registry carries
// each override to the sidecar that must obey it, to a store that outlives the process, and to the peers: the other
// processes of this sidecar while one takes over from another. The package imports nothing else of birchmoor.
package maintenance

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"sync"
	"time"
)

// Override is the latest override of one endpoint. That of an endpoint which is back in service is retained for a
// while, since the endpoint is warming up.
type Override struct {
	ID         string `json:"id"`
	Drained    bool   `json:"out"`
	UnixMicros int64  `json:"at_us"` // when it was made
}

// ErrUnknownEndpoint says that no endpoint has an ID.
var ErrUnknownEndpoint = errors.New("unknown id")

// ApplyFunc puts an override in effect in this process, and returns once it is. With force it takes an ID that this
// process does not know yet; else that is ErrUnknownEndpoint.
type ApplyFunc func(ctx context.Context, o Override, force bool) error

// NotifyFunc passes an override to a peer, and returns once it is in effect there.
type NotifyFunc func(context.Context, Override) error

// FleetOverrides is what all daemons agree on: a drain is in effect once one of them reports it, the return to
// service needs their agreement.
type FleetOverrides interface {
	// Subscribe sets the function that puts in effect here what was agreed on elsewhere.
	Subscribe(apply func(ctx context.Context, id string, drained bool) error)
	// ReportDrain reports that an endpoint is drained here. It does not block.
	ReportDrain(id string)
	// RequestReturn requests the return of an endpoint to service, and returns once that is agreed on and in effect
	// here. If the fleet does not know that the endpoint is drained, requested is false: this process decides
	// alone.
	RequestReturn(ctx context.Context, id string) (requested bool, err error)
}

// Registry holds the overrides of one process. It is safe for concurrent use.
type Registry struct {
	store     Store
	retention time.Duration // of overrides of endpoints that are back in service
	log       *slog.Logger
	apply     ApplyFunc
	fleet     FleetOverrides // nil: there is none

	updating  chan struct{} // holds a token while one update is applied and stored
	mu        sync.Mutex    // guards what follows
	overrides map[string]Override
	peers     map[int]NotifyFunc
	lastPeer  int
}

// NewRegistry returns a registry with the overrides of the store. If these cannot be read, it logs that and begins
// without any: to serve is better than not to start.
func NewRegistry(store Store, retention time.Duration, apply ApplyFunc, log *slog.Logger) *Registry {
	r := &Registry{
		store:     store,
		retention: retention,
		log:       log,
		apply:     apply,
		updating:  make(chan struct{}, 1),
		overrides: map[string]Override{},
		peers:     map[int]NotifyFunc{},
	}
	overrides, err := store.Load()
	if err != nil {
		log.Error("the stored overrides of operators cannot be read", "error", err)
	}
	for _, o := range overrides {
		r.overrides[o.ID] = o
	}
	return r
}

// Overrides returns all overrides that still matter, sorted by ID.
func (r *Registry) Overrides() []Override {
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := time.Now().Add(-r.retention).UnixMicro()
	var overrides []Override
	for id, o := range r.overrides {
		if !o.Drained && o.UnixMicros < oldest {
			delete(r.overrides, id)
			continue
		}
		overrides = append(overrides, o)
	}
	slices.SortFunc(overrides, func(a, b Override) int { return cmp.Compare(a.ID, b.ID) })
	return overrides
}

// JoinFleet has overrides go through what all daemons agree on. It must be called before any other method.
func (r *Registry) JoinFleet(f FleetOverrides) {
	r.fleet = f
	f.Subscribe(r.applyAgreed)
}

// applyAgreed puts in effect what the fleet agreed on. It counts as later than any override made here: clocks of
// hosts differ.
func (r *Registry) applyAgreed(ctx context.Context, id string, drained bool) error {
	o, _ := r.find(id)
	at := max(time.Now().UnixMicro(), o.UnixMicros+1)
	return r.Merge(ctx, Override{ID: id, Drained: drained, UnixMicros: at})
}

// Set drains an endpoint or returns it to service, and returns once that is in effect here and was passed to the
// peers.
func (r *Registry) Set(ctx context.Context, id string, drained bool) error {
	if r.fleet != nil && !drained {
		requested, err := r.fleet.RequestReturn(ctx, id)
		if err != nil || requested {
			return err
		}
	}
	o := Override{ID: id, Drained: drained, UnixMicros: time.Now().UnixMicro()}
	if err := r.update(ctx, o, false); err != nil {
		return err
	}
	if r.fleet != nil && drained {
		r.fleet.ReportDrain(id)
	}
	r.notifyPeers(ctx, o)
	return nil
}

// notifyPeers passes an override to all peers. A peer that is hung or dead must not keep operators from their work.
func (r *Registry) notifyPeers(ctx context.Context, o Override) {
	r.mu.Lock()
	peers := make([]NotifyFunc, 0, len(r.peers))
	for _, notify := range r.peers {
		peers = append(peers, notify)
	}
	r.mu.Unlock()
	for _, notify := range peers {
		if err := notify(ctx, o); err != nil {
			r.log.Error("a peer process did not take over an override", "id", o.ID, "drained", o.Drained, "error", err)
		}
	}
}

// Merge takes over overrides of a peer; of two for the same endpoint, the later one counts.
func (r *Registry) Merge(ctx context.Context, overrides ...Override) error {
	for _, o := range overrides {
		known, ok := r.find(o.ID)
		if ok && known.UnixMicros >= o.UnixMicros {
			continue
		}
		if err := r.update(ctx, o, true); err != nil {
			return err
		}
	}
	return nil
}

// find returns the override of an endpoint.
func (r *Registry) find(id string) (o Override, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok = r.overrides[id]
	return o, ok
}

// update puts an override in effect in this process and stores it. One that cannot be stored is in effect all the
// same.
func (r *Registry) update(ctx context.Context, o Override, force bool) error {
	select {
	case r.updating <- struct{}{}:
		defer func() { <-r.updating }()
	case <-ctx.Done():
		return ctx.Err()
	}
	known, ok := r.find(o.ID)
	// A repeat changes nothing: a second return to service must not restart the warm-up.
	repeat := ok && known.Drained == o.Drained || !ok && !o.Drained && !force
	if !repeat || !ok {
		if err := r.apply(ctx, o, force); err != nil {
			return fmt.Errorf("%s: %w", o.ID, err)
		}
	}
	if repeat {
		return nil
	}
	r.mu.Lock()
	r.overrides[o.ID] = o
	r.mu.Unlock()
	if err := r.store.Save(r.Overrides()); err != nil {
		r.log.Error("an override is in effect but could not be stored", "id", o.ID, "drained", o.Drained, "error", err)
	}
	return nil
}

// AddPeer adds a process that is notified of each override made here, until remove is called.
func (r *Registry) AddPeer(notify NotifyFunc) (remove func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lastPeer++
	id := r.lastPeer
	r.peers[id] = notify
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.peers, id)
	}
}
