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

// Listen makes this process the one that a new one finds at path, in place of any earlier one.
func Listen(path string) (net.Listener, error) {
	temporary := fmt.Sprintf("%s.%d", path, os.Getpid())
	_ = os.Remove(temporary) // that of an earlier process with this process's number
	ln, err := net.Listen("unix", temporary)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	if unix, ok := ln.(*net.UnixListener); ok {
		unix.SetUnlinkOnClose(false) // the path may be the next process's by then
	}
	if err := os.Rename(temporary, path); err != nil {
		_ = ln.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return ln, nil
}

// Serve waits for new processes until ctx ends. It talks to one at a time, and rejects others.
func Serve(ctx context.Context, ln net.Listener, p Process, log *slog.Logger) {
	var conversations sync.WaitGroup
	defer conversations.Wait()
	defer context.AfterFunc(ctx, func() { _ = ln.Close() })()
	busy := make(chan struct{}, 1)
	for {
		conn, err := ln.Accept()
		if err != nil {
			if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
				return
			}
			log.Warn("handover accept", "error", err)
			select {
			case <-time.After(joinTimeout):
			case <-ctx.Done():
			}
			continue
		}
		select {
		case busy <- struct{}{}:
			conversations.Go(func() {
				defer func() { <-busy }()
				newServer(conn, p, log).serve(ctx)
			})
		default:
			_ = conn.Close()
		}
	}
}

// server is the old process's side of a conversation.
type server struct {
	*conversation
	process Process
	log     *slog.Logger

	mu        sync.Mutex // one request is handled at a time
	leave     func()     // ends the sharing of budgets
	takenOver bool       // the new process accepts connections
}

func newServer(conn net.Conn, p Process, log *slog.Logger) *server {
	return &server{conversation: newConversation(conn), process: p, log: log, leave: func() {}}
}

// serve holds the conversation with one new process.
func (s *server) serve(ctx context.Context) {
	defer context.AfterFunc(ctx, func() { _ = s.conn.Close() })()
	// A connection that does not join is not a sidecar's. Setting a deadline fails on a closed connection, which
	// run finds.
	_ = s.conn.SetReadDeadline(time.Now().Add(joinTimeout))
	err := s.run(func(m message) message { return s.handle(ctx, m) })
	s.leave()
	if ctx.Err() != nil {
		return
	}
	s.log.Warn("the new process is gone", "after taking over", s.takenOver, "error", err)
	if s.takenOver {
		s.process.ResumeAccepting()
	}
}

// handle handles a request of the new process.
func (s *server) handle(ctx context.Context, m message) message {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch m.Op {
	case opJoin:
		return s.join(ctx)
	case opTake:
		s.process.StopAccepting()
		s.takenOver = true
		return message{}
	}
	return handleNotification(s.process, m)
}

// join begins to share budgets with the new process, and replies with the state.
func (s *server) join(ctx context.Context) message {
	_ = s.conn.SetReadDeadline(time.Time{})
	s.log.Info("a new process has joined")
	s.leave()
	s.leave = s.process.AddPeer(s.peer())
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	state, err := s.process.State(ctx)
	if err != nil {
		return errorReply(err)
	}
	return message{State: &state}
}
