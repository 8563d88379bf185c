package balancer

import (
	"cmp"
	"fmt"
	"slices"
)

// Snapshot is all that a balancer decides from, as data. Instants are told as ages: microseconds before At,
// negative for what lies ahead. The times of an endpoint's start are the exception: discovery's clock tells
// them, and they serve as the name of a process. Classes and tenants go by name, endpoints by the host's ID;
// whoever keeps a snapshot for another process must keep the names that the IDs stand for.
//
// Resume makes a balancer that goes on exactly as the one that was pictured; Recall takes from it what a new
// process may believe. The tags are those of the encoding, and a change of their meaning is a new version there.
type Snapshot struct {
	At     Micros       `cbor:"1,keyasint"`
	Random uint64       `cbor:"2,keyasint"`           // the state of the generator
	Rules  []RulesState `cbor:"3,keyasint"`           // the present ones first, then those of open requests
	Class  []ClassState `cbor:"4,keyasint"`           // by slot
	Tenant []MeterState `cbor:"5,keyasint,omitempty"` // in the order of the settings

	Endpoints []EndpointState `cbor:"6,keyasint,omitempty"`
	Pool      []int           `cbor:"7,keyasint,omitempty"` // places in Endpoints, the latest answer last
	Bans      []BanState      `cbor:"8,keyasint,omitempty"` // by ID
	Called    []BanState      `cbor:"9,keyasint,omitempty"` // back, and sent nothing since

	Listed      bool       `cbor:"10,keyasint,omitempty"`
	Subscribed  bool       `cbor:"11,keyasint,omitempty"`
	ReportsLate bool       `cbor:"12,keyasint,omitempty"`
	AskAt       Micros     `cbor:"13,keyasint,omitempty"`
	AskWait     Micros     `cbor:"14,keyasint,omitempty"`
	StrongAt    Micros     `cbor:"15,keyasint,omitempty"`
	Ours        float64    `cbor:"16,keyasint,omitempty"`
	Strong      float64    `cbor:"17,keyasint,omitempty"`
	Warm        float64    `cbor:"18,keyasint,omitempty"`
	Credit      float64    `cbor:"19,keyasint,omitempty"`
	Watched     float64    `cbor:"20,keyasint,omitempty"`
	Renewed     float64    `cbor:"21,keyasint,omitempty"`
	Trust       float64    `cbor:"22,keyasint,omitempty"`
	Trend       float64    `cbor:"23,keyasint,omitempty"`
	Checks      int        `cbor:"24,keyasint,omitempty"`
	Checked     uint32     `cbor:"25,keyasint,omitempty"`
	Fleet       Mean       `cbor:"26,keyasint"`
	Work        Mean       `cbor:"27,keyasint"`
	Refused     Mean       `cbor:"28,keyasint"`
	Lag         Mean       `cbor:"29,keyasint"`
	Usual       Mean       `cbor:"30,keyasint"`
	Service     Mean       `cbor:"31,keyasint"`
	Demand      MeterState `cbor:"32,keyasint"`
	SentWork    MeterState `cbor:"33,keyasint"`

	// The ledger; empty in a snapshot for another process.
	Slots  []RequestState `cbor:"34,keyasint,omitempty"`
	Free   []int          `cbor:"35,keyasint,omitempty"` // slots to use again, the next one last
	Held   []int          `cbor:"36,keyasint,omitempty"` // slots that wait for probes
	Asked  int            `cbor:"37,keyasint,omitempty"`
	Round  uint32         `cbor:"38,keyasint,omitempty"`
	Logged []LoggedState  `cbor:"39,keyasint,omitempty"` // by topic

	Salt  uint64  `cbor:"40,keyasint,omitempty"` // of the lots that choose the aperture
	Near  []int   `cbor:"41,keyasint,omitempty"` // the aperture: places in Endpoints; none if it is all of them
	Chill float64 `cbor:"42,keyasint,omitempty"` // none in earlier ones: 1

	AskedAt Micros `cbor:"43,keyasint,omitempty"`
}

