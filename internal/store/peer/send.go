package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"math/rand/v2"
	"net"
	"sync/atomic"
	"time"

	"birchmoor/internal/store/usage"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// errIdle ends a connection on which there is nothing to send, before the other side closes it.
var errIdle = errors.New("nothing to send")

// link sends messages to one member.
type link struct {
	transport *Transport
	memberID  uint64
	peer      Peer
	ctx       context.Context
	cancel    context.CancelFunc

	queue       chan *raftpb.Message
	snapshots   chan *raftpb.Message
	queuedBytes atomic.Int64 // in both queues
}

// SetPeers sets the members to which messages can be sent. Links to members that are gone, or have moved, are closed.
func (t *Transport) SetPeers(peers map[uint64]Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		if p, ok := peers[id]; !ok || p != l.peer {
			l.cancel()
			delete(t.links, id)
		}
	}
	for id, p := range peers {
		if t.links[id] == nil && t.ctx.Err() == nil {
			t.links[id] = t.newLink(id, p)
		}
	}
}

func (t *Transport) newLink(id uint64, p Peer) *link {
	l := &link{
		transport: t,
		memberID:  id,
		peer:      p,
		queue:     make(chan *raftpb.Message, maxQueuedMessages),
		snapshots: make(chan *raftpb.Message, 1),
	}
	l.ctx, l.cancel = context.WithCancel(t.ctx)
	t.wg.Add(2)
	go l.run(l.queue)
	go l.run(l.snapshots)
	return l
}

// Send queues messages. It does not block: a message that does not fit is dropped.
func (t *Transport) Send(messages []*raftpb.Message) {
	for _, m := range messages {
		t.mu.Lock()
		l := t.links[m.GetTo()]
		t.mu.Unlock()
		if l == nil || !l.enqueue(m) {
			t.drop(m)
		}
	}
}

// enqueue queues a message and reports whether it fits. The bound in bytes does not apply to snapshots.
func (l *link) enqueue(m *raftpb.Message) bool {
	size := int64(proto.Size(m))
	queue := l.snapshots
	if m.GetType() != raftpb.MsgSnap {
		queue = l.queue
		if l.queuedBytes.Load()+size > maxQueuedBytes {
			return false
		}
	}
	select {
	case queue <- m:
		l.queuedBytes.Add(size)
		return true
	default:
		return false
	}
}

// dequeued releases the bytes of a message that was taken from a queue.
func (l *link) dequeued(m *raftpb.Message) { l.queuedBytes.Add(-int64(proto.Size(m))) }

// drop counts a message that is not sent, and reports it to the host.
func (t *Transport) drop(m *raftpb.Message) {
	t.Stats.MessagesDropped.Add(1)
	if m.GetType() == raftpb.MsgSnap {
		t.host.ReportSnapshot(m.GetTo(), false)
	} else {
		t.host.ReportUnreachable(m.GetTo())
	}
}

// run sends the messages of a queue, on one connection after another, until the link is closed.
func (l *link) run(queue chan *raftpb.Message) {
	defer l.transport.wg.Done()
	backoff := minBackoff
	for {
		var m *raftpb.Message
		select {
		case <-l.ctx.Done():
			return
		case m = <-queue:
		}
		c, err := l.dial()
		if err == nil {
			backoff = minBackoff
			err = l.send(c, m, queue)
			_ = c.Close()
			if errors.Is(err, errIdle) {
				continue
			}
		} else {
			l.dequeued(m)
			l.transport.drop(m)
		}
		if l.ctx.Err() != nil {
			return
		}
		l.transport.log.Debug("cannot send to a store peer", "peer", l.peer.Name, "error", err)
		l.dropQueued(queue)
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// dropQueued empties a queue after a failure: raft sends anew what is still needed.
func (l *link) dropQueued(queue chan *raftpb.Message) {
	for {
		select {
		case m := <-queue:
			l.dequeued(m)
			l.transport.drop(m)
		default:
			return
		}
	}
}

// dial opens a connection and exchanges hellos.
func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	tcp, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.peer.Address)
	if err != nil {
		return nil, err
	}
	c := l.transport.meter.WrapConn(tcp)
	secured, err := l.secure(ctx, c)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	if err := l.sendHello(secured); err != nil {
		_ = secured.Close()
		return nil, err
	}
	return secured, nil
}

