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

// errIdle reports that a link closed its connection because it had nothing to send. A link does so before the other
// side's idleTimeout has passed.
var errIdle = errors.New("no message to send before the idle timeout")

// link sends messages to one member. Two goroutines run it: one for snapshots and one for all other messages.
type link struct {
	transport *Transport
	memberID  uint64 // of the member that peer describes
	peer      Peer
	ctx       context.Context
	cancel    context.CancelFunc

	messages    chan *raftpb.Message
	snapshots   chan *raftpb.Message // messages of type MsgSnap
	queuedBytes atomic.Int64         // size of the messages in both queues
}

// SetPeers sets the members to which messages can be sent, by member ID. It closes the links to members that are not
// among them, or whose name or address has changed.
func (t *Transport) SetPeers(peers map[uint64]Peer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, l := range t.links {
		if peer, ok := peers[id]; !ok || peer != l.peer {
			l.cancel()
			delete(t.links, id)
		}
	}
	for id, peer := range peers {
		if t.links[id] == nil && t.ctx.Err() == nil {
			t.links[id] = t.newLink(id, peer)
		}
	}
}

func (t *Transport) newLink(id uint64, peer Peer) *link {
	l := &link{
		transport: t,
		memberID:  id,
		peer:      peer,
		messages:  make(chan *raftpb.Message, maxQueuedMessages),
		snapshots: make(chan *raftpb.Message, 1),
	}
	l.ctx, l.cancel = context.WithCancel(t.ctx)
	t.wg.Add(2)
	go l.run(l.messages)
	go l.run(l.snapshots)
	return l
}

// Send queues messages. It does not block: a message is dropped if its queue is full or its recipient is not a peer.
func (t *Transport) Send(messages []*raftpb.Message) {
	for _, message := range messages {
		t.mu.Lock()
		l := t.links[message.GetTo()]
		t.mu.Unlock()
		if l == nil || !l.enqueue(message) {
			t.drop(message)
		}
	}
}

// enqueue queues a message unless its queue is full, and reports whether it did. maxQueuedBytes does not apply to
// snapshots.
func (l *link) enqueue(message *raftpb.Message) bool {
	size := int64(proto.Size(message))
	queue := l.snapshots
	if message.GetType() != raftpb.MsgSnap {
		queue = l.messages
		if l.queuedBytes.Load()+size > maxQueuedBytes {
			return false
		}
	}
	select {
	case queue <- message:
		l.queuedBytes.Add(size)
		return true
	default:
		return false
	}
}

// releaseBytes subtracts the size of a message that was taken from a queue from queuedBytes.
func (l *link) releaseBytes(message *raftpb.Message) { l.queuedBytes.Add(-int64(proto.Size(message))) }

// drop counts a message that was not sent, and reports it to the host.
func (t *Transport) drop(message *raftpb.Message) {
	t.Stats.MessagesDropped.Add(1)
	if message.GetType() == raftpb.MsgSnap {
		t.host.ReportSnapshot(message.GetTo(), false)
	} else {
		t.host.ReportUnreachable(message.GetTo())
	}
}

// run sends the messages of a queue until the link is closed. It opens a connection when there is a message to send.
// After a failure it drops the queued messages and waits for a backoff with jitter.
func (l *link) run(queue chan *raftpb.Message) {
	defer l.transport.wg.Done()
	backoff := minBackoff
	for {
		var message *raftpb.Message
		select {
		case <-l.ctx.Done():
			return
		case message = <-queue:
		}
		conn, err := l.dial()
		if err == nil {
			backoff = minBackoff
			err = l.send(conn, message, queue)
			_ = conn.Close()
			if errors.Is(err, errIdle) {
				continue
			}
		} else {
			l.releaseBytes(message)
			l.transport.drop(message)
		}
		if l.ctx.Err() != nil {
			return
		}
		l.transport.log.Debug("cannot send to a store peer, dropping queued messages", "peer", l.peer.Name,
			"error", err)
		l.dropQueued(queue)
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(backoff/2 + rand.N(backoff)):
		}
		backoff = min(2*backoff, maxBackoff)
	}
}

// dropQueued drops all messages of a queue after a failure. Raft sends again what is still needed.
func (l *link) dropQueued(queue chan *raftpb.Message) {
	for {
		select {
		case message := <-queue:
			l.releaseBytes(message)
			l.transport.drop(message)
		default:
			return
		}
	}
}

// dial opens a connection to the member and exchanges hellos on it.
func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	tcp, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.peer.Address)
	if err != nil {
		return nil, err
	}
	metered := l.transport.meter.WrapConn(tcp)
	secured, err := l.startTLS(ctx, metered)
	if err != nil {
		_ = metered.Close()
		return nil, err
	}
	if err := l.sendHello(secured); err != nil {
		_ = secured.Close()
		return nil, err
	}
	return secured, nil
}

