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

// message is one line of a conversation: a request, or the reply with the same Seq.
type message struct {
	Op        string                `json:"op"`
	Seq       uint64                `json:"seq"`
	Override  *maintenance.Override `json:"mark,omitempty"`
	State     *State                `json:"state,omitempty"`
	Ejections []Ejection            `json:"out,omitempty"`
	Requests  []string              `json:"ids,omitempty"`
	Error     string                `json:"error,omitempty"`
}

// The operations of messages.
const (
	opJoin  = "join"
	opMark  = "mark"
	opEject = "eject"
	opIDs   = "ids"
	opTake  = "take"
	opReply = "reply"
)

// conversation is one side of the connection between two processes. It is safe for concurrent use.
type conversation struct {
	conn  net.Conn
	ended chan struct{} // closed when the connection has ended

	mu      sync.Mutex              // guards the fields below, and writes to conn
	lastSeq uint64                  // Seq of this side's latest request
	waiting map[uint64]chan message // requests without a reply, by Seq
}

func newConversation(conn net.Conn) *conversation {
	return &conversation{conn: conn, ended: make(chan struct{}), waiting: map[uint64]chan message{}}
}

// run reads from the connection until it ends. It handles each request of the other side in a goroutine of its own, and
// waits for these before it returns.
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
			_ = c.write(reply) // if this fails, the other side sees that the connection has ended
		})
	}
	return lines.Err()
}

// deliver passes a reply to the request that waits for it. A reply without a waiting request is dropped.
func (c *conversation) deliver(reply message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiting := c.waiting[reply.Seq]; waiting != nil {
		waiting <- reply // does not block: the channel has room for its one reply
		delete(c.waiting, reply.Seq)
	}
}

// write sends one message. Messages of concurrent calls do not mix.
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

// request sends a request and waits for its reply until ctx or the connection ends. An error in the reply is returned
// as an error.
func (c *conversation) request(ctx context.Context, m message) (message, error) {
	replies := make(chan message, 1)
	c.mu.Lock()
	c.lastSeq++
	m.Seq = c.lastSeq
	c.waiting[m.Seq] = replies
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		delete(c.waiting, m.Seq)
		c.mu.Unlock()
	}()
	if err := c.write(m); err != nil {
		_ = c.conn.Close() // a part of the message may have been sent
		<-c.ended
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

// peer returns the calls to the process on the other side.
func (c *conversation) peer() Peer {
	return Peer{ApplyOverride: c.applyOverride, ReportEjections: c.reportEjections, ReportRequests: c.reportRequests}
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

func (c *conversation) reportRequests(ctx context.Context, keys []string) error {
	_, err := c.request(ctx, message{Op: opIDs, Requests: keys})
	return err
}

// handleNotification handles the requests that either process may send, and returns the reply.
func handleNotification(p Process, m message) message {
	switch m.Op {
	case opMark:
		return mergeOverride(p, m)
	case opEject:
		p.ApplyEjections(m.Ejections)
		return message{}
	case opIDs:
		p.ApplyRequests(m.Requests)
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

// errorReply returns a reply with an error, or an empty reply if err is nil.
func errorReply(err error) message {
	if err != nil {
		return message{Error: err.Error()}
	}
	return message{}
}
