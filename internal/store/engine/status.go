package engine

import (
	"context"

	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

// Status is the status of the store in a process, with a replica or as a follower.
type Status struct {
	replica.Status
	WaitingToJoin       bool            `json:"waiting_to_join,omitempty"`
	Follower            bool            `json:"follower,omitempty"` // the process has no replica, but a copy
	Following           string          `json:"follows,omitempty"`  // replica that a follower follows
	Interest            *store.Interest `json:"holds,omitempty"`    // of a follower's copy; nil: all keys
	CopyAge             CopyAge         `json:"copy"`
	DiskBytes           int64           `json:"disk_bytes"`
	PeersRejected       int64           `json:"peers_refused"`
	ConnectionsRejected int64           `json:"connections_refused"`
	MessagesDropped     int64           `json:"messages_dropped"`
	MessagesSent        int64           `json:"messages_sent"`
	MessagesReceived    int64           `json:"messages_received"`
}

// Status returns the status of the replica. After an error it has only the counters.
func (e *Engine) Status(ctx context.Context) (Status, error) {
	var s Status
	err := e.run(ctx, func() {
		if e.node == nil {
			s.WaitingToJoin, s.Name, s.Self = true, e.cfg.Name, e.disk.Identity()
			return
		}
		s.Status = e.node.Status()
		s.CopyAge = e.copyAge()
		s.CopyAge.Revision = s.Revision
	})
	s.DiskBytes = e.disk.Size()
	if e.transport != nil {
		stats := &e.transport.Stats
		s.PeersRejected = stats.HellosRejected.Load()
		s.ConnectionsRejected = stats.ConnectionsRejected.Load()
		s.MessagesDropped = stats.MessagesDropped.Load()
		s.MessagesSent = stats.MessagesSent.Load()
		s.MessagesReceived = stats.MessagesReceived.Load()
	}
	return s, err
}