// RulesState are settings and the slots of their classes.
type RulesState struct {
	Settings Settings `cbor:"1,keyasint"`
	Slots    []int    `cbor:"2,keyasint"`
}

// Mean is a moving average and the samples in it.
type Mean struct {
	V float64 `cbor:"1,keyasint,omitempty"`
	N float64 `cbor:"2,keyasint,omitempty"`
}

// MeterState is a decaying sum; Name is set for a tenant's.
type MeterState struct {
	Sum  float64 `cbor:"1,keyasint,omitempty"`
	Age  Micros  `cbor:"2,keyasint,omitempty"`
	Name string  `cbor:"3,keyasint,omitempty"`
}

// ClassState is what is known of a class.
type ClassState struct {
	Name   string     `cbor:"1,keyasint"`
	Live   bool       `cbor:"2,keyasint,omitempty"`
	Open   int        `cbor:"3,keyasint,omitempty"`
	Worth  float64    `cbor:"4,keyasint,omitempty"`
	Work   Mean       `cbor:"5,keyasint"`
	Asked  MeterState `cbor:"6,keyasint"`
	Good   Mean       `cbor:"7,keyasint"`
	Passed Micros     `cbor:"8,keyasint,omitempty"`
}

// BanState is an endpoint that operators took out, or called back, and how long ago.
type BanState struct {
	ID  uint32 `cbor:"1,keyasint"`
	Age Micros `cbor:"2,keyasint"`
}

// LoggedState is a topic of the log and the age of its latest line.
type LoggedState struct {
	Topic string `cbor:"1,keyasint"`
	Age   Micros `cbor:"2,keyasint"`
}

// EndpointState is what is known of an endpoint.
type EndpointState struct {
	ID        uint32  `cbor:"1,keyasint"`
	Zone      uint8   `cbor:"2,keyasint,omitempty"`
	Kind      uint8   `cbor:"3,keyasint,omitempty"`
	Cell      uint16  `cbor:"4,keyasint,omitempty"`
	State     State   `cbor:"5,keyasint,omitempty"`
	Share     float32 `cbor:"6,keyasint,omitempty"`
	StartTime Micros  `cbor:"7,keyasint,omitempty"` // by discovery's clock

	Cold      bool    `cbor:"8,keyasint,omitempty"`
	HasLoad   bool    `cbor:"9,keyasint,omitempty"`
	Probing   bool    `cbor:"10,keyasint,omitempty"`
	ColdFrom  Micros  `cbor:"11,keyasint,omitempty"`
	Room      float64 `cbor:"12,keyasint,omitempty"`
	RoomAt    Micros  `cbor:"13,keyasint,omitempty"`
	Inflight  int     `cbor:"14,keyasint,omitempty"`
	Flows     int     `cbor:"15,keyasint,omitempty"`
	SentAt    Micros  `cbor:"16,keyasint,omitempty"`
	QuietFrom Micros  `cbor:"17,keyasint,omitempty"`
	Sum       float32 `cbor:"18,keyasint,omitempty"`
	Asked     uint32  `cbor:"19,keyasint,omitempty"`
	ProbedAt  Micros  `cbor:"20,keyasint,omitempty"`
	AnswerAt  Micros  `cbor:"21,keyasint,omitempty"`
	Others    float64 `cbor:"22,keyasint,omitempty"`
	OwnAt     int     `cbor:"23,keyasint,omitempty"`
	RTT       Mean    `cbor:"24,keyasint,omitempty"`
	Pace      Mean    `cbor:"25,keyasint,omitempty"`
	PaceAt    Micros  `cbor:"26,keyasint,omitempty"`
	OutTo     Micros  `cbor:"27,keyasint,omitempty"`

	Ills []IllState `cbor:"28,keyasint,omitempty"` // the runs of failures that are not empty

	Head    Micros        `cbor:"29,keyasint,omitempty"` // age of the newest bucket, in buckets; those older than the window count the same
	Buckets []BucketState `cbor:"30,keyasint,omitempty"` // those that are not empty
	Base    float64       `cbor:"31,keyasint,omitempty"`
	Current float64       `cbor:"32,keyasint,omitempty"`
	Passed  Micros        `cbor:"33,keyasint,omitempty"`
}

