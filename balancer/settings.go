package balancer

import "fmt"

// The cbor tags are the names of the settings in stored snapshots and captures, and in SettingError.Key. They must not
// change with the names of the fields.

// Idempotency says whether requests of a class may run twice.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent         Idempotency = iota // a second run is harmless
	WithIdempotencyKey                    // endpoints within DedupScope drop repeats for DedupWindow
	NotIdempotent                         // a second run would have a second effect
)

// DedupScope is the set of endpoints within which repeats of a request with an idempotency key are dropped.
type DedupScope uint8

// The scopes of deduplication.
const (
	DedupAll  DedupScope = iota // every endpoint
	DedupZone                   // the endpoints of one zone
	DedupCell                   // the endpoints of one cell
)

// Field names a figure in a load report.
type Field uint8

// The figures that a load report may carry. FieldOther stands for any figure that this version does not know; it is
// skipped.
const (
	FieldOther    Field = iota
	FieldInflight       // requests in flight at the endpoint
	FieldQueue          // requests that wait at the endpoint
	FieldUtil           // share of the endpoint's cores in use
	FieldLatency        // recent service time in milliseconds
	FieldServed         // requests served per second
	FieldErrors         // errors per second
)

// Class describes one class of requests.
type Class struct {
	Name               string      `cbor:"Name"`
	Idempotency        Idempotency `cbor:"Repeat"`
	DedupScope         DedupScope  `cbor:"Group"`     // for WithIdempotencyKey only
	DedupWindow        Micros      `cbor:"Window"`    // for WithIdempotencyKey only, from the first attempt on
	LatencyObjective   Micros      `cbor:"Aim"`       // an answer within this time earns the full weight
	Timeout            Micros      `cbor:"GiveUp"`    // the client's time limit over all its retries
	PriorityWeight     float64     `cbor:"Worth"`     // value of one request answered on time
	LatePriorityWeight float64     `cbor:"LateWorth"` // share of PriorityWeight that a late answer earns
	Stream             bool        `cbor:"Stream"`    // answers are streamed; ResponseStarted reports their start
}

// Tenant describes one tenant and its quota.
type Tenant struct {
	Name      string  `cbor:"Name"`
	Allowance float64 `cbor:"Allowance"` // requests per second over all balancers
	Share     float64 `cbor:"Share"`     // the tenant's share of the service's capacity
}

// Limits holds what the deployment permits. PeerMessages and DialTimeout are part of the settings, but no decision
// reads them.
type Limits struct {
	Cancel         bool `cbor:"Cancel"`
	Probes         bool `cbor:"Probes"`
	HedgedRequests bool `cbor:"SecondCopies"`
	RetryAfter     bool `cbor:"RetryAfter"`
	PeerMessages   bool `cbor:"Tell"`

	MaxAttempts   int    `cbor:"MaxAttempts"`   // attempts per request, the first included
	MaxOpen       int    `cbor:"MaxOpen"`       // requests without a final answer, per balancer
	MaxRetryAfter Micros `cbor:"MaxRetryAfter"` // longest Retry-After that clients honour
	DialTimeout   Micros `cbor:"DialTimeout"`
}

// Contract holds the figures that balancers and endpoints agree on. DrainGrace and AnswerSlack are validated, but no
// decision reads them: a draining endpoint is sent nothing new, and every final answer is given by the deadline.
type Contract struct {
	DrainGrace        Micros  `cbor:"DrainGrace"`
	InitialCapacity   float64 `cbor:"ColdFrom"`     // guaranteed share of its capacity that a new endpoint has
	SlowStartDuration Micros  `cbor:"RampTime"`     // time from its start until it has its whole capacity
	OverloadMultiple  float64 `cbor:"FallMultiple"` // an endpoint that warms up is overloaded if it is sent
	OverloadWindow    Micros  `cbor:"OverloadFor"`  // this multiple of its current capacity for this time
	PollInterval      Micros  `cbor:"AskWithin"`    // longest time between polls of discovery while not subscribed
	AnswerSlack       Micros  `cbor:"AnswerSlack"`
}

// Prices holds the penalties on the result, each for one event per request. No decision reads Waste and LateFail.
type Prices struct {
	CrossZone float64 `cbor:"CrossZone"`
	Probe     float64 `cbor:"Probe"`
	Waste     float64 `cbor:"Waste"`
	LateFail  float64 `cbor:"LateFail"`
}

// Goal holds the weights of the objectives by which the result is judged. No decision reads WorstTenant.
type Goal struct {
	Total       float64 `cbor:"Whole"`
	WorstWindow float64 `cbor:"WorstWindow"`
	WorstClass  float64 `cbor:"WorstClass"`
	WorstTenant float64 `cbor:"WorstTenant"`
}

