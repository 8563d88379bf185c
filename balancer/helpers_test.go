package balancer

import (
	"errors"
	"testing"
)

// testSettings are plain settings that tests change as they need.
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
		Prices: Prices{Probe: 1000}, // too dear to hold requests for: that has tests of its own
	}
}

type sent struct {
	id       uint64
	endpoint uint32
}

// recorder keeps what a balancer asks of its host.
type recorder struct {
	sends   []sent
	waits   []Micros // the time-outs of sends
	refused []uint64
	failed  []uint64
	cancels []uint64
	probes  []uint32
	timers  []uint32
	delays  []Micros
	watches int
	logs    []string
}

func (r *recorder) Send(id uint64, e uint32, wait Micros) {
	r.sends, r.waits = append(r.sends, sent{id, e}), append(r.waits, wait)
}
func (r *recorder) Reject(id uint64, _ Micros) { r.refused = append(r.refused, id) }
func (r *recorder) Fail(id uint64)             { r.failed = append(r.failed, id) }
func (r *recorder) Cancel(id uint64, _ int)    { r.cancels = append(r.cancels, id) }
func (r *recorder) Timer(delay Micros, token uint32) {
	r.timers, r.delays = append(r.timers, token), append(r.delays, delay)
}
func (r *recorder) Probe(e uint32)  { r.probes = append(r.probes, e) }
func (r *recorder) Watch(bool)      { r.watches++ }
func (r *recorder) Log(line string) { r.logs = append(r.logs, line) }

// ready returns n ready endpoints with ids from 1; pairs share a cell and a zone.
func ready(n int) []Endpoint {
	list := make([]Endpoint, n)
	for i := range list {
		list[i] = Endpoint{ID: uint32(i + 1), Zone: uint8(i / 2), Cell: uint16(i / 2), Weight: 1}
	}
	return list
}

func start(t *testing.T, s Settings, list []Endpoint) (*Balancer, *recorder) {
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

func request0(id uint64, class uint8, now Micros) Request {
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
		var bad *SettingError
		if !errors.As(err, &bad) || bad.Key != c.key {
			t.Errorf("want an error for %s, got %v", c.key, err)
		}
	}
}
