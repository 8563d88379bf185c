// Package peer carries the messages of a replicated store between its replicas: frames over TCP with mutual TLS.
//
// Each replica dials each other one and sends on what it dialled; a second connection carries snapshots, so that a
// long one holds up nothing. Both sides greet first, by name, disk and cluster, and each judges the other. What cannot
// be sent is dropped, as raft allows: queues are bounded by messages and bytes.
package peer

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"

	"github.com/fxamacker/cbor/v2"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// Protocol is the version that is spoken. A side that knows a higher one speaks the lower of both.
const Protocol = 1

const (
	dialTimeout       = 2 * time.Second
	helloTimeout      = 3 * time.Second
	idleTimeout       = 30 * time.Second // heartbeats come far more often
	writeTimeout      = 5 * time.Second
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 2 * time.Second
	maxQueuedMessages = 512
	maxQueuedBytes    = 32 << 20
	maxConnections    = 64 // taken at once, those that have not greeted included
)

// Hello opens a connection.
type Hello struct {
	Protocol      int           `cbor:"1,keyasint"`
	From          replica.Hello `cbor:"2,keyasint"`
	Name          string        `cbor:"3,keyasint"` // of the sender
	RecipientName string        `cbor:"4,keyasint"` // whom it means
	RecipientID   uint64        `cbor:"5,keyasint"` // and that one's id
	Address       string        `cbor:"6,keyasint"` // where the sender is reached, for one that knows no members yet
}

// HelloReply answers one.
type HelloReply struct {
	Rejection string        `cbor:"1,keyasint,omitempty"`
	From      replica.Hello `cbor:"2,keyasint"`
	Name      string        `cbor:"3,keyasint"`
}

// Host is the replica that a Net speaks for. Its methods may be called by any goroutine.
type Host interface {
	// Hello is how this replica greets; a disk of no cluster greets with zeros.
	Hello() replica.Hello
	// Admit judges a greeting; to says how the greeter names this replica, for a disk that belongs to no cluster yet.
	Admit(h Hello) error
	// Deliver takes a message. It may wait, which slows the sender down.
	Deliver(ctx context.Context, m *raftpb.Message)
	ReportUnreachable(member uint64)
	ReportSnapshot(member uint64, ok bool)
}

var errIdle = errors.New("nothing to send")

// Stats counts what a Net did.
type Stats struct {
	HellosRejected      atomic.Int64 // greetings, by either side
	ConnectionsRejected atomic.Int64 // connections over the bound, or without the right keys
	MessagesDropped     atomic.Int64 // messages that found the queue full or no connection
	MessagesSent        atomic.Int64
	MessagesReceived    atomic.Int64
	InvalidFrames       atomic.Int64 // connections that ended with a frame that is none
}

// Transport is a replica's side of the network.
type Transport struct {
	name    string
	address string
	host    Host
	keys    *keys.Pair // nil for plain TCP
	log     *slog.Logger
	meter   *usage.Recorder
	Stats   Stats

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
	ln     net.Listener
	slots  chan struct{}

	mu    sync.Mutex
	links map[uint64]*link
}

// New serves a listener, which it closes at the end. Plain TCP, without keys, is for loopback alone. What crosses is counted by m, if
// it is not nil.
func New(name, address string, ln net.Listener, host Host, pair *keys.Pair, log *slog.Logger, m *usage.Recorder) (*Transport, error) {
	if a, ok := ln.Addr().(*net.TCPAddr); pair == nil && (!ok || !a.IP.IsLoopback()) {
		return nil, fmt.Errorf("store: plain TCP on %s, which is not a loopback address", ln.Addr())
	}
	n := &Transport{name: name, address: address, host: host, keys: pair, log: log, meter: m, ln: m.WrapListener(ln), slots: make(chan struct{}, maxConnections), links: map[uint64]*link{}}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.wg.Add(1)
	go n.accept()
	return n, nil
}

// Close ends all connections and waits for their goroutines.
func (n *Transport) Close() {
	n.cancel()
	n.ln.Close()
	n.wg.Wait()
}

// Addr is where it listens.
func (n *Transport) Addr() net.Addr { return n.ln.Addr() }

