// Package handover lets a new process of a sidecar take over from the old one under load. The new process connects to
// the old one's Unix socket. Both send lines of JSON, each of them a numbered request or the reply to one:
//
//	join  new to old: requests the old process's State; from then on both processes share the sidecar's budgets
//	mark  either way: an operator's override; the reply means that the override is in effect at the receiver, too
//	ids   either way: requests that must not run in the other process as well
//	eject either way: the endpoints that the sender has ejected, and for how long
//	take  new to old: the new process accepts connections; the reply means that the old one no longer does
//
// The connection stays open until one of the processes ends, which the other one sees by the end of the connection. The
// package may import maintenance.
package handover

import (
	"context"
	"encoding/json"
	"time"

	"birchmoor/internal/dataplane/maintenance"
)

const (
	replyTimeout    = 700 * time.Millisecond
	joinTimeout     = time.Second
	takeOverTimeout = 2 * time.Second
)

// State is what an old process passes to its successor.
type State struct {
	Overrides []maintenance.Override `json:"marks"`
	List      json.RawMessage        `json:"list"`          // the endpoint list, as a discovery.List
	Requests  []string               `json:"ids,omitempty"` // keys of requests that must not run again

	Snapshot       []byte            `json:"snapshot,omitempty"` // of the decision module, encoded by package snapshot
	OtherProtocols map[string][]byte `json:"others,omitempty"`   // snapshots by protocol, for protocols other than HTTP
}

// Ejection is an endpoint that a process has ejected as an outlier because of failures.
type Ejection struct {
	ID              string `json:"id"`
	RemainingMicros int64  `json:"left"` // time until the ejection ends
}

// Peer has the calls that this process can make to the other one. They return once the other process has replied.
type Peer struct {
	ApplyOverride   func(context.Context, maintenance.Override) error
	ReportEjections func(context.Context, []Ejection) error
	ReportRequests  func(context.Context, []string) error
}

// Process is implemented by the sidecar: it has the calls that the other process can make to this one. Its methods must
// be safe for concurrent use.
type Process interface {
	// AddPeer makes this process share its budgets with the other one until remove is called.
	AddPeer(other Peer) (remove func())
	// State returns what a new process must know. It is called after AddPeer.
	State(ctx context.Context) (State, error)
	// Merge applies the operators' overrides of the other process in this one.
	Merge(ctx context.Context, overrides ...maintenance.Override) error
	// ApplyEjections ejects in this process the endpoints that the other one has ejected.
	ApplyEjections(list []Ejection)
	// ApplyRequests rejects requests in this process that the other one has, or had lately. They are named by their
	// keys.
	ApplyRequests(keys []string)
	// StopAccepting stops accepting connections, because the other process accepts them from now on.
	StopAccepting()
	// ResumeAccepting starts accepting connections again, because the other process has ended.
	ResumeAccepting()
}
