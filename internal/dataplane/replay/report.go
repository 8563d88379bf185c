package replay

import (
	"io"

	"birchmoor/balancer"
)

// Options configures a replay.
type Options struct {
	From     balancer.Micros    // events are counted and compared from this instant on; 0: from the beginning
	To       balancer.Micros    // events after this instant are not played; 0: all are
	Pace     bool               // play events in the time in which they were recorded, not as fast as possible
	Settings *balancer.Settings // replace the recorded settings; nil to play with the recorded ones
	Log      io.Writer          // gets a line for each action; nil for none
	Explain  uint64             // ID of a request whose decisions are explained; 0 for none
	// Sample is called with the module before an event, at most once in SampleInterval; nil for no samples.
	Sample         func(now balancer.Micros, b *balancer.Balancer, endpointID func(name string) (uint32, bool))
	SampleInterval balancer.Micros
}

// Report is the result of a replay.
type Report struct {
	From         balancer.Micros `json:"from_us"`
	To           balancer.Micros `json:"to_us"`
	Segments     int             `json:"segments"`
	Inputs       int             `json:"inputs"`    // number of events in the range
	Decisions    int             `json:"decisions"` // number of the module's actions on them
	Digest       string          `json:"digest"`    // xxHash64 of the lines of the actions
	Gaps         int             `json:"gaps"`
	Lost         uint64          `json:"lost"` // number of records that are missing in the gaps
	Differences  int             `json:"differences"`
	First        *Difference     `json:"first,omitempty"`  // the first difference
	Faults       []string        `json:"faults,omitempty"` // files and snapshots that could not be read, and why
	Explanations []Explanation   `json:"explain,omitempty"`
}

// Difference is an event on which the module's actions differ from the recorded ones, or a snapshot that differs from
// its state.
type Difference struct {
	At       balancer.Micros `json:"at_us"`
	Input    string          `json:"input"`
	Recorded []string        `json:"recorded"`
	Replayed []string        `json:"replayed"`
}

// Explanation is an event on which the module decided upon a request, with the actions for the request and the
// candidate endpoints.
type Explanation struct {
	At         balancer.Micros  `json:"at_us"`
	Input      string           `json:"input"`
	Decisions  []string         `json:"decisions"`
	Candidates []NamedCandidate `json:"candidates"`
}

// NamedCandidate is a candidate endpoint with its name.
type NamedCandidate struct {
	Server string `json:"server"`
	balancer.Candidate
}
