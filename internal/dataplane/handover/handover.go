// Package handover lets a new process of a sidecar take over from the old one under load. The two find each other
// through a Unix socket. They send lines of JSON, each a request with a number or the reply to one:
//
//	join  new to old: the reply is the old process's State; from now on both share their budgets
//	mark  either way: an operator's override, which is in effect in both before it is replied to
//	eject either way: the endpoints that the sender has ejected, and for how long
//	take  new to old: the new process accepts connections; when the old one replies, it no longer does
//
// The connection lasts until one of the two ends, and its end tells the other one. The package may import
// maintenance.
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

// State is what an old process passes on to the new one.
type State struct {
	Overrides []maintenance.Override `json:"marks"`
	List      json.RawMessage        `json:"list"` // of endpoints, in discovery's form

	Snapshot       []byte            `json:"snapshot,omitempty"` // of the decision module, in package snapshot's form
	OtherProtocols map[string][]byte `json:"others,omitempty"`   // of modules for protocols other than HTTP
}

// Ejection is an endpoint that a process has ejected because of failures.
type Ejection struct {
	ID         string `json:"id"`
	LeftMicros int64  `json:"left"` // until the ejection ends
}

// Peer is the other process, as this one can call it.
type Peer struct {
	ApplyOverride   func(context.Context, maintenance.Override) error
	ReportEjections func(context.Context, []Ejection) error
}

// Process is this process, as the other one calls it. Its methods are called from several goroutines.
type Process interface {
	// AddPeer begins the time in which both processes share their budgets, and leave ends it.
	AddPeer(other Peer) (leave func())
	// State returns what a new process must know. It is called after AddPeer.
	State(ctx context.Context) (State, error)
	// Merge puts operators' overrides of the other process in effect here.
	Merge(ctx context.Context, overrides ...maintenance.Override) error
	// ApplyEjections takes over the other process's ejections.
	ApplyEjections(list []Ejection)
	// StopAccepting leaves new connections to the other process.
	StopAccepting()
	// ResumeAccepting accepts connections again, since the other process is gone.
	ResumeAccepting()
}