func (n *Transport) accept() {
	defer n.wg.Done()
	for {
		c, err := n.ln.Accept()
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			select { // such as too many open files
			case <-n.ctx.Done():
				return
			case <-time.After(minBackoff):
			}
			continue
		}
		select {
		case n.slots <- struct{}{}:
		default:
			n.Stats.ConnectionsRejected.Add(1)
			c.Close()
			continue
		}
		n.wg.Add(1)
		go func() {
			defer n.wg.Done()
			defer func() { <-n.slots }()
			n.serve(c)
		}()
	}
}

// closeOnShutdown closes a connection when the Net ends.
func (n *Transport) closeOnShutdown(c net.Conn) func() bool {
	return context.AfterFunc(n.ctx, func() { c.Close() })
}

func (n *Transport) serve(c net.Conn) {
	defer c.Close()
	defer n.closeOnShutdown(c)()
	c.SetDeadline(time.Now().Add(helloTimeout))
	certified := ""
	if n.keys != nil {
		t := tls.Server(c, n.keys.Server())
		if err := t.HandshakeContext(n.ctx); err != nil {
			n.Stats.ConnectionsRejected.Add(1)
			n.log.Warn("a peer of the store was not let in", "from", c.RemoteAddr(), "error", err)
			return
		}
		certified, c = keys.PeerNames(t.ConnectionState()), t
	}
	r := bufio.NewReaderSize(c, 64<<10)
	k, b, err := readFrame(r, maxHelloBytes)
	var h Hello
	if err == nil && k != kindHello {
		err = ErrInvalidFrame
	}
	if err == nil {
		err = cbor.Unmarshal(b, &h)
	}
	if err != nil {
		n.Stats.InvalidFrames.Add(1)
		return
	}
	n.meter.Count(usage.Other, usage.In, 1, frameHeaderBytes+len(b))
	switch {
	case n.keys != nil && certified != h.Name:
		err = fmt.Errorf("the certificate is for %q, and the greeting from %q", certified, h.Name)
	case h.RecipientName != n.name:
		err = fmt.Errorf("this is %q, and %q was meant", n.name, h.RecipientName)
	case h.Protocol < 1:
		err = fmt.Errorf("protocol %d", h.Protocol)
	default:
		err = n.host.Admit(h)
	}
	v := HelloReply{From: n.host.Hello(), Name: n.name}
	if err != nil {
		v.Rejection = err.Error()
		n.Stats.HellosRejected.Add(1)
		n.log.Warn("a peer of the store was refused", "peer", h.Name, "reason", err)
	}
	if b, err = cbor.Marshal(&v); err != nil {
		return
	}
	n.meter.Count(usage.Other, usage.Out, 1, frameHeaderBytes+len(b))
	if _, err := c.Write(appendFrame(nil, kindHelloReply, b)); err != nil || v.Rejection != "" {
		return
	}
	if err := n.receive(c, r, h.From.MemberID); err != nil && n.ctx.Err() == nil {
		if errors.Is(err, ErrInvalidFrame) {
			n.Stats.InvalidFrames.Add(1)
		}
		n.log.Debug("a peer of the store is gone", "peer", h.Name, "error", err)
	}
}

// receive takes messages until the connection ends.
func (n *Transport) receive(c net.Conn, r *bufio.Reader, from uint64) error {
	for {
		c.SetDeadline(time.Now().Add(idleTimeout))
		k, b, err := readFrame(r, maxFrameBytes)
		if err != nil {
			return err
		}
		var data []byte
		of := usage.Raft
		if k == kindSnapshot {
			of = usage.Snapshots
		}
		n.meter.Count(of, usage.In, 1, frameHeaderBytes+len(b))
		if k == kindSnapshot {
			if data, b, err = n.receiveSnapshot(c, r, b); err != nil {
				return err
			}
		} else if k != kindMessage {
			return ErrInvalidFrame
		}
		m := &raftpb.Message{}
		if err := proto.Unmarshal(b, m); err != nil {
			return fmt.Errorf("%w: %w", ErrInvalidFrame, err)
		}
		if m.GetFrom() != from {
			return fmt.Errorf("%w: a message from member %d on the connection of %d", ErrInvalidFrame, m.GetFrom(), from)
		}
		if data != nil {
			if m.Snapshot == nil {
				return ErrInvalidFrame
			}
			m.Snapshot.Data = data
		}
		n.Stats.MessagesReceived.Add(1)
		n.host.Deliver(n.ctx, m)
	}
}

