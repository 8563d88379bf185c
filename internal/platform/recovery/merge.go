package recovery

import (
	"slices"

	"birchmoor/balancer"
	"birchmoor/internal/platform/snapshot"
)

const (
	maxServers         = 4096 // that a snapshot may have
	initialRetryCredit = 1e6  // more than the module lets a start have: it reduces this to its own limit
)

// server identifies a server process.
type server struct {
	name, address string
	startTime     balancer.Micros
}

// merger combines snapshots of several sidecars into one.
type merger struct {
	out   *snapshot.Saved
	index map[server]int // in out
	names map[string]bool
}

// merge combines snapshots, newest first, into one at the age of the newest. Means of requests are those of the
// newest; each server has been warming up for the shortest time that any snapshot says, and has its newest pace.
func merge(sidecar string, newestFirst []Candidate) *snapshot.Saved {
	newest := newestFirst[0]
	m := merger{out: withoutLocalState(newest.Snapshot), index: map[server]int{}, names: map[string]bool{}}
	m.out.Sidecar = sidecar
	for i := range m.out.Names {
		m.index[serverAt(m.out, i)] = i
		m.names[m.out.Names[i]] = true
	}
	for _, c := range newestFirst[1:] {
		m.add(withoutLocalState(c.Snapshot), c.Age-newest.Age)
	}
	return m.out
}

// serverAt identifies the server of an endpoint.
func serverAt(s *snapshot.Saved, i int) server {
	id := server{name: s.Names[i], startTime: s.State.Endpoints[i].StartTime}
	if i < len(s.Addresses) {
		id.address = s.Addresses[i]
	}
	return id
}

// add merges a snapshot that is older by the given time.
func (m *merger) add(s *snapshot.Saved, older balancer.Micros) {
	for i, e := range s.State.Endpoints {
		id := serverAt(s, i)
		e.SlowStart += older
		e.PaceLearned += older
		if at, known := m.index[id]; known {
			mergeEndpoint(&m.out.State.Endpoints[at], e)
			continue
		}
		// A newer snapshot may know another process under the same name.
		if !m.names[id.name] && len(m.out.Names) < maxServers {
			m.append(id, e)
		}
	}
}

// append adds a server that is not known yet.
func (m *merger) append(id server, e balancer.EndpointState) {
	e.ID = uint32(len(m.out.Names))
	m.index[id] = len(m.out.Names)
	m.names[id.name] = true
	m.out.Names = append(m.out.Names, id.name)
	m.out.Addresses = append(m.out.Addresses, id.address)
	m.out.State.Endpoints = append(m.out.State.Endpoints, e)
}

// mergeEndpoint takes over what another snapshot knows better of the same server.
func mergeEndpoint(known *balancer.EndpointState, e balancer.EndpointState) {
	if e.WarmingUp && (!known.WarmingUp || e.SlowStart < known.SlowStart) {
		known.WarmingUp, known.SlowStart = true, e.SlowStart
	}
	if e.Pace.Samples > 0 && (known.Pace.Samples == 0 || e.PaceLearned < known.PaceLearned) {
		known.Pace, known.PaceLearned = e.Pace, e.PaceLearned
	}
}

// withoutLocalState returns a copy with what another sidecar may restore: the state of servers and of requests,
// without the state that is local to the sidecar that saved it.
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
