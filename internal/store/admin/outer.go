package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// Followers are daemons without a replica of their own. They reach replicas over TCP with the cluster's keys, or plainly on
// loopback, and may do less than operators: take a copy and what changes, ask up to where the quorum is, and make
// transactions on the keys by which daemons tell each other of servers.
const (
	followersMost = 512 // at once, of one replica
	beatEvery     = time.Second
	changeMost    = 256 // changes of followers at once

	progressEvery = 250 * time.Millisecond // between two words that nothing of a follower's interest has changed, at least
	sumEvery      = time.Second            // between two reckonings of a sum
	sumsMost      = 4                      // of a follower
	lookMost      = 4096                   // changes that the replica's loop looks at at once
)

// Scoped is a header of the answers of replicas that tell followers of what they ask for alone.
const Scoped = "Store-Scoped"

// Beat is sent between changes, so that a follower knows that its copy is up to date and how old it may be.
type Beat struct {
	Cluster  uint64        `json:"cluster"`
	Revision uint64        `json:"revision"`
	Proved   bool          `json:"proved"`
	Age      time.Duration `json:"age_ns"`
	Ages     []KeyAge      `json:"ages,omitempty"` // of pictures, with the first beat: how long ago they were put

	Sums map[string]store.PrefixSize `json:"sums,omitempty"` // by prefix: those that were asked for, and are others than were told
}

// KeyAge is how long ago the store was told of a key.
type KeyAge struct {
	Key string        `json:"key"`
	Age time.Duration `json:"age_ns"`
}

// Line is one of a follower's stream. One that asked for all is told of each change by a line; one that asked for an interest of all
// that a revision changed of it, and up to which revision it was told all.
type Line struct {
	Event *store.Event `json:"event,omitempty"`
	Beat  *Beat        `json:"beat,omitempty"`
	Fault *Fault       `json:"fault,omitempty"`

	Events  []store.Event `json:"events,omitempty"`
	Through uint64        `json:"through,omitempty"`
}

// Outer answers followers.
type Outer struct {
	e       *engine.Engine
	rules   Rules
	http    *http.Server
	slots   chan struct{}
	changes chan struct{}
	feed    *changefeed.Feed
	stop    context.CancelFunc
	feeding sync.WaitGroup

	mu   sync.Mutex
	sums map[string]summed
}

// summed is a sum as it was last reckoned.
type summed struct {
	store.PrefixSize
	at time.Time
}

// Rules are what others say of followers.
type Rules struct {
	// May says whether an operation of a transaction is a follower's own to make, besides those on what daemons tell each other of
	// servers. owner is the follower's name if the transaction is made in it.
	May func(op store.Op, owner string) bool
	// Ages are how long ago pictures came here, by key.
	Ages func() map[string]time.Duration
	// Meter counts what followers cost; nil: nothing is counted.
	Meter *usage.Recorder
}

// ServeFollowers serves a listener, which Close closes. Without keys it is for loopback alone.
func ServeFollowers(ln net.Listener, e *engine.Engine, rules Rules, pair *keys.Pair) (*Outer, error) {
	if a, ok := ln.Addr().(*net.TCPAddr); pair == nil && (!ok || !a.IP.IsLoopback()) {
		return nil, fmt.Errorf("store: plain TCP on %s, which is not a loopback address", ln.Addr())
	}
	o := &Outer{e: e, rules: rules, slots: make(chan struct{}, followersMost), changes: make(chan struct{}, changeMost), sums: map[string]summed{}}
	ctx, stop := context.WithCancel(context.Background())
	a, err := e.View(ctx, true, func(*store.State) {})
	if err != nil {
		stop()
		return nil, err
	}
	o.feed, o.stop = changefeed.New(a.Revision, changefeed.NoDefect), stop
	o.feeding.Go(func() { o.run(ctx) })
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/copy", o.counted(usage.Snapshots, o.copy))
	m.HandleFunc("GET /v1/follow", o.counted(usage.Heartbeats, o.follow))
	m.HandleFunc("GET /v1/revision", o.counted(usage.Requests, handle(o.revision)))
	m.HandleFunc("POST /v1/change", o.counted(usage.Other, handle(o.change)))
	o.http = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10}
	ln = rules.Meter.WrapListener(ln)
	if pair != nil {
		o.http.TLSConfig = pair.Server()
		go o.http.ServeTLS(ln, "", "")
	} else {
		go o.http.Serve(ln)
	}
	return o, nil
}

// Close ends all streams.
func (o *Outer) Close() error {
	o.stop()
	err := o.http.Close()
	o.feeding.Wait()
	return err
}

