// Package relay simulates a faulty network between real processes: a TCP relay on loopback for each link, with delay,
// jitter, limited bandwidth, black holes, resets, hidden half-closes, and writes that arrive slowly and in pieces.
//
// The package imports package address, and nothing else of this module.
package relay

import (
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"birchmoor/internal/lab/address"
)

// Conditions are how a link behaves. The zero value forwards everything at once.
type Conditions struct {
	Delay               time.Duration // of each chunk, one way
	Jitter              float64       // fraction of Delay by which it varies, uniformly
	StallProbability    float64       // of each chunk
	MaxStall            time.Duration // added to the delay of a stalled chunk, uniformly from 0
	BytesPerSecond      int           // in each direction; 0 for no limit
	BlackHole           bool          // loses what is sent, silently; at its end connections that lost data are reset
	BlackHoleToTarget   bool          // as BlackHole, in the direction to the target only
	BlackHoleFromTarget bool          // as BlackHole, in the direction from the target only
	MaxWriteBytes       int           // largest write; 0 for no limit
	WritePause          time.Duration // between the pieces of a write that was split
	DropHalfClose       bool          // the end of sending on one side is not forwarded
}

// loses reports whether what is sent in a direction is lost.
func (c *Conditions) loses(fromTarget bool) bool {
	if fromTarget {
		return c.BlackHole || c.BlackHoleFromTarget
	}
	return c.BlackHole || c.BlackHoleToTarget
}

// Link relays the connections that its listener accepts to one target. Its methods are safe for concurrent use.
type Link struct {
	target string
	wg     sync.WaitGroup

	mu          sync.Mutex // guards what follows, and connection.lossy
	conditions  Conditions
	listener    net.Listener // nil while connections are refused
	connections map[*connection]struct{}
	rng         *rand.Rand
	closed      bool
}

// streamID separates the random sequence of links from others with the same seed.
const streamID = 0x6c696e6b

// New returns a link to a target, which does not listen yet. The seed determines its random delays.
func New(target string, seed uint64, c Conditions) *Link {
	return &Link{
		target:      target,
		conditions:  c,
		connections: map[*connection]struct{}{},
		rng:         rand.New(rand.NewPCG(seed, streamID)),
	}
}

// Listen accepts connections on a listener, which it takes over, until Refuse or Close.
func (l *Link) Listen(listener net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		_ = listener.Close() // a listener that accepted nothing has nothing to lose
		return
	}
	l.listener = listener
	l.wg.Add(1)
	go l.accept(listener)
}

func (l *Link) accept(listener net.Listener) {
	defer l.wg.Done()
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			reset(conn)
			return
		}
		l.wg.Add(1)
		l.mu.Unlock()
		go l.serve(conn)
	}
}

// Update changes the conditions, also for connections that are open. change must not call methods of the link. When a
// black hole ends, the connections that lost data are reset.
func (l *Link) Update(change func(*Conditions)) {
	for _, c := range l.updateConditions(change) {
		c.reset()
	}
}

// updateConditions changes the conditions, and returns the connections that have to be reset.
func (l *Link) updateConditions(change func(*Conditions)) []*connection {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.conditions
	change(&l.conditions)
	toTargetRestored := before.loses(false) && !l.conditions.loses(false)
	fromTargetRestored := before.loses(true) && !l.conditions.loses(true)
	if !toTargetRestored && !fromTargetRestored {
		return nil
	}
	var lossy []*connection
	for c := range l.connections {
		if c.lossy {
			lossy = append(lossy, c)
		}
	}
	return lossy
}

// Reset resets all open connections, on both sides.
func (l *Link) Reset() {
	l.mu.Lock()
	open := make([]*connection, 0, len(l.connections))
	for c := range l.connections {
		open = append(open, c)
	}
	l.mu.Unlock()
	for _, c := range open {
		c.reset()
	}
}

// Refuse stops listening: new connections are refused until Listen is called again. Open ones continue.
func (l *Link) Refuse() {
	l.mu.Lock()
	listener := l.listener
	l.listener = nil
	l.mu.Unlock()
	if listener != nil {
		_ = address.Release(listener) // it stops listening whatever the error
	}
}

// OpenConnections returns the number of connections that are open on both sides.
func (l *Link) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// Close stops listening, resets all connections and waits until everything that the link started has ended.
func (l *Link) Close() {
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	l.Refuse()
	l.Reset()
	l.wg.Wait()
}

func (l *Link) currentConditions() Conditions {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.conditions
}

// drawDelay draws the delay of a chunk.
func (l *Link) drawDelay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := &l.conditions
	delay := time.Duration(float64(c.Delay) * (1 + c.Jitter*(2*l.rng.Float64()-1)))
	if c.StallProbability > 0 && l.rng.Float64() < c.StallProbability {
		delay += time.Duration(l.rng.Float64() * float64(c.MaxStall))
	}
	return delay
}

// add registers a connection, unless the link is closed.
func (l *Link) add(c *connection) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.connections[c] = struct{}{}
	return true
}

func (l *Link) remove(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.connections, c)
}

// markLossy records that a connection lost data in a black hole.
func (l *Link) markLossy(c *connection) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c.lossy = true
}
