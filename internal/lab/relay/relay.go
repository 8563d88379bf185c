// Package relay is a faulty network: a TCP relay on loopback for each link, with delay, jitter, bandwidth, black holes,
// resets, half-closed directions, and writes that come slowly and in pieces.
package relay

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"time"
)

// Conditions are how a link behaves. The zero value passes everything on at once.
type Conditions struct {
	Delay               time.Duration // of each chunk, one way
	Jitter              float64       // part of the delay by which it varies, evenly
	StallProbability    float64       // share of chunks that are held up,
	MaxStall            time.Duration // for up to this
	BytesPerSecond      int           // bytes a second in each direction; 0 for no bound
	BlackHole           bool          // what is sent is lost, with no word; connections that lost something break when it ends
	BlackHoleToTarget   bool          // as Hole, of what goes to the target alone
	BlackHoleFromTarget bool          // as Hole, of what comes back alone
	MaxWriteBytes       int           // bytes a write at most; 0 for no bound
	WritePause          time.Duration // between the pieces of a split write
	DropHalfClose       bool          // the end of sending on one side is not passed on
}

// loses says whether what goes to the target, or what comes back, is lost.
func (c *Conditions) loses(fromTarget bool) bool {
	if fromTarget {
		return c.BlackHole || c.BlackHoleFromTarget
	}
	return c.BlackHole || c.BlackHoleToTarget
}

const (
	maxChunkBytes     = 16 << 10
	maxChunksInFlight = 64 // on their way in a direction: beyond that the sender waits
)

// Link relays the connections made to its listener to one target.
type Link struct {
	target string

	mu          sync.Mutex
	conditions  Conditions
	listener    net.Listener
	connections map[*connection]struct{}
	wg          sync.WaitGroup
	rng         *rand.Rand
	closed      bool
}

// New returns a link to a target that does not listen yet. Its random draws come from the seed.
func New(target string, seed uint64, c Conditions) *Link {
	return &Link{target: target, conditions: c, connections: map[*connection]struct{}{}, rng: rand.New(rand.NewPCG(seed, 0x6c696e6b))}
}

// Listen accepts connections on ln until Refuse or Close.
func (l *Link) Listen(ln net.Listener) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		ln.Close()
		return
	}
	l.listener = ln
	l.wg.Add(1)
	go l.accept(ln)
}

func (l *Link) accept(ln net.Listener) {
	defer l.wg.Done()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		l.mu.Lock()
		if l.closed {
			l.mu.Unlock()
			reset(c)
			return
		}
		l.wg.Add(1)
		l.mu.Unlock()
		go l.serve(c)
	}
}

// Update changes the conditions, also for connections that are open.
func (l *Link) Update(change func(*Conditions)) {
	l.mu.Lock()
	was := l.conditions
	change(&l.conditions)
	var broken []*connection
	if was.loses(false) && !l.conditions.loses(false) || was.loses(true) && !l.conditions.loses(true) {
		for p := range l.connections {
			if p.lossy {
				broken = append(broken, p)
			}
		}
	}
	l.mu.Unlock()
	for _, p := range broken {
		p.reset()
	}
}

// Reset breaks all open connections, in both directions.
func (l *Link) Reset() {
	l.mu.Lock()
	list := make([]*connection, 0, len(l.connections))
	for p := range l.connections {
		list = append(list, p)
	}
	l.mu.Unlock()
	for _, p := range list {
		p.reset()
	}
}

// Refuse stops listening: new connections are refused until Listen.
func (l *Link) Refuse() {
	l.mu.Lock()
	ln := l.listener
	l.listener = nil
	l.mu.Unlock()
	if ln != nil {
		ln.Close()
	}
}

// OpenConnections is how many connections are open.
func (l *Link) OpenConnections() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.connections)
}

// Close ends the link and waits for all that it started.
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
	d := time.Duration(float64(c.Delay) * (1 + c.Jitter*(2*l.rng.Float64()-1)))
	if c.StallProbability > 0 && l.rng.Float64() < c.StallProbability {
		d += time.Duration(l.rng.Float64() * float64(c.MaxStall))
	}
	return d
}

