// Package balancer makes the decisions of a client-side load balancer: which endpoint gets a request, when a
// request is rejected, when it is retried, which endpoints are ejected, and what is probed.
//
// A Balancer is a deterministic state machine for one caller at a time. The host passes each event with its instant
// (api.go) and the balancer calls Actions; it does no I/O and reads no clock, and randomness comes from a seed. The
// package imports the standard library alone.
//
// Each file holds one mechanism with its constants and its state:
//
//	settings.go, reload.go       what a balancer is configured with, and how that changes
//	request.go, attempts.go      the record of open requests; sending attempts and taking their outcomes
//	admission.go, priority.go    whether a request is dispatched or rejected, and which classes give way first
//	waiting.go                   holding a request until fresh load reports have come
//	pick.go, latency.go          the choice of an endpoint, and the latency predicted for each
//	probes.go, reports.go        probing, the pool of load reports, and how far a report is to be believed
//	membership.go, polling.go    the endpoint list, and polling discovery for it
//	aperture.go                  the subset of endpoints that this balancer uses
//	slowstart.go                 what an endpoint that is warming up may be sent
//	drain.go                     administrative drains
//	breaker.go, outlier.go       the circuit breaker, and ejecting endpoints that fail in a row
//	snapshot.go, resume.go       the whole state as data, and a balancer made from it
//	restore.go                   what a new process takes over from an earlier one's snapshot
//	explain.go                   what was weighed, for operators
package balancer

const second Micros = 1_000_000

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	settings Settings
	rules    *Rules // of requests that arrive now
	out      Actions
	rng      randSource

	requests  map[uint64]*request // by ID: all with a pending attempt or without a final answer
	slots     []*request          // by timer slot
	freeSlots []*request          // records to use again
	open      int                 // requests without a final answer

	byID       map[uint32]*endpoint
	endpoints  []*endpoint // in the order in which they were first listed
	everListed bool        // discovery has answered since the start

	subscribed  bool
	nextPollAt  Micros // unless subscribed by then
	pollBackoff Micros // mean pause, counted from lastPollAt
	lastPollAt  Micros

	drainedAt map[uint32]Micros   // by endpoint ID: administrative drains in force
	undrained []undrainedEndpoint // that are due a first request

	apertureSeed       uint64
	apertureList       []*endpoint
	capacity           float64 // of the available endpoints in aperture terms, in fully warm ones
	warmEndpoints      float64 // of these, the number that are fully warm
	capacityValidUntil Micros  // of apertureList, capacity and warmEndpoints

	slowStartCorrection float64 // guaranteed over observed capacity of endpoints that warm up, at most 1
	capacityShare       float64 // this process's share of slow-start budgets

	pool          []*endpoint // with a load report, the latest last
	waiting       []*request  // that wait for probes
	pendingProbes int         // that they wait for
	probeRound    uint32      // of waiting requests

	reportTime    float64 // microseconds over which load reports were observed,
	reportChanges float64 // and how often they changed meanwhile
	repeatProbes  int     // endpoints that were probed twice to observe that
	repeatProbed  uint32  // ID of the latest of them
	lateReports   ewma    // share of load reports that must be late
	reportsLate   bool    // so many that the pool is not to be relied on
	typicalLoad   ewma    // requests of others at an endpoint, over all reports
	serviceTime   ewma    // reported service time, without queueing

	classes      []classStats
	tenantDemand []rateMeter // requests, by tenant
	demand       rateMeter   // requests
	sentWork     rateMeter   // work of attempts that may have run, as of their outcomes
	meanWork     ewma        // of a request
	fleetPace    ewma        // time per unit of work, over all endpoints
	latencyTrend float64     // observed over predicted latency, over all endpoints
	hintTrust    float64     // exponent by which a request's work grows with its hint

	rejectionRate ewma    // share of requests rejected on arrival
	retryBudget   float64 // attempts

	partsBuffer [2]int            // backs the result of parts
	lastLogged  map[string]Micros // by topic
}

// New returns a balancer, or a *SettingError for invalid settings. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		out:           out,
		rng:           randSource(seed),
		apertureSeed:  seed,
		requests:      map[uint64]*request{},
		byID:          map[uint32]*endpoint{},
		lastLogged:    map[string]Micros{},
		drainedAt:     map[uint32]Micros{},
		capacityShare: 1,
	}
	b.applySettings(s)
	for i := range b.classes {
		b.meanWork.add(b.classes[i].meanWork.value, 1/float64(i+1))
	}
	return b, nil
}

// Start begins polling and probing.
func (b *Balancer) Start(now Micros) {
	b.lateReports.samples = settledSamples
	b.rejectionRate.samples = settledSamples
	b.latencyTrend = 1
	b.hintTrust = 0.5
	b.slowStartCorrection = 1
	b.retryBudget = maxRetryBudget
	b.probeRound = 1
	if b.settings.Subscribe {
		// All instances of a fleet may start at once: spread their first polls.
		b.schedulePoll(now, 1+b.rng.below(min(b.settings.Contract.PollInterval/10, second)))
	}
	if b.settings.Limits.Probes {
		b.out.Timer(1+b.rng.below(maxProbeInterval), tokenProbe)
	}
}

// Timer tokens below firstSlot are the balancer's own; others name a request.
const (
	tokenProbe = iota
	tokenDiscovery
	tokenRepeatProbe
	firstSlot = 16
	slotBits  = 20
)

// Timer handles a token that was given to Actions.Timer.
func (b *Balancer) Timer(now Micros, token uint32) {
	switch {
	case token == tokenProbe:
		b.startProbeRound(now)
	case token == tokenDiscovery:
		b.poll(now)
	case token == tokenRepeatProbe:
		if e := b.byID[b.repeatProbed]; e != nil {
			b.probe(now, e)
		}
	case token >= firstSlot:
		b.requestTimer(now, token)
	}
}

// requestTimer ends a request's wait for probes, or the request itself at its deadline.
func (b *Balancer) requestTimer(now Micros, token uint32) {
	slot := slotIndex(token)
	if slot < 0 || slot >= len(b.slots) {
		return
	}
	r := b.slots[slot]
	if r.token != token || r.ended || r.responding {
		return
	}
	if r.waiting {
		b.releaseWaiting(now)
		return
	}
	if now >= r.Deadline {
		b.rejectOrFail(now, r)
	}
}

// Topics of log lines. They are stored in snapshots.
const (
	topicDiscovery = "discovery"
	topicReports   = "lag"
	topicRejection = "refuse"
	topicEjection  = "eject"
)

// log writes a line for on-call staff, at most one a second for each topic.
func (b *Balancer) log(now Micros, topic, line string) {
	if at, ok := b.lastLogged[topic]; ok && now-at < second {
		return
	}
	b.lastLogged[topic] = now
	b.out.Log(line)
}
