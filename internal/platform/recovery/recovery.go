// Package recovery chooses the saved snapshot that a starting sidecar restores. The candidates are snapshots that the
// sidecar saved itself, on its disk or in the store, and snapshots that other sidecars saved in the store. The package
// does no I/O and reads no clock. The decision module decides how much of a snapshot still holds at its age
// (balancer.Recall). The package may import balancer and snapshot.
//
// The sidecar's own newest snapshot is preferred. If none of its own is usable, the sidecar restores what other
// sidecars know of the endpoints, but only the part that also applies to it: latencies, demand and the endpoints in use
// are local to a sidecar, and failures may come from its network.
package recovery

import (
	"cmp"
	"slices"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// MaxAge is the maximum age of a snapshot that is restored. It is the same in the decision module.
const MaxAge balancer.Micros = 300e6

// Candidate is a snapshot that a starting sidecar may restore.
type Candidate struct {
	Source    string // where it was found, for the log
	Snapshot  *snapshot.Saved
	Own       bool // whether the starting sidecar saved it
	Age       balancer.Micros
	SameClock bool // whether one clock measured the age; else two hosts' clocks did, which may be hours apart
}

// Choice is the snapshot that a starting sidecar restores.
type Choice struct {
	Source   string          // of the newest snapshot in it
	Snapshot *snapshot.Saved // under the name of the starting sidecar; nil if there is nothing to restore
	Age      balancer.Micros // of the newest snapshot in it
	Sources  int             // how many snapshots were merged
}

// Choose returns what a sidecar restores at its start. A snapshot of another sidecar is only considered if one clock
// measured its age, since a difference between the clocks of two hosts could make an old snapshot look new.
func Choose(sidecar string, candidates []Candidate) Choice {
	var own, others []Candidate
	for _, c := range candidates {
		switch {
		case !c.usable():
		case c.Own:
			own = append(own, c)
		case c.SameClock:
			others = append(others, c)
		}
	}
	if len(own) > 0 {
		newest := slices.MinFunc(own, compareAge)
		return Choice{Source: newest.Source, Snapshot: newest.Snapshot, Age: newest.Age, Sources: 1}
	}
	if len(others) == 0 {
		return Choice{}
	}
	slices.SortStableFunc(others, compareAge)
	newest := others[0]
	return Choice{Source: newest.Source, Snapshot: merge(sidecar, others), Age: newest.Age, Sources: len(others)}
}

// usable reports whether a candidate has a state, and an age that is neither negative nor above MaxAge.
func (c Candidate) usable() bool {
	return c.Snapshot != nil && c.Snapshot.State != nil && c.Age >= 0 && c.Age <= MaxAge
}

// compareAge orders candidates from the newest to the oldest, and those of equal age by source.
func compareAge(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Source, b.Source))
}
