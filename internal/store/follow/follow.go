// Package follow is a copy of the store without a replica: a daemon has it whose host does not vote. It takes the whole state
// from one of several replicas once, then what changes, and keeps it in a file for its next start. What it tells the store
// goes through any replica that answers.
//
// A follower costs the cluster one stream of changes; it takes no part in what a quorum agrees on, and however many there are
// no write waits for them. Cut off, it goes on with what it has, and says how old that is.
package follow

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/meter"
	"birchmoor/internal/store/policy"
	"birchmoor/internal/store/replica"
)

// Replica is one that may be followed.
type Replica struct {
	Name string // by its key; unused without keys
	Addr string
}

// Config is what a follower runs by.
type Config struct {
	Name     string // of this daemon
	Dir      string // where the copy is kept
	Replicas []Replica
	Keys     *keys.Pair // nil: plain TCP on loopback
	Wait     time.Duration
	Log      *slog.Logger
	Meter    *meter.Meter // of messages and the file of the copy; nil: nothing is counted

	// Event and Reset are told of changes and of a whole new copy, one after the other. They must not wait.
	Event func(store.Event)
	Reset func(*store.State)
	// Settled is told once, when the copy is as a replica has it that a quorum confirms.
	Settled func()
	// Proved is told how long ago a quorum confirmed the copy, at each word of that.
	Proved func(ago time.Duration)
	// Age is told how long ago, by a replica's clock, a picture was put that the copy came with.
	Age func(key string, age time.Duration)
}

const (
	backMin    = 50 * time.Millisecond
	backMost   = time.Second
	silentFor  = 4 * time.Second  // of a replica that sends a beat every second
	keepEvery  = 2 * time.Second  // between two files of a copy that changes, at least,
	keepPart   = 100              // and no more than such a part of the time goes into them
	lineMost   = 8 << 20          // bytes of a change
	askTime    = 3 * time.Second  // for a replica's answer, before another is asked
	staleAfter = 3 * time.Second  // as a replica's own copy
	loadMost   = 60 * time.Second // for a whole copy
)

// Follower is a running copy. All methods may be called by any goroutine.
type Follower struct {
	cfg    Config
	client uint64
	seq    atomic.Uint64
	http   []*http.Client // by replica
	begun  time.Time
	ctx    context.Context
	stop   context.CancelFunc
	wg     sync.WaitGroup
	synced chan struct{} // closed once the first beat came

	mu      sync.Mutex
	state   *store.State  // nil before the first copy
	changed chan struct{} // closed when the revision goes on
	follows string
	proved  time.Duration // when a quorum confirmed the copy, since begun; 0 never
	fresh   bool          // the file lacks something
	kept    time.Time     // when the file that this start found was written; zero: there was none
}

// Open starts a follower with what its file has, at once. If there is no file it waits for a replica's copy for as long as
// the configuration says; that none came is not an error. Close ends it.
func Open(cfg Config) (*Follower, error) {
	if len(cfg.Replicas) == 0 {
		return nil, errors.New("follow: no replicas are named")
	}
	if err := os.MkdirAll(cfg.Dir, 0o700); err != nil {
		return nil, fmt.Errorf("follow: %w", err)
	}
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return nil, err
	}
	f := &Follower{cfg: cfg, client: binary.BigEndian.Uint64(b[:])>>1 | 1, begun: time.Now(), changed: make(chan struct{}),
		synced: make(chan struct{})}
	for _, r := range cfg.Replicas {
		t := &http.Transport{DialContext: f.dial, MaxIdleConnsPerHost: 4, TLSHandshakeTimeout: askTime}
		if cfg.Keys != nil {
			c, err := cfg.Keys.Client(r.Name)
			if err != nil {
				return nil, fmt.Errorf("follow: %w", err)
			}
			t.TLSClientConfig = c
		}
		f.http = append(f.http, &http.Client{Transport: t})
	}
	f.ctx, f.stop = context.WithCancel(context.Background())
	found, err := f.load()
	if err != nil {
		cfg.Log.Error("the copy on the disk is not used", "file", f.path(), "error", err)
	}
	f.wg.Go(f.run)
	f.wg.Go(f.keep)
	if !found && cfg.Wait > 0 {
		select {
		case <-f.synced:
		case <-time.After(cfg.Wait):
			cfg.Log.Warn("no replica gave its copy in time: starting without", "waited", cfg.Wait)
		}
	}
	return f, nil
}