// IllState is a run of failures: of all requests (part -1), of a class's slot, or beyond those of a tenant.
type IllState struct {
	Part   int    `cbor:"1,keyasint,omitempty"`
	Streak int    `cbor:"2,keyasint,omitempty"`
	OutTo  Micros `cbor:"3,keyasint,omitempty"`
	OutFor Micros `cbor:"4,keyasint,omitempty"`
	Trial  bool   `cbor:"5,keyasint,omitempty"`
}

// BucketState counts a part of a breaker's window, so many buckets before the newest.
type BucketState struct {
	Back     int   `cbor:"1,keyasint,omitempty"`
	Requests int32 `cbor:"2,keyasint,omitempty"`
	Accepts  int32 `cbor:"3,keyasint,omitempty"`
	Failures int32 `cbor:"4,keyasint,omitempty"`
}

// RequestState is a slot of the ledger: a request's record, or of a free one the token alone.
type RequestState struct {
	Token    uint32         `cbor:"1,keyasint"`
	ID       uint64         `cbor:"2,keyasint,omitempty"`
	Deadline Micros         `cbor:"3,keyasint,omitempty"`
	Hint     Micros         `cbor:"4,keyasint,omitempty"`
	HasHint  bool           `cbor:"5,keyasint,omitempty"`
	Retry    bool           `cbor:"6,keyasint,omitempty"`
	Write    bool           `cbor:"7,keyasint,omitempty"`
	Flows    bool           `cbor:"8,keyasint,omitempty"`
	Tenant   uint16         `cbor:"9,keyasint,omitempty"`
	Class    uint8          `cbor:"10,keyasint,omitempty"`
	Rules    int            `cbor:"11,keyasint,omitempty"` // a place in Snapshot.Rules
	Slot     int            `cbor:"12,keyasint,omitempty"`
	Arrived  Micros         `cbor:"13,keyasint,omitempty"`
	Work     float64        `cbor:"14,keyasint,omitempty"`
	LogHint  float64        `cbor:"15,keyasint,omitempty"`
	Value    float64        `cbor:"16,keyasint,omitempty"`
	ValueAt  Micros         `cbor:"17,keyasint,omitempty"`
	Held     bool           `cbor:"18,keyasint,omitempty"`
	Ended    bool           `cbor:"19,keyasint,omitempty"`
	Stream   bool           `cbor:"20,keyasint,omitempty"`
	Good     float64        `cbor:"21,keyasint,omitempty"`
	Attempts []AttemptState `cbor:"22,keyasint,omitempty"`
}

// AttemptState is one send of a request.
type AttemptState struct {
	Endpoint int     `cbor:"1,keyasint,omitempty"` // a place in Snapshot.Endpoints; -1 for one that is forgotten
	Zone     uint8   `cbor:"2,keyasint,omitempty"`
	Cell     uint16  `cbor:"3,keyasint,omitempty"`
	Age      Micros  `cbor:"4,keyasint,omitempty"`
	Expected float64 `cbor:"5,keyasint,omitempty"`
	Factor   float64 `cbor:"6,keyasint,omitempty"`
	Out      bool    `cbor:"7,keyasint,omitempty"`
	Flows    bool    `cbor:"8,keyasint,omitempty"`
	MayRun   bool    `cbor:"9,keyasint,omitempty"`
}

// SnapshotError names the part of a snapshot that makes no sense.
type SnapshotError struct{ Field, Reason string }

