package sidecar

import (
	"context"
	"encoding/json"
	"net"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/recovery"
	"birchmoor/internal/platform/snapshot"
)

const (
	// idleGrace is the time for which idle connections stay open once another process accepts.
	idleGrace     = 2 * time.Second
	readyInterval = 10 * time.Millisecond
)

// oldProcess names the source of a snapshot in log lines.
const oldProcess = "the old process"

// join looks for an old process and applies its state, or what was saved if there is none.
func (n *instance) join(ctx context.Context) *handover.Predecessor {
	old, state := n.joinProcess(ctx)
	for _, s := range n.stacks {
		data := state.Snapshot
		if s.name != httpName {
			data = state.OtherProtocols[s.name]
		}
		n.restore(ctx, s, data)
	}
	return old
}

// joinProcess looks for an old process, and applies its list and overrides.
func (n *instance) joinProcess(ctx context.Context) (*handover.Predecessor, handover.State) {
	if n.host.HandoverPath == "" {
		return nil, handover.State{}
	}
	old, state := handover.Join(ctx, n.host.HandoverPath, n, n.log)
	if len(state.List) > 0 {
		n.applyListOf(ctx, state.List)
	}
	if err := n.overrides.Merge(ctx, state.Overrides...); err != nil {
		n.log.Error("cannot apply the overrides of the old process", "error", err)
	}
	return old, state
}

// applyListOf applies the list of an old process, which is later than the configured one.
func (n *instance) applyListOf(ctx context.Context, encoded json.RawMessage) {
	var list discovery.List
	if err := json.Unmarshal(encoded, &list); err != nil {
		n.log.Error("cannot decode the list of the old process", "error", err)
		return
	}
	if len(list.Instances) > 0 {
		n.stacks.applyCachedList(ctx, list)
	}
}

// restore restores the state of a protocol's decision module: that of the old process if there is one, else what
// recovery chooses of the file and the fleet's snapshots.
func (n *instance) restore(ctx context.Context, s *protocolStack, ofOldProcess []byte) {
	if len(ofOldProcess) > 0 {
		saved, err := snapshot.Decode(ofOldProcess)
		if err != nil {
			n.log.Warn("snapshot ignored", "from", oldProcess, "error", err)
			return
		}
		s.loop.Restore(ctx, saved, oldProcess)
		return
	}
	candidates := n.fileCandidates(s)
	if n.host.Fleet != nil {
		candidates = append(candidates, n.host.Fleet.RestoreCandidates(n.config.Name, s.name)...)
	}
	choice := recovery.Choose(n.config.Name, candidates)
	if choice.Snapshot == nil {
		if len(candidates) > 0 {
			n.log.Info("no snapshot restored: too old, or of unknown age", "snapshots", len(candidates))
		}
		return
	}
	endpoints := s.loop.RestoreAged(ctx, choice.Snapshot, choice.Source, choice.Age)
	if n.host.Fleet != nil {
		n.host.Fleet.RecordRestore(s.name, choice, endpoints)
	}
}

// fileCandidates returns the snapshot in a protocol's file, if there is one of this sidecar.
func (n *instance) fileCandidates(s *protocolStack) []recovery.Candidate {
	path := s.snapshotFile.Path
	saved, err := s.snapshotFile.Load()
	switch {
	case err != nil:
		n.log.Warn("snapshot ignored", "from", path, "error", err)
		return nil
	case saved == nil:
		return nil
	case saved.Sidecar != n.config.Name:
		n.log.Warn("snapshot of another sidecar ignored", "from", path, "its name", saved.Sidecar)
		return nil
	}
	age := snapshot.ReadClock().Since(saved.Clock)
	return []recovery.Candidate{{Source: path, Snapshot: saved, Own: true, Age: age, SameClock: true}}
}

// takeOver waits until this process can serve, has the old one stop accepting, and is from then on the one that a new
// process finds.
func (n *instance) takeOver(ctx context.Context, old *handover.Predecessor) {
	if !n.awaitReady(ctx) {
		return
	}
	ln, late := n.becomeCurrent(ctx, old)
	if late != nil {
		defer late.Close()
	}
	n.serving.Store(true)
	if ln == nil {
		<-ctx.Done()
		return
	}
	handover.Serve(ctx, ln, n, n.log)
}

