// Package handover lets a new process of the sidecar take over from the old one under load. The two find each
// other over a Unix socket. They speak lines of JSON, each a request with a number or the reply to one:
//
//	join  new to old: the reply is the old one's State; from now on both share their budgets
//	mark  either way: an operator's call, which binds in both before it is answered
//	eject either way: the endpoints that the one has ejected, and for how long yet
//	take  new to old: the new one accepts; the old one has stopped to when it replies
//
// The connection lasts until one of the two ends, and its end is how the other one knows.
package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"birchmoor/internal/dataplane/maintenance"
)

// State is what an old process tells the new one.
type State struct {
	Overrides []maintenance.Override `json:"marks"`
	List      json.RawMessage        `json:"list"` // of endpoints, in discovery's form

	Snapshot       []byte            `json:"snapshot,omitempty"` // of the decision module, in package snapshot's form
	OtherProtocols map[string][]byte `json:"others,omitempty"`   // of those of protocols besides HTTP
}

// Ejection is an endpoint that a process sends nothing for a while, since it failed.
type Ejection struct {
	ID         string `json:"id"`
	LeftMicros int64  `json:"left"` // microseconds
}

// Peer is what can be told to the process beside this one.
type Peer struct {
	ApplyOverride   func(context.Context, maintenance.Override) error
	ReportEjections func(context.Context, []Ejection) error
}

// Process is what the conversation needs of the process that it is held in.
type Process interface {
	// AddPeer is called with what can be told to the other process, and begins the time in which both share their
	// budgets. The function that it returns ends that time.
	AddPeer(other Peer) (leave func())
	// State returns what a new process must know. It is called after Beside.
	State(ctx context.Context) (State, error)
	// Merge makes an operator's call to the other process bind here.
	Merge(ctx context.Context, marks ...maintenance.Override) error
	// ApplyEjections takes the other process's word on endpoints that fail.
	ApplyEjections(list []Ejection)
	// StopAccepting stops accepting: the other process does. Resume accepts again, since that one is gone.
	StopAccepting()
	ResumeAccepting()
}

const (
	maxMessageBytes = 4 << 20
	replyTimeout    = 700 * time.Millisecond
	joinTimeout     = time.Second
	takeOverTimeout = 2 * time.Second
)

// message is one line.
type message struct {
	Op        string                `json:"op"`
	Seq       uint64                `json:"seq"`
	Override  *maintenance.Override `json:"mark,omitempty"`
	State     *State                `json:"state,omitempty"`
	Ejections []Ejection            `json:"out,omitempty"`
	Error     string                `json:"error,omitempty"`
}

const opReply = "reply"

// conversation is one side of a conversation.
type conversation struct {
	conn  net.Conn
	ended chan struct{}

	mu      sync.Mutex
	seq     uint64
	waiting map[uint64]chan message
}

func newConversation(conn net.Conn) *conversation {
	return &conversation{conn: conn, ended: make(chan struct{}), waiting: map[uint64]chan message{}}
}

// run handles the other side's requests, each by itself, until the connection ends.
func (t *conversation) run(handle func(message) message) error {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	defer close(t.ended)
	defer t.conn.Close()
	lines := bufio.NewScanner(t.conn)
	lines.Buffer(make([]byte, 0, 4096), maxMessageBytes)
	for lines.Scan() {
		var m message
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return fmt.Errorf("handover: malformed line: %w", err)
		}
		if m.Op == opReply {
			t.mu.Lock()
			if ch := t.waiting[m.Seq]; ch != nil {
				ch <- m // room for one, and each is waited for once
				delete(t.waiting, m.Seq)
			}
			t.mu.Unlock()
			continue
		}
		handlers.Go(func() {
			reply := handle(m)
			reply.Op, reply.Seq = opReply, m.Seq
			t.write(reply) // that it failed shows as the connection's end
		})
	}
	return lines.Err()
}

func (t *conversation) write(m message) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.conn.SetWriteDeadline(time.Now().Add(replyTimeout))
	_, err = t.conn.Write(append(text, '\n'))
	return err
}

// request makes a request and waits for its reply.
func (t *conversation) request(ctx context.Context, m message) (message, error) {
	reply := make(chan message, 1)
	t.mu.Lock()
	t.seq++
	m.Seq = t.seq
	t.waiting[m.Seq] = reply
	t.mu.Unlock()
	defer func() {
		t.mu.Lock()
		delete(t.waiting, m.Seq)
		t.mu.Unlock()
	}()
	if err := t.write(m); err != nil {
		return message{}, fmt.Errorf("handover: %s: %w", m.Op, err)
	}
	select {
	case r := <-reply:
		if r.Error != "" {
			return r, fmt.Errorf("handover: %s: the other process: %s", m.Op, r.Error)
		}
		return r, nil
	case <-t.ended:
		return message{}, fmt.Errorf("handover: %s: %w", m.Op, io.ErrUnexpectedEOF)
	case <-ctx.Done():
		return message{}, fmt.Errorf("handover: %s: %w", m.Op, ctx.Err())
	}
}

// applyOverride tells the other side of an operator's call.
func (t *conversation) applyOverride(ctx context.Context, m maintenance.Override) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	_, err := t.request(ctx, message{Op: "mark", Override: &m})
	return err
}