// Error names the field.
func (e *SnapshotError) Error() string { return "snapshot: " + e.Field + ": " + e.Reason }

// ---- Taking ----------------------------------------------------------------

// Snapshot pictures the balancer. With ledger it has all that Resume needs; without, what Recall may use, and
// nothing of open requests.
func (b *Balancer) Snapshot(now Micros, ledger bool) *Snapshot {
	meterOf := func(m meter, name string) MeterState {
		if m.sum == 0 {
			return MeterState{Name: name}
		}
		return MeterState{m.sum, now - m.at, name}
	}
	s := &Snapshot{At: now, Random: uint64(b.rng), Salt: b.salt, Chill: b.chill, Listed: b.listed, Subscribed: b.subscribed, ReportsLate: b.reportsLate,
		AskAt: now - b.askAt, AskWait: b.askWait, AskedAt: now - b.askedAt, StrongAt: now - b.strongAt, Ours: b.ours, Strong: b.strong, Warm: b.warm,
		Credit: b.credit, Watched: b.watched, Renewed: b.renewed, Trust: b.trust, Trend: b.trend,
		Checks: b.checks, Checked: b.checked, Fleet: b.fleet.state(), Work: b.work.state(), Refused: b.refused.state(),
		Lag: b.lag.state(), Usual: b.usual.state(), Service: b.service.state(), Demand: meterOf(b.demand, ""),
		SentWork: meterOf(b.sentWork, ""), Rules: []RulesState{{b.rules.s, b.rules.slots}}}
	for _, c := range b.classes {
		s.Class = append(s.Class, ClassState{c.name, c.live, c.open, c.worth, c.work.state(), meterOf(c.asked, ""),
			c.good.state(), now - c.passed})
	}
	for i, m := range b.tenants {
		s.Tenant = append(s.Tenant, meterOf(m, b.s.Tenants[i].Name))
	}
	place := make(map[*endpoint]int, len(b.list))
	s.Endpoints = make([]EndpointState, len(b.list))
	for i, e := range b.list {
		place[e] = i
		e.state(&s.Endpoints[i], now)
	}
	for _, e := range b.pool {
		s.Pool = append(s.Pool, place[e])
	}
	for _, e := range b.near {
		if at, listed := place[e]; listed && len(b.near) < len(b.list) {
			s.Near = append(s.Near, at)
		}
	}
	for id, at := range b.banned {
		s.Bans = append(s.Bans, BanState{id, now - at})
	}
	slices.SortFunc(s.Bans, func(x, y BanState) int { return cmp.Compare(x.ID, y.ID) })
	for _, c := range b.called {
		s.Called = append(s.Called, BanState{c.id, now - c.at})
	}
	if !ledger {
		return s
	}
	s.Asked, s.Round = b.asked, b.round
	rules := map[*Rules]int{b.rules: 0}
	for _, r := range b.slots {
		x := RequestState{Token: r.token}
		if b.requests[r.ID] == r {
			at, met := rules[r.Rules]
			if !met {
				at = len(s.Rules)
				rules[r.Rules] = at
				s.Rules = append(s.Rules, RulesState{r.Rules.s, r.Rules.slots})
			}
			x = RequestState{r.token, r.ID, now - r.Deadline, r.Hint, r.HasHint, r.Retry, r.Write, r.Flows, r.Tenant, r.Class,
				at, r.slot, now - r.arrived, r.work, r.hint, r.value, now - r.valueAt, r.held, r.ended, r.stream, r.good, nil}
			for _, a := range r.attempts {
				at, listed := place[a.ep]
				if !listed {
					at = -1
				}
				x.Attempts = append(x.Attempts, AttemptState{at, a.zone, a.cell, now - a.at, a.expected, a.factor,
					a.out, a.flows, a.mayRun})
			}
		}
		s.Slots = append(s.Slots, x)
	}
	for _, r := range b.free {
		s.Free = append(s.Free, r.place())
	}
	for _, r := range b.held {
		s.Held = append(s.Held, r.place())
	}
	for topic, at := range b.logged {
		s.Logged = append(s.Logged, LoggedState{topic, now - at})
	}
	slices.SortFunc(s.Logged, func(x, y LoggedState) int { return cmp.Compare(x.Topic, y.Topic) })
	return s
}

