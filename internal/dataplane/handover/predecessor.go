package handover

import (
	"context"
	"log/slog"
	"net"
)

// Predecessor is the connection from a new process to the old one that it replaces.
type Predecessor struct {
	conversation *conversation
	joined       bool          // the old process has replied to join
	ended        chan struct{} // closed when the conversation has ended
}

// Join connects to the old process at path and requests its state. It returns nil if there is no old process. If the
// old process does not reply, the new one must start without its state; its share of the budgets stays reserved until
// it ends.
func Join(ctx context.Context, path string, p Process, log *slog.Logger) (*Predecessor, State) {
	conn, err := (&net.Dialer{Timeout: joinTimeout}).DialContext(ctx, "unix", path)
	if err != nil {
		return nil, State{} // there is no socket, or its process has ended
	}
	predecessor := &Predecessor{conversation: newConversation(conn), ended: make(chan struct{})}
	go func() {
		defer close(predecessor.ended)
		err := predecessor.conversation.run(func(m message) message { return handleNotification(p, m) })
		if err != nil {
			log.Debug("the conversation with the old process failed", "error", err)
		}
	}()
	removePeer := p.AddPeer(predecessor.conversation.peer())
	go func() {
		<-predecessor.ended
		removePeer()
		log.Info("the old process has ended")
	}()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := predecessor.conversation.request(ctx, message{Op: opJoin})
	if err != nil || reply.State == nil {
		log.Error("the old process does not reply; starting without its state", "error", err)
		return predecessor, State{}
	}
	predecessor.joined = true
	log.Info("joined the old process", "overrides", len(reply.State.Overrides))
	return predecessor, *reply.State
}

// HasEnded reports whether the conversation has ended: the old process has ended, or did not let this one join.
func (o *Predecessor) HasEnded() bool {
	select {
	case <-o.conversation.ended:
		return true
	default:
		return false
	}
}

// WasRejected reports whether the old process ended the conversation before this one had joined, as it does while it
// serves another new process.
func (o *Predecessor) WasRejected() bool { return !o.joined && o.HasEnded() }

// TakeOver tells the old process that this one accepts connections. It returns once the old process no longer accepts
// any, or has not replied within takeOverTimeout. It does not wait for an old process that did not reply to join, which
// reads the request if it ever continues, and then no longer accepts connections beside this process.
func (o *Predecessor) TakeOver(ctx context.Context, log *slog.Logger) {
	if !o.joined {
		if err := o.conversation.write(message{Op: opTake}); err != nil {
			log.Debug("the old process cannot be told of the handover", "error", err)
		}
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	if _, err := o.conversation.request(ctx, message{Op: opTake}); err != nil {
		log.Error("the old process did not confirm the handover; serving nevertheless", "error", err)
	}
}

// Close ends the conversation, and returns once its handlers have returned.
func (o *Predecessor) Close() {
	_ = o.conversation.conn.Close()
	<-o.ended
}
