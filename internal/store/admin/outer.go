package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"birchmoor/internal/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/meter"
	"birchmoor/internal/store/policy"
)

// Followers are daemons without a replica of their own. They reach replicas over TCP with the cluster's keys, or plainly on
// loopback, and may do less than operators: take a copy and what changes, ask up to where the quorum is, and make
// transactions on the keys by which daemons tell each other of servers.
const (
	followersMost = 512 // at once, of one replica
	beatEvery     = time.Second
	changeMost    = 256 // changes of followers at once
)

// Beat is sent between changes, so that a follower knows that its copy is up to date and how old it may be.
type Beat struct {
	Cluster  uint64        `json:"cluster"`
	Revision uint64        `json:"revision"`
	Proved   bool          `json:"proved"`
	Age      time.Duration `json:"age_ns"`
	Ages     []KeyAge      `json:"ages,omitempty"` // of pictures, with the first beat: how long ago they were put
}

// KeyAge is how long ago the store was told of a key.
type KeyAge struct {
	Key string        `json:"key"`
	Age time.Duration `json:"age_ns"`
}

// Line is one of a follower's stream: a change or a beat.
type Line struct {
	Event *store.Event `json:"event,omitempty"`
	Beat  *Beat        `json:"beat,omitempty"`
	Fault *Fault       `json:"fault,omitempty"`
}

// Outer answers followers.
type Outer struct {
	e       *engine.Engine
	rules   Rules
	http    *http.Server
	slots   chan struct{}
	changes chan struct{}
}

// Rules are what others say of followers.
type Rules struct {
	// May says whether an operation of a transaction is a follower's own to make, besides those on what daemons tell each other of
	// servers. owner is the follower's name if the transaction is made in it.
	May func(op store.Op, owner string) bool
	// Ages are how long ago pictures came here, by key.
	Ages func() map[string]time.Duration
	// Meter counts what followers cost; nil: nothing is counted.
	Meter *meter.Meter
}

// ServeFollowers serves a listener, which Close closes. Without keys it is for loopback alone.
func ServeFollowers(ln net.Listener, e *engine.Engine, rules Rules, pair *keys.Pair) (*Outer, error) {
	if a, ok := ln.Addr().(*net.TCPAddr); pair == nil && (!ok || !a.IP.IsLoopback()) {
		return nil, fmt.Errorf("store: plain TCP on %s, which is not a loopback address", ln.Addr())
	}
	o := &Outer{e: e, rules: rules, slots: make(chan struct{}, followersMost), changes: make(chan struct{}, changeMost)}
	m := http.NewServeMux()
	m.HandleFunc("GET /v1/copy", o.counted(meter.Snapshots, o.copy))
	m.HandleFunc("GET /v1/follow", o.counted(meter.Beats, o.follow))
	m.HandleFunc("GET /v1/revision", o.counted(meter.Requests, handle(o.revision)))
	m.HandleFunc("POST /v1/change", o.counted(meter.Other, handle(o.change)))
	o.http = &http.Server{Handler: m, ReadHeaderTimeout: 5 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: 8 << 10}
	ln = rules.Meter.Listener(ln)
	if pair != nil {
		o.http.TLSConfig = pair.Server()
		go o.http.ServeTLS(ln, "", "")
	} else {
		go o.http.Serve(ln)
	}
	return o, nil
}

// Close ends all streams.
func (o *Outer) Close() error { return o.http.Close() }

// counted counts an answer for a purpose, which the handler may say better by answerIs, and the request that it answers. A
// request without a body is a message of no bytes.
func (o *Outer) counted(of meter.Purpose, h http.HandlerFunc) http.HandlerFunc {
	if o.rules.Meter == nil {
		return h
	}
	return func(w http.ResponseWriter, r *http.Request) {
		c := &countedAnswer{ResponseWriter: w, m: o.rules.Meter, of: of, messages: 1}
		if r.Method == http.MethodGet { // others say what they are for in their bodies
			o.rules.Meter.Count(of, meter.In, 1, 0)
		}
		h(c, r)
	}
}

// countedAnswer counts a message with the first bytes that are written, before they are, and the bytes of all.
type countedAnswer struct {
	http.ResponseWriter
	m        *meter.Meter
	of       meter.Purpose
	messages int
}

func (c *countedAnswer) Write(b []byte) (int, error) {
	c.m.Count(c.of, meter.Out, c.messages, len(b))
	c.messages = 0
	return c.ResponseWriter.Write(b)
}

func (c *countedAnswer) Unwrap() http.ResponseWriter { return c.ResponseWriter }

// answerIs says what the message is for that is written next.
func answerIs(w http.ResponseWriter, of meter.Purpose) {
	if c, ok := w.(*countedAnswer); ok {
		c.of, c.messages = of, 1
	}
}

// copy sends the state as this replica has it: a follower that starts must not wait for a quorum.
func (o *Outer) copy(w http.ResponseWriter, r *http.Request) {
	var s *store.State
	if _, err := o.e.View(r.Context(), true, func(now *store.State) { s = now.Clone() }); err != nil || s == nil {
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
	after, err := Number(r.URL.Query(), "after")
	if err != nil {
		Fail(w, err)
		return
	}
	enc, c := json.NewEncoder(w), http.NewResponseController(w)
	send := func(of meter.Purpose, l Line) bool {
		answerIs(w, of)
		_ = c.SetWriteDeadline(time.Now().Add(waitMost))
		return enc.Encode(l) == nil
	}
	ages := o.rules.Ages()
	for {
		var b Beat
		a, err := o.e.View(r.Context(), true, func(s *store.State) { b.Cluster = s.Cluster() })
		if err != nil {
			return
		}
		b.Revision, b.Proved, b.Age, b.Ages = a.Revision, a.Proved, a.Age, nil
		for key, age := range ages {
			b.Ages = append(b.Ages, KeyAge{key, age})
		}
		if b.Revision < after {
			b.Revision, b.Proved = after, false // this replica is behind what the follower has: it confirms nothing
		}
		ages = nil
		if !send(meter.Beats, Line{Beat: &b}) || c.Flush() != nil {
			return
		}
		for end := time.Now().Add(beatEvery); time.Now().Before(end); {
			wait, cancel := context.WithDeadline(r.Context(), end)
			events, to, err := o.e.Next(wait, "", after, 256)
			cancel()
			var gone *store.ErrCompacted
			switch {
			case errors.As(err, &gone):
				send(meter.Beats, Line{Fault: &Fault{Error: err.Error(), Oldest: gone.Oldest}})
				return
			case err != nil && r.Context().Err() == nil && errors.Is(err, context.DeadlineExceeded):
			case err != nil:
				return
			}
			for i := range events {
				if !send(o.rules.Meter.KeyPurpose(events[i].Item.Key), Line{Event: &events[i]}) {
					return
				}
			}
			if after = to; c.Flush() != nil {
				return
			}
		}
	}
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
	o.rules.Meter.Count(of, meter.In, 1, int(max(0, r.ContentLength)))
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
	return Change{Revision: res.Revision, Held: res.Held, Lease: res.Lease}, nil
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
		if q.Grant != 0 && (q.Grant < store.OwnedLeast || q.Grant > store.OwnedMost) {
			return fmt.Errorf("%w: a lease of %d ms is not within %d and %d", ErrBad, q.Grant, store.OwnedLeast, store.OwnedMost)
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
			if op.End != "" || !policy.Told(op.Key) && !may(op, q.Txn.Owner) || op.Lease != 0 && policy.Told(op.Key) {
				return fmt.Errorf("%w: %q is not a follower's to change", ErrBad, op.Key)
			}
		}
	}
	return nil
}
