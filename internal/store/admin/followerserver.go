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
	maxFollowers         = 512 // at once, of one replica
	heartbeatInterval    = time.Second
	maxConcurrentChanges = 256 // changes of followers at once

	progressInterval   = 250 * time.Millisecond // between two words that nothing of a follower's interest has changed, at least
	prefixSizeInterval = time.Second            // between two reckonings of a sum
	maxSizePrefixes    = 4                      // of a follower
	maxCatchUpEvents   = 4096                   // changes that the replica's loop looks at at once
)

// ScopedHeader is a header of the answers of replicas that tell followers of what they ask for alone.
const ScopedHeader = "Store-Scoped"

// Heartbeat is sent between changes, so that a follower knows that its copy is up to date and how old it may be.
type Heartbeat struct {
	Cluster   uint64        `json:"cluster"`
	Revision  uint64        `json:"revision"`
	Confirmed bool          `json:"proved"`
	Age       time.Duration `json:"age_ns"`
	Ages      []KeyAge      `json:"ages,omitempty"` // of pictures, with the first beat: how long ago they were put

	PrefixSizes map[string]store.PrefixSize `json:"sums,omitempty"` // by prefix: those that were asked for, and are others than were told
}

// KeyAge is how long ago the store was told of a key.
type KeyAge struct {
	Key string        `json:"key"`
	Age time.Duration `json:"age_ns"`
}

// StreamLine is one of a follower's stream. One that asked for all is told of each change by a line; one that asked for an interest of all
// that a revision changed of it, and up to which revision it was told all.
type StreamLine struct {
	Event     *store.Event `json:"event,omitempty"`
	Heartbeat *Heartbeat   `json:"beat,omitempty"`
	Error     *ErrorBody   `json:"fault,omitempty"`

	Events  []store.Event `json:"events,omitempty"`
	Through uint64        `json:"through,omitempty"`
}

// FollowerServer answers followers.
type FollowerServer struct {
	engine      *engine.Engine
	cfg         FollowerConfig
	http        *http.Server
	streamSlots chan struct{}
	changeSlots chan struct{}
	feed        *changefeed.Feed
	stop        context.CancelFunc
	background  sync.WaitGroup

	mu          sync.Mutex
	prefixSizes map[string]cachedPrefixSize
}

// cachedPrefixSize is a sum as it was last reckoned.
type cachedPrefixSize struct {
	store.PrefixSize
	readAt time.Time
}

// FollowerConfig are what others say of followers.
type FollowerConfig struct {
	// Allowed says whether an operation of a transaction is a follower's own to make, besides those on what daemons tell each other of
	// servers. owner is the follower's name if the transaction is made in it.
	Allowed func(op store.Op, owner string) bool
	// SnapshotAges are how long ago pictures came here, by key.
	SnapshotAges func() map[string]time.Duration
	// Usage counts what followers cost; nil: nothing is counted.
	Usage *usage.Recorder
}

// ServeFollowers serves a listener, which Close closes. Without keys it is for loopback alone.
func ServeFollowers(ln net.Listener, e *engine.Engine, rules FollowerConfig, pair *keys.Pair) (*FollowerServer, error) {
	if a, ok := ln.Addr().(*net.TCPAddr); pair == nil && (!ok || !a.IP.IsLoopback()) {
		return nil, fmt.Errorf("store: plain TCP on %s, which is not a loopback address", ln.Addr())
	}
	o := &FollowerServer{engine: e, cfg: rules, streamSlots: make(chan struct{}, maxFollowers), changeSlots: make(chan struct{}, maxConcurrentChanges), prefixSizes: map[string]cachedPrefixSize{}}
	ctx, stop := context.WithCancel(context.Background())
	a, err := e.View(ctx, true, func(*store.State) {})
	if err != nil {
		stop()
		return nil, err
	}
	o.feed, o.stop = changefeed.New(a.Revision, changefeed.NoDefect), stop
	o.background.Go(func() { o.run(ctx) })
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/copy", o.counted(usage.Snapshots, o.copy))
	m.HandleFunc("GET /v1/follow", o.counted(usage.Heartbeats, o.follow))
	m.HandleFunc("GET /v1/revision", o.counted(usage.Requests, callHandler(o.revision)))
	m.HandleFunc("POST /v1/change", o.counted(usage.Other, callHandler(o.change)))
	o.http = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 32 << 10}
	ln = rules.Usage.WrapListener(ln)
	if pair != nil {
		o.http.TLSConfig = pair.Server()
		go o.http.ServeTLS(ln, "", "")
	} else {
		go o.http.Serve(ln)
	}
	return o, nil
}

