package quota

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"
)

// NodeStatus is a part of a limit for people.
type NodeStatus struct {
	Path      string         `json:"path"`
	Capacity  Amount         `json:"most"`
	Committed Amount         `json:"counts"` // of all shares, with those of its parts: never over Most, but while Most is made smaller
	Granted   Amount         `json:"given"`  // of this part's own shares
	Wanted    Amount         `json:"want"`
	Admitted  uint64         `json:"taken"`
	Rejected  uint64         `json:"refused"`
	Processes []ProcessQuota `json:"of"`
}

// ProcessQuota is a process's share.
type ProcessQuota struct {
	Process
	Quota
	NodeDemand
	Committed Amount `json:"counts"`
	Gone      bool   `json:"gone,omitempty"` // its process is; the share counts for a while yet
	AgeMs     int64  `json:"age_ms"`         // since it told of itself, by this copy; or outlived by its share
	Seen      bool   `json:"seen"`           // it goes by this share
}

// Status shows a limit, the whole first.
func (d *Allocator) Status(now int64, l *Limit) []NodeStatus {
	all := make([]NodeStatus, len(l.Nodes))
	for n := range l.Nodes {
		key, v := l.Key(n), &all[n]
		v.Path, v.Capacity, v.Processes = l.Nodes[n].Path, l.Nodes[n].Capacity, []ProcessQuota{}
		for p, x := range d.processes {
			h := ProcessQuota{Process: p, Quota: x.grant.Quotas[key], NodeDemand: x.demand.Nodes[key], Committed: d.committed(x, key), Gone: !x.alive, Seen: x.alive && x.demand.SeenRevision >= x.grantRevision}
			if h.AgeMs = (now - x.reportedAt) / 1e6; !x.alive {
				h.AgeMs = x.grant.OutlivedNanos / 1e6
				if x.goneSince > 0 {
					h.AgeMs += (now - x.goneSince) / 1e6
				}
				h.NodeDemand = NodeDemand{}
			}
			v.Committed += h.Committed
			if h.Quota == (Quota{}) && h.NodeDemand == (NodeDemand{}) && n > 0 {
				continue
			}
			v.Granted, v.Wanted, v.Admitted, v.Rejected = v.Granted+h.Quota.Amount, v.Wanted+h.Wanted, v.Admitted+h.Admitted, v.Rejected+h.Rejected
			v.Processes = append(v.Processes, h)
		}
		slices.SortFunc(v.Processes, func(a, b ProcessQuota) int {
			return cmp.Or(cmp.Compare(b.Committed, a.Committed), strings.Compare(a.Host, b.Host), cmp.Compare(a.Session, b.Session))
		})
	}
	for n := len(all) - 1; n > 0; n-- {
		all[l.Nodes[n].Parent].Committed += all[n].Committed
	}
	return all
}

// UnitText is what an amount of a limit is.
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
	}
	return what + " at once"
}

// DescribeOvershoot says how far over its amount servers may see a limit, with so many processes out of the store's reach.
func (l *Limit) DescribeOvershoot(away int) string {
	var b strings.Builder
	switch l.Kind {
	case Rate:
		fmt.Fprintf(&b, "%s at once beside it", FormatAmount(l.burstOf(l.Nodes[0].Capacity)))
	default:
		b.WriteString("none")
	}
	switch {
	case l.Fallback == Fair:
		fmt.Fprintf(&b, "; without the store %g of it for each %d sidecars out of reach", l.FallbackFraction, l.MinProcesses)
		if away > 0 {
			fmt.Fprintf(&b, ", now %s", FormatAmount(Amount(math.Ceil(float64(l.Nodes[0].Capacity)*l.FallbackFraction*float64(away)/float64(max(l.MinProcesses, away))))))
		}
	case l.Fallback == Open:
		b.WriteString("; without the store no bound")
	}
	if l.Fallback != Strict && l.FallbackTimeout > 0 {
		fmt.Fprintf(&b, ", for %v", time.Duration(l.FallbackTimeout))
	}
	return b.String()
}