// place is the slot that a record's token names.
func (r *request) place() int { return int(r.token&(1<<slotBits-1)) - firstSlot }

func (a ewma) state() Mean { return Mean{a.v, a.n} }

func (e *endpoint) state(s *EndpointState, now Micros) {
	*s = EndpointState{ID: e.ID, Zone: e.Zone, Kind: e.Kind, Cell: e.Cell, State: e.State, Share: e.Share,
		StartTime: e.StartTime, Cold: e.isCold, HasLoad: e.hasLoad, Probing: e.probing, ColdFrom: now - e.coldFrom,
		Room: e.room, RoomAt: now - e.roomAt, Inflight: e.inflight, Flows: e.flows, SentAt: now - e.sentAt,
		QuietFrom: now - e.quietFrom, Sum: e.sum, Asked: e.asked, ProbedAt: now - e.probedAt, AnswerAt: now - e.answerAt,
		Others: e.others, OwnAt: e.ownAt, RTT: e.rtt.state(), Pace: e.pace.state(), PaceAt: now - e.paceAt,
		OutTo: now - e.outTo, Base: e.br.base, Current: e.br.current, Passed: now - e.br.passed,
		Head: min(buckets, now/(window/buckets)-e.br.head)}
	add := func(part int, i ill) {
		if i != (ill{}) {
			s.Ills = append(s.Ills, IllState{part, i.streak, now - i.outTo, i.outFor, i.trial})
		}
	}
	add(-1, e.whole)
	for part, i := range e.ills {
		add(part, i)
	}
	for back := range buckets {
		if n := e.br.head - int64(back); n >= 0 && s.Head < buckets {
			if x := e.br.ring[n%buckets]; x != (bucket{}) {
				s.Buckets = append(s.Buckets, BucketState{back, x.requests, x.accepts, x.failures})
			}
		}
	}
}

// ---- Making ----------------------------------------------------------------

// Resume returns a balancer that goes on as the one pictured in s would: told the same at the same instants, it
// asks the same of out. The error is a *SettingError or a *SnapshotError.
func Resume(s *Snapshot, out Actions) (*Balancer, error) { return s.make(s.At, out) }

