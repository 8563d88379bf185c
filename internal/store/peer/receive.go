package peer

import (
	"bufio"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store/usage"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// accept serves each accepted connection in a goroutine of its own, until the transport is closed.
func (t *Transport) accept() {
	defer t.wg.Done()
	for {
		c, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			if !t.pause(minBackoff) { // such as for too many open files
				return
			}
			continue
		}
		select {
		case t.slots <- struct{}{}:
		default:
			t.Stats.ConnectionsRejected.Add(1)
			_ = c.Close()
			continue
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer func() { <-t.slots }()
			t.serve(c)
		}()
	}
}

// pause waits for a duration. It reports whether the transport is still open.
func (t *Transport) pause(d time.Duration) bool {
	select {
	case <-t.ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

// serve handles an accepted connection until it ends.
func (t *Transport) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	defer t.closeOnShutdown(c)()
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	certified := ""
	if t.keys != nil {
		tlsConn := tls.Server(c, t.keys.Server())
		if err := tlsConn.HandshakeContext(t.ctx); err != nil {
			t.Stats.ConnectionsRejected.Add(1)
			t.log.Warn("connection of a store peer rejected", "from", c.RemoteAddr(), "error", err)
			return
		}
		certified, c = keys.PeerNames(tlsConn.ConnectionState()), tlsConn
	}
	r := bufio.NewReaderSize(c, bufferBytes)
	hello, ok := t.answerHello(c, r, certified)
	if !ok {
		return
	}
	err := t.receive(c, r, hello.From.MemberID)
	if t.ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrInvalidFrame) {
		t.Stats.InvalidFrames.Add(1)
	}
	t.log.Debug("connection of a store peer ended", "peer", hello.Name, "error", err)
}

// receive delivers the messages of a member until the connection ends, and returns why it did.
func (t *Transport) receive(c net.Conn, r *bufio.Reader, from uint64) error {
	for {
		m, err := t.receiveMessage(c, r)
		if err != nil {
			return err
		}
		if m.GetFrom() != from {
			return fmt.Errorf("%w: message of member %d on the connection of %d", ErrInvalidFrame, m.GetFrom(), from)
		}
		t.Stats.MessagesReceived.Add(1)
		t.host.Deliver(t.ctx, m)
	}
}

func (t *Transport) receiveMessage(c net.Conn, r *bufio.Reader) (*raftpb.Message, error) {
	if err := c.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
		return nil, err
	}
	kind, b, err := readFrame(r, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	if kind == kindSnapshot {
		t.meter.Count(usage.Snapshots, usage.In, 1, frameHeaderBytes+len(b))
		return t.receiveSnapshot(c, r, b)
	}
	t.meter.Count(usage.Raft, usage.In, 1, frameHeaderBytes+len(b))
	if kind != kindMessage {
		return nil, ErrInvalidFrame
	}
	return unmarshalMessage(b)
}

func unmarshalMessage(b []byte) (*raftpb.Message, error) {
	m := &raftpb.Message{}
	if err := proto.Unmarshal(b, m); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return m, nil
}

// receiveSnapshot reads the parts that follow a frame of kindSnapshot, and returns its message with their data.
func (t *Transport) receiveSnapshot(c net.Conn, r *bufio.Reader, b []byte) (*raftpb.Message, error) {
	if len(b) < snapshotSizeBytes {
		return nil, ErrInvalidFrame
	}
	size := binary.BigEndian.Uint64(b)
	var data []byte
	for uint64(len(data)) < size {
		if err := c.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return nil, err
		}
		kind, part, err := readFrame(r, snapshotPartBytes)
		if err != nil {
			return nil, err
		}
		if kind != kindSnapshotPart || len(part) == 0 || uint64(len(data)+len(part)) > size {
			return nil, ErrInvalidFrame
		}
		t.meter.Count(usage.Snapshots, usage.In, 0, frameHeaderBytes+len(part))
		data = append(data, part...)
	}
	m, err := unmarshalMessage(b[snapshotSizeBytes:])
	if err != nil {
		return nil, err
	}
	if data != nil {
		if m.Snapshot == nil {
			return nil, ErrInvalidFrame
		}
		m.Snapshot.Data = data
	}
	return m, nil
}
