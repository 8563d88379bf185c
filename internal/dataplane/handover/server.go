package handover

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"
)

// Listen returns a listener at path, where a new process will find this one. It replaces the socket of an earlier
// process.
func Listen(path string) (net.Listener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary) // may be left by an earlier process with the same PID
	ln, err := net.Listen("unix", temporary)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if unix, ok := ln.(*net.UnixListener); ok {
		unix.SetUnlinkOnClose(false) // by then, path may have a newer process's socket
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return ln, nil
}

const (
	// maxConversations bounds the connections that are served at the same time. Only one of them has the turn.
	maxConversations = 8
	// turnTimeout is the time for which a new process waits for its turn. It leaves replyTimeout of the joinTimeout for
	// which the new process waits for its reply.
	turnTimeout = joinTimeout - replyTimeout
)

// Serve accepts connections of new processes until ctx ends or ln is closed, and returns once all conversations have
// ended. One new process at a time can join and take over. Another one waits for its turn, since the first may just
// have ended, and is disconnected after turnTimeout.
func Serve(ctx context.Context, ln net.Listener, p Process, log *slog.Logger) {
	serveWithTurnTimeout(ctx, ln, p, turnTimeout, log)
}

func serveWithTurnTimeout(ctx context.Context, ln net.Listener, p Process, timeout time.Duration, log *slog.Logger) {
	var conversations sync.WaitGroup
	defer conversations.Wait()
	closed := make(chan struct{})
	stopClosing := context.AfterFunc(ctx, func() {
		_ = ln.Close()
		close(closed)
	})
	defer func() {
		if !stopClosing() {
			<-closed // Accept fails a moment before the socket refuses connections
		}
	}()
	open := make(chan struct{}, maxConversations)
	turn := newTurn(timeout)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			log.Warn("accepting a handover connection failed", "error", err)
			select {
			case <-time.After(joinTimeout):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case open <- struct{}{}:
			conversations.Go(func() {
				defer func() { <-open }()
				newServer(conn, p, turn, log).serve(ctx)
			})
		default:
			_ = conn.Close()
		}
	}
}

// server is the old process's side of a conversation with one new process.
type server struct {
	*conversation
	process Process
	turn    *turn
	log     *slog.Logger

	mu         sync.Mutex // held while a request is handled; guards the fields below
	hasTurn    bool       // whether this conversation has the turn
	removePeer func()     // ends the sharing of budgets with the new process
	takenOver  bool       // whether the new process accepts connections
}

func newServer(conn net.Conn, p Process, t *turn, log *slog.Logger) *server {
	return &server{conversation: newConversation(conn), process: p, turn: t, log: log, removePeer: func() {}}
}

// serve handles the requests of the new process until the connection or ctx ends. If the new process ends after it has
// taken over, this process resumes accepting.
func (s *server) serve(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	// A client that does not join in time is not a sidecar. Setting the deadline fails only on a closed connection, on
	// which run fails as well.
	_ = s.conn.SetReadDeadline(time.Now().Add(joinTimeout))
	err := s.run(func(m message) message { return s.handle(ctx, m) })
	if !s.hasTurn {
		return
	}
	defer s.turn.release()
	s.removePeer()
	if ctx.Err() != nil {
		return
	}
	s.log.Warn("the new process has ended", "taken over", s.takenOver, "error", err)
	if s.takenOver {
		s.process.ResumeAccepting()
	}
}

// handle handles a request of the new process and returns the reply.
func (s *server) handle(ctx context.Context, m message) message {
	s.mu.Lock()
	defer s.mu.Unlock()
	if m.Op != opJoin && m.Op != opTake {
		return handleNotification(s.process, m)
	}
	if !s.awaitTurn(ctx) {
		_ = s.conn.Close() // the new process sees that this one has not let it join
		return errorReply(errBusy)
	}
	if m.Op == opJoin {
		return s.join(ctx)
	}
	s.process.StopAccepting()
	s.takenOver = true
	return message{}
}

// awaitTurn reports whether this conversation has the turn, for which it waits if another one has it.
func (s *server) awaitTurn(ctx context.Context) bool {
	_ = s.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection, on which run fails as well
	if !s.hasTurn {
		s.hasTurn = s.turn.acquire(ctx, s.ended)
	}
	return s.hasTurn
}

// join starts to share budgets with the new process, and returns a reply with the state.
func (s *server) join(ctx context.Context) message {
	s.log.Info("a new process has joined")
	s.removePeer()
	s.removePeer = s.process.AddPeer(s.peer())
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	state, err := s.process.State(ctx)
	if err != nil {
		return errorReply(err)
	}
	return message{State: &state}
}
