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
	// idleGrace is the time for which idle connections stay open once another process accepts requests.
	idleGrace = 2 * time.Second
	// readyInterval is the time between two checks of whether this process is ready.
	readyInterval = 10 * time.Millisecond
	// maxTurnWait is the time for which a process that is ready waits while the old one serves another new process.
	maxTurnWait       = 5 * time.Second
	turnRetryInterval = 50 * time.Millisecond
)

// oldProcessSource is the source of an old process's snapshot in log lines.
const oldProcessSource = "the old process"

// joinAndRestore connects to the old process and applies its state. For protocols without state of an old process it
// restores saved snapshots. It returns nil if there is no old process.
func (n *instance) joinAndRestore(ctx context.Context) *handover.Predecessor {
	old, state := n.joinOldProcess(ctx)
	for _, stack := range n.stacks {
		data := state.Snapshot
		if stack.name != httpName {
			data = state.OtherProtocols[stack.name]
		}
		n.restore(ctx, stack, data)
	}
	return old
}

// joinOldProcess connects to the old process, and applies its endpoint list and overrides. It returns nil and an empty
// state if there is no old process.
func (n *instance) joinOldProcess(ctx context.Context) (*handover.Predecessor, handover.State) {
	if n.host.HandoverPath == "" {
		return nil, handover.State{}
	}
	old, state := handover.Join(ctx, n.host.HandoverPath, n, n.log)
	if len(state.List) > 0 {
		n.applyOldProcessList(ctx, state.List)
	}
	n.ApplyRequests(state.Requests)
	if err := n.overrides.Merge(ctx, state.Overrides...); err != nil {
		n.log.Error("cannot apply the overrides of the old process", "error", err)
	}
	return old, state
}

// applyOldProcessList applies the endpoint list of the old process, which is newer than the configured one.
func (n *instance) applyOldProcessList(ctx context.Context, encoded json.RawMessage) {
	var list discovery.List
	if err := json.Unmarshal(encoded, &list); err != nil {
		n.log.Error("cannot decode the endpoint list of the old process", "error", err)
		return
	}
	if len(list.Instances) > 0 {
		n.stacks.applyCachedList(ctx, list)
	}
}

// restore restores the state of a protocol's decision module: from the old process's snapshot if there is one,
// otherwise from the snapshot that package recovery chooses among the file and those of other daemons.
func (n *instance) restore(ctx context.Context, stack *protocolStack, oldProcessSnapshot []byte) {
	if len(oldProcessSnapshot) > 0 {
		saved, err := snapshot.Decode(oldProcessSnapshot)
		if err != nil {
			n.log.Warn("snapshot ignored", "from", oldProcessSource, "error", err)
			return
		}
		stack.loop.Restore(ctx, saved, oldProcessSource)
		return
	}
	candidates := n.fileCandidates(stack)
	if n.host.Fleet != nil {
		candidates = append(candidates, n.host.Fleet.RestoreCandidates(n.config.Name, stack.name)...)
	}
	choice := recovery.Choose(n.config.Name, candidates)
	if choice.Snapshot == nil {
		if len(candidates) > 0 {
			n.log.Info("no snapshot restored: all are too old or of unknown age", "snapshots", len(candidates))
		}
		return
	}
	endpoints := stack.loop.RestoreAged(ctx, choice.Snapshot, choice.Source, choice.Age)
	if n.host.Fleet != nil {
		n.host.Fleet.RecordRestore(stack.name, choice, endpoints)
	}
}

