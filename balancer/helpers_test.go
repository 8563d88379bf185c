package balancer

import (
	"errors"
	"testing"
)

// testSettings returns valid settings with one class of each kind of idempotency. Tests change what they need.
func testSettings() Settings {
	return Settings{
		Balancers: 2, Zones: 1, Kinds: 1, Tick: 5000,
		Classes: []Class{
			{Name: "read", Idempotency: Idempotent, LatencyObjective: 400_000, Timeout: second, PriorityWeight: 1},
			{Name: "keyed-all", Idempotency: WithIdempotencyKey, DedupScope: DedupAll, DedupWindow: 500_000,
				LatencyObjective: 400_000, Timeout: second, PriorityWeight: 1},
			{Name: "keyed-zone", Idempotency: WithIdempotencyKey, DedupScope: DedupZone, DedupWindow: 500_000,
				LatencyObjective: 400_000, Timeout: second, PriorityWeight: 1},
			{Name: "keyed-cell", Idempotency: WithIdempotencyKey, DedupScope: DedupCell, DedupWindow: 500_000,
				LatencyObjective: 400_000, Timeout: second, PriorityWeight: 1},
			{Name: "write", Idempotency: NotIdempotent, LatencyObjective: 400_000, Timeout: second,
				PriorityWeight: 1},
		},
		Fields: []Field{FieldInflight},
		Limits: Limits{Cancel: true, Probes: true, HedgedRequests: true, RetryAfter: true,
			MaxAttempts: 3, MaxOpen: 1000, MaxRetryAfter: second, DialTimeout: 100_000},
		Contract: Contract{DrainGrace: 500_000, InitialCapacity: 0.2, SlowStartDuration: 10 * second,
			OverloadMultiple: 2.5, OverloadWindow: second, PollInterval: 10 * second},
		Goal:   Goal{Total: 1},
		Prices: Prices{Probe: 1000}, // so dear that no request waits for probes; waitingSettings changes that
	}
}

type sentAttempt struct {
	id       uint64
	endpoint uint32
}

// recorder implements Actions and records the calls.
type recorder struct {
	sends    []sentAttempt
	timeouts []Micros // timeouts of sends, at the same indices
	rejected []uint64
	failed   []uint64
	cancels  []uint64
	probes   []uint32
	timers   []uint32
	delays   []Micros
	watches  int
	logs     []string
}

func (r *recorder) Send(id uint64, e uint32, timeout Micros) {
	r.sends, r.timeouts = append(r.sends, sentAttempt{id, e}), append(r.timeouts, timeout)
}
func (r *recorder) Reject(id uint64, _ Micros) { r.rejected = append(r.rejected, id) }
func (r *recorder) Fail(id uint64)             { r.failed = append(r.failed, id) }
func (r *recorder) Cancel(id uint64, _ int)    { r.cancels = append(r.cancels, id) }
func (r *recorder) Timer(delay Micros, token uint32) {
	r.timers, r.delays = append(r.timers, token), append(r.delays, delay)
}
func (r *recorder) Probe(e uint32)  { r.probes = append(r.probes, e) }
func (r *recorder) Watch(bool)      { r.watches++ }
func (r *recorder) Log(line string) { r.logs = append(r.logs, line) }

// readyEndpoints returns n ready endpoints with IDs from 1. Endpoints 1 and 2 share a zone and a cell, as do 3 and 4,
// and so on.
func readyEndpoints(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Cell: uint16(i / 2), Weight: 1}
	}
	return list
}

// startBalancer returns a started balancer that knows an endpoint list of warm endpoints, and its actions.
func startBalancer(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
	t.Helper()
	r := &recorder{}
	b, err := New(s, 7, r)
	if err != nil {
		t.Fatal(err)
	}
	b.Start(0)
	b.UpdateEndpoints(0, ListCached, list)
	return b, r
}

// testRequest returns a request whose deadline is in a second.
func testRequest(id uint64, class uint8, now Micros) Request {
	return Request{ID: id, Class: class, Deadline: now + second}
}

func TestNewNamesInvalidSetting(t *testing.T) {
	for _, c := range []struct {
		key   string
		spoil func(*Settings)
	}{
		{"Balancers", func(s *Settings) { s.Balancers = 0 }},
		{"Classes", func(s *Settings) { s.Classes = nil }},
		{"Classes[0].Aim", func(s *Settings) { s.Classes[0].LatencyObjective = 0 }},
		{"Classes[1].Window", func(s *Settings) { s.Classes[1].DedupWindow = -1 }},
		{"Contract.ColdFrom", func(s *Settings) { s.Contract.InitialCapacity = 0 }},
		{"Limits.MaxAttempts", func(s *Settings) { s.Limits.MaxAttempts = 0 }},
		{"Prices.Probe", func(s *Settings) { s.Prices.Probe = -1 }},
	} {
		s := testSettings()
		c.spoil(&s)
		_, err := New(s, 1, &recorder{})
		var settingErr *SettingError
		if !errors.As(err, &settingErr) || settingErr.Key != c.key {
			t.Errorf("New with an invalid %s: got error %v, want a SettingError for that key", c.key, err)
		}
	}
}