// make builds a balancer whose now is the snapshot's instant.
func (s *Snapshot) make(now Micros, out Actions) (*Balancer, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	b := &Balancer{s: s.Rules[0].Settings, out: out, rng: source(s.Random), salt: s.Salt, chill: cmp.Or(s.Chill, 1), requests: map[uint64]*request{},
		byID: map[uint32]*endpoint{}, logged: map[string]Micros{}, banned: map[uint32]Micros{}, ours: s.Ours,
		strong: s.Strong, warm: s.Warm, credit: s.Credit, watched: s.Watched, renewed: s.Renewed, trust: s.Trust,
		trend: s.Trend, checks: s.Checks, checked: s.Checked, listed: s.Listed, subscribed: s.Subscribed,
		reportsLate: s.ReportsLate, askAt: now - s.AskAt, askWait: s.AskWait, askedAt: now - s.AskedAt, strongAt: now - s.StrongAt,
		fleet: s.Fleet.ewma(), work: s.Work.ewma(), refused: s.Refused.ewma(), lag: s.Lag.ewma(), usual: s.Usual.ewma(),
		service: s.Service.ewma(), demand: s.Demand.meter(now), sentWork: s.SentWork.meter(now), asked: s.Asked, round: s.Round}
	rules := make([]*Rules, len(s.Rules))
	for i, r := range s.Rules {
		rules[i] = &Rules{s: r.Settings, slots: slices.Clone(r.Slots)}
	}
	b.rules = rules[0]
	for _, c := range s.Class {
		b.classes = append(b.classes, classStats{name: c.Name, live: c.Live, open: c.Open, worth: c.Worth,
			work: c.Work.ewma(), asked: c.Asked.meter(now), good: c.Good.ewma(), passed: now - c.Passed})
	}
	for _, t := range s.Tenant {
		b.tenants = append(b.tenants, t.meter(now))
	}
	for i := range s.Endpoints {
		e := &endpoint{ills: b.newIlls()}
		e.take(&s.Endpoints[i], now)
		b.list = append(b.list, e)
		b.byID[e.ID] = e
	}
	for _, at := range s.Pool {
		b.pool = append(b.pool, b.list[at])
	}
	for _, at := range s.Near {
		b.near = append(b.near, b.list[at])
	}
	if len(b.near) == 0 {
		b.near = slices.Clone(b.list)
	}
	for _, x := range s.Bans {
		b.banned[x.ID] = now - x.Age
	}
	for _, x := range s.Called {
		b.called = append(b.called, calledBack{x.ID, now - x.Age})
	}
	for _, x := range s.Logged {
		b.logged[x.Topic] = now - x.Age
	}
	for i := range s.Slots {
		x := &s.Slots[i]
		b.slots = append(b.slots, &request{token: x.Token, ended: true})
		if slices.Contains(s.Free, i) {
			continue
		}
		r := b.slots[i]
		*r = request{Request: Request{ID: x.ID, Deadline: now - x.Deadline, Hint: x.Hint, HasHint: x.HasHint, Retry: x.Retry,
			Write: x.Write, Flows: x.Flows, Tenant: x.Tenant, Class: x.Class, Rules: rules[x.Rules]}, token: x.Token,
			slot: x.Slot, arrived: now - x.Arrived, work: x.Work, hint: x.LogHint, value: x.Value, valueAt: now - x.ValueAt,
			held: x.Held, ended: x.Ended, stream: x.Stream, good: x.Good}
		for _, a := range x.Attempts {
			to := &endpoint{ills: b.newIlls()}
			if a.Endpoint >= 0 {
				to = b.list[a.Endpoint]
			}
			r.attempts = append(r.attempts, attempt{to, a.Zone, a.Cell, now - a.Age, a.Expected, a.Factor, a.Out, a.Flows, a.MayRun})
			r.out += int(share(a.Out))
		}
		b.requests[r.ID] = r
		b.open += int(share(!r.ended))
	}
	for _, at := range s.Free {
		b.free = append(b.free, b.slots[at])
	}
	for _, at := range s.Held {
		b.held = append(b.held, b.slots[at])
	}
	return b, nil
}

func (m Mean) ewma() ewma { return ewma{m.V, m.N} }

func (m MeterState) meter(now Micros) meter {
	if m.Sum == 0 {
		return meter{}
	}
	return meter{m.Sum, now - m.Age}
}

func (e *endpoint) take(s *EndpointState, now Micros) {
	ills := e.ills
	*e = endpoint{Endpoint: Endpoint{s.ID, s.Zone, s.Kind, s.Cell, s.State, s.Share, s.StartTime}, isCold: s.Cold,
		hasLoad: s.HasLoad, probing: s.Probing, coldFrom: now - s.ColdFrom, room: s.Room, roomAt: now - s.RoomAt,
		inflight: s.Inflight, flows: s.Flows, sentAt: now - s.SentAt, quietFrom: now - s.QuietFrom, sum: s.Sum, asked: s.Asked,
		probedAt: now - s.ProbedAt, answerAt: now - s.AnswerAt, others: s.Others, ownAt: s.OwnAt, rtt: s.RTT.ewma(),
		pace: s.Pace.ewma(), paceAt: now - s.PaceAt, outTo: now - s.OutTo, ills: ills}
	for _, x := range s.Ills {
		i := ill{x.Streak, now - x.OutTo, x.OutFor, x.Trial}
		if x.Part < 0 {
			e.whole = i
		} else {
			ills[x.Part] = i
		}
	}
	e.br.head = now/(window/buckets) - s.Head
	e.br.base, e.br.current, e.br.passed = s.Base, s.Current, now-s.Passed
	for _, x := range s.Buckets {
		if n := e.br.head - int64(x.Back); n >= 0 && s.Head < buckets {
			e.br.ring[n%buckets] = bucket{x.Requests, x.Accepts, x.Failures}
			e.br.requests += int(x.Requests)
			e.br.accepts += int(x.Accepts)
		}
	}
}

