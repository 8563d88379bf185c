// Package balancer makes the decisions of a client-side load balancer: which endpoint gets a request, when a
// request is rejected, when it is retried, which endpoints are ejected, and what is probed.
//
// A Balancer is a deterministic state machine. It is not safe for concurrent use. The host passes it each event with
// the event's instant (api.go), and the balancer answers with calls of Actions. It does no I/O and reads no clock; its
// randomness comes from a seed. The package imports only the standard library.
//
// Each file holds one mechanism with its constants and state:
//
//	settings.go, reload.go       the settings of a balancer, and changing them while it runs
//	request.go, attempts.go      records of open requests; sending attempts and handling their outcomes
//	admission.go, priority.go    whether a request is dispatched or rejected, and which classes are rejected first
//	waiting.go                   delaying a request until fresh load reports have arrived
//	pick.go, latency.go          the choice of an endpoint, and the latency predicted for each
//	probes.go, reports.go        probing, the pool of load reports, and how much weight a report gets
//	membership.go, polling.go    the endpoint list, and polling discovery for it
//	aperture.go                  the subset of endpoints that this balancer uses
//	slowstart.go                 limits on what is sent to an endpoint that is warming up
//	drain.go                     administrative drains
//	breaker.go, outlier.go       the circuit breaker, and the ejection of endpoints after consecutive failures
//	snapshot.go, resume.go       the whole state as data, and making a balancer from it
//	restore.go                   what a new process takes over from the snapshot of an earlier one
//	explain.go                   estimates and exclusions for each endpoint, for operators
package balancer

const second Micros = 1_000_000

// Balancer makes the decisions of one sidecar process. Make one with New or Resume. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	rules    *Rules // rules of requests that arrive now
	actions  Actions
	rng      randSource

	requests         map[uint64]*request // by ID: requests with a pending attempt or without a final answer
	requestSlots     []*request          // by request slot, which timer tokens name
	freeRequestSlots []*request          // records that may be used again
	openRequests     int                 // requests without a final answer

	byID       map[uint32]*endpoint
	endpoints  []*endpoint // in the order of their first listing
	everListed bool        // discovery has sent a list since the start

	subscribed  bool
	nextPollAt  Micros // next poll of discovery, unless subscribed by then
	pollBackoff Micros // mean interval after a failed poll, counted from lastPollAt
	lastPollAt  Micros

	drainedAt map[uint32]Micros   // administrative drains in force, by endpoint ID
	undrained []undrainedEndpoint // endpoints that are due a first request after a drain

	apertureSeed       uint64
	apertureList       []*endpoint
	capacity           float64 // guaranteed, of the available endpoints of the aperture's ranks; 1 is a fully warm one
	warmEndpoints      float64 // number of these endpoints that are fully warm
	capacityValidUntil Micros  // when apertureList, capacity and warmEndpoints expire

	slowStartCorrection float64 // guaranteed over observed capacity of endpoints that are warming up, at most 1
	capacityShare       float64 // share of slow-start budgets that this process may use

	pool          []*endpoint // endpoints with a load report, latest report last
	waiting       []*request  // requests that wait for probes
	pendingProbes int         // probes that the waiting requests wait for
	probeRound    uint32      // number of the current round of waiting requests

	reportTime    float64 // microseconds over which load reports were observed
	reportChanges float64 // how often reports changed in reportTime
	repeatProbes  int     // number of endpoints that were probed twice to observe such changes
	repeatProbed  uint32  // ID of the latest endpoint that was probed twice
	lateReports   ewma    // share of load reports that are surely late
	reportsLate   bool    // so many reports are late that the pool is not relied on
	typicalLoad   ewma    // other balancers' requests at an endpoint, averaged over reports
	ownLoad       ewma    // this balancer's requests at an endpoint, averaged over the same reports
	serviceTime   ewma    // reported service time in microseconds, without queueing

	classes      []classStats
	tenantDemand []rateMeter // rate of requests, by tenant
	demand       rateMeter   // rate of requests
	sentWork     rateMeter   // rate of work of attempts that may have run, counted at their outcomes
	meanWork     ewma        // mean work of a request
	fleetPace    ewma        // time per unit of work, averaged over all endpoints
	latencyTrend float64     // observed over predicted latency, averaged over all endpoints
	hintTrust    float64     // exponent by which a request's expected work follows its hint, from 0 to 1

	rejectionRate ewma    // share of requests that are rejected on arrival
	retryBudget   float64 // retries that may be made now

	trafficPartsBuffer [2]int            // backing array for the result of trafficParts
	lastLogged         map[string]Micros // time of the latest log line, by topic
}

// New returns a balancer that calls out, or a *SettingError for invalid settings. The seed determines all random
// choices. Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		actions:       out,
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

// Start sets the initial state and schedules the first poll and the first round of probes.
func (b *Balancer) Start(now Micros) {
	b.lateReports.samples = settledSamples
	b.rejectionRate.samples = settledSamples
	b.latencyTrend = 1
	b.hintTrust = 0.5
	b.slowStartCorrection = 1
	b.retryBudget = maxRetryBudget
	b.probeRound = 1
	if b.settings.Subscribe {
		// Spread the first polls, since all sidecars of a fleet may start at once.
		b.schedulePoll(now, 1+b.rng.below(min(b.settings.Contract.PollInterval/10, second)))
	}
	if b.settings.Limits.Probes {
		b.actions.Timer(1+b.rng.below(targetProbeInterval), tokenProbe)
	}
}

// Timer tokens below firstRequestToken belong to the balancer's own timers. In any other token the low slotBits bits
// name a request slot and the high bits count the uses of that slot.
const (
	tokenProbe = iota
	tokenDiscovery
	tokenRepeatProbe
	firstRequestToken = 16
	slotBits          = 20
)

// Timer handles the expiry of a timer that Actions.Timer set with this token. Tokens of ended requests have no effect.
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
	case token >= firstRequestToken:
		b.handleRequestTimer(now, token)
	}
}

// handleRequestTimer releases the requests that wait for probes, or ends the request of the token at its deadline.
func (b *Balancer) handleRequestTimer(now Micros, token uint32) {
	slot := slotIndex(token)
	if slot < 0 || slot >= len(b.requestSlots) {
		return
	}
	r := b.requestSlots[slot]
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

// Topics of log lines. Snapshots store them.
const (
	topicDiscovery = "discovery"
	topicReports   = "lag"
	topicRejection = "refuse"
	topicEjection  = "eject"
)

// log writes a line for operators, at most one per second and topic. Captures record the lines and replays compare
// them.
func (b *Balancer) log(now Micros, topic, line string) {
	if loggedAt, ok := b.lastLogged[topic]; ok && now-loggedAt < second {
		return
	}
	b.lastLogged[topic] = now
	b.actions.Log(line)
}