// Close ends all streams.
func (o *FollowerServer) Close() error {
	o.stop()
	err := o.http.Close()
	o.background.Wait()
	return err
}

// counted counts an answer for a purpose, which the handler may say better by answerIs, and the request that it answers. A
// request without a body is a message of no bytes.
func (o *FollowerServer) counted(of usage.Purpose, h http.HandlerFunc) http.HandlerFunc {
	if o.cfg.Usage == nil {
		return h
	}
	return func(w http.ResponseWriter, r *http.Request) {
		c := &countedResponse{ResponseWriter: w, m: o.cfg.Usage, of: of, messages: 1}
		if r.Method == http.MethodGet { // others say what they are for in their bodies
			o.cfg.Usage.Count(of, usage.In, 1, 0)
		}
		h(c, r)
	}
}

// countedResponse counts a message with the first bytes that are written, before they are, and the bytes of all.
type countedResponse struct {
	http.ResponseWriter
	m        *usage.Recorder
	of       usage.Purpose
	messages int
}

func (c *countedResponse) Write(b []byte) (int, error) {
	c.m.Count(c.of, usage.Out, c.messages, len(b))
	c.messages = 0
	return c.ResponseWriter.Write(b)
}

func (c *countedResponse) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// setPurpose says what the message is for that is written next.
func setPurpose(w http.ResponseWriter, of usage.Purpose) {
	if c, ok := w.(*countedResponse); ok {
		c.of, c.messages = of, 1
	}
}