// dial opens a connection that is counted.
func (f *Follower) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: askTime}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return f.cfg.Meter.Conn(c), nil
}

func (f *Follower) path() string { return filepath.Join(f.cfg.Dir, "copy") }

// load takes what the file has.
func (f *Follower) load() (found bool, err error) {
	b, err := os.ReadFile(f.path())
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s, err := store.Load(bytes.NewReader(b))
	if err != nil {
		return false, err
	}
	if s.Level() > store.Level {
		return false, fmt.Errorf("%w: level %d, and this build knows %d", store.ErrUnknownOp, s.Level(), store.Level)
	}
	if info, err := os.Stat(f.path()); err == nil {
		f.kept = info.ModTime()
	}
	f.adopt(s)
	f.cfg.Log.Info("the store's copy of an earlier start", "revision", s.Revision(), "keys", s.Len(),
		"written", time.Since(f.kept).Round(time.Second).String()+" ago by this host's clock")
	return true, nil
}

// adopt takes a whole copy.
func (f *Follower) adopt(s *store.State) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = s
	f.went()
	if f.cfg.Reset != nil {
		f.cfg.Reset(s)
	}
}

// went wakes those who wait for a change. The lock is held.
func (f *Follower) went() {
	close(f.changed)
	f.changed = make(chan struct{})
}

// Found says where the copy of this start came from, and when its file, if it was that, was written.
func (f *Follower) Found() (from string, written time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.kept.IsZero() {
		return "own disk", f.kept
	}
	return "another replica", time.Time{}
}

// Close ends the follower, and writes what its file lacks.
func (f *Follower) Close() error {
	f.stop()
	f.wg.Wait()
	return f.save()
}

// ---- Hearing ---------------------------------------------------------------

// run follows one replica after another, from one drawn by chance on, so that many followers spread.
func (f *Follower) run() {
	at, wait := mathrand.IntN(len(f.cfg.Replicas)), backMin
	for f.ctx.Err() == nil {
		heard, err := f.follow(at)
		f.mu.Lock()
		f.follows = ""
		f.mu.Unlock()
		if f.ctx.Err() != nil {
			return
		}
		f.cfg.Log.Debug("a replica is followed no more", "replica", f.cfg.Replicas[at].Name, "error", err)
		if heard {
			wait = backMin
		}
		at = (at + 1) % len(f.cfg.Replicas)
		select {
		case <-f.ctx.Done():
		case <-time.After(wait/2 + mathrand.N(wait)):
		}
		wait = min(2*wait, backMost)
	}
}

func (f *Follower) url(at int, path string, q url.Values) string {
	scheme := "http"
	if f.cfg.Keys != nil {
		scheme = "https"
	}
	return scheme + "://" + f.cfg.Replicas[at].Addr + path + "?" + q.Encode()
}

// errBehind says that a replica has less than this copy, or is of another cluster.
var errBehind = errors.New("the replica cannot be followed")

// follow hears one replica until that ends, and says whether it was heard at all.
func (f *Follower) follow(at int) (heard bool, err error) {
	f.mu.Lock()
	have := f.state
	f.mu.Unlock()
	if have == nil {
		if err := f.fetch(at); err != nil {
			return false, err
		}
	}
	f.mu.Lock()
	after, cluster := f.state.Revision(), f.state.Cluster()
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(at, "/v1/follow", url.Values{"after": {strconv.FormatUint(after, 10)}}), nil)
	if err != nil {
		return false, err
	}
	silence := time.AfterFunc(silentFor, cancel) // a machine that is cut off leaves the connection open and says nothing
	defer silence.Stop()
	a, err := f.http[at].Do(r)
	if err != nil {
		return false, err
	}
	defer a.Body.Close()
	f.cfg.Meter.Count(meter.Beats, meter.Out, 1, 0)
	if a.StatusCode == http.StatusGone {
		return false, f.fetch(at)
	}
	if a.StatusCode != http.StatusOK {
		f.cfg.Meter.Count(meter.Beats, meter.In, 1, int(max(0, a.ContentLength)))
		return false, fmt.Errorf("%w: %s", errBehind, a.Status)
	}
	lines := bufio.NewScanner(a.Body)
	lines.Buffer(make([]byte, 0, 64<<10), lineMost)
	for lines.Scan() {
		silence.Reset(silentFor)
		var l admin.Line
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return heard, fmt.Errorf("%w: %w", errBehind, err)
		}
		of := meter.Beats
		if l.Event != nil {
			of = f.cfg.Meter.KeyPurpose(l.Event.Item.Key)
		}
		f.cfg.Meter.Count(of, meter.In, 1, len(lines.Bytes())+len("\n"))
		switch {
		case l.Fault != nil && l.Fault.Oldest > 0:
			return heard, f.fetch(at)
		case l.Fault != nil:
			return heard, fmt.Errorf("%w: %s", errBehind, l.Fault.Error)
		case l.Beat != nil:
			if l.Beat.Cluster != cluster {
				return heard, fmt.Errorf("%w: it is of cluster %x, and this copy of %x", errBehind, l.Beat.Cluster, cluster)
			}
			heard = true
			f.beat(at, l.Beat)
			// One that is cut off from the quorum tells nothing new: another may.
			if (!l.Beat.Proved || l.Beat.Age > staleAfter) && len(f.cfg.Replicas) > 1 {
				return false, fmt.Errorf("%w: no quorum confirms its copy", errBehind)
			}
		case l.Event != nil:
			if err := f.event(*l.Event); err != nil {
				return heard, err
			}
		}
	}
	return heard, lines.Err()
}

