package checker

import (
	"fmt"
	"sort"
	"strings"
)

// Rule names a rule, or the balance of the counts. Its values are part of stored results and keep their form.
type Rule string

// The rules. LostRequests, DuplicateAnswers and ForeignAnswers are parts of "every request has exactly one final
// answer"; DuplicateExecutions and FalseRejections are parts of "a request that is not idempotent runs at most once".
const (
	LostRequests        Rule = "lost requests"            // received, and no answer before their deadline
	DuplicateAnswers    Rule = "double answers"           // a second final answer
	ForeignAnswers      Rule = "foreign answers"          // an answer that no server made for the request
	DuplicateExecutions Rule = "duplicates"               // a request that is not idempotent accepted more than once
	FalseRejections     Rule = "false refusals"           // such a request rejected although it may have run
	TrafficAfterDrain   Rule = "late drains"              // an attempt sent to a server after the drain's grace period
	SlowStartOverload   Rule = "cold servers pushed over" // a server overloaded while it was warming up
	UnbalancedCounts    Rule = "unbalanced counts"        // requests that did not end exactly once
)

// Violation is one violation of a rule.
type Violation struct {
	Rule    Rule   `json:"rule"`
	At      Micros `json:"at_us"`
	Request uint64 `json:"request,omitempty"`
	Server  int    `json:"server"`
	Sidecar int    `json:"sidecar"`
	Detail  string `json:"text"`
}

// Counts says how the clients' requests ended. Each request is in exactly one of Served, Rejected, Failed and
// Abandoned.
type Counts struct {
	Requests   int `json:"asked"`
	Served     int `json:"served"`
	Rejected   int `json:"refused"`
	Failed     int `json:"failed"`  // including those whose connection the sidecar closed
	Abandoned  int `json:"gone"`    // the client left without an answer
	Excused    int `json:"excused"` // of failed and abandoned, those whose sidecar the lab had killed or stopped
	Unread     int `json:"unheard"` // of abandoned, those that the sidecar never read
	Attempts   int `json:"sent"`
	Executions int `json:"runs"` // attempts that a server accepted
}

// ended returns the number of requests that ended.
func (c *Counts) ended() int { return c.Served + c.Rejected + c.Failed + c.Abandoned }

// Verdict is the result of checking a run.
type Verdict struct {
	Counts          Counts       `json:"counts"`
	ViolationCounts map[Rule]int `json:"broken"`
	Violations      []Violation  `json:"breaches"` // the first of each rule, ordered by time
}

// Passed reports whether the run violated no rule.
func (v *Verdict) Passed() bool { return len(v.ViolationCounts) == 0 }

// String returns "rules kept", or the rules that were violated and how often.
func (v *Verdict) String() string {
	if v.Passed() {
		return "rules kept"
	}
	var names []string
	for rule := range v.ViolationCounts {
		names = append(names, string(rule))
	}
	sort.Strings(names)
	for i, name := range names {
		names[i] = fmt.Sprintf("%s %d", name, v.ViolationCounts[Rule(name)])
	}
	return "rules broken: " + strings.Join(names, ", ")
}