// reportEjections tells the other side whom this one has ejected.
func (t *conversation) reportEjections(ctx context.Context, list []Ejection) error {
	_, err := t.request(ctx, message{Op: "eject", Ejections: list})
	return err
}

func (t *conversation) peer() Peer {
	return Peer{ApplyOverride: t.applyOverride, ReportEjections: t.reportEjections}
}

// mergeOverride handles the other side's mark.
func mergeOverride(p Process, m message) message {
	if m.Override == nil {
		return message{Error: "no mark"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	return errorReply(p.Merge(ctx, *m.Override))
}

// handleNotification handles what either side may tell the other.
func handleNotification(p Process, m message) message {
	switch m.Op {
	case "mark":
		return mergeOverride(p, m)
	case "eject":
		p.ApplyEjections(m.Ejections)
		return message{}
	}
	return message{Error: "unknown request " + m.Op}
}

func errorReply(err error) message {
	if err != nil {
		return message{Error: err.Error()}
	}
	return message{}
}

// ---- The old process -------------------------------------------------------

// Listen makes this process the one that a new one finds at path, in place of whoever was found there before.
func Listen(path string) (net.Listener, error) {
	fresh := fmt.Sprintf("%s.%d", path, os.Getpid())
	os.Remove(fresh) // left by a process that had our number
	ln, err := net.Listen("unix", fresh)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	ln.(*net.UnixListener).SetUnlinkOnClose(false) // the path may be the next one's by then
	if err := os.Rename(fresh, path); err != nil {
		ln.Close()
		return nil, fmt.Errorf("handover: %w", err)
	}
	return ln, nil
}

// Serve waits for new processes until ctx ends. It talks to one at a time; others are turned away.
func Serve(ctx context.Context, ln net.Listener, p Process, log *slog.Logger) {
	var talks sync.WaitGroup
	defer talks.Wait()
	defer context.AfterFunc(ctx, func() { ln.Close() })()
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
			talks.Go(func() {
				defer func() { <-busy }()
				serve(ctx, conn, p, log)
			})
		default:
			conn.Close()
		}
	}
}

// serve holds one conversation with a new process.
func serve(ctx context.Context, conn net.Conn, p Process, log *slog.Logger) {
	t := newConversation(conn)
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	// Whoever connects and does not join is no process of ours.
	conn.SetReadDeadline(time.Now().Add(joinTimeout))
	var mu sync.Mutex
	leave, yielded := func() {}, false
	err := t.run(func(m message) message {
		mu.Lock()
		defer mu.Unlock()
		switch m.Op {
		case "join":
			conn.SetReadDeadline(time.Time{})
			log.Info("a new process has joined")
			leave()
			leave = p.AddPeer(t.peer())
			ctx, cancel := context.WithTimeout(ctx, replyTimeout)
			defer cancel()
			state, err := p.State(ctx)
			if err != nil {
				return errorReply(err)
			}
			return message{State: &state}
		case "take":
			p.StopAccepting()
			yielded = true
			return message{}
		}
		return handleNotification(p, m)
	})
	leave()
	if ctx.Err() != nil {
		return
	}
	log.Warn("the new process is gone", "after taking over", yielded, "error", err)
	if yielded {
		p.ResumeAccepting()
	}
}

// ---- The new process -------------------------------------------------------

// Predecessor is the process that was found, for as long as it lives.
type Predecessor struct {
	conversation *conversation
	hung         bool
	closed       chan struct{}
}

// Join looks for an old process at path. It returns nil if there is none. One that is there and does not reply
// is hung: it is left alone, though what it holds still counts.
func Join(ctx context.Context, path string, p Process, log *slog.Logger) (*Predecessor, State) {
	conn, err := (&net.Dialer{Timeout: joinTimeout}).DialContext(ctx, "unix", path)
	if err != nil {
		return nil, State{} // nothing there, or what a dead process left
	}
	o := &Predecessor{conversation: newConversation(conn), closed: make(chan struct{})}
	go func() {
		defer close(o.closed)
		o.conversation.run(func(m message) message { return handleNotification(p, m) })
	}()
	leave := p.AddPeer(o.conversation.peer())
	go func() {
		<-o.closed
		leave()
		log.Info("the old process is gone")
	}()
	ctx, cancel := context.WithTimeout(ctx, joinTimeout)
	defer cancel()
	reply, err := o.conversation.request(ctx, message{Op: "join"})
	if err != nil || reply.State == nil {
		log.Error("the old process does not reply, going on without it", "error", err)
		o.hung = true
		return o, State{}
	}
	log.Info("joined the old process", "marks", len(reply.State.Overrides))
	return o, *reply.State
}

// TakeOver tells the old process that this one accepts, and returns once that one has stopped to, or is not worth
// waiting for.
func (o *Predecessor) TakeOver(ctx context.Context, log *slog.Logger) {
	if o.hung {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeOverTimeout)
	defer cancel()
	if _, err := o.conversation.request(ctx, message{Op: "take"}); err != nil {
		log.Error("the old process did not hand over, serving all the same", "error", err)
	}
}

// Close ends the conversation, and returns once it is over.
func (o *Predecessor) Close() {
	o.conversation.conn.Close()
	<-o.closed
}