// receiveSnapshot reads a snapshot's parts.
func (n *Transport) receiveSnapshot(c net.Conn, r *bufio.Reader, b []byte) (data, message []byte, err error) {
	if len(b) < 8 {
		return nil, nil, ErrInvalidFrame
	}
	size := binary.BigEndian.Uint64(b)
	for uint64(len(data)) < size {
		c.SetDeadline(time.Now().Add(idleTimeout))
		k, p, err := readFrame(r, snapshotPartBytes)
		if err != nil {
			return nil, nil, err
		}
		if k != kindSnapshotPart || len(p) == 0 || uint64(len(data)+len(p)) > size {
			return nil, nil, ErrInvalidFrame
		}
		n.meter.Count(usage.Snapshots, usage.In, 0, frameHeaderBytes+len(p))
		data = append(data, p...)
	}
	return data, b[8:], nil
}

// link is how messages go to one member.
type link struct {
	transport     *Transport
	memberID      uint64
	name, address string
	cancel        context.CancelFunc
	ctx           context.Context

	queue       chan *raftpb.Message
	snapshots   chan *raftpb.Message
	queuedBytes atomic.Int64
}

// SetPeers sets whom messages can go to, by member. A member that is not there any more, or elsewhere, is let go.
func (n *Transport) SetPeers(all map[uint64][2]string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for id, l := range n.links {
		if p, ok := all[id]; !ok || p != [2]string{l.name, l.address} {
			l.cancel()
			delete(n.links, id)
		}
	}
	for id, p := range all {
		if n.links[id] != nil || n.ctx.Err() != nil {
			continue
		}
		l := &link{transport: n, memberID: id, name: p[0], address: p[1], queue: make(chan *raftpb.Message, maxQueuedMessages), snapshots: make(chan *raftpb.Message, 1)}
		l.ctx, l.cancel = context.WithCancel(n.ctx)
		n.links[id] = l
		n.wg.Add(2)
		go l.run(l.queue)
		go l.run(l.snapshots)
	}
}

// Send hands messages over; it never waits.
func (n *Transport) Send(all []*raftpb.Message) {
	for _, m := range all {
		n.mu.Lock()
		l := n.links[m.GetTo()]
		n.mu.Unlock()
		snap := m.GetType() == raftpb.MsgSnap
		if l == nil {
			n.drop(m)
			continue
		}
		q := l.queue
		if snap {
			q = l.snapshots
		}
		size := int64(proto.Size(m))
		if l.queuedBytes.Load()+size > maxQueuedBytes && !snap {
			n.drop(m)
			continue
		}
		select {
		case q <- m:
			l.queuedBytes.Add(size)
		default:
			n.drop(m)
		}
	}
}

func (n *Transport) drop(m *raftpb.Message) {
	n.Stats.MessagesDropped.Add(1)
	if m.GetType() == raftpb.MsgSnap {
		n.host.ReportSnapshot(m.GetTo(), false)
	} else {
		n.host.ReportUnreachable(m.GetTo())
	}
}

