// Package follower is a copy of the store without a replica: a daemon has it whose host does not vote. It takes the whole state
// from one of several replicas once, then what changes, and keeps it in a file for its next start. What it tells the store
// goes through any replica that answers.
//
// A follower costs the cluster one stream of changes; it takes no part in what a quorum agrees on, and however many there are
// no write waits for them. Cut off, it goes on with what it has, and says how old that is.
//
// It may hold a part of the state alone (package feed; docs/design/interest.md). Who reads more of it reads a replica's copy, or is told
// that it is not here: never that a key is not there which this copy does not hold.
package follower

import (
	"bufio"
	"bytes"
	"cmp"
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
	"net/http/httptrace"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// Replica is one that may be followed.
type Replica struct {
	Name string // by its key; unused without keys
	Addr string
}

// Config is what a follower runs by.
type Config struct {
	Name             string // of this daemon
	Dir              string // where the copy is kept
	Replicas         []Replica
	Keys             *keys.Pair // nil: plain TCP on loopback
	FirstCopyTimeout time.Duration
	Log              *slog.Logger
	Usage            *usage.Recorder // of messages and the file of the copy; nil: nothing is counted

	// OnEvent and Reset are told of changes and of a whole new copy, one after the other. They must not wait.
	OnEvent func(store.Event)
	OnReset func(*store.State)
	// OnCaughtUp is told once, when the copy is as a replica has it that a quorum confirms.
	OnCaughtUp func()
	// OnConfirmed is told how long ago a quorum confirmed the copy, at each word of that.
	OnConfirmed func(ago time.Duration)
	// OnSnapshotAge is told how long ago, by a replica's clock, a picture was put that the copy came with.
	OnSnapshotAge func(key string, age time.Duration)

	// Subscription is asked what the copy is to hold, at the start, after each whole copy, and after UpdateInterest. nil: all.
	Subscription func() changefeed.Subscription
	// OnPrefixSize is told of those sums that were asked for, as they change.
	OnPrefixSize func(prefix string, n store.PrefixSize)
}

const (
	minBackoff          = 50 * time.Millisecond
	maxBackoff          = time.Second
	silenceTimeout      = 4 * time.Second  // of a replica that sends a beat every second
	minSaveInterval     = 2 * time.Second  // between two files of a copy that changes, at least,
	saveTimeFactor      = 100              // and no more than such a part of the time goes into them
	maxLineBytes        = 8 << 20          // bytes of a change
	requestTimeout      = 3 * time.Second  // for a replica's answer, before another is asked
	maxFreshAge         = 3 * time.Second  // as a replica's own copy
	fetchTimeout        = 60 * time.Second // for a whole copy
	maxImmediateRetries = 4                // times that a replica is asked for something else, before another is
	maxWiderReads       = 4                // copies that a read asks for that finds more to read
)

// Follower is a running copy. All methods may be called by any goroutine.
type Follower struct {
	cfg            Config
	clientID       uint64
	seq            atomic.Uint64
	clients        []*http.Client // by replica
	startedAt      time.Time
	ctx            context.Context
	cancel         context.CancelFunc
	background     sync.WaitGroup
	firstHeartbeat chan struct{} // closed once the first beat came

	fileMu        sync.Mutex // of the file
	writtenNumber uint64     // the number of the copy in it

	mu              sync.Mutex
	mirror          *changefeed.Mirror
	subscription    changefeed.Subscription
	interestChanged chan struct{} // closed when the copy is to hold something else
	advanced        chan struct{} // closed when the revision goes on
	connectedTo     string
	confirmedAt     time.Duration // when a quorum confirmed the copy, since begun; 0 never
	unsaved         bool          // the file lacks something
	copyNumber      uint64        // of copies for the file
	fileWrittenAt   time.Time     // when the file that this start found was written; zero: there was none
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
	f := &Follower{cfg: cfg, clientID: binary.BigEndian.Uint64(b[:])>>1 | 1, startedAt: time.Now(), advanced: make(chan struct{}),
		firstHeartbeat: make(chan struct{}), interestChanged: make(chan struct{}), mirror: changefeed.NewMirror(nil, changefeed.NoDefect)}
	f.updateSubscription()
	for _, r := range cfg.Replicas {
		t := &http.Transport{DialContext: f.dial, MaxIdleConnsPerHost: 4, TLSHandshakeTimeout: requestTimeout}
		if cfg.Keys != nil {
			c, err := cfg.Keys.Client(r.Name)
			if err != nil {
				return nil, fmt.Errorf("follow: %w", err)
			}
			t.TLSClientConfig = c
		}
		f.clients = append(f.clients, &http.Client{Transport: t})
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	found, err := f.load()
	if err != nil {
		cfg.Log.Error("the copy on the disk is not used", "file", f.copyPath(), "error", err)
	}
	f.background.Go(f.run)
	f.background.Go(f.saveLoop)
	if !found && cfg.FirstCopyTimeout > 0 {
		select {
		case <-f.firstHeartbeat:
		case <-time.After(cfg.FirstCopyTimeout):
			cfg.Log.Warn("no replica gave its copy in time: starting without", "waited", cfg.FirstCopyTimeout)
		}
	}
	return f, nil
}

// dial opens a connection that is counted.
func (f *Follower) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: requestTimeout}).DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return f.cfg.Usage.WrapConn(c), nil
}