// check says what in a snapshot could not come from a balancer. Whoever passes it cannot make one fail.
func (s *Snapshot) check() error {
	var err error
	must := func(ok bool, field, reason string) {
		if !ok && err == nil {
			err = &SnapshotError{field, reason}
		}
	}
	within := func(list []int, n int, field string) {
		for _, at := range list {
			must(at >= 0 && at < n, field, "names what is not there")
		}
	}
	if len(s.Rules) == 0 {
		return &SnapshotError{"Rules", "are missing"}
	}
	for i := range s.Rules {
		if bad := s.Rules[i].Settings.Validate(); bad != nil {
			return bad
		}
		must(len(s.Rules[i].Slots) == len(s.Rules[i].Settings.Classes), "Rules.Slots", "are not one for each class")
		within(s.Rules[i].Slots, len(s.Class), "Rules.Slots")
	}
	must(len(s.Tenant) == len(s.Rules[0].Settings.Tenants), "Tenant", "is not one for each of the settings")
	must(finite(s.Ours, s.Strong, s.Warm, s.Credit, s.Watched, s.Renewed, s.Trust, s.Trend),
		"Ours..Trend", "are not all finite and at least 0")
	must(s.Trend > 0, "Trend", "is not positive")
	must(s.Checks >= 0 && s.Asked >= 0, "Checks", "is negative")
	means := []Mean{s.Fleet, s.Work, s.Refused, s.Lag, s.Usual, s.Service}
	for _, c := range s.Class {
		means = append(means, c.Work, c.Good)
		must(finite(c.Worth) && c.Open >= 0 && c.Work.V > 0, "Class", "has a figure out of range")
	}
	meters := append([]MeterState{s.Demand, s.SentWork}, s.Tenant...)
	for _, c := range s.Class {
		meters = append(meters, c.Asked)
	}
	for _, m := range meters {
		must(finite(m.Sum) && m.Age >= 0, "Meter", "is no sum of the past")
	}
	for _, x := range means {
		must(finite(x.V, x.N), "Mean", "is not finite and at least 0")
	}
	ids := make(map[uint32]bool, len(s.Endpoints))
	for i := range s.Endpoints {
		e := &s.Endpoints[i]
		must(!ids[e.ID], "Endpoints.ID", "stands there twice")
		ids[e.ID] = true
		must(e.State <= Gone, "Endpoints.State", "is not known")
		must(finite(e.Others, e.RTT.V, e.RTT.N, e.Pace.V, e.Pace.N, e.Base, e.Current) && e.Room-e.Room == 0, "Endpoints",
			"have a figure out of range")
		must(e.Flows >= 0 && e.Inflight >= e.Flows && e.OwnAt >= 0, "Endpoints.Inflight", "is out of range")
		must(e.Head <= buckets, "Endpoints.Head", "is no age in a window")
		must(min(e.Head, e.ColdFrom, e.RoomAt, e.SentAt, e.QuietFrom, e.ProbedAt, e.AnswerAt, e.PaceAt, e.Passed) >= 0,
			"Endpoints", "have an instant that lies ahead")
		for _, x := range e.Ills {
			must(x.Part >= -1 && x.Part < len(s.Class)+len(s.Tenant) && x.Streak >= 0, "Endpoints.Ills", "name what is not there")
		}
		for _, x := range e.Buckets {
			must(x.Back >= 0 && x.Back < buckets && x.Requests >= 0 && x.Accepts >= 0 && x.Failures >= 0,
				"Endpoints.Buckets", "are out of range")
		}
	}
	within(s.Pool, len(s.Endpoints), "Pool")
	within(s.Free, len(s.Slots), "Free")
	within(s.Held, len(s.Slots), "Held")
	within(s.Near, len(s.Endpoints), "Near")
	must(finite(s.Chill) && s.Chill <= 1, "Chill", "is not in 0..1")
	must(len(s.Pool) <= poolMost && len(s.Called) <= backBound, "Pool", "is too long")
	used := map[uint64]bool{}
	for i := range s.Slots {
		x := &s.Slots[i]
		must(int(x.Token&(1<<slotBits-1)) == i+firstSlot, "Slots.Token", "names another slot")
		if slices.Contains(s.Free, i) {
			continue
		}
		must(!used[x.ID], "Slots.ID", "stands there twice")
		used[x.ID] = true
		if x.Rules < 0 || x.Rules >= len(s.Rules) || int(x.Class) >= len(s.Rules[x.Rules].Slots) ||
			x.Slot != s.Rules[x.Rules].Slots[x.Class] {
			return &SnapshotError{"Slots.Class", "is not in its rules"}
		}
		must(finite(x.Work, x.Value, x.Good) && x.Work > 0 && x.LogHint-x.LogHint == 0, "Slots.Work", "is out of range")
		for _, a := range x.Attempts {
			must(a.Endpoint >= -1 && a.Endpoint < len(s.Endpoints), "Slots.Attempts", "name what is not there")
			must(finite(a.Expected, a.Factor) && a.Expected > 0 && a.Factor > 0, "Slots.Attempts", "have a figure out of range")
		}
	}
	return err
}