// Settings is the whole configuration of a balancer. No decision reads Position, Zones and Kinds.
type Settings struct {
	Balancers int  `cbor:"Balancers"` // number of balancers in this tier, this one included
	Position  int  `cbor:"Position"`  // index of this balancer among them
	Zone      int  `cbor:"Zone"`      // zone of this balancer
	Zones     int  `cbor:"Zones"`
	Kinds     int  `cbor:"Kinds"`     // number of machine types
	Subscribe bool `cbor:"Subscribe"` // discovery sends endpoint lists only to subscribers

	Classes []Class  `cbor:"Classes"`
	Tenants []Tenant `cbor:"Tenants"`
	Fields  []Field  `cbor:"Fields"` // figures of a load report, in order

	Limits          Limits   `cbor:"Limits"`
	Contract        Contract `cbor:"Contract"`
	Prices          Prices   `cbor:"Prices"`
	Goal            Goal     `cbor:"Goal"`
	Tick            Micros   `cbor:"Tick"`           // shortest time between two batches of events
	OverQuotaWeight float64  `cbor:"OverShareWorth"` // share of its weight that a request beyond the quota earns
	WeightByWork    bool     `cbor:"WorthByWork"`    // priority weights are per unit of work, not per request
}

// SettingError names an invalid setting.
type SettingError struct{ Key, Value, Reason string }

// Error returns the key and the value of the setting, and the rule that it breaks.
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
	for i, class := range s.Classes {
		classKey := func(name string) string { return fmt.Sprintf("Classes[%d].%s", i, name) }
		check(class.Idempotency <= NotIdempotent, classKey("Repeat"), class.Idempotency,
			"not a known kind of idempotency")
		check(class.DedupScope <= DedupCell, classKey("Group"), class.DedupScope, "not a known scope of deduplication")
		check(class.DedupWindow >= 0, classKey("Window"), class.DedupWindow, "must not be negative")
		check(class.LatencyObjective > 0, classKey("Aim"), class.LatencyObjective, "must be positive")
		check(class.Timeout > 0, classKey("GiveUp"), class.Timeout, "must be positive")
		check(class.PriorityWeight >= 0, classKey("Worth"), class.PriorityWeight, "must not be negative")
		check(class.LatePriorityWeight >= 0 && class.LatePriorityWeight <= 1, classKey("LateWorth"),
			class.LatePriorityWeight, "must be in 0..1")
	}
	for i, t := range s.Tenants {
		key := fmt.Sprintf("Tenants[%d].Allowance", i)
		check(t.Allowance >= 0, key, t.Allowance, "must not be negative")
	}
	for _, w := range [...]float64{s.Goal.Total, s.Goal.WorstWindow, s.Goal.WorstClass, s.Goal.WorstTenant} {
		check(w >= 0, "Goal", w, "must not be negative")
	}
	check(s.OverQuotaWeight >= 0, "OverShareWorth", s.OverQuotaWeight, "must not be negative")
	limits, contract, prices := &s.Limits, &s.Contract, &s.Prices
	check(limits.MaxAttempts >= 1, "Limits.MaxAttempts", limits.MaxAttempts, "must be at least 1")
	check(limits.MaxOpen >= 1, "Limits.MaxOpen", limits.MaxOpen, "must be at least 1")
	check(limits.MaxRetryAfter >= 0, "Limits.MaxRetryAfter", limits.MaxRetryAfter, "must not be negative")
	check(limits.DialTimeout >= 0, "Limits.DialTimeout", limits.DialTimeout, "must not be negative")
	check(contract.DrainGrace >= 0, "Contract.DrainGrace", contract.DrainGrace, "must not be negative")
	check(contract.InitialCapacity > 0 && contract.InitialCapacity <= 1, "Contract.ColdFrom", contract.InitialCapacity,
		"must be in 0..1, not 0")
	check(contract.SlowStartDuration >= 0, "Contract.RampTime", contract.SlowStartDuration, "must not be negative")
	check(contract.OverloadMultiple > 0, "Contract.FallMultiple", contract.OverloadMultiple, "must be positive")
	check(contract.OverloadWindow >= 0, "Contract.OverloadFor", contract.OverloadWindow, "must not be negative")
	check(contract.PollInterval >= 0, "Contract.AskWithin", contract.PollInterval, "must not be negative")
	check(contract.AnswerSlack >= 0, "Contract.AnswerSlack", contract.AnswerSlack, "must not be negative")
	check(prices.CrossZone >= 0, "Prices.CrossZone", prices.CrossZone, "must not be negative")
	check(prices.Probe >= 0, "Prices.Probe", prices.Probe, "must not be negative")
	check(prices.Waste >= 0, "Prices.Waste", prices.Waste, "must not be negative")
	check(prices.LateFail >= 0, "Prices.LateFail", prices.LateFail, "must not be negative")
	return err
}
