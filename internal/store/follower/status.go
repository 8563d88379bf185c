package follower

import (
	"context"
	"errors"
	"os"

	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
)

// TransferLeadership is an error: a follower does not lead.
func (f *Follower) TransferLeadership(context.Context) error {
	return errors.New("this daemon has no replica, and leads nothing")
}

// Status returns how the copy stands.
func (f *Follower) Status(context.Context) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	status := engine.Status{Follower: true, Following: f.connectedTo}
	status.Name = f.cfg.Name
	state := f.mirror.State()
	if state == nil {
		status.CopyAge.Stale = true
		return status, nil
	}
	status.CopyAge = f.copyAge()
	status.Interest = state.Interest()
	status.Self.ClusterID = state.Cluster()
	status.Revision = state.Revision()
	status.Keys = state.Len()
	status.Bytes = state.Size()
	status.Level = state.Level()
	for _, member := range state.Members() {
		status.Peers = append(status.Peers, replica.PeerStatus{Member: member})
	}
	if info, err := os.Stat(f.copyPath()); err == nil {
		status.DiskBytes = info.Size()
	}
	return status, nil
}