func (f *Follower) copyPath() string { return filepath.Join(f.cfg.Dir, "copy") }

// load takes what the file has.
func (f *Follower) load() (found bool, err error) {
	b, err := os.ReadFile(f.copyPath())
	if errors.Is(err, os.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	s, err := store.LoadSubset(bytes.NewReader(b))
	if err != nil {
		return false, err
	}
	if s.Level() > store.Level {
		return false, fmt.Errorf("%w: level %d, and this build knows %d", store.ErrUnknownCommand, s.Level(), store.Level)
	}
	if info, err := os.Stat(f.copyPath()); err == nil {
		f.fileWrittenAt = info.ModTime()
	}
	f.mu.Lock()
	f.mirror.Restore(s)
	f.stateReplaced()
	f.mu.Unlock()
	f.cfg.Log.Info("the store's copy of an earlier start", "revision", s.Revision(), "keys", s.Len(),
		"written", time.Since(f.fileWrittenAt).Round(time.Second).String()+" ago by this host's clock")
	return true, nil
}

// stateReplaced tells of a copy that is another as a whole. The lock is held.
func (f *Follower) stateReplaced() {
	f.notifyAdvanced()
	if f.cfg.OnReset != nil {
		f.cfg.OnReset(f.mirror.State())
	}
	f.updateSubscription()
}

// updateSubscription takes what the copy is to hold. The lock is held, or nothing runs yet.
func (f *Follower) updateSubscription() {
	if f.cfg.Subscription == nil {
		return
	}
	f.subscription = f.cfg.Subscription()
	if f.mirror.SetInterest(f.subscription.Interest) {
		close(f.interestChanged)
		f.interestChanged = make(chan struct{})
	}
}

// UpdateInterest has Needs asked again: what the copy is to hold has changed. It is not called by the hooks, which are asked behind.
func (f *Follower) UpdateInterest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.updateSubscription()
}

// notifyAdvanced wakes those who wait for a change. The lock is held.
func (f *Follower) notifyAdvanced() {
	close(f.advanced)
	f.advanced = make(chan struct{})
}

// StartedFrom says where the copy of this start came from, and when its file, if it was that, was written.
func (f *Follower) StartedFrom() (from string, written time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.fileWrittenAt.IsZero() {
		return "own disk", f.fileWrittenAt
	}
	return "another replica", time.Time{}
}

// Close ends the follower, and writes what its file lacks.
func (f *Follower) Close() error {
	f.cancel()
	f.background.Wait()
	return f.save()
}

// ---- Hearing ---------------------------------------------------------------

// run follows one replica after another, from one drawn by chance on, so that many followers spread.
func (f *Follower) run() {
	at, wait, again := mathrand.IntN(len(f.cfg.Replicas)), minBackoff, 0
	for f.ctx.Err() == nil {
		f.mu.Lock()
		rescope := f.interestChanged
		f.mu.Unlock()
		heard, err := f.follow(at, rescope)
		f.mu.Lock()
		f.connectedTo = ""
		f.mu.Unlock()
		if f.ctx.Err() != nil {
			return
		}
		f.cfg.Log.Debug("a replica is followed no more", "replica", f.cfg.Replicas[at].Name, "error", err)
		if heard {
			wait, again = minBackoff, 0
		}
		if err == nil || errors.Is(err, errRequestAgain) { // it is to be asked for something else
			if again++; again < maxImmediateRetries {
				continue
			}
		}
		again = 0
		at = (at + 1) % len(f.cfg.Replicas)
		select {
		case <-f.ctx.Done():
		case <-time.After(wait/2 + mathrand.N(wait)):
		}
		wait = min(2*wait, maxBackoff)
	}
}

