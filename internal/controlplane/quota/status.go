package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// NodeStatus is how a node of a limit stands.
type NodeStatus struct {
	Path      string         `json:"path"`
	Capacity  Amount         `json:"most"`
	Committed Amount         `json:"counts"` // with the parts of the node; over Capacity only after that was reduced
	Granted   Amount         `json:"given"`  // without parts, as are those below
	Wanted    Amount         `json:"want"`
	Admitted  uint64         `json:"taken"`
	Rejected  uint64         `json:"refused"`
	Processes []ProcessQuota `json:"of"`
}

// ProcessQuota is how a process's quota of a node stands.
type ProcessQuota struct {
	Process
	Quota
	NodeDemand
	Committed Amount `json:"counts"`
	Gone      bool   `json:"gone,omitempty"` // the process is, and its quota counts for a while yet
	AgeMs     int64  `json:"age_ms"`         // since its report came to this copy; if gone, since its end
	Seen      bool   `json:"seen"`           // it has acknowledged this quota
}

// Status returns how the nodes of a limit stand, the root first.
func (a *Allocator) Status(now int64, l *Limit) []NodeStatus {
	nodes := make([]NodeStatus, len(l.Nodes))
	for i := range l.Nodes {
		nodes[i] = a.nodeStatus(now, l, i)
	}
	for i := len(nodes) - 1; i > 0; i-- {
		nodes[l.Nodes[i].Parent].Committed += nodes[i].Committed
	}
	return nodes
}

// nodeStatus returns how a node stands without its parts.
func (a *Allocator) nodeStatus(now int64, l *Limit, node int) NodeStatus {
	n := &l.Nodes[node]
	status := NodeStatus{Path: n.Path, Capacity: n.Capacity, Processes: []ProcessQuota{}}
	for p, state := range a.processes {
		q := a.processQuota(now, p, state, l.Key(node))
		status.Committed += q.Committed
		isRoot := node == 0
		if !isRoot && q.Quota == (Quota{}) && q.NodeDemand == (NodeDemand{}) {
			continue
		}
		status.Granted += q.Amount
		status.Wanted += q.Wanted
		status.Admitted += q.Admitted
		status.Rejected += q.Rejected
		status.Processes = append(status.Processes, q)
	}
	slices.SortFunc(status.Processes, func(p, q ProcessQuota) int {
		return cmp.Or(cmp.Compare(q.Committed, p.Committed), compareProcesses(p.Process, q.Process))
	})
	return status
}

func (a *Allocator) processQuota(now int64, p Process, state *processState, key string) ProcessQuota {
	q := ProcessQuota{
		Process:   p,
		Quota:     state.grant.Quotas[key],
		Committed: a.committedAmount(state, key),
		Gone:      !state.alive,
		Seen:      state.acknowledged(),
	}
	if state.alive {
		q.NodeDemand = state.demand.Nodes[key]
		q.AgeMs = milliseconds(now - state.reportedAt)
		return q
	}
	if state.departed {
		q.AgeMs = milliseconds(now - state.departedAt)
	}
	return q
}

func milliseconds(nanos int64) int64 { return nanos / int64(time.Millisecond) }

// UnitText says for people what an amount of the limit is.
func (l *Limit) UnitText() string {
	what := "requests"
	if l.Unit == Cost {
		what = "ms of work"
	}
	switch l.Kind {
	case Rate:
		return what + " a second"
	case Window:
		return what + " in any " + time.Duration(l.Window).String()
	default:
		return what + " at once"
	}
}

// DescribeOvershoot says for people how far over its capacity servers may see the limit while a number of processes
// cannot reach the store.
func (l *Limit) DescribeOvershoot(unreachable int) string {
	var b strings.Builder
	if l.Kind == Rate {
		fmt.Fprintf(&b, "%s at once beside it", FormatAmount(l.burstOf(l.Nodes[0].Capacity)))
	} else {
		b.WriteString("none")
	}
	switch l.Fallback {
	case Fair:
		fmt.Fprintf(&b, "; without the store %g of it for each %d sidecars out of reach",
			l.FallbackFraction, l.MinProcesses)
		if unreachable > 0 {
			fmt.Fprintf(&b, ", now %s", FormatAmount(l.fallbackSum(unreachable)))
		}
	case Open:
		b.WriteString("; without the store no bound")
	}
	if l.Fallback != Strict && l.FallbackTimeout > 0 {
		fmt.Fprintf(&b, ", for %v", time.Duration(l.FallbackTimeout))
	}
	return b.String()
}

// fallbackSum returns what a number of processes without the store may spend of a Fair limit.
func (l *Limit) fallbackSum(processes int) Amount {
	capacity := float64(l.Nodes[0].Capacity)
	divisor := float64(max(1, l.MinProcesses))
	return Amount(math.Ceil(capacity * l.FallbackFraction * float64(processes) / divisor))
}