func (f *Follower) beat(at int, b *admin.Beat) {
	f.mu.Lock()
	f.follows = f.cfg.Replicas[at].Addr
	first, proved := false, b.Proved && b.Revision <= f.state.Revision()
	if proved {
		first = f.proved == 0
		f.proved = max(f.proved, time.Since(f.begun)-b.Age, 1)
	}
	f.mu.Unlock()
	if proved && f.cfg.Proved != nil {
		f.cfg.Proved(b.Age)
	}
	if first && f.cfg.Settled != nil {
		f.cfg.Settled()
	}
	if f.cfg.Age != nil {
		for _, x := range b.Ages {
			f.cfg.Age(x.Key, x.Age)
		}
	}
	select {
	case <-f.synced:
	default:
		close(f.synced)
	}
}

func (f *Follower) event(e store.Event) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.state.Mirror(e); err != nil {
		return err
	}
	f.fresh = true
	f.went()
	if f.cfg.Event != nil {
		f.cfg.Event(e)
	}
	return nil
}

// fetch takes a replica's whole copy, unless it is older than what is here.
func (f *Follower) fetch(at int) error {
	ctx, cancel := context.WithTimeout(f.ctx, loadMost)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(at, "/v1/copy", nil), nil)
	if err != nil {
		return err
	}
	a, err := f.http[at].Do(r)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	f.cfg.Meter.Count(meter.Snapshots, meter.Out, 1, 0)
	f.cfg.Meter.Count(meter.Snapshots, meter.In, 1, 0)
	if a.StatusCode != http.StatusOK {
		f.cfg.Meter.Count(meter.Snapshots, meter.In, 0, int(max(0, a.ContentLength)))
		return fmt.Errorf("%w: %s", errBehind, a.Status)
	}
	s, err := store.Load(&countedBody{a.Body, f.cfg.Meter, meter.Snapshots})
	if err != nil {
		return err
	}
	if s.Level() > store.Level {
		f.cfg.Log.Error("the cluster uses commands that this build does not know: start a newer one", "level", s.Level(), "knows", store.Level)
		return store.ErrUnknownOp
	}
	f.mu.Lock()
	have := f.state
	f.mu.Unlock()
	if have != nil && (s.Cluster() != have.Cluster() || s.Revision() < have.Revision()) {
		return fmt.Errorf("%w: revision %d of cluster %x, and here is revision %d of cluster %x", errBehind, s.Revision(), s.Cluster(),
			have.Revision(), have.Cluster())
	}
	f.adopt(s)
	f.mu.Lock()
	f.fresh = true
	f.mu.Unlock()
	return nil
}

// countedBody counts the bytes of a message as they are read.
type countedBody struct {
	io.Reader
	m  *meter.Meter
	of meter.Purpose
}

func (c *countedBody) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.m.Count(c.of, meter.In, 0, n)
	return n, err
}

// countedFile counts what is written to the file of the copy.
type countedFile struct {
	io.Writer
	m *meter.Meter
}

func (c *countedFile) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.m.Wrote(meter.Copy, 0, n)
	return n, err
}

// ---- Keeping ---------------------------------------------------------------

func (f *Follower) keep() {
	wait := keepEvery
	failing := false
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(wait):
		}
		begun := time.Now()
		err := f.save()
		wait = max(keepEvery, keepPart*time.Since(begun))
		if err != nil && !failing {
			f.cfg.Log.Warn("the store's copy is not kept", "error", err)
		}
		failing = err != nil
	}
}