// counted counts an answer for a purpose, which the handler may say better by answerIs, and the request that it answers. A
// request without a body is a message of no bytes.
func (o *Outer) counted(of usage.Purpose, h http.HandlerFunc) http.HandlerFunc {
	if o.rules.Meter == nil {
		return h
	}
	return func(w http.ResponseWriter, r *http.Request) {
		c := &countedAnswer{ResponseWriter: w, m: o.rules.Meter, of: of, messages: 1}
		if r.Method == http.MethodGet { // others say what they are for in their bodies
			o.rules.Meter.Count(of, usage.In, 1, 0)
		}
		h(c, r)
	}
}

// countedAnswer counts a message with the first bytes that are written, before they are, and the bytes of all.
type countedAnswer struct {
	http.ResponseWriter
	m        *usage.Recorder
	of       usage.Purpose
	messages int
}

func (c *countedAnswer) Write(b []byte) (int, error) {
	c.m.Count(c.of, usage.Out, c.messages, len(b))
	c.messages = 0
	return c.ResponseWriter.Write(b)
}

func (c *countedAnswer) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// answerIs says what the message is for that is written next.
func answerIs(w http.ResponseWriter, of usage.Purpose) {
	if c, ok := w.(*countedAnswer); ok {
		c.of, c.messages = of, 1
	}
}

// run hands out what changes: one reader of the history for all streams.
func (o *Outer) run(ctx context.Context) {
	for {
		at, _ := o.feed.Position()
		events, to, err := o.e.Next(ctx, "", at, 256)
		var gone *store.CompactedError
		switch {
		case errors.As(err, &gone): // as after a leader's snapshot
			a, err := o.e.View(ctx, true, func(*store.State) {})
			if err != nil {
				return
			}
			o.feed.Skip(a.Revision)
		case err != nil:
			return
		default:
			o.feed.Advance(events, to)
		}
	}
}

// interestOf reads what a follower wants of the state; nil is all.
func interestOf(q url.Values) (*store.Interest, error) {
	if !q.Has("prefix") && !q.Has("key") {
		return nil, nil
	}
	of := store.Interest{Prefixes: q["prefix"], Keys: q["key"]}
	if err := of.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBad, err)
	}
	of = store.Interest{}.Union(of)
	return &of, nil
}

// Query is an interest as a replica is asked for it.
func Query(of *store.Interest) url.Values {
	q := url.Values{}
	if of != nil {
		q["prefix"], q["key"] = of.Prefixes, of.Keys
		if len(of.Prefixes)+len(of.Keys) == 0 {
			q["key"] = []string{nothing}
		}
	}
	return q
}

const nothing = "\x00" // a key that nobody puts

