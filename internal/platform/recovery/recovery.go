// Package recovery decides which saved snapshot a starting sidecar restores: of those that it saved itself, on its
// disk or in the store, and those that other sidecars saved in the store. It does no I/O and reads no clock. How
// much of a snapshot still holds at its age is for the decision module to say (balancer.Recall). The package may
// import balancer and snapshot.
//
// The sidecar's own newest snapshot is preferred. Only if none of its own is usable does it restore what others
// know of the servers, and not all of that: latency to a server, the sidecar's own demand and the servers that it
// uses are local, and failures may be those of the other sidecar's network.
package recovery

import (
	"cmp"
	"slices"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// MaxAge is the age up to which a snapshot is restored, as in the decision module.
const MaxAge balancer.Micros = 300e6

// Candidate is a snapshot that a start may restore.
type Candidate struct {
	Source    string // for the log
	Snapshot  *snapshot.Saved
	Own       bool // saved by the sidecar that starts
	Age       balancer.Micros
	SameClock bool // the age is by one clock; else by the clocks of two hosts, which may be hours apart
}

// Choice is what a start restores.
type Choice struct {
	Source   string
	Snapshot *snapshot.Saved // as of the sidecar that starts; nil: nothing
	Age      balancer.Micros
	Sources  int // how many snapshots it was made of
}

// Choose returns what a sidecar restores at its start. Other sidecars' candidates count only if their age is by one
// clock: a difference between two clocks could make an old snapshot look new.
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

// usable reports whether a candidate has a state that is neither too old nor from the future.
func (c Candidate) usable() bool {
	return c.Snapshot != nil && c.Snapshot.State != nil && c.Age >= 0 && c.Age <= MaxAge
}

// compareAge orders the newest first.
func compareAge(a, b Candidate) int {
	return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Source, b.Source))
}
