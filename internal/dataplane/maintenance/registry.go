// Package maintenance keeps the operators' overrides, by which they drain endpoints for maintenance. A Registry applies
// each override to the sidecar, saves it in a store that outlives the process, and passes it to the peers: the other
// processes of the same sidecar during a handover. The package imports nothing else of birchmoor.
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

// Override is an operator's latest decision on one endpoint. The override that returned an endpoint to service is
// retained for a while, because the endpoint is warming up during that time.
type Override struct {
	ID         string `json:"id"`
	Drained    bool   `json:"out"`
	UnixMicros int64  `json:"at_us"` // time of the decision, as Unix time
}

// ErrUnknownEndpoint is the error for an ID that no known endpoint has.
var ErrUnknownEndpoint = errors.New("unknown id")

// ApplyFunc applies an override in this process, and returns once it is in effect. For an ID that this process does not
// know, it returns ErrUnknownEndpoint unless force is set.
type ApplyFunc func(ctx context.Context, o Override, force bool) error

// NotifyFunc passes an override to a peer process, and returns once it is in effect there.
type NotifyFunc func(context.Context, Override) error

// FleetOverrides gives access to the overrides that all daemons agree on. A drain is in effect in the fleet once one
// daemon reports it; a return to service needs the agreement of the fleet.
type FleetOverrides interface {
	// Subscribe sets the function that applies in this process what the fleet has agreed on.
	Subscribe(apply func(ctx context.Context, id string, drained bool) error)
	// ReportDrain reports that an operator has drained an endpoint in this process. It does not block.
	ReportDrain(id string)
	// RequestReturn requests that the fleet return an endpoint to service, and returns once that is agreed on and in
	// effect in this process. requested is false if the fleet does not know the endpoint as drained; then this process
	// decides alone.
	RequestReturn(ctx context.Context, id string) (requested bool, err error)
}

// maxMergeSaveWait is less than the time that a peer waits for a reply.
const maxMergeSaveWait = 500 * time.Millisecond

// Registry holds the overrides of one process. It is safe for concurrent use.
type Registry struct {
	saver     *saver
	retention time.Duration // how long the override of an endpoint that is back in service is retained
	log       *slog.Logger
	apply     ApplyFunc
	fleet     FleetOverrides // nil if this process has not joined a fleet

	updating  chan struct{} // holds a token while one update is applied
	mu        sync.Mutex    // guards the fields below
	overrides map[string]Override
	peers     map[int]NotifyFunc
	lastPeer  int
}

// NewRegistry returns a registry with the overrides from the store. If they cannot be loaded, it logs the error and
// starts without overrides, since a sidecar that serves without them is better than one that does not start.
func NewRegistry(store Store, retention time.Duration, apply ApplyFunc, log *slog.Logger) *Registry {
	r := &Registry{
		retention: retention,
		log:       log,
		apply:     apply,
		updating:  make(chan struct{}, 1),
		overrides: map[string]Override{},
		peers:     map[int]NotifyFunc{},
	}
	r.saver = newSaver(store, r.Overrides, log)
	overrides, err := store.Load()
	if err != nil {
		log.Error("cannot load the stored overrides; starting without them", "error", err)
	}
	for _, o := range overrides {
		r.overrides[o.ID] = o
	}
	return r
}

// Overrides returns all overrides, sorted by ID. It first removes those of endpoints that have been back in service for
// longer than the retention.
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

// JoinFleet connects the registry to the overrides that all daemons agree on. It must be called before any other
// method.
func (r *Registry) JoinFleet(f FleetOverrides) {
	r.fleet = f
	f.Subscribe(r.applyAgreed)
}

// applyAgreed applies what the fleet has agreed on. The override gets a later timestamp than the endpoint's present
// one, because clocks of hosts differ and the agreement must prevail over overrides that were made here.
func (r *Registry) applyAgreed(ctx context.Context, id string, drained bool) error {
	o, _ := r.find(id)
	timestamp := max(time.Now().UnixMicro(), o.UnixMicros+1)
	return r.Merge(ctx, Override{ID: id, Drained: drained, UnixMicros: timestamp})
}

