// Package peer transports raft's messages between the replicas of the store, as frames over TCP with mutual TLS.
//
// Each replica opens connections to every other one and uses them only to send. Snapshots have a connection of their
// own, so that a long one does not delay other messages. Both sides first exchange hellos, which contain their names,
// disks and cluster, and either side may reject the other. Queues are limited in messages and in bytes. A message that
// cannot be sent is dropped, which raft allows. The package imports package replica for the contents of a hello; the
// replica itself is behind the interface Host.
package peer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"

	"go.etcd.io/raft/v3/raftpb"
)

const (
	dialTimeout       = 2 * time.Second  // for connecting, including the TLS handshake
	helloTimeout      = 3 * time.Second  // for exchanging hellos; on accepted connections also for the TLS handshake
	idleTimeout       = 30 * time.Second // a receiver then closes the connection; heartbeats are far more frequent
	writeTimeout      = 5 * time.Second  // for each message, and each part of a snapshot
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 2 * time.Second
	maxQueuedMessages = 512      // on one link, apart from snapshots
	maxQueuedBytes    = 32 << 20 // on one link; does not apply to snapshots
	maxConnections    = 64       // accepted connections at a time, including those that have not sent a hello
	bufferBytes       = 64 << 10 // of each connection
)

// Host is the replica that a Transport serves. Its methods are called by many goroutines, concurrently.
type Host interface {
	// Hello returns the hello of this replica. ClusterID and MemberID are 0 if the disk belongs to no cluster yet.
	Hello() replica.Hello
	// Admit returns why the sender of a hello, or of the reply to one, is rejected, or nil. The text of an error is
	// sent to the sender of a hello.
	Admit(hello Hello) error
	// Deliver handles a received message. It may block, until ctx ends, which slows down the sender.
	Deliver(ctx context.Context, message *raftpb.Message)
	// ReportUnreachable reports that a message other than a snapshot was not sent to a member.
	ReportUnreachable(memberID uint64)
	// ReportSnapshot reports whether a snapshot was sent to a member.
	ReportSnapshot(memberID uint64, sent bool)
}

// Peer is a member to which a Transport connects. Its certificate must be for Name, and Address is the TCP address to
// dial.
type Peer struct{ Name, Address string }

// Stats has the counters of a Transport. Any goroutine may read them.
type Stats struct {
	HellosRejected      atomic.Int64 // hellos that this side or the other one rejected
	ConnectionsRejected atomic.Int64 // connections beyond maxConnections, or whose TLS handshake failed
	MessagesDropped     atomic.Int64 // dropped because a queue was full, or there was no connection to the member
	MessagesSent        atomic.Int64
	MessagesReceived    atomic.Int64
	InvalidFrames       atomic.Int64 // accepted connections closed for an invalid frame or without a readable hello
}

// Transport connects a replica to the others. New creates one. It is safe for concurrent use.
type Transport struct {
	name    string // of this replica
	address string // at which the others reach this replica
	host    Host
	keys    *keys.Pair // nil: plain TCP
	log     *slog.Logger
	meter   *usage.Recorder
	Stats   Stats

	ctx             context.Context
	cancel          context.CancelFunc
	wg              sync.WaitGroup
	listener        net.Listener
	connectionSlots chan struct{} // has an element for each accepted connection

	mu    sync.Mutex
	links map[uint64]*link // by member ID
}

// New returns a Transport that accepts connections on a listener, which Close closes. It connects to no member until
// SetPeers is called. If pair is nil, connections use plain TCP, which is allowed on loopback addresses only. meter
// counts the traffic, unless it is nil.
func New(name, address string, listener net.Listener, host Host, pair *keys.Pair, log *slog.Logger,
	meter *usage.Recorder) (*Transport, error) {
	if pair == nil && !isLoopback(listener.Addr()) {
		return nil, fmt.Errorf("store: plain TCP on %s, which is not a loopback address", listener.Addr())
	}
	t := &Transport{
		name:            name,
		address:         address,
		host:            host,
		keys:            pair,
		log:             log,
		meter:           meter,
		listener:        meter.WrapListener(listener),
		connectionSlots: make(chan struct{}, maxConnections),
		links:           map[uint64]*link{},
	}
	t.ctx, t.cancel = context.WithCancel(context.Background())
	t.wg.Add(1)
	go t.accept()
	return t, nil
}

func isLoopback(addr net.Addr) bool {
	tcp, ok := addr.(*net.TCPAddr)
	return ok && tcp.IP.IsLoopback()
}

// Close closes the listener and all connections, and waits for their goroutines to end.
func (t *Transport) Close() {
	t.cancel()
	_ = t.listener.Close() // an error has no consequence
	t.wg.Wait()
}

// Addr returns the address on which the transport accepts connections.
func (t *Transport) Addr() net.Addr { return t.listener.Addr() }

// closeOnShutdown arranges that a connection is closed when the transport is closed. Calling stop cancels that.
func (t *Transport) closeOnShutdown(conn net.Conn) (stop func() bool) {
	return context.AfterFunc(t.ctx, func() { _ = conn.Close() })
}