// save puts the copy in the place of the file, if that lacks something.
func (f *Follower) save() error {
	f.mu.Lock()
	if !f.fresh || f.state == nil {
		f.mu.Unlock()
		return nil
	}
	s := f.state.Clone()
	f.fresh = false
	f.mu.Unlock()
	if err := write(f.path(), s, f.cfg.Meter); err != nil {
		f.mu.Lock()
		f.fresh = true
		f.mu.Unlock()
		return err
	}
	return nil
}

func write(path string, s *store.State, m *meter.Meter) error {
	w, err := os.CreateTemp(filepath.Dir(path), ".copy-*")
	if err != nil {
		return fmt.Errorf("follow: %w", err)
	}
	err = s.Save(&countedFile{w, m})
	err = errors.Join(err, w.Sync(), w.Close())
	m.Wrote(meter.Copy, 1, 0)
	if err == nil {
		err = os.Rename(w.Name(), path)
	}
	if err != nil {
		os.Remove(w.Name()) // it may take the last of the room
		return fmt.Errorf("follow: %w", err)
	}
	return nil
}

// ---- Asking ----------------------------------------------------------------

// Do makes a transaction, or grants, renews or ends a lease that this daemon owns; see engine.Engine.
func (f *Follower) Do(ctx context.Context, c store.Command) (store.Result, error) {
	if c.ID == (store.RequestID{}) {
		c.ID = store.RequestID{Client: f.client, Seq: f.seq.Add(1)}
	}
	q := admin.Request{ID: c.ID, Txn: c.Txn}
	switch {
	case c.Grant != nil && c.Grant.Owner != "":
		q.Grant, q.Owner = c.Grant.TTL, c.Grant.Owner
	case c.Renew != nil && c.Renew.Owner != "":
		q.Renew, q.Owner = c.Renew.Lease, c.Renew.Owner
	case c.End != nil && c.End.Owner != "":
		q.End, q.Owner = c.End.Lease, c.End.Owner
	case c.Txn == nil:
		return store.Result{}, errors.New("follow: this daemon has no replica, and makes transactions and leases of its own alone")
	}
	body, err := json.Marshal(q)
	if err != nil {
		return store.Result{}, err
	}
	sent, wait := false, backMin
	last := error(replica.ErrNoLeader)
	for at := mathrand.IntN(len(f.http)); ctx.Err() == nil && f.ctx.Err() == nil; at = (at + 1) % len(f.http) {
		var x admin.Change
		reached, err := f.ask(ctx, at, f.cfg.Meter.CommandPurpose(&c), http.MethodPost, "/v1/change", body, &x)
		if err == nil {
			f.await(ctx, x.Revision)
			return store.Result{Revision: x.Revision, Held: x.Held, Lease: x.Lease}, nil
		}
		var told *admin.Error
		if errors.As(err, &told) {
			if final := finalOf(told); final != nil {
				return store.Result{}, final
			}
			sent = sent || told.Unknown != nil
		} else {
			sent = sent || reached
		}
		last = err
		select {
		case <-ctx.Done():
		case <-f.ctx.Done():
		case <-time.After(wait/2 + mathrand.N(wait)):
		}
		wait = min(2*wait, backMost)
	}
	if sent {
		return store.Result{}, &engine.UnknownError{ID: c.ID}
	}
	return store.Result{}, last
}

// await waits until the copy shows a revision, for as long as the caller has: who made a change looks at what it did.
func (f *Follower) await(ctx context.Context, revision uint64) {
	for {
		f.mu.Lock()
		changed, there := f.changed, f.state != nil && f.state.Revision() >= revision
		f.mu.Unlock()
		if there {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		case <-f.ctx.Done():
			return
		}
	}
}

// finalOf is the outcome that a replica's answer tells, or nil if another may be asked.
func finalOf(e *admin.Error) error {
	switch e.Status {
	case http.StatusInsufficientStorage:
		return store.ErrFull
	case http.StatusPreconditionFailed:
		return store.ErrLevel
	case http.StatusBadRequest, http.StatusConflict:
		if e.NoLease {
			return store.ErrNoLease
		}
		return e
	}
	return nil
}