func (f *Follower) url(at int, path string, q url.Values) string {
	scheme := "http"
	if f.cfg.Keys != nil {
		scheme = "https"
	}
	return scheme + "://" + f.cfg.Replicas[at].Addr + path + "?" + q.Encode()
}

// errReplicaBehind says that a replica has less than this copy, or is of another cluster.
var errReplicaBehind = changefeed.ErrReplicaBehind

// errRequestAgain says that the same replica is to be asked for something else.
var errRequestAgain = errors.New("something else is needed")

// follow hears one replica until that ends, or rescope is closed, and says whether it was heard at all.
func (f *Follower) follow(at int, rescope chan struct{}) (heard bool, err error) {
	f.mu.Lock()
	ask, sums := f.mirror.NextRequest(), f.subscription.SizePrefixes
	f.mu.Unlock()
	if ask.Snapshot {
		if err := f.fetch(at, ask.Interest); err != nil {
			return false, err
		}
		return false, errRequestAgain // what is there now says what is needed
	}
	f.mu.Lock()
	cluster := f.mirror.State().Cluster()
	f.mu.Unlock()
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	defer cancelOn(rescope, cancel)()
	q := admin.StreamQuery(ask.Interest, ask.After, sums)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(at, admin.StreamPath, q), nil)
	if err != nil {
		return false, err
	}
	silence := time.AfterFunc(silenceTimeout, cancel) // a machine that is cut off leaves the connection open and says nothing
	defer silence.Stop()
	a, err := f.clients[at].Do(r)
	if err != nil {
		return false, streamError(rescope, err)
	}
	defer a.Body.Close()
	f.cfg.Usage.Count(usage.Heartbeats, usage.Out, 1, 0)
	if a.StatusCode == http.StatusGone {
		return false, f.fetch(at, ask.Interest)
	}
	if a.StatusCode != http.StatusOK {
		f.cfg.Usage.Count(usage.Heartbeats, usage.In, 1, int(max(0, a.ContentLength)))
		return false, fmt.Errorf("%w: %s", errReplicaBehind, a.Status)
	}
	scoped := a.Header.Get(admin.ScopedHeader) != ""
	if ask.Interest != nil {
		f.mu.Lock()
		anew, fetch := f.mirror.StreamOpened(scoped)
		if anew { // what the file has beyond it is as true as it was, and of use to a start until something changes
			f.stateReplaced()
		}
		f.mu.Unlock()
		if fetch { // a replica of an older version gives all or nothing
			if err := f.fetch(at, nil); err != nil {
				return false, err
			}
			return false, errRequestAgain
		}
	}
	lines := bufio.NewScanner(a.Body)
	lines.Buffer(make([]byte, 0, 4<<10), maxLineBytes)
	for lines.Scan() {
		silence.Reset(silenceTimeout)
		var l admin.StreamLine
		if err := json.Unmarshal(lines.Bytes(), &l); err != nil {
			return heard, fmt.Errorf("%w: %w", errReplicaBehind, err)
		}
		of := usage.Heartbeats
		switch {
		case l.Event != nil:
			of = f.cfg.Usage.KeyPurpose(l.Event.Item.Key)
		case len(l.Events) > 0:
			of = f.cfg.Usage.KeyPurpose(l.Events[0].Item.Key)
		}
		f.cfg.Usage.Count(of, usage.In, 1, len(lines.Bytes())+len("\n"))
		if l.Error != nil && l.Error.OldestRevision > 0 {
			return heard, f.fetch(at, ask.Interest)
		}
		if l.Error != nil {
			return heard, fmt.Errorf("%w: %s", errReplicaBehind, l.Error.Error)
		}
		if l.Heartbeat != nil && l.Heartbeat.Cluster != cluster {
			return heard, fmt.Errorf("%w: it is of cluster %x, and this copy of %x", errReplicaBehind, l.Heartbeat.Cluster, cluster)
		}
		if err := f.applyLine(&l); err != nil {
			return heard, err
		}
		if l.Heartbeat != nil {
			heard = true
			f.applyHeartbeat(at, l.Heartbeat)
			// One that is cut off from the quorum tells nothing new: another may.
			if (!l.Heartbeat.Confirmed || l.Heartbeat.Age > maxFreshAge) && len(f.cfg.Replicas) > 1 {
				return false, fmt.Errorf("%w: no quorum confirms its copy", errReplicaBehind)
			}
		}
	}
	return heard, streamError(rescope, cmp.Or(lines.Err(), io.EOF))
}