// copy sends the state, or what is asked for of it, as this replica has it: a follower that starts must not wait for a quorum.
func (o *Outer) copy(w http.ResponseWriter, r *http.Request) {
	of, err := interestOf(r.URL.Query())
	if err != nil {
		Fail(w, err)
		return
	}
	var s *store.State
	if _, err := o.e.View(r.Context(), true, func(now *store.State) {
		if of != nil {
			s = now.Subset(*of)
		} else {
			s = now.Clone()
		}
	}); err != nil || s == nil {
		Fail(w, errors.Join(errors.New("this replica has no copy yet"), err))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = s.Save(w) // a reader finds by its checksum that it is cut
}

// follow sends changes after a revision, and beats.
func (o *Outer) follow(w http.ResponseWriter, r *http.Request) {
	select {
	case o.slots <- struct{}{}:
		defer func() { <-o.slots }()
	default:
		Fail(w, fmt.Errorf("%d followers are here already", followersMost))
		return
	}
	q := r.URL.Query()
	after, err := Number(q, "after")
	of, bad := interestOf(q)
	sums := q["sum"]
	if len(sums) > sumsMost || slices.Contains(sums, "") {
		bad = errors.Join(bad, fmt.Errorf("%w: sum: %d prefixes are more than %d, or one is empty", ErrBad, len(sums), sumsMost))
	}
	if err := errors.Join(err, bad); err != nil {
		Fail(w, err)
		return
	}
	x := &stream{o: o, of: of, sums: sums, after: after, w: w, c: http.NewResponseController(w), told: map[string]store.PrefixSize{}}
	if of != nil {
		w.Header().Set(Scoped, "1")
	}
	x.run(r.Context())
}

// stream is the connection of one follower.
type stream struct {
	o     *Outer
	of    *store.Interest
	sums  []string
	after uint64 // up to where it has all
	w     http.ResponseWriter
	c     *http.ResponseController
	t     *changefeed.Sender
	ages  map[string]time.Duration // that are to go with the next beat
	told  map[string]store.PrefixSize
}

// send writes a line, which is for a purpose.
func (x *stream) send(of usage.Purpose, b []byte) bool {
	answerIs(x.w, of)
	_ = x.c.SetWriteDeadline(time.Now().Add(waitMost))
	_, err := x.w.Write(append(b, '\n'))
	return err == nil
}

func (x *stream) line(l Line) bool {
	b, err := json.Marshal(l)
	return err == nil && x.send(usage.Heartbeats, b)
}

func (x *stream) run(ctx context.Context) {
	x.ages = x.o.rules.Ages()
	x.t = x.o.feed.NewSender(x.of, x.after)
	defer x.o.feed.Unsubscribe(x.t.Stream)
	if !x.beat(ctx, false) || !x.catchUp(ctx) || !x.beat(ctx, true) { // a beat first, so that it is known of which cluster this is
		return
	}
	beat, progress := time.NewTicker(beatEvery), time.NewTicker(progressEvery)
	defer beat.Stop()
	defer progress.Stop()
	if x.of == nil {
		progress.Stop()
	}
	for {
		var ok bool
		select {
		case <-ctx.Done():
			return
		case <-x.t.Ready():
			ok = x.take(false)
		case <-progress.C:
			ok = x.take(true)
		case <-beat.C:
			ok = x.beat(ctx, true)
		}
		if !ok || x.c.Flush() != nil {
			return
		}
	}
}

// catchUp tells what changed between where the follower is and where its stream begins.
func (x *stream) catchUp(ctx context.Context) bool {
	for done := false; !done; {
		var txns []changefeed.Batch
		var gone error
		if _, err := x.o.e.View(ctx, true, func(s *store.State) { txns, done, gone = x.t.CatchUp(s, lookMost) }); err != nil {
			return false
		}
		var compacted *store.CompactedError
		if errors.As(gone, &compacted) {
			x.line(Line{Fault: &Fault{Error: gone.Error(), Oldest: compacted.Oldest}})
		}
		if gone != nil || !x.tell(txns, 0) {
			return false
		}
	}
	return true
}

// tell sends what some revisions changed, and up to where that is all, if it is not 0.
func (x *stream) tell(txns []changefeed.Batch, through uint64) bool {
	for i, t := range txns {
		if x.of == nil {
			for _, c := range t.Changes {
				if !x.send(x.o.rules.Meter.KeyPurpose(c.Item.Key), slices.Concat([]byte(`{"event":`), c.JSON(), []byte("}"))) {
					return false
				}
			}
			continue
		}
		b := []byte(`{"events":[`)
		for i, c := range t.Changes {
			if i > 0 {
				b = append(b, ',')
			}
			b = append(b, c.JSON()...)
		}
		b = append(b, ']')
		if i == len(txns)-1 && through > 0 {
			b = fmt.Appendf(b, `,"through":%d`, through)
		}
		if !x.send(x.o.rules.Meter.KeyPurpose(t.Changes[0].Item.Key), append(b, '}')) {
			return false
		}
	}
	return true
}

// take sends what there is. progress has it said up to where that is all, also if nothing changed.
func (x *stream) take(progress bool) bool {
	txns, through, over := x.t.Take(progress)
	if over || !x.tell(txns, through) {
		return false // it comes again from where it is, and has the history, or a copy
	}
	return x.of == nil || len(txns) > 0 || through == 0 || x.line(Line{Through: through})
}

// beat says how this replica stands, behind all that it says is confirmed. With whole set the follower was told of that.
func (x *stream) beat(ctx context.Context, whole bool) bool {
	var b Beat
	a, err := x.o.e.View(ctx, true, func(s *store.State) { b.Cluster = s.Cluster() })
	if err != nil {
		return false
	}
	l := Line{Beat: &b}
	if whole {
		x.o.reach(ctx, a.Revision)
		if !x.take(true) {
			return false
		}
		for _, prefix := range x.sums {
			n, err := x.o.sum(ctx, prefix)
			if err != nil {
				return false
			}
			if was, told := x.told[prefix]; !told || was != n {
				if b.Sums == nil {
					b.Sums = map[string]store.PrefixSize{}
				}
				x.told[prefix], b.Sums[prefix] = n, n
			}
		}
	}
	b.Revision, b.Proved = x.t.ConfirmedRevision(a.Revision, a.Confirmed)
	b.Age = a.Age
	for key, age := range x.ages {
		if x.of == nil || x.of.Covers(key) {
			b.Ages = append(b.Ages, KeyAge{key, age})
		}
	}
	x.ages = nil
	return x.line(l) && x.c.Flush() == nil
}

// reach waits a moment until all is handed out up to a revision.
func (o *Outer) reach(ctx context.Context, revision uint64) {
	wait, cancel := context.WithTimeout(ctx, beatEvery)
	defer cancel()
	for {
		at, moved := o.feed.Position()
		if at >= revision {
			return
		}
		select {
		case <-moved:
		case <-wait.Done():
			return
		}
	}
}

// sum adds up the keys with a prefix, for all followers that ask within a while.
func (o *Outer) sum(ctx context.Context, prefix string) (store.PrefixSize, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if was, ok := o.sums[prefix]; ok && now.Sub(was.at) < sumEvery {
		return was.PrefixSize, nil
	}
	for p, was := range o.sums {
		if now.Sub(was.at) >= 2*sumEvery {
			delete(o.sums, p)
		}
	}
	s := summed{at: now}
	_, err := o.e.View(ctx, true, func(now *store.State) { s.PrefixSize = now.PrefixSize(prefix) })
	if err == nil {
		o.sums[prefix] = s
	}
	return s.PrefixSize, err
}

// revision tells up to where a copy has to be to show all that was answered before the call.
func (o *Outer) revision(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	a, err := o.e.View(ctx, false, func(*store.State) {})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// change makes a transaction of a follower.
func (o *Outer) change(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var q Request
	plain := w // by which the connection is closed, should the body be too long
	if c, ok := w.(*countedAnswer); ok {
		plain = c.ResponseWriter
	}
	err := Decode(plain, r, &q)
	command := q.command()
	of := o.rules.Meter.CommandPurpose(&command)
	answerIs(w, of)
	o.rules.Meter.Count(of, usage.In, 1, int(max(0, r.ContentLength)))
	if err != nil {
		return nil, err
	}
	if err := followerMay(&q, hostOf(r, &q), o.rules.May); err != nil {
		return nil, err
	}
	select {
	case o.changes <- struct{}{}:
		defer func() { <-o.changes }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	res, err := o.e.Do(ctx, command)
	if err != nil {
		return nil, err
	}
	return Change{Revision: res.Revision, Held: res.Succeeded, Lease: res.LeaseID}, nil
}

// hostOf is the name of the daemon that asks: what its key says, or on plain loopback what it says itself.
func hostOf(r *http.Request, q *Request) string {
	switch {
	case r.TLS != nil && len(r.TLS.PeerCertificates) > 0:
		return r.TLS.PeerCertificates[0].Subject.CommonName
	case r.TLS != nil:
		return ""
	case q.Txn != nil:
		return q.Txn.Owner
	}
	return q.Owner
}

// followerMay says what of a request is not for a follower of this name. It tells of servers; it has leases of its own, which
// nobody else renews, and what may says besides.
func followerMay(q *Request, host string, may func(store.Op, string) bool) error {
	if q.Add != nil || q.Del != 0 {
		return fmt.Errorf("%w: members are not a follower's to change", ErrBad)
	}
	leases := 0
	for _, n := range []uint64{q.Grant, q.Renew, q.End} {
		if n != 0 {
			leases++
		}
	}
	switch {
	case q.Txn == nil && leases == 1:
		if host == "" || q.Owner != host {
			return fmt.Errorf("%w: a lease of %q is not for %q", ErrBad, q.Owner, host)
		}
		if q.Grant != 0 && (q.Grant < store.MinOwnedTTLMillis || q.Grant > store.MaxOwnedTTLMillis) {
			return fmt.Errorf("%w: a lease of %d ms is not within %d and %d", ErrBad, q.Grant, store.MinOwnedTTLMillis, store.MaxOwnedTTLMillis)
		}
		return nil
	case q.Txn == nil || leases > 0:
		return fmt.Errorf("%w: a follower makes transactions, or changes one lease of its own", ErrBad)
	}
	if q.Txn.Owner != "" && q.Txn.Owner != host {
		return fmt.Errorf("%w: %q is not %q", ErrBad, host, q.Txn.Owner)
	}
	for _, ops := range [][]store.Op{q.Txn.Then, q.Txn.Else} {
		for _, op := range ops {
			if op.RangeEnd != "" || !serverstate.IsServerKey(op.Key) && !may(op, q.Txn.Owner) || op.LeaseID != 0 && serverstate.IsServerKey(op.Key) {
				return fmt.Errorf("%w: %q is not a follower's to change", ErrBad, op.Key)
			}
		}
	}
	return nil
}