// Set drains an endpoint or returns it to service. It returns once the override is in effect in this process, the peers
// were notified, and the override is saved. It does not fail if saving fails or has not ended when ctx ends.
func (r *Registry) Set(ctx context.Context, id string, drained bool) error {
	if r.fleet != nil && !drained {
		requested, err := r.fleet.RequestReturn(ctx, id)
		if err != nil || requested {
			return err
		}
	}
	o := Override{ID: id, Drained: drained, UnixMicros: time.Now().UnixMicro()}
	saved, err := r.update(ctx, o, false)
	if err != nil {
		return err
	}
	if r.fleet != nil && drained {
		r.fleet.ReportDrain(id)
	}
	r.notifyPeers(ctx, o)
	r.awaitSave(ctx, saved)
	return nil
}

// awaitSave waits until an update is saved or ctx ends. In the latter case it only logs: the override is in effect, and
// is saved once the disk responds.
func (r *Registry) awaitSave(ctx context.Context, saved <-chan struct{}) {
	select {
	case <-saved:
	case <-ctx.Done():
		r.log.Warn("an override is in effect but is not saved yet")
	}
}

// notifyPeers passes an override to all peers. It only logs errors, because a peer that hangs or has ended must not
// make an operator's call fail.
func (r *Registry) notifyPeers(ctx context.Context, o Override) {
	r.mu.Lock()
	peers := make([]NotifyFunc, 0, len(r.peers))
	for _, notify := range r.peers {
		peers = append(peers, notify)
	}
	r.mu.Unlock()
	for _, notify := range peers {
		if err := notify(ctx, o); err != nil {
			r.log.Error("cannot pass an override to a peer process", "id", o.ID, "drained", o.Drained, "error", err)
		}
	}
}

// Merge applies the overrides of a peer, also for endpoints that this process does not know. If both processes have an
// override for an endpoint, the later one prevails. Merge waits for maxMergeSaveWait at most until they are saved.
func (r *Registry) Merge(ctx context.Context, overrides ...Override) error {
	saved := r.saver.pending()
	for _, o := range overrides {
		known, ok := r.find(o.ID)
		if ok && known.UnixMicros >= o.UnixMicros {
			continue
		}
		var err error
		if saved, err = r.update(ctx, o, true); err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, maxMergeSaveWait)
	defer cancel()
	r.awaitSave(ctx, saved)
	return nil
}

// find returns the override of an endpoint, if there is one.
func (r *Registry) find(id string) (o Override, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	o, ok = r.overrides[id]
	return o, ok
}

// update applies an override in this process and requests that it is saved. saved is closed when the save has ended; a
// failed save is only logged, since the override is in effect.
func (r *Registry) update(ctx context.Context, o Override, force bool) (saved <-chan struct{}, err error) {
	select {
	case r.updating <- struct{}{}:
		defer func() { <-r.updating }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	known, ok := r.find(o.ID)
	// A repeated override changes nothing: a second return to service must not restart the endpoint's slow start. The
	// return of an endpoint without an override is not stored, but applied, so that an unknown ID is an error.
	repeated := ok && known.Drained == o.Drained || !ok && !o.Drained && !force
	if !repeated || !ok {
		if err := r.apply(ctx, o, force); err != nil {
			return nil, fmt.Errorf("%s: %w", o.ID, err)
		}
	}
	if repeated {
		return r.saver.pending(), nil
	}
	r.mu.Lock()
	r.overrides[o.ID] = o
	r.mu.Unlock()
	return r.saver.request(), nil
}

// Close returns once all changes are saved. No method may be called afterwards.
func (r *Registry) Close() { <-r.saver.pending() }

// AddPeer adds a peer process. It is notified of each override made by Set until remove is called.
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