// cancelOn calls stop once rescope is closed, until the function that it returns is called.
func cancelOn(rescope chan struct{}, stop func()) (end func()) {
	over := make(chan struct{})
	go func() {
		select {
		case <-rescope:
			stop()
		case <-over:
		}
	}()
	return sync.OnceFunc(func() { close(over) })
}

// streamError is errAgain in the place of an error that comes of rescope.
func streamError(rescope chan struct{}, err error) error {
	select {
	case <-rescope:
		return errRequestAgain
	default:
		return err
	}
}

// applyLine takes what changed, and up to where that is all.
func (f *Follower) applyLine(l *admin.StreamLine) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	events := l.Events
	switch {
	case l.Event != nil:
		if err := f.mirror.ApplyEvent(*l.Event); err != nil {
			return err
		}
		events = []store.Event{*l.Event}
	case len(events) > 0:
		if err := f.mirror.ApplyRevision(events); err != nil {
			return err
		}
	}
	for _, e := range events {
		f.unsaved = f.unsaved || f.mirror.State().Interest() == nil || f.subscription.Retained.Covers(e.Item.Key)
		if f.cfg.OnEvent != nil {
			f.cfg.OnEvent(e)
		}
	}
	if l.Through > 0 {
		if err := f.mirror.Progress(l.Through); err != nil {
			return err
		}
	}
	if len(events) > 0 || l.Through > 0 {
		f.notifyAdvanced()
	}
	return nil
}

func (f *Follower) applyHeartbeat(at int, b *admin.Heartbeat) {
	f.mu.Lock()
	f.connectedTo = f.cfg.Replicas[at].Addr
	first, proved := false, b.Confirmed && f.mirror.HasRevision(b.Revision)
	if proved {
		first = f.confirmedAt == 0
		f.confirmedAt = max(f.confirmedAt, time.Since(f.startedAt)-b.Age, 1)
	}
	f.mu.Unlock()
	if proved && f.cfg.OnConfirmed != nil {
		f.cfg.OnConfirmed(b.Age)
	}
	if first && f.cfg.OnCaughtUp != nil {
		f.cfg.OnCaughtUp()
	}
	if f.cfg.OnSnapshotAge != nil {
		for _, x := range b.Ages {
			f.cfg.OnSnapshotAge(x.Key, x.Age)
		}
	}
	if f.cfg.OnPrefixSize != nil {
		for prefix, n := range b.PrefixSizes {
			f.cfg.OnPrefixSize(prefix, n)
		}
	}
	select {
	case <-f.firstHeartbeat:
	default:
		close(f.firstHeartbeat)
	}
}

// fetchState takes a copy of an interest, nil for all, from one replica.
func (f *Follower) fetchState(ctx context.Context, at int, of *store.Interest) (*store.State, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url(at, admin.CopyPath, admin.CopyQuery(of)), nil)
	if err != nil {
		return nil, err
	}
	a, err := f.clients[at].Do(r)
	if err != nil {
		return nil, err
	}
	defer a.Body.Close()
	f.cfg.Usage.Count(usage.Snapshots, usage.Out, 1, 0)
	f.cfg.Usage.Count(usage.Snapshots, usage.In, 1, 0)
	if a.StatusCode != http.StatusOK {
		f.cfg.Usage.Count(usage.Snapshots, usage.In, 0, int(max(0, a.ContentLength)))
		return nil, fmt.Errorf("%w: %s", errReplicaBehind, a.Status)
	}
	s, err := store.LoadSubset(&countedReader{a.Body, f.cfg.Usage, usage.Snapshots})
	if err != nil {
		return nil, err
	}
	if s.Level() > store.Level {
		f.cfg.Log.Error("the cluster uses commands that this build does not know: start a newer one", "level", s.Level(), "knows", store.Level)
		return nil, store.ErrUnknownCommand
	}
	return s, nil
}

