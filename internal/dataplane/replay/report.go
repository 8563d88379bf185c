package replay

import (
	"io"

	"birchmoor/balancer"
)

// Options says what to play, and what to look at.
type Options struct {
	From           balancer.Micros    // what is counted and shown begins here; 0: at the beginning
	To             balancer.Micros    // and ends here; 0: at the end
	Pace           bool               // as fast as it happened, not as fast as possible
	Settings       *balancer.Settings // given to the module in place of the recorded ones; nil: these
	Log            io.Writer          // of actions, a line each; nil for none
	Explain        uint64             // ID of a request whose decisions are explained; 0 for none
	Sample         func(now balancer.Micros, b *balancer.Balancer, endpointID func(name string) (uint32, bool))
	SampleInterval balancer.Micros
}

// Report is the result of a replay.
type Report struct {
	From         balancer.Micros `json:"from_us"`
	To           balancer.Micros `json:"to_us"`
	Segments     int             `json:"segments"`
	Inputs       int             `json:"inputs"`
	Decisions    int             `json:"decisions"`
	Digest       string          `json:"digest"` // of the actions, xxHash64
	Gaps         int             `json:"gaps"`
	Lost         uint64          `json:"lost"` // records in the gaps
	Differences  int             `json:"differences"`
	First        *Difference     `json:"first,omitempty"`
	Faults       []string        `json:"faults,omitempty"` // what could not be read
	Explanations []Explanation   `json:"explain,omitempty"`
}

// Difference is an event that the module did not answer as recorded.
type Difference struct {
	At       balancer.Micros `json:"at_us"`
	Input    string          `json:"input"`
	Recorded []string        `json:"recorded"`
	Replayed []string        `json:"replayed"`
}

// Explanation is an event at which a request was decided upon, with the candidates that were weighed.
type Explanation struct {
	At         balancer.Micros  `json:"at_us"`
	Input      string           `json:"input"`
	Decisions  []string         `json:"decisions"`
	Candidates []NamedCandidate `json:"candidates"`
}

// NamedCandidate is a candidate with its endpoint's name.
type NamedCandidate struct {
	Server string `json:"server"`
	balancer.Candidate
}
