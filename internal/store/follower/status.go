package follower

import (
	"context"
	"errors"
	"os"

	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
)

// TransferLeadership returns an error, because a daemon without a replica is never the leader.
func (f *Follower) TransferLeadership(context.Context) error {
	return errors.New("this daemon has no replica and cannot be the leader")
}

// Status returns the status of the copy. Without a copy it has only the follower's name and connection.
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