// fetch takes a replica's copy of an interest, nil for all, in the place of this one, unless it is older.
func (f *Follower) fetch(at int, of *store.Interest) error {
	s, err := f.fetchState(f.ctx, at, of)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.mirror.Replace(s); err != nil {
		return err
	}
	f.unsaved = true
	f.stateReplaced()
	select {
	case <-f.firstHeartbeat:
	default: // it may hold less a moment later: a start is to know what this one began with
		s, n := f.takeUnsaved()
		f.background.Go(func() { f.markUnsavedOn(f.writeCopy(s, n)) })
	}
	return nil
}

// countedReader counts the bytes of a message as they are read.
type countedReader struct {
	io.Reader
	m  *usage.Recorder
	of usage.Purpose
}

func (c *countedReader) Read(b []byte) (int, error) {
	n, err := c.Reader.Read(b)
	c.m.Count(c.of, usage.In, 0, n)
	return n, err
}

// countedWriter counts what is written to the file of the copy.
type countedWriter struct {
	io.Writer
	m *usage.Recorder
}

func (c *countedWriter) Write(b []byte) (int, error) {
	n, err := c.Writer.Write(b)
	c.m.CountWrite(usage.CopyFile, 0, n)
	return n, err
}

// ---- Keeping ---------------------------------------------------------------

func (f *Follower) saveLoop() {
	wait := minSaveInterval
	failing := false
	for {
		select {
		case <-f.ctx.Done():
			return
		case <-time.After(wait):
		}
		begun := time.Now()
		err := f.save()
		wait = max(minSaveInterval, saveTimeFactor*time.Since(begun))
		if err != nil && !failing {
			f.cfg.Log.Warn("the store's copy is not kept", "error", err)
		}
		failing = err != nil
	}
}

// save puts the copy in the place of the file, if that lacks something.
func (f *Follower) save() error {
	f.mu.Lock()
	if !f.unsaved || f.mirror.State() == nil {
		f.mu.Unlock()
		return nil
	}
	s, n := f.takeUnsaved()
	f.mu.Unlock()
	return f.markUnsavedOn(f.writeCopy(s, n))
}

// markUnsavedOn notes that the file was not written, if that is so.
func (f *Follower) markUnsavedOn(err error) error {
	if err != nil {
		f.mu.Lock()
		f.unsaved = true
		f.mu.Unlock()
	}
	return err
}

// takeUnsaved is what is to be put in the place of the file, and its number. The lock is held.
func (f *Follower) takeUnsaved() (*store.State, uint64) {
	f.unsaved = false
	f.copyNumber++
	return f.mirror.Retained(f.subscription.Retained), f.copyNumber
}

// writeCopy writes a copy in the place of the file, unless a newer one is there.
func (f *Follower) writeCopy(s *store.State, number uint64) error {
	f.fileMu.Lock()
	defer f.fileMu.Unlock()
	if number < f.writtenNumber {
		return nil
	}
	err := writeFile(f.copyPath(), s, f.cfg.Usage)
	if err == nil {
		f.writtenNumber = number
	}
	return err
}

func writeFile(path string, s *store.State, m *usage.Recorder) error {
	w, err := os.CreateTemp(filepath.Dir(path), ".copy-*")
	if err != nil {
		return fmt.Errorf("follow: %w", err)
	}
	err = s.Save(&countedWriter{w, m})
	err = errors.Join(err, w.Sync(), w.Close())
	m.CountWrite(usage.CopyFile, 1, 0)
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
		c.ID = store.RequestID{Client: f.clientID, Seq: f.seq.Add(1)}
	}
	q := admin.ChangeRequest{ID: c.ID, Txn: c.Txn}
	switch {
	case c.GrantLease != nil && c.GrantLease.Owner != "":
		q.GrantMillis, q.Owner = c.GrantLease.TTLMillis, c.GrantLease.Owner
	case c.RenewLease != nil && c.RenewLease.Owner != "":
		q.RenewLease, q.Owner = c.RenewLease.LeaseID, c.RenewLease.Owner
	case c.RevokeLease != nil && c.RevokeLease.Owner != "":
		q.RevokeLease, q.Owner = c.RevokeLease.LeaseID, c.RevokeLease.Owner
	case c.Txn == nil:
		return store.Result{}, errors.New("follow: this daemon has no replica, and makes transactions and leases of its own alone")
	}
	body, err := json.Marshal(q)
	if err != nil {
		return store.Result{}, err
	}
	sent, wait := false, minBackoff
	last := replica.ErrNoLeader
	for at := mathrand.IntN(len(f.clients)); ctx.Err() == nil && f.ctx.Err() == nil; at = (at + 1) % len(f.clients) {
		var x admin.ChangeResponse
		reached, err := f.call(ctx, at, f.cfg.Usage.CommandPurpose(&c), http.MethodPost, admin.ChangePath, body, &x)
		if err == nil {
			if c.Txn != nil || c.RevokeLease != nil { // the others change no keys
				f.awaitRevision(ctx, x.Revision)
			}
			return store.Result{Revision: x.Revision, Succeeded: x.Succeeded, LeaseID: x.LeaseID}, nil
		}
		var told *admin.ResponseError
		if errors.As(err, &told) {
			if final := finalError(told); final != nil {
				return store.Result{}, final
			}
			sent = sent || told.OutcomeUnknown != nil
		} else {
			sent = sent || reached
		}
		last = err
		select {
		case <-ctx.Done():
		case <-f.ctx.Done():
		case <-time.After(wait/2 + mathrand.N(wait)):
		}
		wait = min(2*wait, maxBackoff)
	}
	if sent {
		return store.Result{}, &engine.UnknownError{ID: c.ID}
	}
	return store.Result{}, last
}

