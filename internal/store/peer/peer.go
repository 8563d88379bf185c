// Package peer carries the messages of raft between the replicas of the store: frames over TCP with mutual TLS.
//
// Each replica connects to each other one, and uses the connections that it opened only to send. A second connection
// carries snapshots, so that a long one delays no other message. Both sides first exchange hellos with name, disk and
// cluster, and either may reject the other. Messages that cannot be sent are dropped, as raft allows: queues are
// bounded by messages and bytes. The package imports replica for the contents of a hello; its host is an interface.
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
	dialTimeout       = 2 * time.Second
	helloTimeout      = 3 * time.Second
	idleTimeout       = 30 * time.Second // heartbeats are far more frequent
	writeTimeout      = 5 * time.Second
	minBackoff        = 50 * time.Millisecond
	maxBackoff        = 2 * time.Second
	maxQueuedMessages = 512
	maxQueuedBytes    = 32 << 20
	maxConnections    = 64 // accepted at a time, including those that have not sent a hello
	bufferBytes       = 64 << 10
)

// Host is the replica that a Transport serves. Any goroutine may call its methods.
type Host interface {
	// Hello returns the hello of this replica. That of a disk which belongs to no cluster has no cluster and member.
	Hello() replica.Hello
	// Admit returns why a hello, or the reply to one, is rejected.
	Admit(h Hello) error
	// Deliver handles a message. It may block, which slows the sender down.
	Deliver(ctx context.Context, m *raftpb.Message)
	// ReportUnreachable reports that a message to a member was not sent.
	ReportUnreachable(member uint64)
	// ReportSnapshot reports whether a snapshot was sent to a member.
	ReportSnapshot(member uint64, ok bool)
}

// Peer is the name of a member, which its certificate confirms, and the address to dial.
type Peer struct{ Name, Address string }

// Stats counts what a Transport did.
type Stats struct {
	HellosRejected      atomic.Int64 // by either side
	ConnectionsRejected atomic.Int64 // beyond maxConnections, or without a valid certificate
	MessagesDropped     atomic.Int64 // because the queue was full or there was no connection
	MessagesSent        atomic.Int64
	MessagesReceived    atomic.Int64
	InvalidFrames       atomic.Int64 // connections that were closed for one
}

// Transport connects a replica to the others.
type Transport struct {
	name    string
	address string
	host    Host
	keys    *keys.Pair // nil: plain TCP
	log     *slog.Logger
	meter   *usage.Recorder
	Stats   Stats

	ctx      context.Context
	cancel   context.CancelFunc
	wg       sync.WaitGroup
	listener net.Listener
	slots    chan struct{} // holds an element for each accepted connection

	mu    sync.Mutex
	links map[uint64]*link // by member
}

// New starts to accept connections. Close closes the listener. Plain TCP, without keys, is allowed on loopback only.
// The traffic is counted by meter, unless it is nil.
func New(name, address string, listener net.Listener, host Host, pair *keys.Pair, log *slog.Logger,
	meter *usage.Recorder) (*Transport, error) {
	if pair == nil && !isLoopback(listener.Addr()) {
		return nil, fmt.Errorf("store: plain TCP on %s, which is not a loopback address", listener.Addr())
	}
	t := &Transport{
		name:     name,
		address:  address,
		host:     host,
		keys:     pair,
		log:      log,
		meter:    meter,
		listener: meter.WrapListener(listener),
		slots:    make(chan struct{}, maxConnections),
		links:    map[uint64]*link{},
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

// Close closes all connections and waits for their goroutines.
func (t *Transport) Close() {
	t.cancel()
	_ = t.listener.Close() // there is nothing to do about an error
	t.wg.Wait()
}

// Addr returns the address of the listener.
func (t *Transport) Addr() net.Addr { return t.listener.Addr() }

// closeOnShutdown closes a connection when the transport is closed. The function that it returns ends that.
func (t *Transport) closeOnShutdown(c net.Conn) (stop func() bool) {
	return context.AfterFunc(t.ctx, func() { _ = c.Close() })
}