// finite says whether all are numbers of at least 0.
func finite(list ...float64) bool {
	for _, v := range list {
		if !(v >= 0) || v-v != 0 {
			return false
		}
	}
	return true
}

// illsFrom translates an endpoint's runs of failures from the classes and tenants of another balancer.
func (b *Balancer) illsFrom(o *Balancer, e *endpoint) []ill {
	ills := b.newIlls()
	for at, i := range e.ills {
		var to int
		if at < len(o.classes) {
			to = slices.IndexFunc(b.classes, func(c classStats) bool { return c.live && c.name == o.classes[at].name })
		} else if to = tenantAt(b.s.Tenants, o.s.Tenants[at-len(o.classes)].Name); to >= 0 {
			to += len(b.classes)
		}
		if to >= 0 {
			ills[to] = i
		}
	}
	return ills
}

// State returns the rules as data.
func (r *Rules) State() RulesState { return RulesState{r.s, r.slots} }

// RulesOf returns rules for a request of a balancer that has s.Slots. The error is a *SettingError or a
// *SnapshotError.
func (b *Balancer) RulesOf(s RulesState) (*Rules, error) {
	if err := s.Settings.Validate(); err != nil {
		return nil, err
	}
	for _, at := range s.Slots {
		if at < 0 || at >= len(b.classes) {
			return nil, &SnapshotError{"Rules.Slots", "name what is not there"}
		}
	}
	if len(s.Slots) != len(s.Settings.Classes) {
		return nil, &SnapshotError{"Rules.Slots", "are not one for each class"}
	}
	// Requests that came under the same rules share them: a snapshot tells each once.
	text := fmt.Sprint(s)
	for _, r := range b.requests {
		if fmt.Sprint(r.Rules.State()) == text {
			return r.Rules, nil
		}
	}
	return &Rules{s: s.Settings, slots: slices.Clone(s.Slots)}, nil
}
