// Package balancer makes the decisions of a client-side sidecar balancer.
//
// Settings, events and actions stand in api.go, the records kept in state.go; all decisions stand here.
// A Balancer is a deterministic state machine for one caller at a time: the host passes each event with
// its instant, and the balancer calls Actions. Reading order: lifecycle and request ledger, membership and
// warm-up, probe pool and pick, breaker, attempts.
package balancer

const second Micros = 1_000_000

// Balancer decides for one sidecar. Make one with New.
type Balancer struct {
	settings Settings
	rules    *Rules // of the requests that come now
	out      Actions
	rng      randSource

	requests  map[uint64]*request // every request with an attempt out or no final answer
	slots     []*request          // by timer slot
	freeSlots []*request          // records to use again
	open      int                 // requests without final answer

	byID                map[uint32]*endpoint
	endpoints           []*endpoint         // known endpoints in the order first heard of
	slowStartCorrection float64             // the least warmth of cold endpoints over that which they show, 1 at most
	apertureSeed        uint64              // of the lots that choose the aperture
	apertureList        []*endpoint         // the aperture, as of the last count of strength
	pool                []*endpoint         // those with a load answer, the latest last
	waiting             []*request          // requests that wait for probes
	pendingProbes       int                 // probes that they wait for
	probeRound          uint32              // of held requests
	everListed          bool                // discovery has answered since the start
	drainedAt           map[uint32]Micros   // by ID, when operators took it out
	capacityShare       float64             // of what cold endpoints may be sent, our part
	undrained           []undrainedEndpoint // to be sent something soon

	subscribed  bool
	nextPollAt  Micros // next call of discovery, unless subscribed by then
	pollBackoff Micros // before the next call, about, counted from the last one
	lastPollAt  Micros // the last one

	classes            []classStats
	tenantDemand       []rateMeter // requests taken, by tenant
	fleetPace          ewma        // pace of the whole fleet
	demand             rateMeter   // requests taken
	sentWork           rateMeter   // work sent that was not turned away unseen, as of its outcomes
	meanWork           ewma        // mean work of a request
	capacity           float64     // what the ready endpoints can do, in warm ones
	warmEndpoints      float64     // of them warm
	capacityValidUntil Micros      // when to count that again
	rejectionRate      ewma        // share of requests refused at arrival
	retryBudget        float64     // retry budget, in attempts

	reportTime, reportChanges float64 // time over which reports were watched, and how often they changed
	repeatProbes              int     // endpoints asked twice for that
	repeatProbed              uint32  // the latest of them

	lateReports  ewma // share of load reports that must be late
	typicalLoad  ewma // load of others at an endpoint, over all answers
	reportsLate  bool
	serviceTime  ewma    // reported time of service without waiting
	hintTrust    float64 // power of a hint that work grows with
	latencyTrend float64 // latencies over those predicted, for all endpoints together

	partsBuffer [2]int            // room for what parts returns
	lastLogged  map[string]Micros // last line by topic
}

// New returns a balancer, or a *SettingError for settings that make no sense.
// Call Start before any other event.
func New(s Settings, seed uint64, out Actions) (*Balancer, error) {
	if err := s.Validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		out: out, rng: randSource(seed), apertureSeed: seed,
		requests: map[uint64]*request{}, byID: map[uint32]*endpoint{}, lastLogged: map[string]Micros{},
		drainedAt: map[uint32]Micros{}, capacityShare: 1,
	}
	b.applySettings(s)
	for i := range b.classes {
		b.meanWork.add(b.classes[i].meanWork.value, 1/float64(i+1))
	}
	return b, nil
}

// Start begins the balancer's life.
func (b *Balancer) Start(now Micros) {
	b.lateReports.samples, b.rejectionRate.samples = settledSamples, settledSamples
	b.latencyTrend, b.hintTrust, b.slowStartCorrection = 1, 0.5, 1
	b.retryBudget, b.probeRound = maxRetryBudget, 1
	if b.settings.Subscribe {
		// All instances of a fleet may start at once: spread their first calls.
		b.schedulePoll(now, 1+b.rng.below(min(b.settings.Contract.PollInterval/10, second)))
	}
	if b.settings.Limits.Probes {
		b.out.Timer(1+b.rng.below(maxProbeInterval), tokenProbe)
	}
}

// Timer handles a token given to Actions.Timer.
func (b *Balancer) Timer(now Micros, token uint32) {
	switch {
	case token == tokenProbe:
		b.startProbeRound(now)
	case token == tokenDiscovery:
		b.poll(now)
	case token == tokenCheck:
		if e := b.byID[b.repeatProbed]; e != nil {
			b.probe(now, e)
		}
	case token >= firstSlot:
		slot := int(token&(1<<slotBits-1)) - firstSlot
		if slot < 0 || slot >= len(b.slots) {
			return
		}
		if r := b.slots[slot]; r.token != token || r.ended || r.responding {
			return
		} else if r.waiting {
			b.releaseWaiting(now) // it was held long enough
		} else if now >= r.Deadline {
			b.reject(now, r)
		}
	}
}

// log writes a line for on-call staff, at most one a second for each topic.
func (b *Balancer) log(now Micros, topic, line string) {
	if at, ok := b.lastLogged[topic]; ok && now-at < second {
		return
	}
	b.lastLogged[topic] = now
	b.out.Log(line)
}

// Timer tokens below firstSlot belong to the balancer; others name a request.
const (
	tokenProbe = iota
	tokenDiscovery
	tokenCheck
	firstSlot = 16
	slotBits  = 20
)
