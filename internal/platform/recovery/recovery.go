// Package recovery decides what a sidecar that starts believes of what is kept for it: by itself on its own disk, by itself in
// the store, and by other sidecars in the store. It has no I/O and no clock; what of a picture still holds after its age the
// decision module decides (balancer.Recall).
//
// The order is that of how near a picture is: this sidecar's own, the newest first, and only where there is none that can be
// believed what others know of the servers. That is not all that others know: how far away a server is, how much this
// sidecar asks and which servers it uses are its own, and failures may be those of the other's network.
package recovery

import (
	"cmp"
	"slices"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

// Candidate is a picture that a start may believe.
type Candidate struct {
	Source    string // for the log
	Snapshot  *snapshot.Saved
	Own       bool            // of this sidecar
	Age       balancer.Micros // how old it is
	SameClock bool            // by one clock; else by clocks of two hosts, which may be hours apart
}

// MaxAge is the age from which on a picture is not believed: the module's own bound.
const MaxAge balancer.Micros = 300e6

// Choice is what a start believes.
type Choice struct {
	Source   string
	Snapshot *snapshot.Saved // of the sidecar that starts, by name; nil: nothing
	Age      balancer.Micros
	Sources  int // pictures that it was made of
}

// Choose returns what a sidecar believes at its start. Candidates whose age is not sure count only if they are its own: two
// clocks that are apart would make an old picture new.
func Choose(sidecar string, all []Candidate) Choice {
	var own, others []Candidate
	for _, c := range all {
		switch {
		case c.Snapshot == nil || c.Snapshot.State == nil || c.Age < 0 || c.Age > MaxAge:
		case c.Own:
			own = append(own, c)
		case c.SameClock:
			others = append(others, c)
		}
	}
	newest := func(list []Candidate) Candidate {
		return slices.MinFunc(list, func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Source, b.Source)) })
	}
	switch {
	case len(own) > 0:
		c := newest(own)
		return Choice{c.Source, c.Snapshot, c.Age, 1}
	case len(others) > 0:
		slices.SortStableFunc(others, func(a, b Candidate) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Source, b.Source)) })
		return Choice{others[0].Source, merge(sidecar, others), others[0].Age, len(others)}
	}
	return Choice{}
}

// merge makes one picture of what several sidecars know, the newest first: the newest's means of requests; of each server
// the coldest that anyone holds it to be, and the newest pace. Servers are told apart by name, address and start.
func merge(sidecar string, all []Candidate) *snapshot.Saved {
	type server struct {
		name, addr string
		start      balancer.Micros
	}
	out := withoutLocalState(all[0].Snapshot)
	out.Sidecar = sidecar
	at := map[server]int{}
	names := map[string]bool{}
	key := func(k *snapshot.Saved, i int) server {
		s := server{name: k.Names[i], start: k.State.Endpoints[i].StartTime}
		if i < len(k.Addresses) {
			s.addr = k.Addresses[i]
		}
		return s
	}
	for i := range out.Names {
		at[key(out, i)], names[out.Names[i]] = i, true
	}
	for _, c := range all[1:] {
		// As of the newest's instant, by which the ages of all are told.
		older := c.Age - all[0].Age
		next := withoutLocalState(c.Snapshot)
		for i := range next.State.Endpoints {
			e, k := next.State.Endpoints[i], key(next, i)
			e.SlowStart, e.PaceLearned = e.SlowStart+older, e.PaceLearned+older
			have, met := at[k]
			if !met {
				if names[k.name] || len(out.Names) >= maxServers {
					continue // the newer picture knows another process under that name
				}
				e.ID = uint32(len(out.Names))
				at[k], names[k.name] = len(out.Names), true
				out.Names, out.Addresses = append(out.Names, k.name), append(out.Addresses, k.addr)
				out.State.Endpoints = append(out.State.Endpoints, e)
				continue
			}
			was := &out.State.Endpoints[have]
			if e.WarmingUp && (!was.WarmingUp || e.SlowStart < was.SlowStart) {
				was.WarmingUp, was.SlowStart = true, e.SlowStart
			}
			if e.Pace.N > 0 && (was.Pace.N == 0 || e.PaceLearned < was.PaceLearned) {
				was.Pace, was.PaceLearned = e.Pace, e.PaceLearned
			}
		}
	}
	return out
}

const maxServers = 4096 // as a picture may name

// withoutLocalState is what of a picture another sidecar may believe: what is the servers' and the requests', not what is the
// teller's own.
func withoutLocalState(k *snapshot.Saved) *snapshot.Saved {
	s := *k.State
	s.Random, s.ApertureSeed, s.Aperture, s.Pool, s.Drains, s.Undrained = 0, 0, nil, nil, nil, nil
	s.Demand, s.SentWork, s.RejectionRate = balancer.RateState{}, balancer.RateState{}, balancer.MeanState{}
	s.LatencyTrend, s.RetryBudget = 1, initialRetryCredit
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Demand, s.Classes[i].Open = balancer.RateState{}, 0
	}
	s.Tenants = slices.Clone(s.Tenants)
	for i := range s.Tenants {
		s.Tenants[i] = balancer.RateState{Name: s.Tenants[i].Name}
	}
	s.Endpoints = slices.Clone(s.Endpoints)
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		*e = balancer.EndpointState{ID: uint32(i), Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Weight: e.Weight,
			StartTime: e.StartTime, WarmingUp: e.WarmingUp, SlowStart: e.SlowStart, Pace: e.Pace, PaceLearned: e.PaceLearned}
	}
	return &snapshot.Saved{Sidecar: k.Sidecar, Clock: k.Clock, State: &s, Names: slices.Clone(k.Names), Addresses: slices.Clone(k.Addresses)}
}

const initialRetryCredit = 1e6 // the module takes of it what a start has