// run hands out what changes: one reader of the history for all streams.
func (o *FollowerServer) run(ctx context.Context) {
	for {
		at, _ := o.feed.Position()
		events, to, err := o.engine.Next(ctx, "", at, 256)
		var gone *store.CompactedError
		switch {
		case errors.As(err, &gone): // as after a leader's snapshot
			a, err := o.engine.View(ctx, true, func(*store.State) {})
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

// parseInterest reads what a follower wants of the state; nil is all.
func parseInterest(q url.Values) (*store.Interest, error) {
	if !q.Has("prefix") && !q.Has("key") {
		return nil, nil
	}
	of := store.Interest{Prefixes: q["prefix"], Keys: q["key"]}
	if err := of.Validate(); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	of = store.Interest{}.Union(of)
	return &of, nil
}

// InterestQuery is an interest as a replica is asked for it.
func InterestQuery(of *store.Interest) url.Values {
	q := url.Values{}
	if of != nil {
		q["prefix"], q["key"] = of.Prefixes, of.Keys
		if len(of.Prefixes)+len(of.Keys) == 0 {
			q["key"] = []string{placeholderKey}
		}
	}
	return q
}

const placeholderKey = "\x00" // a key that nobody puts

// copy sends the state, or what is asked for of it, as this replica has it: a follower that starts must not wait for a quorum.
func (o *FollowerServer) copy(w http.ResponseWriter, r *http.Request) {
	of, err := parseInterest(r.URL.Query())
	if err != nil {
		WriteError(w, err)
		return
	}
	var s *store.State
	if _, err := o.engine.View(r.Context(), true, func(now *store.State) {
		if of != nil {
			s = now.Subset(*of)
		} else {
			s = now.Clone()
		}
	}); err != nil || s == nil {
		WriteError(w, errors.Join(errors.New("this replica has no copy yet"), err))
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = s.Save(w) // a reader finds by its checksum that it is cut
}

// follow sends changes after a revision, and beats.
func (o *FollowerServer) follow(w http.ResponseWriter, r *http.Request) {
	select {
	case o.streamSlots <- struct{}{}:
		defer func() { <-o.streamSlots }()
	default:
		WriteError(w, fmt.Errorf("%d followers are here already", maxFollowers))
		return
	}
	q := r.URL.Query()
	after, err := ParseNumber(q, "after")
	of, bad := parseInterest(q)
	sums := q["sum"]
	if len(sums) > maxSizePrefixes || slices.Contains(sums, "") {
		bad = errors.Join(bad, fmt.Errorf("%w: sum: %d prefixes are more than %d, or one is empty", ErrBadRequest, len(sums), maxSizePrefixes))
	}
	if err := errors.Join(err, bad); err != nil {
		WriteError(w, err)
		return
	}
	x := &followerStream{server: o, interest: of, sizePrefixes: sums, after: after, response: w, controller: http.NewResponseController(w), sentSizes: map[string]store.PrefixSize{}}
	if of != nil {
		w.Header().Set(ScopedHeader, "1")
	}
	x.run(r.Context())
}

// followerStream is the connection of one follower.
type followerStream struct {
	server       *FollowerServer
	interest     *store.Interest
	sizePrefixes []string
	after        uint64 // up to where it has all
	response     http.ResponseWriter
	controller   *http.ResponseController
	sender       *changefeed.Sender
	ages         map[string]time.Duration // that are to go with the next beat
	sentSizes    map[string]store.PrefixSize
}

// writeLine writes a line, which is for a purpose.
func (x *followerStream) writeLine(of usage.Purpose, b []byte) bool {
	setPurpose(x.response, of)
	_ = x.controller.SetWriteDeadline(time.Now().Add(defaultTimeout))
	_, err := x.response.Write(append(b, '\n'))
	return err == nil
}

func (x *followerStream) sendLine(l StreamLine) bool {
	b, err := json.Marshal(l)
	return err == nil && x.writeLine(usage.Heartbeats, b)
}

func (x *followerStream) run(ctx context.Context) {
	x.ages = x.server.cfg.SnapshotAges()
	x.sender = x.server.feed.NewSender(x.interest, x.after)
	defer x.server.feed.Unsubscribe(x.sender.Stream)
	if !x.sendHeartbeat(ctx, false) || !x.catchUp(ctx) || !x.sendHeartbeat(ctx, true) { // a beat first, so that it is known of which cluster this is
		return
	}
	beat, progress := time.NewTicker(heartbeatInterval), time.NewTicker(progressInterval)
	defer beat.Stop()
	defer progress.Stop()
	if x.interest == nil {
		progress.Stop()
	}
	for {
		var ok bool
		select {
		case <-ctx.Done():
			return
		case <-x.sender.Ready():
			ok = x.sendPending(false)
		case <-progress.C:
			ok = x.sendPending(true)
		case <-beat.C:
			ok = x.sendHeartbeat(ctx, true)
		}
		if !ok || x.controller.Flush() != nil {
			return
		}
	}
}

// catchUp tells what changed between where the follower is and where its stream begins.
func (x *followerStream) catchUp(ctx context.Context) bool {
	for done := false; !done; {
		var txns []changefeed.Batch
		var gone error
		if _, err := x.server.engine.View(ctx, true, func(s *store.State) { txns, done, gone = x.sender.CatchUp(s, maxCatchUpEvents) }); err != nil {
			return false
		}
		var compacted *store.CompactedError
		if errors.As(gone, &compacted) {
			x.sendLine(StreamLine{Error: &ErrorBody{Error: gone.Error(), OldestRevision: compacted.Oldest}})
		}
		if gone != nil || !x.sendBatches(txns, 0) {
			return false
		}
	}
	return true
}

// sendBatches sends what some revisions changed, and up to where that is all, if it is not 0.
func (x *followerStream) sendBatches(txns []changefeed.Batch, through uint64) bool {
	for i, t := range txns {
		if x.interest == nil {
			for _, c := range t.Changes {
				if !x.writeLine(x.server.cfg.Usage.KeyPurpose(c.Item.Key), slices.Concat([]byte(`{"event":`), c.JSON(), []byte("}"))) {
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
		if !x.writeLine(x.server.cfg.Usage.KeyPurpose(t.Changes[0].Item.Key), append(b, '}')) {
			return false
		}
	}
	return true
}

// sendPending sends what there is. progress has it said up to where that is all, also if nothing changed.
func (x *followerStream) sendPending(progress bool) bool {
	txns, through, over := x.sender.Take(progress)
	if over || !x.sendBatches(txns, through) {
		return false // it comes again from where it is, and has the history, or a copy
	}
	return x.interest == nil || len(txns) > 0 || through == 0 || x.sendLine(StreamLine{Through: through})
}

// sendHeartbeat says how this replica stands, behind all that it says is confirmed. With whole set the follower was told of that.
func (x *followerStream) sendHeartbeat(ctx context.Context, whole bool) bool {
	var b Heartbeat
	a, err := x.server.engine.View(ctx, true, func(s *store.State) { b.Cluster = s.Cluster() })
	if err != nil {
		return false
	}
	l := StreamLine{Heartbeat: &b}
	if whole {
		x.server.awaitFeed(ctx, a.Revision)
		if !x.sendPending(true) {
			return false
		}
		for _, prefix := range x.sizePrefixes {
			n, err := x.server.prefixSize(ctx, prefix)
			if err != nil {
				return false
			}
			if was, told := x.sentSizes[prefix]; !told || was != n {
				if b.PrefixSizes == nil {
					b.PrefixSizes = map[string]store.PrefixSize{}
				}
				x.sentSizes[prefix], b.PrefixSizes[prefix] = n, n
			}
		}
	}
	b.Revision, b.Confirmed = x.sender.ConfirmedRevision(a.Revision, a.Confirmed)
	b.Age = a.Age
	for key, age := range x.ages {
		if x.interest == nil || x.interest.Covers(key) {
			b.Ages = append(b.Ages, KeyAge{key, age})
		}
	}
	x.ages = nil
	return x.sendLine(l) && x.controller.Flush() == nil
}

// awaitFeed waits a moment until all is handed out up to a revision.
func (o *FollowerServer) awaitFeed(ctx context.Context, revision uint64) {
	wait, cancel := context.WithTimeout(ctx, heartbeatInterval)
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

// prefixSize adds up the keys with a prefix, for all followers that ask within a while.
func (o *FollowerServer) prefixSize(ctx context.Context, prefix string) (store.PrefixSize, error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	if was, ok := o.prefixSizes[prefix]; ok && now.Sub(was.readAt) < prefixSizeInterval {
		return was.PrefixSize, nil
	}
	for p, was := range o.prefixSizes {
		if now.Sub(was.readAt) >= 2*prefixSizeInterval {
			delete(o.prefixSizes, p)
		}
	}
	s := cachedPrefixSize{readAt: now}
	_, err := o.engine.View(ctx, true, func(now *store.State) { s.PrefixSize = now.PrefixSize(prefix) })
	if err == nil {
		o.prefixSizes[prefix] = s
	}
	return s.PrefixSize, err
}

// revision tells up to where a copy has to be to show all that was answered before the call.
func (o *FollowerServer) revision(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	a, err := o.engine.View(ctx, false, func(*store.State) {})
	if err != nil {
		return nil, err
	}
	return a, nil
}

// change makes a transaction of a follower.
func (o *FollowerServer) change(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var q ChangeRequest
	plain := w // by which the connection is closed, should the body be too long
	if c, ok := w.(*countedResponse); ok {
		plain = c.ResponseWriter
	}
	err := DecodeJSON(plain, r, &q)
	command := q.command()
	of := o.cfg.Usage.CommandPurpose(&command)
	setPurpose(w, of)
	o.cfg.Usage.Count(of, usage.In, 1, int(max(0, r.ContentLength)))
	if err != nil {
		return nil, err
	}
	if err := checkFollowerRequest(&q, requester(r, &q), o.cfg.Allowed); err != nil {
		return nil, err
	}
	select {
	case o.changeSlots <- struct{}{}:
		defer func() { <-o.changeSlots }()
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	res, err := o.engine.Do(ctx, command)
	if err != nil {
		return nil, err
	}
	return ChangeResponse{Revision: res.Revision, Succeeded: res.Succeeded, LeaseID: res.LeaseID}, nil
}

// requester is the name of the daemon that asks: what its key says, or on plain loopback what it says itself.
func requester(r *http.Request, q *ChangeRequest) string {
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

// checkFollowerRequest says what of a request is not for a follower of this name. It tells of servers; it has leases of its own, which
// nobody else renews, and what may says besides.
func checkFollowerRequest(q *ChangeRequest, host string, may func(store.Op, string) bool) error {
	if q.AddMember != nil || q.RemoveMember != 0 {
		return fmt.Errorf("%w: members are not a follower's to change", ErrBadRequest)
	}
	leases := 0
	for _, n := range []uint64{q.GrantMillis, q.RenewLease, q.RevokeLease} {
		if n != 0 {
			leases++
		}
	}
	switch {
	case q.Txn == nil && leases == 1:
		if host == "" || q.Owner != host {
			return fmt.Errorf("%w: a lease of %q is not for %q", ErrBadRequest, q.Owner, host)
		}
		if q.GrantMillis != 0 && (q.GrantMillis < store.MinOwnedTTLMillis || q.GrantMillis > store.MaxOwnedTTLMillis) {
			return fmt.Errorf("%w: a lease of %d ms is not within %d and %d", ErrBadRequest, q.GrantMillis, store.MinOwnedTTLMillis, store.MaxOwnedTTLMillis)
		}
		return nil
	case q.Txn == nil || leases > 0:
		return fmt.Errorf("%w: a follower makes transactions, or changes one lease of its own", ErrBadRequest)
	}
	if q.Txn.Owner != "" && q.Txn.Owner != host {
		return fmt.Errorf("%w: %q is not %q", ErrBadRequest, host, q.Txn.Owner)
	}
	for _, ops := range [][]store.Op{q.Txn.Then, q.Txn.Else} {
		for _, op := range ops {
			if op.RangeEnd != "" || !serverstate.IsServerKey(op.Key) && !may(op, q.Txn.Owner) || op.LeaseID != 0 && serverstate.IsServerKey(op.Key) {
				return fmt.Errorf("%w: %q is not a follower's to change", ErrBadRequest, op.Key)
			}
		}
	}
	return nil
}
