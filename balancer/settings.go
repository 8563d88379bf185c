package balancer

import "fmt"

// The tags of settings are their names in stored snapshots and captures.

// Idempotency says what a second run of a request of a class would do.
type Idempotency uint8

// The kinds of class.
const (
	Idempotent         Idempotency = iota // a second run is harmless
	WithIdempotencyKey                    // a set of endpoints drops repetitions for a while
	NotIdempotent                         // a second run has a second effect
)

// DedupScope is the set of endpoints that drops repetitions of a request with an idempotency key.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupAll  DedupScope = iota // every endpoint
	DedupZone                   // the endpoints of one zone
	DedupCell                   // the endpoints of one cell
)

// Field names one figure of a load report.
type Field uint8

// The figures that a load report may carry. FieldOther is one that this version does not know; it is skipped.
const (
	FieldOther    Field = iota
	FieldInflight       // requests at the endpoint
	FieldQueue          // requests that wait there
	FieldUtil           // share of its cores in use
	FieldLatency        // recent service time in milliseconds
	FieldServed         // requests served a second
	FieldErrors         // errors a second
)

// Class describes one class of requests.
type Class struct {
	Name               string      `cbor:"Name"`
	Idempotency        Idempotency `cbor:"Repeat"`
	DedupScope         DedupScope  `cbor:"Group"`     // with an idempotency key only
	DedupWindow        Micros      `cbor:"Window"`    // with an idempotency key only
	LatencyObjective   Micros      `cbor:"Aim"`       // an answer within this time earns the full weight
	Timeout            Micros      `cbor:"GiveUp"`    // of the client, over all its retries
	PriorityWeight     float64     `cbor:"Worth"`     // of one request
	LatePriorityWeight float64     `cbor:"LateWorth"` // share of the weight that a late answer earns
	Stream             bool        `cbor:"Stream"`    // answers are streamed: ResponseStarted reports their start
}

// Tenant describes one tenant and its quota.
type Tenant struct {
	Name      string  `cbor:"Name"`
	Allowance float64 `cbor:"Allowance"` // requests a second over all balancers
	Share     float64 `cbor:"Share"`     // of the service
}

// Limits holds what the deployment permits. PeerMessages and DialTimeout are validated, but no decision reads them.
type Limits struct {
	Cancel         bool `cbor:"Cancel"`
	Probes         bool `cbor:"Probes"`
	HedgedRequests bool `cbor:"SecondCopies"`
	RetryAfter     bool `cbor:"RetryAfter"`
	PeerMessages   bool `cbor:"Tell"`

	MaxAttempts   int    `cbor:"MaxAttempts"`   // of a request
	MaxOpen       int    `cbor:"MaxOpen"`       // open requests of a balancer
	MaxRetryAfter Micros `cbor:"MaxRetryAfter"` // the longest that clients honour
	DialTimeout   Micros `cbor:"DialTimeout"`
}

// Contract holds the figures of the rules between balancers and endpoints. DrainGrace and AnswerSlack are
// validated, but no decision reads them: nothing new is sent to a draining endpoint, and answers leave by the
// deadline.
type Contract struct {
	DrainGrace        Micros  `cbor:"DrainGrace"`
	InitialCapacity   float64 `cbor:"ColdFrom"`     // least share of its capacity that an endpoint starts with
	SlowStartDuration Micros  `cbor:"RampTime"`     // after which it has all of it
	OverloadMultiple  float64 `cbor:"FallMultiple"` // of its current capacity which, sent for OverloadWindow,
	OverloadWindow    Micros  `cbor:"OverloadFor"`  // overloads an endpoint that warms up
	PollInterval      Micros  `cbor:"AskWithin"`    // in which a balancer without subscription must poll discovery
	AnswerSlack       Micros  `cbor:"AnswerSlack"`
}

// Prices holds what is taken off the result, each for its rate per request. No decision reads Waste and LateFail.
type Prices struct {
	CrossZone float64 `cbor:"CrossZone"`
	Probe     float64 `cbor:"Probe"`
	Waste     float64 `cbor:"Waste"`
	LateFail  float64 `cbor:"LateFail"`
}

// Goal holds the weights by which the result is judged. No decision reads WorstTenant.
type Goal struct {
	Total       float64 `cbor:"Whole"`
	WorstWindow float64 `cbor:"WorstWindow"`
	WorstClass  float64 `cbor:"WorstClass"`
	WorstTenant float64 `cbor:"WorstTenant"`
}