// fileCandidates returns the snapshot in a protocol's file, if the file has one of this sidecar.
func (n *instance) fileCandidates(stack *protocolStack) []recovery.Candidate {
	path := stack.snapshotFile.Path
	saved, err := stack.snapshotFile.Load()
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

// takeOver waits until this process is ready, tells the old process to stop accepting, and then answers new processes
// that want to take over from this one, until ctx ends. old is nil if no old process was found at the start.
func (n *instance) takeOver(ctx context.Context, old *handover.Predecessor) {
	if !n.awaitReady(ctx) {
		return
	}
	ln, foundLate := n.becomeCurrent(ctx, old)
	if foundLate != nil {
		defer foundLate.Close()
	}
	n.serving.Store(true)
	if ln == nil {
		<-ctx.Done()
		return
	}
	handover.Serve(ctx, ln, n, n.log)
}

// becomeCurrent tells the old process to stop accepting, and listens for a successor. It does both before this process
// reports that it serves, since an operator may then start the next process, which must find this one. While the old
// process serves another new process, it waits until that one has taken over or ended, for at most maxTurnWait.
// foundLate is an old process that was not found at the start, because it started together with this one, or that did
// not let this one join then. ln is nil without handovers, foundLate is nil if there is no such process.
func (n *instance) becomeCurrent(
	ctx context.Context, old *handover.Predecessor,
) (ln net.Listener, foundLate *handover.Predecessor) {
	for start := time.Now(); ; {
		var rejected bool
		ln, foundLate, rejected = n.tryBecomeCurrent(ctx, old, time.Since(start) > maxTurnWait)
		if !rejected {
			return ln, foundLate
		}
		select {
		case <-time.After(turnRetryInterval):
		case <-ctx.Done():
			return nil, nil
		}
	}
}

// tryBecomeCurrent is one attempt of becomeCurrent. rejected reports that the old process serves another new process,
// and that nothing was done; with force, this process listens for a successor nevertheless.
func (n *instance) tryBecomeCurrent(ctx context.Context, old *handover.Predecessor, force bool) (
	ln net.Listener, foundLate *handover.Predecessor, rejected bool) {
	if n.host.HandoverPath != "" {
		unlock, err := handover.Lock(ctx, n.host.HandoverPath)
		if err != nil {
			n.log.Error("cannot lock the handover: a process that starts together with this one may not find it",
				"error", err)
		} else {
			defer unlock()
		}
	}
	if old == nil || old.HasEnded() {
		foundLate, _ = n.joinOldProcess(ctx)
		old = foundLate
	}
	if old != nil && old.WasRejected() && !force {
		return nil, nil, true
	}
	if old != nil {
		old.TakeOver(ctx, n.log)
	}
	return n.listenForSuccessor(), foundLate, false
}

// awaitReady waits until an endpoint is ready. It returns false if ctx ends before.
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

// listenForSuccessor listens at the socket by which a new process finds this one. It returns nil without handovers, or
// if listening fails.
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

// AddPeer begins the time in which both this process and other run; leave ends it. Meanwhile overrides and ejections
// are passed on to other, and both share the limits.
func (n *instance) AddPeer(other handover.Peer) (leave func()) {
	stops := []func(){n.overrides.AddPeer(other.ApplyOverride)}
	for _, stack := range n.stacks {
		stops = append(stops, stack.loop.ReportEjectionsTo(other.ReportEjections))
	}
	stops = append(stops, n.stacks.http().loop.ReportRequestsTo(other.ReportRequests))
	n.addToPeerCount(1)
	return func() {
		for _, stop := range stops {
			stop()
		}
		n.addToPeerCount(-1)
	}
}

// addToPeerCount adds count, which may be negative, to the number of other processes, and sets this process's share of
// the limits accordingly.
func (n *instance) addToPeerCount(count int) {
	n.peerMu.Lock()
	defer n.peerMu.Unlock()
	n.peerCount += count
	n.setCapacityShare(1 / float64(1+n.peerCount))
}

// State returns the overrides, the endpoint list and the snapshots for a new process.
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
	if state.Requests, err = n.stacks.http().loop.RecentRequests(ctx); err != nil {
		return handover.State{}, err
	}
	for _, stack := range n.stacks {
		data, err := stack.loop.Snapshot(ctx)
		switch {
		case err != nil:
			n.log.Warn("cannot take a snapshot for the new process", "protocol", stack.name, "error", err)
		case stack.name == httpName:
			state.Snapshot = data
		default:
			state.OtherProtocols[stack.name] = data
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
	for _, stack := range n.stacks {
		stack.loop.ApplyEjections(ejections)
	}
}

// ApplyRequests applies the requests of the other process.
func (n *instance) ApplyRequests(keys []string) { n.stacks.http().loop.ApplyRequests(keys) }

// StopAccepting leaves accepting to another process. Open requests are still answered, and so are further requests on
// open connections. Each connection is closed after its next answer, or once it has been idle for idleGrace.
func (n *instance) StopAccepting() {
	n.acceptMu.Lock()
	defer n.acceptMu.Unlock()
	n.closeListeners()
	n.replaced.Store(true)
	n.setClosing(true)
	if n.cancelHandoverWait != nil {
		n.cancelHandoverWait()
	}
	ctx, cancel := context.WithCancel(context.Background())
	n.cancelHandoverWait = cancel
	go n.awaitLastConnection(ctx)
}

// awaitLastConnection ends this process by a send on handedOver once all connections are closed, unless ctx ends before
// because accepting has resumed.
func (n *instance) awaitLastConnection(ctx context.Context) {
	ticker := time.NewTicker(connectionCheckInterval)
	defer ticker.Stop()
	for n.countOpen(func(f core.Frontend) int { return f.CloseIdleFor(idleGrace) }) > 0 {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
	n.acceptMu.Lock()
	defer n.acceptMu.Unlock()
	if ctx.Err() != nil || n.stopping {
		return
	}
	n.stopping = true
	n.handedOver <- struct{}{} // does not block: stopping allows one send only
}

// ResumeAccepting starts accepting again after the process that took over has ended. It does nothing once this process
// stops: the listening socket, which the platform holds, queues connections for the next process.
func (n *instance) ResumeAccepting() {
	n.acceptMu.Lock()
	defer n.acceptMu.Unlock()
	if n.cancelHandoverWait != nil {
		n.cancelHandoverWait()
	}
	if n.stopping {
		return
	}
	n.setClosing(false)
	n.replaced.Store(false)
	if err := n.open(); err != nil {
		n.reportAcceptError(err)
	}
}
