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
		conn, err := t.listener.Accept()
		if err != nil {
			if t.ctx.Err() != nil {
				return
			}
			if !t.pause(minBackoff) { // the error may be temporary, such as too many open files
				return
			}
			continue
		}
		select {
		case t.connectionSlots <- struct{}{}:
		default:
			t.Stats.ConnectionsRejected.Add(1)
			_ = conn.Close()
			continue
		}
		t.wg.Add(1)
		go func() {
			defer t.wg.Done()
			defer func() { <-t.connectionSlots }()
			t.serve(conn)
		}()
	}
}

// pause waits for a duration, or until the transport is closed. It reports whether the transport is still open.
func (t *Transport) pause(duration time.Duration) bool {
	select {
	case <-t.ctx.Done():
		return false
	case <-time.After(duration):
		return true
	}
}

// serve handles an accepted connection: the TLS handshake, the hello, and then messages until the connection ends.
func (t *Transport) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	defer t.closeOnShutdown(conn)()
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return
	}
	certifiedName := ""
	if t.keys != nil {
		tlsConn := tls.Server(conn, t.keys.Server())
		if err := tlsConn.HandshakeContext(t.ctx); err != nil {
			t.Stats.ConnectionsRejected.Add(1)
			t.log.Warn("TLS handshake with a store peer failed, connection rejected", "from", conn.RemoteAddr(),
				"error", err)
			return
		}
		certifiedName, conn = keys.PeerNames(tlsConn.ConnectionState()), tlsConn
	}
	r := bufio.NewReaderSize(conn, bufferBytes)
	hello, ok := t.answerHello(conn, r, certifiedName)
	if !ok {
		return
	}
	err := t.receive(conn, r, hello.From.MemberID)
	if t.ctx.Err() != nil {
		return
	}
	if errors.Is(err, ErrInvalidFrame) {
		t.Stats.InvalidFrames.Add(1)
	}
	t.log.Debug("connection from a store peer ended", "peer", hello.Name, "error", err)
}

// receive delivers the messages from a member to the host until the connection ends. It returns why that happened, and
// never nil.
func (t *Transport) receive(conn net.Conn, r *bufio.Reader, memberID uint64) error {
	for {
		message, err := t.receiveMessage(conn, r)
		if err != nil {
			return err
		}
		if message.GetFrom() != memberID {
			return fmt.Errorf("%w: message from member %d on the connection of member %d", ErrInvalidFrame,
				message.GetFrom(), memberID)
		}
		t.Stats.MessagesReceived.Add(1)
		t.host.Deliver(t.ctx, message)
	}
}

// receiveMessage reads the next message, including all parts of a snapshot.
func (t *Transport) receiveMessage(conn net.Conn, r *bufio.Reader) (*raftpb.Message, error) {
	if err := conn.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
		return nil, err
	}
	kind, payload, err := readFrame(r, maxFrameBytes)
	if err != nil {
		return nil, err
	}
	if kind == kindSnapshot {
		t.meter.Count(usage.Snapshots, usage.In, 1, frameHeaderBytes+len(payload))
		return t.receiveSnapshot(conn, r, payload)
	}
	t.meter.Count(usage.Raft, usage.In, 1, frameHeaderBytes+len(payload))
	if kind != kindMessage {
		return nil, ErrInvalidFrame
	}
	return unmarshalMessage(payload)
}

func unmarshalMessage(payload []byte) (*raftpb.Message, error) {
	message := &raftpb.Message{}
	if err := proto.Unmarshal(payload, message); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrInvalidFrame, err)
	}
	return message, nil
}

// receiveSnapshot reads the frames of kindSnapshotPart that follow a frame of kindSnapshot, whose payload it is passed.
// It returns the message in that payload, with the data of the parts as its snapshot.
func (t *Transport) receiveSnapshot(conn net.Conn, r *bufio.Reader, payload []byte) (*raftpb.Message, error) {
	if len(payload) < snapshotSizeBytes {
		return nil, ErrInvalidFrame
	}
	dataBytes := binary.BigEndian.Uint64(payload)
	var data []byte
	for uint64(len(data)) < dataBytes {
		if err := conn.SetDeadline(time.Now().Add(idleTimeout)); err != nil {
			return nil, err
		}
		kind, part, err := readFrame(r, snapshotPartBytes)
		if err != nil {
			return nil, err
		}
		if kind != kindSnapshotPart || len(part) == 0 || uint64(len(data)+len(part)) > dataBytes {
			return nil, ErrInvalidFrame
		}
		t.meter.Count(usage.Snapshots, usage.In, 0, frameHeaderBytes+len(part))
		data = append(data, part...)
	}
	message, err := unmarshalMessage(payload[snapshotSizeBytes:])
	if err != nil {
		return nil, err
	}
	if data != nil {
		if message.Snapshot == nil {
			return nil, ErrInvalidFrame
		}
		message.Snapshot.Data = data
	}
	return message, nil
}