func reset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	c.Close()
}

// connection is one relayed connection: the caller's side and the target's.
type connection struct {
	client, target net.Conn
	lossy          bool // something was lost in a black hole; guarded by Link.mu
	ctx            context.Context
	cancel         context.CancelFunc
}

func (p *connection) reset() {
	p.cancel()
	reset(p.client)
	if p.target != nil {
		reset(p.target)
	}
}

// serve carries one connection until both directions have ended or it is broken.
func (l *Link) serve(near net.Conn) {
	defer l.wg.Done()
	ctx, cancel := context.WithCancel(context.Background())
	p := &connection{client: near, ctx: ctx, cancel: cancel}
	clean := false
	defer func() {
		if !clean {
			p.reset()
			return
		}
		cancel()
		p.client.Close() // what is still in the kernel's buffers goes out
		p.target.Close()
	}()
	dial := net.Dialer{Timeout: 5 * time.Second}
	far, err := dial.DialContext(ctx, "tcp", l.target)
	if err != nil {
		return
	}
	p.target = far
	l.mu.Lock()
	if l.closed {
		l.mu.Unlock()
		return
	}
	l.connections[p] = struct{}{}
	l.mu.Unlock()
	defer func() {
		l.mu.Lock()
		delete(l.connections, p)
		l.mu.Unlock()
	}()
	ended := make(chan bool, 2) // whether the direction ended cleanly
	go func() { ended <- l.pump(p, near, far, false) }()
	go func() { ended <- l.pump(p, far, near, true) }()
	if !<-ended {
		p.reset()
		<-ended
		return
	}
	clean = <-ended
}

// chunk is what was read at once, and when it is due at the other side. No bytes mean the end of sending.
type chunk struct {
	data []byte
	due  time.Time
	err  error
}

// pump carries one direction. Reading goes on while earlier chunks are on their way.
func (l *Link) pump(p *connection, from, to net.Conn, back bool) (clean bool) {
	chunks := make(chan chunk, maxChunksInFlight)
	go func() {
		defer close(chunks)
		var last time.Time
		room := make([]byte, maxChunkBytes)
		for {
			n, err := from.Read(room)
			buf := append([]byte(nil), room[:n]...) // most are far smaller
			due := time.Now().Add(l.drawDelay())
			if due.Before(last) {
				due = last // a connection does not reorder
			}
			if c := l.currentConditions(); c.BytesPerSecond > 0 && n > 0 {
				due = due.Add(time.Duration(n) * time.Second / time.Duration(c.BytesPerSecond))
			}
			last = due
			select {
			case chunks <- chunk{buf, due, err}:
			case <-p.ctx.Done():
				return
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !sleep(p.ctx, time.Until(c.due)) {
			return false
		}
		if len(c.data) > 0 && !l.write(p, to, c.data, back) {
			return false
		}
		if c.err != nil {
			now := l.currentConditions()
			if now.loses(back) {
				l.markLossy(p)
				<-p.ctx.Done() // the other side hears nothing of it
				return false
			}
			if c.err != io.EOF {
				return false
			}
			if t, ok := to.(*net.TCPConn); ok && !now.DropHalfClose {
				t.CloseWrite()
			}
			return true
		}
	}
	return false
}

// write passes data on as the conditions of this moment have it.
func (l *Link) write(p *connection, to net.Conn, data []byte, back bool) bool {
	for len(data) > 0 {
		c := l.currentConditions()
		if c.loses(back) {
			l.markLossy(p)
			return true
		}
		piece := data
		if c.MaxWriteBytes > 0 && len(piece) > c.MaxWriteBytes {
			piece = piece[:c.MaxWriteBytes]
		}
		if _, err := to.Write(piece); err != nil {
			return false
		}
		if data = data[len(piece):]; len(data) > 0 && c.WritePause > 0 && !sleep(p.ctx, c.WritePause) {
			return false
		}
	}
	return true
}

func (l *Link) markLossy(p *connection) {
	l.mu.Lock()
	p.lossy = true
	l.mu.Unlock()
}

// sleep waits, and says whether that was not cut short.
func sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
