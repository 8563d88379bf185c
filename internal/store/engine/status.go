package engine

import (
	"context"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

// Status is the status of the store in a process, which has either a replica or, as a follower, a copy.
type Status struct {
	replica.Status
	WaitingToJoin       bool            `json:"waiting_to_join,omitempty"` // its disk belongs to no cluster
	Follower            bool            `json:"follower,omitempty"`        // it has a copy, but no replica
	Following           string          `json:"follows,omitempty"`         // replica that the follower follows
	Interest            *store.Interest `json:"holds,omitempty"`           // keys of a follower's copy; nil: all keys
	CopyAge             CopyAge         `json:"copy"`
	DiskBytes           int64           `json:"disk_bytes"`
	PeersRejected       int64           `json:"peers_refused"`
	ConnectionsRejected int64           `json:"connections_refused"`
	MessagesDropped     int64           `json:"messages_dropped"`
	MessagesSent        int64           `json:"messages_sent"`
	MessagesReceived    int64           `json:"messages_received"`
}

// Status returns the status of the replica. If it returns an error, only the counters of the disk and the transport are
// set.
func (e *Engine) Status(ctx context.Context) (Status, error) {
	var status Status
	err := e.runInLoop(ctx, func() {
		if e.node == nil {
			status.WaitingToJoin, status.Name, status.Self = true, e.cfg.Name, e.disk.Identity()
			return
		}
		status.Status = e.node.Status()
		status.CopyAge = e.copyAge()
		status.CopyAge.Revision = status.Revision
	})
	status.DiskBytes = e.disk.Size()
	if e.transport != nil {
		stats := &e.transport.Stats
		status.PeersRejected = stats.HellosRejected.Load()
		status.ConnectionsRejected = stats.ConnectionsRejected.Load()
		status.MessagesDropped = stats.MessagesDropped.Load()
		status.MessagesSent = stats.MessagesSent.Load()
		status.MessagesReceived = stats.MessagesReceived.Load()
	}
	return status, err
}
