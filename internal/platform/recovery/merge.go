package recovery

import (
	"slices"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

const (
	maxEndpoints       = 4096 // maximum in a merged snapshot
	initialRetryCredit = 1e6  // above the decision module's limit at a start, to which the module reduces it
)

// process identifies a server process of an endpoint, which ends with a restart or a change of address.
type process struct {
	name, address string
	startTime     balancer.Micros
}

// merger combines snapshots of several sidecars into one.
type merger struct {
	merged *snapshot.Saved
	index  map[process]int // index of each process in merged
	names  map[string]bool // of the endpoints in merged
}

// merge combines snapshots, which are ordered from the newest to the oldest, into one that has the age of the newest.
// Means of requests are those of the newest snapshot. Of all that the snapshots have on an endpoint, the merged one has
// the shortest time in slow start and the newest pace.
func merge(sidecar string, newestFirst []Candidate) *snapshot.Saved {
	newest := newestFirst[0]
	m := merger{merged: withoutLocalState(newest.Snapshot), index: map[process]int{}, names: map[string]bool{}}
	m.merged.Sidecar = sidecar
	for i := range m.merged.Names {
		m.index[processAt(m.merged, i)] = i
		m.names[m.merged.Names[i]] = true
	}
	for _, c := range newestFirst[1:] {
		m.add(withoutLocalState(c.Snapshot), c.Age-newest.Age)
	}
	return m.merged
}

// processAt returns the process of the endpoint at index i.
func processAt(s *snapshot.Saved, i int) process {
	id := process{name: s.Names[i], startTime: s.State.Endpoints[i].StartTime}
	if i < len(s.Addresses) {
		id.address = s.Addresses[i]
	}
	return id
}

// add merges a snapshot that is older than the newest one by ageDifference.
func (m *merger) add(s *snapshot.Saved, ageDifference balancer.Micros) {
	for i, e := range s.State.Endpoints {
		id := processAt(s, i)
		e.SlowStart += ageDifference
		e.PaceLearned += ageDifference
		if mergedIndex, known := m.index[id]; known {
			mergeEndpoint(&m.merged.State.Endpoints[mergedIndex], e)
			continue
		}
		// A newer snapshot may have another process of an endpoint with the same name, which supersedes this one.
		if !m.names[id.name] && len(m.merged.Names) < maxEndpoints {
			m.append(id, e)
		}
	}
}

// append adds the endpoint of a process that is not in the merged snapshot.
func (m *merger) append(id process, e balancer.EndpointState) {
	e.ID = uint32(len(m.merged.Names))
	m.index[id] = len(m.merged.Names)
	m.names[id.name] = true
	m.merged.Names = append(m.merged.Names, id.name)
	m.merged.Addresses = append(m.merged.Addresses, id.address)
	m.merged.State.Endpoints = append(m.merged.State.Endpoints, e)
}

// mergeEndpoint updates known with what another snapshot has on the same process: a shorter time in slow start, or a
// pace that was learned later.
func mergeEndpoint(known *balancer.EndpointState, e balancer.EndpointState) {
	if e.WarmingUp && (!known.WarmingUp || e.SlowStart < known.SlowStart) {
		known.WarmingUp, known.SlowStart = true, e.SlowStart
	}
	if e.Pace.Samples > 0 && (known.Pace.Samples == 0 || e.PaceLearned < known.PaceLearned) {
		known.Pace, known.PaceLearned = e.Pace, e.PaceLearned
	}
}

// withoutLocalState returns a copy that another sidecar may restore: it has the state of endpoints and of requests, but
// not the state that is local to the sidecar that saved it.
func withoutLocalState(saved *snapshot.Saved) *snapshot.Saved {
	s := *saved.State
	s.Random, s.ApertureSeed = 0, 0
	s.Aperture, s.Pool = nil, nil
	s.Drains, s.Undrained = nil, nil
	s.Demand, s.SentWork = balancer.RateState{}, balancer.RateState{}
	s.RejectionRate = balancer.MeanState{}
	s.LatencyTrend = 1
	s.RetryBudget = initialRetryCredit
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		s.Classes[i].Demand = balancer.RateState{}
		s.Classes[i].Records = 0
	}
	s.Tenants = slices.Clone(s.Tenants)
	for i := range s.Tenants {
		s.Tenants[i] = balancer.RateState{Name: s.Tenants[i].Name}
	}
	s.Endpoints = slices.Clone(s.Endpoints)
	for i, e := range s.Endpoints {
		s.Endpoints[i] = balancer.EndpointState{
			ID:          uint32(i),
			Zone:        e.Zone,
			Kind:        e.Kind,
			Cell:        e.Cell,
			State:       e.State,
			Weight:      e.Weight,
			StartTime:   e.StartTime,
			WarmingUp:   e.WarmingUp,
			SlowStart:   e.SlowStart,
			Pace:        e.Pace,
			PaceLearned: e.PaceLearned,
		}
	}
	return &snapshot.Saved{
		Sidecar:   saved.Sidecar,
		Clock:     saved.Clock,
		State:     &s,
		Names:     slices.Clone(saved.Names),
		Addresses: slices.Clone(saved.Addresses),
	}
}