// startTLS starts TLS on a connection and returns the secured one. Without keys it returns the connection itself.
func (l *link) startTLS(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if l.transport.keys == nil {
		return conn, nil
	}
	cfg, err := l.transport.keys.Client(l.peer.Name)
	if err != nil {
		return nil, err
	}
	tlsConn := tls.Client(conn, cfg)
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		l.transport.Stats.ConnectionsRejected.Add(1)
		return nil, err
	}
	return tlsConn, nil
}

// send writes a message, and then those of the queue, to a connection until that fails, the link is closed, or nothing
// has been queued for half the idle timeout. The error is errIdle in the last case, and never nil.
func (l *link) send(conn net.Conn, message *raftpb.Message, queue chan *raftpb.Message) error {
	defer l.transport.closeOnShutdown(conn)()
	defer context.AfterFunc(l.ctx, func() { _ = conn.Close() })()
	writer := &messageWriter{conn: conn, buffered: bufio.NewWriterSize(conn, bufferBytes), meter: l.transport.meter}
	for {
		l.releaseBytes(message)
		if err := l.write(writer, message, queue); err != nil {
			return err
		}
		l.transport.Stats.MessagesSent.Add(1)
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case <-time.After(idleTimeout / 2):
			return errIdle
		case message = <-queue:
		}
	}
}

// write writes a message, and flushes the connection's buffer if nothing else is queued. It tells the host whether a
// snapshot was sent, and that any other message was not sent.
func (l *link) write(writer *messageWriter, message *raftpb.Message, queue chan *raftpb.Message) error {
	if message.GetType() == raftpb.MsgSnap {
		err := writer.writeSnapshot(message)
		l.transport.host.ReportSnapshot(l.memberID, err == nil)
		if err != nil {
			return err
		}
	} else if err := writer.writeMessage(message); err != nil {
		l.transport.host.ReportUnreachable(l.memberID)
		return err
	}
	if len(queue) > 0 {
		return nil
	}
	if err := writer.buffered.Flush(); err != nil {
		l.transport.host.ReportUnreachable(l.memberID)
		return err
	}
	return nil
}

// messageWriter writes messages as frames to a connection, through a buffer.
type messageWriter struct {
	conn     net.Conn
	buffered *bufio.Writer
	frame    []byte // buffer that is reused for each frame
	meter    *usage.Recorder
}

// extendDeadline restarts the write timeout of the connection.
func (w *messageWriter) extendDeadline() error {
	return w.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// writeFrame writes a frame, and counts it for a purpose as messageCount messages: 1, or 0 for a part of a snapshot.
func (w *messageWriter) writeFrame(kind frameKind, payload []byte, purpose usage.Purpose, messageCount int) error {
	w.frame = appendFrame(w.frame[:0], kind, payload)
	w.meter.Count(purpose, usage.Out, messageCount, len(w.frame))
	_, err := w.buffered.Write(w.frame)
	return err
}

func (w *messageWriter) writeMessage(message *raftpb.Message) error {
	if err := w.extendDeadline(); err != nil {
		return err
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		return err
	}
	return w.writeFrame(kindMessage, payload, usage.Raft, 1)
}

// writeSnapshot writes a message without the data of its snapshot, then the data in parts, and flushes the buffer.
func (w *messageWriter) writeSnapshot(message *raftpb.Message) error {
	if err := w.extendDeadline(); err != nil {
		return err
	}
	data := message.Snapshot.Data
	encoded, err := proto.Marshal(&raftpb.Message{
		Type:     message.Type,
		To:       message.To,
		From:     message.From,
		Term:     message.Term,
		LogTerm:  message.LogTerm,
		Index:    message.Index,
		Commit:   message.Commit,
		Snapshot: &raftpb.Snapshot{Metadata: message.Snapshot.Metadata},
	})
	if err != nil {
		return err
	}
	payload := append(binary.BigEndian.AppendUint64(nil, uint64(len(data))), encoded...)
	if err := w.writeFrame(kindSnapshot, payload, usage.Snapshots, 1); err != nil {
		return err
	}
	for len(data) > 0 {
		partBytes := min(len(data), snapshotPartBytes)
		if err := w.extendDeadline(); err != nil {
			return err
		}
		if err := w.writeFrame(kindSnapshotPart, data[:partBytes], usage.Snapshots, 0); err != nil {
			return err
		}
		data = data[partBytes:]
	}
	return w.buffered.Flush()
}