// awaitRevision waits until the copy shows a revision, for as long as the caller has: who made a change looks at what it did.
func (f *Follower) awaitRevision(ctx context.Context, revision uint64) {
	for {
		f.mu.Lock()
		changed, there := f.advanced, f.mirror.HasRevision(revision)
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

// finalError is the outcome that a replica's answer tells, or nil if another may be asked.
func finalError(e *admin.ResponseError) error {
	switch e.Status {
	case http.StatusInsufficientStorage:
		return store.ErrFull
	case http.StatusPreconditionFailed:
		return store.ErrLevel
	case http.StatusBadRequest, http.StatusConflict:
		if e.LeaseNotFound {
			return store.ErrLeaseNotFound
		}
		return e
	}
	return nil
}

// call puts a request to one replica. reached is set if the request may have been read.
func (f *Follower) call(ctx context.Context, at int, of usage.Purpose, method, path string, body []byte, out any) (reached bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, f.url(at, path, url.Values{"timeout": {(requestTimeout - requestTimeout/10).String()}}), bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	var connected atomic.Bool // else nothing can have been read, also where the time was up while it was tried
	r = r.WithContext(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}))
	a, err := f.clients[at].Do(r)
	if err != nil {
		if connected.Load() {
			f.cfg.Usage.Count(of, usage.Out, 1, len(body))
		}
		return connected.Load(), err
	}
	defer a.Body.Close()
	f.cfg.Usage.Count(of, usage.Out, 1, len(body))
	answer, err := io.ReadAll(io.LimitReader(a.Body, maxLineBytes)) // an error shows by what is missing
	f.cfg.Usage.Count(of, usage.In, 1, len(answer))
	if a.StatusCode != http.StatusOK {
		e := &admin.ResponseError{Status: a.StatusCode}
		if err := json.Unmarshal(answer, &e.ErrorBody); err != nil {
			return true, fmt.Errorf("the replica answered %s", a.Status)
		}
		return true, e
	}
	if bad := json.Unmarshal(answer, out); bad != nil {
		return true, errors.Join(err, bad)
	}
	return true, nil
}

// View has read read the copy; see engine.Engine. Unless stale is set, a replica is asked up to where the quorum is, and the
// copy waited for. If it reads what this copy does not hold, it is called again with what a replica holds, and what it read then
// counts; with stale set, or if no replica gives it, the error says so.
func (f *Follower) View(ctx context.Context, stale bool, read func(*store.State)) (engine.CopyAge, error) {
	var need engine.CopyAge
	for at, asked := mathrand.IntN(len(f.clients)), false; !stale && !asked; at = (at + 1) % len(f.clients) {
		_, err := f.call(ctx, at, usage.Requests, http.MethodGet, admin.RevisionPath, nil, &need)
		if asked = err == nil; asked {
			break
		}
		select {
		case <-ctx.Done():
			return engine.CopyAge{}, fmt.Errorf("%w: %w", err, ctx.Err())
		case <-f.ctx.Done():
			return engine.CopyAge{}, engine.ErrClosed
		case <-time.After(minBackoff):
		}
	}
	for looked := false; ; {
		f.mu.Lock()
		changed, none := f.advanced, f.mirror.State() == nil
		there := f.mirror.HasRevision(need.Revision)
		if there || !none && !looked && f.mirror.State().Interest() != nil { // what is not held need not be waited for
			a := f.copyAge()
			what, held := f.mirror.Read(read)
			f.mu.Unlock()
			switch {
			case held && there:
				return a, nil
			case !held && stale:
				return a, &store.NotHeldError{Interest: what}
			case !held:
				return f.readFromReplica(ctx, need, what, read)
			}
			looked = true
			continue
		}
		f.mu.Unlock()
		if stale && none {
			return engine.CopyAge{Stale: true}, replica.ErrNoLeader
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return engine.CopyAge{}, ctx.Err()
		case <-f.ctx.Done():
			return engine.CopyAge{}, engine.ErrClosed
		}
	}
}