// run sends what a queue holds, on one connection after another.
func (l *link) run(queue chan *raftpb.Message) {
	defer l.transport.wg.Done()
	back := minBackoff
	for {
		var m *raftpb.Message
		select {
		case <-l.ctx.Done():
			return
		case m = <-queue:
		}
		c, err := l.dial()
		if err == nil {
			back = minBackoff
			err = l.send(c, m, queue)
			c.Close()
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
		l.transport.log.Debug("no way to a peer of the store", "peer", l.name, "error", err)
		// What waited is old by now; raft sends anew.
		for more := true; more; {
			select {
			case m = <-queue:
				l.dequeued(m)
				l.transport.drop(m)
			default:
				more = false
			}
		}
		select {
		case <-l.ctx.Done():
			return
		case <-time.After(back/2 + rand.N(back)):
		}
		back = min(2*back, maxBackoff)
	}
}

func (l *link) dequeued(m *raftpb.Message) { l.queuedBytes.Add(-int64(proto.Size(m))) }

func (l *link) dial() (net.Conn, error) {
	ctx, cancel := context.WithTimeout(l.ctx, dialTimeout)
	defer cancel()
	c, err := (&net.Dialer{}).DialContext(ctx, "tcp", l.address)
	if err != nil {
		return nil, err
	}
	c = l.transport.meter.WrapConn(c)
	if l.transport.keys != nil {
		conf, err := l.transport.keys.Client(l.name)
		if err != nil {
			c.Close()
			return nil, err
		}
		t := tls.Client(c, conf)
		if err := t.HandshakeContext(ctx); err != nil {
			l.transport.Stats.ConnectionsRejected.Add(1)
			c.Close()
			return nil, err
		}
		c = t
	}
	if err := l.exchangeHellos(c); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (l *link) exchangeHellos(c net.Conn) error {
	c.SetDeadline(time.Now().Add(helloTimeout))
	b, err := cbor.Marshal(&Hello{Protocol: Protocol, From: l.transport.host.Hello(), Name: l.transport.name, RecipientName: l.name, RecipientID: l.memberID,
		Address: l.transport.address})
	if err != nil {
		return err
	}
	l.transport.meter.Count(usage.Other, usage.Out, 1, frameHeaderBytes+len(b))
	if _, err := c.Write(appendFrame(nil, kindHello, b)); err != nil {
		return err
	}
	k, b, err := readFrame(c, maxHelloBytes)
	if err != nil {
		return err
	}
	l.transport.meter.Count(usage.Other, usage.In, 1, frameHeaderBytes+len(b))
	var v HelloReply
	if k != kindHelloReply {
		return ErrInvalidFrame
	}
	if err := cbor.Unmarshal(b, &v); err != nil {
		return err
	}
	if v.Rejection != "" {
		l.transport.Stats.HellosRejected.Add(1)
		return fmt.Errorf("refused: %s", v.Rejection)
	}
	if err := l.transport.host.Admit(Hello{Protocol: Protocol, From: v.From, Name: v.Name}); err != nil {
		l.transport.Stats.HellosRejected.Add(1)
		l.transport.log.Warn("a peer of the store was refused", "peer", v.Name, "reason", err)
		return err
	}
	c.SetDeadline(time.Time{})
	return nil
}

// send writes messages until it fails or, on the connection for snapshots, one is sent.
func (l *link) send(c net.Conn, m *raftpb.Message, queue chan *raftpb.Message) error {
	defer l.transport.closeOnShutdown(c)()
	defer context.AfterFunc(l.ctx, func() { c.Close() })()
	w := bufio.NewWriterSize(c, 64<<10)
	var buf []byte
	for {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		l.dequeued(m)
		var err error
		if m.GetType() == raftpb.MsgSnap {
			err = l.sendSnapshot(c, w, m)
			l.transport.host.ReportSnapshot(l.memberID, err == nil)
			if err != nil {
				return err
			}
		} else {
			var b []byte
			if b, err = proto.Marshal(m); err == nil {
				buf = appendFrame(buf[:0], kindMessage, b)
				l.transport.meter.Count(usage.Raft, usage.Out, 1, len(buf))
				_, err = w.Write(buf)
			}
		}
		if err == nil && len(queue) == 0 {
			err = w.Flush()
		}
		if err != nil {
			l.transport.host.ReportUnreachable(l.memberID)
			return err
		}
		l.transport.Stats.MessagesSent.Add(1)
		select {
		case <-l.ctx.Done():
			return l.ctx.Err()
		case <-time.After(idleTimeout / 2):
			return errIdle // the other side would give up soon
		case m = <-queue:
		}
	}
}

func (l *link) sendSnapshot(c net.Conn, w *bufio.Writer, m *raftpb.Message) error {
	data := m.Snapshot.Data
	bare := proto.Clone(&raftpb.Message{Type: m.Type, To: m.To, From: m.From, Term: m.Term, LogTerm: m.LogTerm, Index: m.Index,
		Commit: m.Commit, Snapshot: &raftpb.Snapshot{Metadata: m.Snapshot.Metadata}}).(*raftpb.Message)
	b, err := proto.Marshal(bare)
	if err != nil {
		return err
	}
	buf := appendFrame(nil, kindSnapshot, append(binary.BigEndian.AppendUint64(nil, uint64(len(data))), b...))
	l.transport.meter.Count(usage.Snapshots, usage.Out, 1, len(buf))
	if _, err := w.Write(buf); err != nil {
		return err
	}
	for at := 0; at < len(data); at += snapshotPartBytes {
		c.SetWriteDeadline(time.Now().Add(writeTimeout))
		buf = appendFrame(buf[:0], kindSnapshotPart, data[at:min(len(data), at+snapshotPartBytes)])
		l.transport.meter.Count(usage.Snapshots, usage.Out, 0, len(buf))
		if _, err := w.Write(buf); err != nil {
			return err
		}
	}
	return w.Flush()
}