// secure adds TLS to a connection, unless there are no keys.
func (l *link) secure(ctx context.Context, c net.Conn) (net.Conn, error) {
	if l.transport.keys == nil {
		return c, nil
	}
	cfg, err := l.transport.keys.Client(l.peer.Name)
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Client(c, cfg)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		l.transport.Stats.ConnectionsRejected.Add(1)
		return nil, err
	}
	return tlsConn, nil
}

// send writes messages to a connection until that fails or nothing is queued for some time. It never returns nil.
func (l *link) send(c net.Conn, m *raftpb.Message, queue chan *raftpb.Message) error {
	defer l.transport.closeOnShutdown(c)()
	defer context.AfterFunc(l.ctx, func() { _ = c.Close() })()
	w := &messageWriter{conn: c, buffered: bufio.NewWriterSize(c, bufferBytes), meter: l.transport.meter}
	for {
		l.dequeued(m)
		if err := l.write(w, m, queue); err != nil {
			return err
		}
		l.transport.Stats.MessagesSent.Add(1)
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case <-time.After(idleTimeout / 2):
			return errIdle
		case m = <-queue:
		}
	}
}

// write writes a message, and flushes if nothing else is queued. It reports to the host whether a snapshot was sent,
// and that another message was not.
func (l *link) write(w *messageWriter, m *raftpb.Message, queue chan *raftpb.Message) error {
	if m.GetType() == raftpb.MsgSnap {
		err := w.writeSnapshot(m)
		l.transport.host.ReportSnapshot(l.memberID, err == nil)
		if err != nil {
			return err
		}
	} else if err := w.writeMessage(m); err != nil {
		l.transport.host.ReportUnreachable(l.memberID)
		return err
	}
	if len(queue) > 0 {
		return nil
	}
	if err := w.buffered.Flush(); err != nil {
		l.transport.host.ReportUnreachable(l.memberID)
		return err
	}
	return nil
}

// messageWriter writes messages as frames.
type messageWriter struct {
	conn     net.Conn
	buffered *bufio.Writer
	frame    []byte // reused
	meter    *usage.Recorder
}

func (w *messageWriter) extendDeadline() error {
	return w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeFrame writes a frame, which counts as so many messages.
func (w *messageWriter) writeFrame(kind frameKind, payload []byte, purpose usage.Purpose, messages int) error {
	w.frame = appendFrame(w.frame[:0], kind, payload)
	w.meter.Count(purpose, usage.Out, messages, len(w.frame))
	_, err := w.buffered.Write(w.frame)
	return err
}

func (w *messageWriter) writeMessage(m *raftpb.Message) error {
	if err := w.extendDeadline(); err != nil {
		return err
	}
	b, err := proto.Marshal(m)
	if err != nil {
		return err
	}
	return w.writeFrame(kindMessage, b, usage.Raft, 1)
}

// writeSnapshot writes a message without the data of its snapshot, followed by the data in parts.
func (w *messageWriter) writeSnapshot(m *raftpb.Message) error {
	if err := w.extendDeadline(); err != nil {
		return err
	}
	data := m.Snapshot.Data
	b, err := proto.Marshal(&raftpb.Message{
		Type:     m.Type,
		To:       m.To,
		From:     m.From,
		Term:     m.Term,
		LogTerm:  m.LogTerm,
		Index:    m.Index,
		Commit:   m.Commit,
		Snapshot: &raftpb.Snapshot{Metadata: m.Snapshot.Metadata},
	})
	if err != nil {
		return err
	}
	payload := append(binary.BigEndian.AppendUint64(nil, uint64(len(data))), b...)
	if err := w.writeFrame(kindSnapshot, payload, usage.Snapshots, 1); err != nil {
		return err
	}
	for len(data) > 0 {
		n := min(len(data), snapshotPartBytes)
		if err := w.extendDeadline(); err != nil {
			return err
		}
		if err := w.writeFrame(kindSnapshotPart, data[:n], usage.Snapshots, 0); err != nil {
			return err
		}
		data = data[n:]
	}
	return w.buffered.Flush()
}