// readFromReplica has read read a replica's copy of what it reads, which has all that need has.
func (f *Follower) readFromReplica(ctx context.Context, need engine.CopyAge, what store.Interest, read func(*store.State)) (engine.CopyAge, error) {
	last := error(&store.NotHeldError{Interest: what})
	at, wait := mathrand.IntN(len(f.clients)), minBackoff
	for more := 0; more < maxWiderReads; {
		of := &what
		if what.Validate() != nil { // such as all keys
			of = nil
		}
		s, err := f.fetchState(ctx, at, of)
		if err == nil && s.Revision() >= need.Revision {
			s.TrackReads()
			read(s)
			found, held := s.TrackedReads()
			if held {
				need.Revision = s.Revision()
				return need, nil
			}
			what = what.Union(found)
			more++
			continue
		}
		if err != nil {
			last = fmt.Errorf("%w: %w", &store.NotHeldError{Interest: what}, err)
		}
		at = (at + 1) % len(f.clients)
		select {
		case <-ctx.Done():
			return engine.CopyAge{}, errors.Join(last, ctx.Err())
		case <-f.ctx.Done():
			return engine.CopyAge{}, engine.ErrClosed
		case <-time.After(wait/2 + mathrand.N(wait)):
		}
		wait = min(2*wait, maxBackoff)
	}
	return engine.CopyAge{}, last
}

// copyAge is how old the copy may be. The lock is held.
func (f *Follower) copyAge() engine.CopyAge {
	a := engine.CopyAge{Revision: f.mirror.State().Revision(), Confirmed: f.confirmedAt > 0}
	if a.Confirmed {
		a.Age = time.Since(f.startedAt) - f.confirmedAt
	}
	a.Stale = serverstate.Staleness{Confirmed: a.Confirmed, Age: int64(a.Age), Allowed: int64(maxFreshAge)}.Stale()
	return a
}

// Next returns changes; see engine.Engine.
func (f *Follower) Next(ctx context.Context, prefix string, after uint64, most int) ([]store.Event, uint64, error) {
	for {
		f.mu.Lock()
		changed := f.advanced
		var events []store.Event
		var gone error
		to := after
		if s := f.mirror.State(); s != nil {
			events, to, gone = s.Changes(nil, prefix, after, most)
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

// Save returns a copy of the whole state; see engine.Engine.
func (f *Follower) Save(ctx context.Context) (*store.State, error) {
	var s *store.State
	_, err := f.View(ctx, false, func(now *store.State) {
		now.Range("", "", func(store.Item) bool { return false }) // all of it is read
		s = now.Clone()
	})
	return s, err
}

// TransferLeadership is not for a follower.
func (f *Follower) TransferLeadership(context.Context) error {
	return errors.New("this daemon has no replica, and leads nothing")
}

// Status returns how the copy stands.
func (f *Follower) Status(context.Context) (engine.Status, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := engine.Status{Follower: true, Following: f.connectedTo}
	s.Name = f.cfg.Name
	now := f.mirror.State()
	if now == nil {
		s.CopyAge.Stale = true
		return s, nil
	}
	s.CopyAge, s.Interest = f.copyAge(), now.Interest()
	s.Self.ClusterID, s.Revision, s.Keys, s.Bytes, s.Level = now.Cluster(), now.Revision(), now.Len(), now.Size(), now.Level()
	for _, m := range now.Members() {
		s.Peers = append(s.Peers, replica.Peer{Member: m})
	}
	if info, err := os.Stat(f.copyPath()); err == nil {
		s.DiskBytes = info.Size()
	}
	return s, nil
}
