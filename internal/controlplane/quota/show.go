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
	Path    string         `json:"path"`
	Most    Amount         `json:"most"`
	Counts  Amount         `json:"counts"` // of all shares, with those of its parts: never over Most, but while Most is made smaller
	Given   Amount         `json:"given"`  // of this part's own shares
	Want    Amount         `json:"want"`
	Taken   uint64         `json:"taken"`
	Refused uint64         `json:"refused"`
	Of      []ProcessQuota `json:"of"`
}

// ProcessQuota is a process's share.
type ProcessQuota struct {
	Process
	Quota
	Wants
	Counts Amount `json:"counts"`
	Gone   bool   `json:"gone,omitempty"` // its process is; the share counts for a while yet
	AgeMs  int64  `json:"age_ms"`         // since it told of itself, by this copy; or outlived by its share
	Seen   bool   `json:"seen"`           // it goes by this share
}

// Show shows a limit, the whole first.
func (d *Allocator) Show(now int64, l *Limit) []NodeStatus {
	all := make([]NodeStatus, len(l.Nodes))
	for n := range l.Nodes {
		key, v := l.Key(n), &all[n]
		v.Path, v.Most, v.Of = l.Nodes[n].Path, l.Nodes[n].Most, []ProcessQuota{}
		for p, x := range d.procs {
			h := ProcessQuota{Process: p, Quota: x.grant.Of[key], Wants: x.need.Of[key], Counts: d.counts(x, key), Gone: !x.here, Seen: x.here && x.need.Seen >= x.at}
			if h.AgeMs = (now - x.told) / 1e6; !x.here {
				h.AgeMs = x.grant.Age / 1e6
				if x.gone > 0 {
					h.AgeMs += (now - x.gone) / 1e6
				}
				h.Wants = Wants{}
			}
			v.Counts += h.Counts
			if h.Quota == (Quota{}) && h.Wants == (Wants{}) && n > 0 {
				continue
			}
			v.Given, v.Want, v.Taken, v.Refused = v.Given+h.Quota.Amount, v.Want+h.Want, v.Taken+h.Taken, v.Refused+h.Refused
			v.Of = append(v.Of, h)
		}
		slices.SortFunc(v.Of, func(a, b ProcessQuota) int {
			return cmp.Or(cmp.Compare(b.Counts, a.Counts), strings.Compare(a.Host, b.Host), cmp.Compare(a.Session, b.Session))
		})
	}
	for n := len(all) - 1; n > 0; n-- {
		all[l.Nodes[n].Parent].Counts += all[n].Counts
	}
	return all
}

// Unit is what an amount of a limit is.
func (l *Limit) Unit() string {
	what := "requests"
	if l.Of == Cost {
		what = "ms of work"
	}
	switch l.Kind {
	case Rate:
		return what + " a second"
	case Window:
		return what + " in any " + time.Duration(l.Span).String()
	}
	return what + " at once"
}

// Words says how far over its amount servers may see a limit, with so many processes out of the store's reach.
func (l *Limit) Words(away int) string {
	var b strings.Builder
	switch l.Kind {
	case Rate:
		fmt.Fprintf(&b, "%s at once beside it", FormatAmount(l.capOf(l.Nodes[0].Most)))
	default:
		b.WriteString("none")
	}
	switch {
	case l.Without == Fair:
		fmt.Fprintf(&b, "; without the store %g of it for each %d sidecars out of reach", l.Part, l.Hosts)
		if away > 0 {
			fmt.Fprintf(&b, ", now %s", FormatAmount(Amount(math.Ceil(float64(l.Nodes[0].Most)*l.Part*float64(away)/float64(max(l.Hosts, away))))))
		}
	case l.Without == Open:
		b.WriteString("; without the store no bound")
	}
	if l.Without != Strict && l.For > 0 {
		fmt.Fprintf(&b, ", for %v", time.Duration(l.For))
	}
	return b.String()
}
