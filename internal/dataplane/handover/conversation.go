package handover

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"birchmoor/internal/dataplane/maintenance"
)

const (
	maxMessageBytes    = 4 << 20
	initialBufferBytes = 4 << 10
)

// message is one line of a conversation.
type message struct {
	Op        string                `json:"op"`
	Seq       uint64                `json:"seq"`
	Override  *maintenance.Override `json:"mark,omitempty"`
	State     *State                `json:"state,omitempty"`
	Ejections []Ejection            `json:"out,omitempty"`
	Error     string                `json:"error,omitempty"`
}

// The operations of messages.
const (
	opJoin  = "join"
	opMark  = "mark"
	opEject = "eject"
	opTake  = "take"
	opReply = "reply"
)

// conversation is one side of the connection between two processes.
type conversation struct {
	conn  net.Conn
	ended chan struct{}

	mu      sync.Mutex // guards what follows, and writing
	seq     uint64     // of the latest request
	waiting map[uint64]chan message
}

func newConversation(conn net.Conn) *conversation {
	return &conversation{conn: conn, ended: make(chan struct{}), waiting: map[uint64]chan message{}}
}

// run handles the other side's requests, each in a goroutine of its own, until the connection ends.
func (c *conversation) run(handle func(message) message) error {
	var handlers sync.WaitGroup
	defer handlers.Wait()
	defer close(c.ended)
	defer c.conn.Close()
	lines := bufio.NewScanner(c.conn)
	lines.Buffer(make([]byte, 0, initialBufferBytes), maxMessageBytes)
	for lines.Scan() {
		var m message
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return fmt.Errorf("handover: malformed line: %w", err)
		}
		if m.Op == opReply {
			c.deliver(m)
			continue
		}
		handlers.Go(func() {
			reply := handle(m)
			reply.Op, reply.Seq = opReply, m.Seq
			_ = c.write(reply) // the other side sees a failure as the connection's end
		})
	}
	return lines.Err()
}

// deliver gives a reply to the request that waits for it, if one does.
func (c *conversation) deliver(reply message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting := c.waiting[reply.Seq]; waiting != nil {
		waiting <- reply // it is buffered, and gets one reply
		delete(c.waiting, reply.Seq)
	}
}

func (c *conversation) write(m message) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.conn.SetWriteDeadline(time.Now().Add(replyTimeout)) // fails on a closed connection, as Write does
	_, err = c.conn.Write(append(text, '\n'))
	return err
}

// request sends a request and waits for its reply.
func (c *conversation) request(ctx context.Context, m message) (message, error) {
	replies := make(chan message, 1)
	c.mu.Lock()
	c.seq++
	m.Seq = c.seq
	c.waiting[m.Seq] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, m.Seq)
		c.mu.Unlock()
	}()
	if err := c.write(m); err != nil {
		return message{}, fmt.Errorf("handover: %s: %w", m.Op, err)
	}
	select {
	case reply := <-replies:
		if reply.Error != "" {
			return reply, fmt.Errorf("handover: %s: the other process: %s", m.Op, reply.Error)
		}
		return reply, nil
	case <-c.ended:
		return message{}, fmt.Errorf("handover: %s: %w", m.Op, io.ErrUnexpectedEOF)
	case <-ctx.Done():
		return message{}, fmt.Errorf("handover: %s: %w", m.Op, ctx.Err())
	}
}

// peer returns the other side's process.
func (c *conversation) peer() Peer {
	return Peer{ApplyOverride: c.applyOverride, ReportEjections: c.reportEjections}
}

func (c *conversation) applyOverride(ctx context.Context, o maintenance.Override) error {
	ctx, cancel := context.WithTimeout(ctx, replyTimeout)
	defer cancel()
	_, err := c.request(ctx, message{Op: opMark, Override: &o})
	return err
}

func (c *conversation) reportEjections(ctx context.Context, list []Ejection) error {
	_, err := c.request(ctx, message{Op: opEject, Ejections: list})
	return err
}

// handleNotification handles the requests that either side may send.
func handleNotification(p Process, m message) message {
	switch m.Op {
	case opMark:
		return mergeOverride(p, m)
	case opEject:
		p.ApplyEjections(m.Ejections)
		return message{}
	}
	return message{Error: "unknown request " + m.Op}
}

func mergeOverride(p Process, m message) message {
	if m.Override == nil {
		return message{Error: "no mark"}
	}
	ctx, cancel := context.WithTimeout(context.Background(), replyTimeout)
	defer cancel()
	return errorReply(p.Merge(ctx, *m.Override))
}

// errorReply returns a reply with an error, or an empty one for nil.
func errorReply(err error) message {
	if err != nil {
		return message{Error: err.Error()}
	}
	return message{}
}