// becomeCurrent has the old process stop accepting, and listens for a successor: an operator who is told that this
// process serves may start the next one, which has to find it. late is a process that was not found at the start, since
// it started together with this one. There may be neither.
func (n *instance) becomeCurrent(
	ctx context.Context, old *handover.Predecessor,
) (ln net.Listener, late *handover.Predecessor) {
	if n.host.HandoverPath != "" {
		unlock, err := handover.Lock(ctx, n.host.HandoverPath)
		if err != nil {
			n.log.Error("a process that starts together with this one may not find it", "error", err)
		} else {
			defer unlock()
		}
	}
	if old == nil {
		late, _ = n.joinProcess(ctx)
		old = late
	}
	if old != nil {
		old.TakeOver(ctx, n.log)
	}
	return n.listenForSuccessor(), late
}

// awaitReady returns false if ctx ends before an endpoint is known to serve.
func (n *instance) awaitReady(ctx context.Context) bool {
	ticker := time.NewTicker(readyInterval)
	defer ticker.Stop()
	for !n.stacks.http().loop.Ready() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false
		}
	}
	return true
}

// listenForSuccessor returns nil where there are no handovers.
func (n *instance) listenForSuccessor() net.Listener {
	if n.host.HandoverPath == "" {
		return nil
	}
	ln, err := handover.Listen(n.host.HandoverPath)
	if err != nil {
		n.log.Error("a new process will not find this one", "error", err)
		return nil
	}
	return ln
}

// The following methods implement handover.Process.

// AddPeer begins a time in which another process serves beside this one, until leave is called.
func (n *instance) AddPeer(other handover.Peer) (leave func()) {
	stops := []func(){n.overrides.AddPeer(other.ApplyOverride)}
	for _, s := range n.stacks {
		stops = append(stops, s.loop.ReportEjectionsTo(other.ReportEjections))
	}
	n.addPeers(1)
	return func() {
		for _, stop := range stops {
			stop()
		}
		n.addPeers(-1)
	}
}

// addPeers adds to the processes beside this one, and shares the limits with them.
func (n *instance) addPeers(count int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peers += count
	n.setCapacityShare(1 / float64(1+n.peers))
}

// State returns what a new process needs to know.
func (n *instance) State(ctx context.Context) (handover.State, error) {
	list, err := n.stacks.list(ctx)
	if err != nil {
		return handover.State{}, err
	}
	encoded, err := json.Marshal(list)
	if err != nil {
		return handover.State{}, err
	}
	state := handover.State{
		Overrides:      n.overrides.Overrides(),
		List:           encoded,
		OtherProtocols: map[string][]byte{},
	}
	for _, s := range n.stacks {
		data, err := s.loop.Snapshot(ctx)
		switch {
		case err != nil:
			n.log.Warn("cannot take a snapshot for the new process", "protocol", s.name, "error", err)
		case s.name == httpName:
			state.Snapshot = data
		default:
			state.OtherProtocols[s.name] = data
		}
	}
	return state, nil
}

// Merge applies the overrides of the other process.
func (n *instance) Merge(ctx context.Context, overrides ...maintenance.Override) error {
	return n.overrides.Merge(ctx, overrides...)
}

// ApplyEjections applies the ejections of the other process.
func (n *instance) ApplyEjections(ejections []handover.Ejection) {
	for _, s := range n.stacks {
		s.loop.ApplyEjections(ejections)
	}
}

// StopAccepting leaves accepting to another process. Open requests are answered, and so are those on open connections,
// each of which is closed with its answer, or once it was idle for idleGrace.
func (n *instance) StopAccepting() {
	n.closeListeners()
	n.yielded.Store(true)
	n.setClosing(true)
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	n.cancelYield = cancel
	n.mu.Unlock()
	go n.awaitLastConnection(ctx)
}

// awaitLastConnection reports on handedOver that no connection is left, unless ctx ends before.
func (n *instance) awaitLastConnection(ctx context.Context) {
	ticker := time.NewTicker(settleInterval)
	defer ticker.Stop()
	for n.countOpen(func(f core.Frontend) int { return f.CloseIdleFor(idleGrace) }) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	n.handedOver <- struct{}{}
}

// ResumeAccepting accepts again, since the process that took over is gone.
func (n *instance) ResumeAccepting() {
	n.mu.Lock()
	n.cancelYield()
	stopping := n.stopping
	n.mu.Unlock()
	if stopping {
		return // the platform's socket keeps connections for the next process
	}
	n.setClosing(false)
	n.yielded.Store(false)
	if err := n.open(); err != nil {
		n.broken <- err
	}
}
