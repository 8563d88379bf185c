package handover

import (
	"context"
	"log/slog"
	"net"
)

// Predecessor is the old process, as long as it runs.
type Predecessor struct {
	conversation *conversation
	hung         bool
	closed       chan struct{} // once the conversation is over
}

// Join looks for an old process at path. It returns nil if there is none. An old process that does not reply is
// hung: the new one starts without its state, but what that process holds of the budgets still counts.
func Join(ctx context.Context, path string, p Process, log *slog.Logger) (*Predecessor, State) {
	conn, err := (&net.Dialer{Timeout: joinTimeout}).DialContext(ctx, "unix", path)
	if err != nil {
		return nil, State{} // no socket, or that of a dead process
	}
	old := &Predecessor{conversation: newConversation(conn), closed: make(chan struct{})}
	go func() {
		defer close(old.closed)
		err := old.conversation.run(func(m message) message { return handleNotification(p, m) })
		if err != nil {
			log.Debug("the conversation with the old process failed", "error", err)
		}
	}()
	leave := p.AddPeer(old.conversation.peer())
	go func() {
		<-old.closed
		leave()
		log.Info("the old process is gone")
	}()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := old.conversation.request(ctx, message{Op: opJoin})
	if err != nil || reply.State == nil {
		log.Error("the old process does not reply, going on without it", "error", err)
		old.hung = true
		return old, State{}
	}
	log.Info("joined the old process", "overrides", len(reply.State.Overrides))
	return old, *reply.State
}

// TakeOver tells the old process that this one accepts connections, and returns once that one no longer does, or
// has not replied in time.
func (o *Predecessor) TakeOver(ctx context.Context, log *slog.Logger) {
	if o.hung {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	if _, err := o.conversation.request(ctx, message{Op: opTake}); err != nil {
		log.Error("the old process did not hand over, serving all the same", "error", err)
	}
}

// Close ends the conversation, and returns once it is over.
func (o *Predecessor) Close() {
	_ = o.conversation.conn.Close()
	<-o.closed
}