// Settings is all that a balancer is configured with. No decision reads Position, Zones and Kinds.
type Settings struct {
	Balancers int  `cbor:"Balancers"` // in this tier, this one included
	Position  int  `cbor:"Position"`  // of this one among them
	Zone      int  `cbor:"Zone"`      // of this one
	Zones     int  `cbor:"Zones"`
	Kinds     int  `cbor:"Kinds"`     // of machines
	Subscribe bool `cbor:"Subscribe"` // discovery sends lists only to subscribers

	Classes []Class  `cbor:"Classes"`
	Tenants []Tenant `cbor:"Tenants"`
	Fields  []Field  `cbor:"Fields"` // of a load report, in order

	Limits          Limits   `cbor:"Limits"`
	Contract        Contract `cbor:"Contract"`
	Prices          Prices   `cbor:"Prices"`
	Goal            Goal     `cbor:"Goal"`
	Tick            Micros   `cbor:"Tick"`           // the least time between two rounds of events
	OverQuotaWeight float64  `cbor:"OverShareWorth"` // share of the weight that a request beyond the quota earns
	WeightByWork    bool     `cbor:"WorthByWork"`    // weights count per unit of work, not per request
}

// SettingError names an invalid setting.
type SettingError struct{ Key, Value, Reason string }

// Error says which setting is wrong, and how.
func (e *SettingError) Error() string {
	return fmt.Sprintf("setting %s=%s: %s", e.Key, e.Value, e.Reason)
}

// Validate returns a *SettingError for the first invalid setting, or nil.
func (s *Settings) Validate() error {
	var err error
	check := func(ok bool, key string, value any, reason string) {
		if !ok && err == nil {
			err = &SettingError{key, fmt.Sprint(value), reason}
		}
	}
	check(s.Balancers >= 1, "Balancers", s.Balancers, "must be at least 1")
	check(s.Position >= 0, "Position", s.Position, "must not be negative")
	check(s.Zone >= 0, "Zone", s.Zone, "must not be negative")
	check(s.Kinds >= 0, "Kinds", s.Kinds, "must not be negative")
	check(s.Tick >= 0, "Tick", s.Tick, "must not be negative")
	check(len(s.Classes) > 0, "Classes", "none", "at least one class is needed")
	for i, c := range s.Classes {
		at := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(c.Idempotency <= NotIdempotent, at("Repeat"), c.Idempotency, "not a known kind")
		check(c.DedupScope <= DedupCell, at("Group"), c.DedupScope, "not a known group")
		check(c.DedupWindow >= 0, at("Window"), c.DedupWindow, "must not be negative")
		check(c.LatencyObjective > 0, at("Aim"), c.LatencyObjective, "must be positive")
		check(c.Timeout > 0, at("GiveUp"), c.Timeout, "must be positive")
		check(c.PriorityWeight >= 0, at("Worth"), c.PriorityWeight, "must not be negative")
		check(c.LatePriorityWeight >= 0 && c.LatePriorityWeight <= 1, at("LateWorth"), c.LatePriorityWeight,
			"must be in 0..1")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].Allowance", i)
		check(t.Allowance >= 0, key, t.Allowance, "must not be negative")
	}
	for _, w := range [...]float64{s.Goal.Total, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		check(w >= 0, "Goal", w, "must not be negative")
	}
	check(s.OverQuotaWeight >= 0, "OverShareWorth", s.OverQuotaWeight, "must not be negative")
	l, c, p := &s.Limits, &s.Contract, &s.Prices
	check(l.MaxAttempts >= 1, "Limits.MaxAttempts", l.MaxAttempts, "must be at least 1")
	check(l.MaxOpen >= 1, "Limits.MaxOpen", l.MaxOpen, "must be at least 1")
	check(l.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", l.MaxRetryAfter, "must not be negative")
	check(l.DialTimeout >= 0, "Limits.DialTimeout", l.DialTimeout, "must not be negative")
	check(c.DrainGrace >= 0, "Contract.DrainGrace", c.DrainGrace, "must not be negative")
	check(c.InitialCapacity > 0 && c.InitialCapacity <= 1, "Contract.ColdFrom", c.InitialCapacity,
		"must be in 0..1, not 0")
	check(c.SlowStartDuration >= 0, "Contract.RampTime", c.SlowStartDuration, "must not be negative")
	check(c.OverloadMultiple > 0, "Contract.FallMultiple", c.OverloadMultiple, "must be positive")
	check(c.OverloadWindow >= 0, "Contract.OverloadFor", c.OverloadWindow, "must not be negative")
	check(c.PollInterval >= 0, "Contract.AskWithin", c.PollInterval, "must not be negative")
	check(c.AnswerSlack >= 0, "Contract.AnswerSlack", c.AnswerSlack, "must not be negative")
	check(p.CrossZone >= 0, "Prices.CrossZone", p.CrossZone, "must not be negative")
	check(p.Probe >= 0, "Prices.Probe", p.Probe, "must not be negative")
	check(p.Waste >= 0, "Prices.Waste", p.Waste, "must not be negative")
	check(p.LateFail >= 0, "Prices.LateFail", p.LateFail, "must not be negative")
	return err
}