// ask puts a request to one replica. reached is set if the request may have been read.
func (f *Follower) ask(ctx context.Context, at int, of meter.Purpose, method, path string, body []byte, out any) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, f.url(at, path, url.Values{"timeout": {(askTime - askTime/10).String()}}), bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	a, err := f.http[at].Do(r)
	if err != nil {
		var dial *net.OpError
		if reached = !(errors.As(err, &dial) && dial.Op == "dial"); reached {
			f.cfg.Meter.Count(of, meter.Out, 1, len(body))
		}
		return reached, err
	}
	defer a.Body.Close()
	f.cfg.Meter.Count(of, meter.Out, 1, len(body))
	answer, err := io.ReadAll(io.LimitReader(a.Body, lineMost)) // an error shows by what is missing
	f.cfg.Meter.Count(of, meter.In, 1, len(answer))
	if a.StatusCode != http.StatusOK {
		e := &admin.Error{Status: a.StatusCode}
		if err := json.Unmarshal(answer, &e.Fault); err != nil {
			return true, fmt.Errorf("the replica answered %s", a.Status)
		}
		return true, e
	}
	if bad := json.Unmarshal(answer, out); bad != nil {
		return true, errors.Join(err, bad)
	}
	return true, nil
}

// View has f read the copy; see engine.Engine. Unless stale is set, a replica is asked up to where the quorum is, and the
// copy waited for.
func (f *Follower) View(ctx context.Context, stale bool, read func(*store.State)) (engine.Age, error) {
	var need engine.Age
	for at, asked := mathrand.IntN(len(f.http)), false; !stale && !asked; at = (at + 1) % len(f.http) {
		_, err := f.ask(ctx, at, meter.Requests, http.MethodGet, "/v1/revision", nil, &need)
		if asked = err == nil; asked {
			break
		}
		select {
		case <-ctx.Done():
			return engine.Age{}, fmt.Errorf("%w: %w", err, ctx.Err())
		case <-f.ctx.Done():
			return engine.Age{}, engine.ErrClosed
		case <-time.After(backMin):
		}
	}
	for {
		f.mu.Lock()
		changed := f.changed
		if f.state != nil && f.state.Revision() >= need.Revision {
			a := f.age()
			read(f.state)
			f.mu.Unlock()
			return a, nil
		}
		none := f.state == nil
		f.mu.Unlock()
		if stale && none {
			return engine.Age{Stale: true}, replica.ErrNoLeader
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return engine.Age{}, ctx.Err()
		case <-f.ctx.Done():
			return engine.Age{}, engine.ErrClosed
		}
	}
}

// age is how old the copy may be. The lock is held.
func (f *Follower) age() engine.Age {
	a := engine.Age{Revision: f.state.Revision(), Proved: f.proved > 0}
	if a.Proved {
		a.Age = time.Since(f.begun) - f.proved
	}
	a.Stale = policy.Staleness{Confirmed: a.Proved, Age: int64(a.Age), Allowed: int64(staleAfter)}.Stale()
	return a
}

// Next returns changes; see engine.Engine.
func (f *Follower) Next(ctx context.Context, prefix string, after uint64, most int) ([]store.Event, uint64, error) {
	for {
		f.mu.Lock()
		changed := f.changed
		var events []store.Event
		var gone error
		to := after
		if f.state != nil {
			events, to, gone = f.state.Changes(nil, prefix, after, most)
		}
		f.mu.Unlock()
		if gone != nil || len(events) > 0 {
			return events, to, gone
		}
		after = max(after, to)
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, after, ctx.Err()
		case <-f.ctx.Done():
			return nil, after, engine.ErrClosed
		}
	}
}

// Save returns a copy of the state; see engine.Engine.
func (f *Follower) Save(ctx context.Context) (*store.State, error) {
	var s *store.State
	_, err := f.View(ctx, false, func(now *store.State) { s = now.Clone() })
	return s, err
}

// HandOver is not for a follower.
func (f *Follower) HandOver(context.Context) error {
	return errors.New("this daemon has no replica, and leads nothing")
}

// Status returns how the copy stands.
func (f *Follower) Status(context.Context) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := engine.Status{Follower: true, Follows: f.follows}
	s.Name = f.cfg.Name
	if f.state == nil {
		s.Age.Stale = true
		return s, nil
	}
	s.Age = f.age()
	s.Self.Cluster, s.Revision, s.Keys, s.Bytes, s.Level = f.state.Cluster(), f.state.Revision(), f.state.Len(), f.state.Size(), f.state.Level()
	for _, m := range f.state.Members() {
		s.Peers = append(s.Peers, replica.Peer{Member: m})
	}
	if info, err := os.Stat(f.path()); err == nil {
		s.Disk = info.Size()
	}
	return s, nil
}
