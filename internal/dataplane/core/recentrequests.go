package core

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"birchmoor/balancer"
)

const (
	recentRequestMicros  = 60_000_000 // for which a request that may have run is remembered
	maxRecentRequests    = 32 << 10
	maxReportedRequests  = 1024 // per report
	requestReportTimeout = 500 * time.Millisecond
)

// requestKey identifies a request by the ID that its client chose, in a size that does not depend on the client.
type requestKey [16]byte

func keyOf(id string) requestKey {
	sum := sha256.Sum256([]byte(id))
	return requestKey(sum[:len(requestKey{})])
}

// String returns the key in hexadecimal, as processes exchange it.
func (k requestKey) String() string { return hex.EncodeToString(k[:]) }

// recentRequests remembers requests that must not run again, each for recentRequestMicros.
type recentRequests struct {
	expiry map[requestKey]balancer.Micros // of the latest entry of each key
	order  []recentRequest                // in the order of their expiry; a key may have several entries
}

type recentRequest struct {
	key    requestKey
	expiry balancer.Micros
}

func newRecentRequests() recentRequests {
	return recentRequests{expiry: map[requestKey]balancer.Micros{}}
}

// add remembers a request from now on, and forgets those whose time is over or that are too many.
func (r *recentRequests) add(now balancer.Micros, key requestKey) {
	latest := recentRequest{key, now + recentRequestMicros}
	r.expiry[key] = latest.expiry
	r.order = append(r.order, latest)
	for r.order[0].expiry <= now || len(r.order) > maxRecentRequests {
		oldest := r.order[0]
		r.order = r.order[1:]
		if r.expiry[oldest.key] == oldest.expiry {
			delete(r.expiry, oldest.key)
		}
	}
}

// contains reports whether a request is remembered.
func (r *recentRequests) contains(now balancer.Micros, key requestKey) bool {
	return r.expiry[key] > now
}

// isRepeatable reports whether a request may run more than once.
func (r *Request) isRepeatable() bool {
	return r.Config.Settings.Classes[r.Input.Class].Idempotency == balancer.Idempotent
}

// mayHaveRun reports whether an endpoint may have run the request, whose attempts all have outcomes.
func (r *Request) mayHaveRun() bool {
	for _, attempt := range r.attempts {
		if attempt.gate.hasPassed() && !attempt.neverRan {
			return true
		}
	}
	return false
}

// isDuplicate reports whether a request has the ID of an open one or, if it must not run twice, of one that may have
// run lately, in this process or in the other process of the sidecar.
func (l *EventLoop) isDuplicate(now balancer.Micros, request *Request) bool {
	if l.requestsByClientID[request.ID] != nil {
		return true
	}
	return !request.isRepeatable() && l.recentRequests.contains(now, keyOf(request.ID))
}

// requestReporter sends the keys of new requests to the other process of this sidecar during a handover. It does not
// block, and drops only what the other process does not reply to.
type requestReporter struct {
	send func(context.Context, []string) error

	mu      sync.Mutex
	pending []string
	sending bool // a goroutine sends what is pending
}

// ReportRequestsTo begins to report new requests that must not run twice to the other process of this sidecar, until
// stop is called. send transmits one report.
func (l *EventLoop) ReportRequestsTo(send func(context.Context, []string) error) (stop func()) {
	reporter := &requestReporter{send: send}
	l.requestReporter.Store(reporter)
	return func() { l.requestReporter.CompareAndSwap(reporter, nil) }
}

func (r *requestReporter) report(key requestKey) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, key.String())
	if !r.sending {
		r.sending = true
		go r.run()
	}
}

// run sends reports until none is pending.
func (r *requestReporter) run() {
	for {
		r.mu.Lock()
		report := r.pending[:min(len(r.pending), maxReportedRequests)]
		r.pending = r.pending[len(report):]
		r.sending = len(report) > 0
		r.mu.Unlock()
		if len(report) == 0 {
			return
		}
		ctx, cancel := context.WithTimeout(context.Background(), requestReportTimeout)
		_ = r.send(ctx, report) // if this fails, the other process is ending or hangs
		cancel()
	}
}

// ApplyRequests remembers requests of the other process of this sidecar: they must not run here as well.
func (l *EventLoop) ApplyRequests(keys []string) {
	l.post(func(now balancer.Micros) {
		for _, text := range keys {
			var key requestKey
			if n, err := hex.Decode(key[:], []byte(text)); err == nil && n == len(key) {
				l.recentRequests.add(now, key)
			}
		}
	})
}

// RecentRequests returns the keys of the requests that must not run again, open ones included.
func (l *EventLoop) RecentRequests(ctx context.Context) (keys []string, err error) {
	err = l.runUrgent(ctx, func(now balancer.Micros) {
		for key, expiry := range l.recentRequests.expiry {
			if expiry > now {
				keys = append(keys, key.String())
			}
		}
		for id, request := range l.requestsByClientID {
			if !request.isRepeatable() {
				keys = append(keys, keyOf(id).String())
			}
		}
	})
	return keys, err
}
