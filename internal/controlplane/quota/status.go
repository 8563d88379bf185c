package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// NodeStatus describes the allocation of a node of a limit. Granted and the fields below it are sums over the node's
// own processes, without its parts.
type NodeStatus struct {
	Path      string         `json:"path"`
	Capacity  Amount         `json:"most"`
	Committed Amount         `json:"counts"` // including the node's parts; exceeds Capacity only after that was reduced
	Granted   Amount         `json:"given"`
	Wanted    Amount         `json:"want"`
	Admitted  uint64         `json:"taken"`
	Rejected  uint64         `json:"refused"`
	Processes []ProcessQuota `json:"of"` // the largest committed amount first
}

// ProcessQuota describes the quota of one process at one node. NodeDemand is zero for a departed process.
type ProcessQuota struct {
	Process
	Quota
	NodeDemand
	Committed Amount `json:"counts"`
	Departed  bool   `json:"gone,omitempty"` // the process has departed, and its quota still counts
	AgeMs     int64  `json:"age_ms"`         // since its last report came to this copy, or since it departed
	Seen      bool   `json:"seen"`           // the process has acknowledged its newest grant
}

// Status returns the status of all nodes of a limit, in the order of Limit.Nodes.
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

// nodeStatus returns the status of a node, in which Committed does not include its parts.
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
		Departed:  !state.alive,
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

// UnitText returns a phrase for operators that follows an amount of the limit, such as "requests a second".
func (l *Limit) UnitText() string {
	unit := "requests"
	if l.Unit == Cost {
		unit = "ms of work"
	}
	switch l.Kind {
	case Rate:
		return unit + " a second"
	case Window:
		return unit + " in any " + time.Duration(l.Window).String()
	default:
		return unit + " in flight"
	}
}

// DescribeOvershoot returns a phrase for operators that says by how much servers may see the limit's capacity exceeded,
// given how many processes cannot reach the store.
func (l *Limit) DescribeOvershoot(unreachable int) string {
	var b strings.Builder
	if l.Kind == Rate {
		fmt.Fprintf(&b, "a burst of %s", FormatAmount(l.burstOf(l.Nodes[0].Capacity)))
	} else {
		b.WriteString("none")
	}
	switch l.Fallback {
	case Fair:
		fmt.Fprintf(&b, "; if sidecars cannot reach the store, %g of the limit for each %d of them",
			l.FallbackFraction, l.MinProcesses)
		if unreachable > 0 {
			fmt.Fprintf(&b, ", currently %s", FormatAmount(l.fallbackSum(unreachable)))
		}
	case Open:
		b.WriteString("; unbounded if sidecars cannot reach the store")
	}
	if l.Fallback != Strict && l.FallbackTimeout > 0 {
		fmt.Fprintf(&b, ", for at most %v", time.Duration(l.FallbackTimeout))
	}
	return b.String()
}

// fallbackSum returns how much of a Fair limit a number of processes may spend together while they cannot reach the
// store.
func (l *Limit) fallbackSum(processes int) Amount {
	capacity := float64(l.Nodes[0].Capacity)
	divisor := float64(max(1, l.MinProcesses))
	return Amount(math.Ceil(capacity * l.FallbackFraction * float64(processes) / divisor))
}
