package quota

import (
	"math"
	"time"
)

// Defect is a fault that is put in so that a test shows that it is found.
type Defect int

// The faults of a Holder and of a Divider.
const (
	NoDefect          Defect = iota
	StartFull                // a new session's shares begin full
	RefundTwice              // what never ran is given back twice
	KeepTokens               // a share made smaller keeps what it had saved
	AlignedWindow            // windows begin at multiples of their length
	UnlimitedFallback        // a process out of reach goes on for as long as it likes
	UseAfterExpiry           // shares are used after the session's end
	AcknowledgeEarly         // a smaller share is told as seen, and gone by only a while later

	IgnoreUnacknowledged // a share made smaller counts as small at once
	ForgetSilent         // a process that says nothing for a while counts as gone
	NoLinger             // what the gone may have begun does not count
	IgnoreParts          // the whole is looked at, and parts are not
	IgnorePredecessor    // who divides anew does not count what others gave
	RoundUp              // shares are rounded up
	UncheckedRevision    // divisions are not one on the last
)

// Rules are those of a fleet's processes.
type Rules struct {
	MaxClockSkew             float64 // as of lease.Rules
	ReportInterval           int64   // nanoseconds between two words of a process on what it wants, at least
	ReportIntervalPerProcess int64   // and for each process that there is: the fleet tells one in this time
}

// reportInterval is the time between two words of a process in a fleet of so many.
func (r Rules) reportInterval(processes int) int64 {
	return max(r.ReportInterval, r.ReportIntervalPerProcess*int64(processes))
}

// Consumer is one process's half: what it may let through. It is for one goroutine at a time; instants are of a clock that does not step,
// in nanoseconds.
type Consumer struct {
	rules            Rules
	defect           Defect
	config           *Config
	session          uint64 // 0: none
	validUntil       int64  // its entitlement's end; 0: there is none
	invalidSince     int64  // since when there is no entitlement; 0: there is one
	processCount     int    // processes that the store shows
	seenRevision     uint64 // revision of the grant it goes by
	limiters         map[string]*limiter
	limitersByNode   map[*Limit][]*limiter // the same by node, of the limits in force; nil for those not used yet
	fallbackLimiters map[string]*limiter   // those without the store

	lastReport   Demand
	lastReportAt int64
	reportDue    bool // it is to be told at once
}

// limiter is what is spent of one.
type limiter struct {
	limit           *Limit
	amount          Amount
	burst           float64  // of it that may be spent at once
	tokens          float64  // of Rate: what may be spent now
	refilledAt      int64    // when that was so
	used            Amount   // AtOnce: now; Window: in the slots
	slots           []Amount // of a Window
	newestSlot      int64    // the newest
	session         uint64   // of the session: tickets of another take nothing back
	fallback        bool     // it is of this process without the store, whatever its session
	wanted          Amount   // by what was asked of late: a second, or of AtOnce at a time
	requested       Amount   // since measured
	lastRequestAt   int64    // when something was last wanted
	peakInUse       Amount   // AtOnce: the most that was wanted at a time
	measuredAt      int64    // measured
	promised        float64  // promised to those who were told to come back
	promisedAt      int64
	admitted        uint64
	rejected        uint64
	averageDuration float64 // AtOnce: nanoseconds that one lasts, on average
}

const (
	slotsPerWindow       = 64 // of a window
	measureInterval      = int64(500 * time.Millisecond)
	demandAveragingNanos = 3e9  // nanoseconds over which what is wanted is averaged
	idleNanos            = 10e9 // nanoseconds without a request after which nothing is wanted
)

// NewConsumer returns one that knows of no limits.
func NewConsumer(r Rules, p Defect) *Consumer {
	return &Consumer{rules: r, defect: p, config: &Config{}, limiters: map[string]*limiter{}, limitersByNode: map[*Limit][]*limiter{}, fallbackLimiters: map[string]*limiter{}}
}

// SetConfig takes the limits in force. Shares of those that changed their meaning are gone.
func (h *Consumer) SetConfig(now int64, c *Config) {
	h.config = c
	keep := map[string]bool{}
	clear(h.limitersByNode)
	for _, l := range c.Limits {
		h.limitersByNode[l] = make([]*limiter, len(l.Nodes))
		for i := range l.Nodes {
			key := l.Key(i)
			keep[key] = true
			for _, m := range []map[string]*limiter{h.limiters, h.fallbackLimiters} {
				if s := m[key]; s != nil {
					s.limit = l
				}
			}
			h.limitersByNode[l][i] = h.limiters[key]
			if s := h.fallbackLimiters[key]; s != nil {
				s.setAmount(now, l.fallbackAmount(i), h.defect)
			}
		}
	}
	for key := range h.limiters {
		if !keep[key] {
			delete(h.limiters, key)
			delete(h.fallbackLimiters, key)
		}
	}
	h.reportDue = true
}

// fallbackAmount is the part of a node that a process has when it is out of the store's reach.
func (l *Limit) fallbackAmount(node int) Amount {
	if l.Fallback != Fair {
		return 0
	}
	of := Amount(float64(l.Nodes[node].Capacity) * l.FallbackFraction / float64(max(1, l.MinProcesses)))
	if l.Kind == Concurrency {
		of = of / AmountUnit * AmountUnit
	}
	return of
}

// SetSession says which session this process has, 0 for none, and until when it is entitled by it. With another session it begins with
// nothing: what the last one had counts elsewhere until nobody can use it.
func (h *Consumer) SetSession(now int64, id uint64, until int64) {
	if id != h.session {
		h.session, h.seenRevision, h.lastReport, h.reportDue = id, 0, Demand{}, true
		for _, s := range h.limiters {
			s.amount, s.burst, s.tokens, s.used, s.refilledAt = 0, 0, 0, 0, now
			clear(s.slots)
			s.session = id
		}
	}
	if h.validUntil = until; id == 0 {
		h.validUntil = 0
	}
}

// SetProcessCount says how many processes the store shows.
func (h *Consumer) SetProcessCount(n int) { h.processCount = n }

// sessionValid says whether shares may be used, and notes since when not.
func (h *Consumer) sessionValid(now int64) bool {
	if h.defect == UseAfterExpiry && h.session != 0 {
		return true
	}
	if h.session != 0 && now < h.validUntil {
		h.invalidSince = 0
		return true
	}
	if h.invalidSince == 0 {
		if h.invalidSince = h.validUntil; h.validUntil == 0 {
			h.invalidSince = now
		}
	}
	return false
}

// ApplyGrant takes the shares of this process's session as the store has them at a revision. Older ones are passed over.
func (h *Consumer) ApplyGrant(now int64, session, revision uint64, g Grant) {
	if session != h.session || session == 0 || revision < h.seenRevision {
		return
	}
	h.seenRevision = revision
	for key, s := range h.limiters {
		if to := g.Quotas[key].Amount; to != s.amount {
			h.reportDue = h.reportDue || to < s.amount
			if h.defect == AcknowledgeEarly && to < s.amount {
				continue
			}
			s.setAmount(now, to, h.defect)
		}
	}
	for key, x := range g.Quotas {
		if h.limiters[key] == nil {
			if l, node := h.findNode(key); l != nil {
				h.limiter(now, l, node).setAmount(now, x.Amount, h.defect)
			}
		}
	}
}

func (h *Consumer) findNode(key string) (*Limit, int) {
	l := h.config.Find(limitNameOf(key))
	if l == nil {
		return nil, 0
	}
	for i := range l.Nodes {
		if l.Key(i) == key {
			return l, i
		}
	}
	return nil, 0
}

// limiter is that of a node of a limit in force, nil if it is in force no more.
func (h *Consumer) limiter(now int64, l *Limit, node int) *limiter {
	all, ok := h.limitersByNode[l]
	if !ok {
		return nil
	}
	s := all[node]
	if s == nil {
		s = newLimiter(now, l)
		s.session = h.session
		h.limiters[l.Key(node)] = s
		all[node] = s
	}
	return s
}

func newLimiter(now int64, l *Limit) *limiter {
	s := &limiter{limit: l, refilledAt: now, measuredAt: now}
	if l.Kind == Window {
		s.slots = make([]Amount, slotsPerWindow)
	}
	return s
}

// setAmount changes what is granted. What a rate had saved beyond the new burst is gone.
func (s *limiter) setAmount(now int64, to Amount, p Defect) {
	s.refill(now)
	if s.amount == 0 && p == StartFull {
		s.tokens = float64(s.limit.burstOf(to))
	}
	s.amount, s.burst = to, float64(s.limit.burstOf(to))
	if p != KeepTokens {
		s.tokens = min(s.tokens, s.burst)
	}
}

// refill brings a share to an instant.
func (s *limiter) refill(now int64) {
	if now <= s.refilledAt {
		return
	}
	if s.limit.Kind == Rate {
		s.tokens = max(s.tokens, min(s.burst, s.tokens+float64(s.amount)*float64(now-s.refilledAt)/1e9))
	}
	s.refilledAt = now
}

// expireSlots lets slots of a window go that are wholly out of it. A slot counts until the window after its end, by the slowest clock.
func (s *limiter) expireSlots(now int64, skew float64, p Defect) {
	if s.limit.Kind != Window {
		return
	}
	length := float64(s.limit.Window) * (1 + skew)
	newest := int64(float64(now) / (length / (slotsPerWindow - 1)))
	if p == AlignedWindow {
		if newest = now / s.limit.Window * slotsPerWindow; newest != s.newestSlot {
			clear(s.slots)
			s.used = 0
		}
	}
	for s.newestSlot < newest {
		if newest-s.newestSlot > slotsPerWindow {
			clear(s.slots)
			s.used, s.newestSlot = 0, newest
			return
		}
		s.newestSlot++
		at := &s.slots[s.newestSlot%slotsPerWindow]
		s.used -= *at
		*at = 0
	}
}

// Reservation is what a request took.
type Reservation struct {
	session   uint64
	startedAt int64
	charged   []chargedLimiter
	inline    [4]chargedLimiter // of took, where that does
}

type chargedLimiter struct {
	limiter *limiter
	amount  Amount
	slot    int64
}

// Rejection says why a request is not let through, and when there will be room.
type Rejection struct {
	Limit            string
	Node             string
	RetryAfter       int64 // nanoseconds
	StoreUnreachable bool  // the store is out of reach
}

// Reserve lets a request through all its limits, or none: nothing is charged then.
func (h *Consumer) Reserve(now int64, charges []Charge, worth float64) (*Reservation, *Rejection) {
	if len(charges) == 0 {
		return nil, nil
	}
	entitled := h.sessionValid(now)
	t := &Reservation{session: h.session, startedAt: now}
	t.charged = t.inline[:0]
	for _, c := range charges {
		if s := h.limiter(now, c.Limit, c.Node); s != nil {
			s.recordRequest(now, c.Amount)
		}
	}
	for _, c := range charges {
		l := c.Limit
		s := h.limiter(now, l, c.Node)
		if s == nil {
			continue // the limits were changed meanwhile
		}
		if !entitled {
			over := l.FallbackTimeout > 0 && h.invalidSince != 0 && now-h.invalidSince > l.FallbackTimeout && h.defect != UnlimitedFallback
			if l.Fallback == Open && !over {
				continue
			}
			for at := c.Node; ; at = l.Nodes[at].Parent { // nobody else looks at the whole
				x := h.fallbackLimiter(now, l, at)
				if ok, after := x.available(now, c.Amount, 0, h); !ok || over || l.Fallback == Strict {
					s.recordRejection(c.Amount)
					if over || l.Fallback == Strict {
						after = h.reallocationDelay(s)
					}
					return nil, &Rejection{l.Name, l.Nodes[at].Path, after, true}
				}
				t.charged = append(t.charged, chargedLimiter{limiter: x, amount: c.Amount})
				if at == 0 {
					break
				}
			}
			continue
		}
		if ok, after := s.available(now, c.Amount, l.ReserveFraction*(1-worth), h); !ok {
			s.recordRejection(c.Amount)
			return nil, &Rejection{l.Name, l.Nodes[c.Node].Path, after, false}
		}
		t.charged = append(t.charged, chargedLimiter{limiter: s, amount: c.Amount})
	}
	for i := range t.charged {
		x := &t.charged[i]
		x.limiter.spend(x.amount)
		x.slot = x.limiter.newestSlot
	}
	for _, c := range charges {
		if s := h.limiter(now, c.Limit, c.Node); s != nil {
			s.admitted++
		}
	}
	return t, nil
}

// fallbackLimiter is the share of a node without the store.
func (h *Consumer) fallbackLimiter(now int64, l *Limit, node int) *limiter {
	key := l.Key(node)
	s := h.fallbackLimiters[key]
	if s == nil {
		s = newLimiter(now, l)
		s.fallback = true
		s.setAmount(now, l.fallbackAmount(node), NoDefect)
		h.fallbackLimiters[key] = s
	}
	return s
}

// recordRequest notes what is wanted.
func (s *limiter) recordRequest(now int64, a Amount) {
	if now-s.measuredAt >= measureInterval {
		s.measureDemand(now)
	}
	if s.limit.Kind == Concurrency {
		s.peakInUse = max(s.peakInUse, s.used+a)
	} else {
		s.requested += a
	}
}

// measureDemand measures what is wanted. An average over a while, but for what is more than chance would have it: that counts at once.
func (s *limiter) measureDemand(now int64) {
	dt := float64(now - s.measuredAt)
	if dt < float64(measureInterval)/2 {
		return
	}
	inst := float64(s.requested) / dt * 1e9
	expect := float64(s.wanted) * dt / 1e9
	switch over := float64(s.requested) - expect; {
	case s.limit.Kind == Concurrency:
		s.wanted -= Amount(float64(s.wanted) * (1 - math.Exp(-dt/demandAveragingNanos)))
		s.wanted = max(s.wanted, s.peakInUse)
	case over > 2*math.Sqrt(expect*float64(AmountUnit))+2*float64(AmountUnit):
		s.wanted = Amount(inst)
	case -over > 1.5*math.Sqrt(expect*float64(AmountUnit))+float64(AmountUnit)/2:
		s.wanted = (s.wanted + Amount(inst)) / 2
	default:
		s.wanted += Amount((inst - float64(s.wanted)) * (1 - math.Exp(-dt/demandAveragingNanos)))
	}
	if s.requested > 0 || s.peakInUse > 0 {
		s.lastRequestAt = now
	} else if quiet := float64(now - s.lastRequestAt); quiet > idleNanos {
		s.wanted = 0
	} else if s.limit.Kind != Concurrency { // whoever asks more often is heard in that time, six times of seven
		s.wanted = min(s.wanted, Amount(2*float64(AmountUnit)*1e9/max(1, quiet)))
	}
	s.requested, s.peakInUse, s.measuredAt = 0, s.used, now
}

// available says whether a share has room for an amount beside a part that is kept for what is worth more, and if not in how long.
func (s *limiter) available(now int64, a Amount, reserve float64, h *Consumer) (bool, int64) {
	s.refill(now)
	s.expireSlots(now, h.rules.MaxClockSkew, h.defect)
	kept := s.burst * reserve
	if float64(a)+kept > s.burst {
		kept = max(0, s.burst-float64(a))
	}
	switch s.limit.Kind {
	case Rate:
		if s.tokens >= float64(a)+kept {
			return true, 0
		}
		if s.amount <= 0 || float64(a) > s.burst {
			return false, h.reallocationDelay(s)
		}
		// Those who were told to come back before are to find their room.
		s.promised = max(0, s.promised-float64(s.amount)*float64(now-s.promisedAt)/1e9)
		s.promisedAt = now
		after := (float64(a) + kept - s.tokens + s.promised) / float64(s.amount) * 1e9
		s.promised = min(s.promised+float64(a), 60*float64(s.amount))
		return false, max(1e6, int64(after))
	case Window:
		if float64(s.used)+float64(a)+kept <= float64(s.amount) {
			return true, 0
		}
		if a > s.amount {
			return false, h.reallocationDelay(s)
		}
		return false, s.windowRetryAfter(now, a, h.rules.MaxClockSkew)
	}
	if float64(s.used)+float64(a)+kept <= float64(s.amount) {
		return true, 0
	}
	if s.amount < a || s.averageDuration == 0 {
		return false, h.reallocationDelay(s)
	}
	s.promised = max(0, s.promised-float64(s.amount)*float64(now-s.promisedAt)/s.averageDuration)
	s.promisedAt = now
	after := (float64(a) + s.promised) / float64(s.amount) * s.averageDuration
	s.promised = min(s.promised+float64(a), 60*float64(s.amount))
	return false, max(1e6, int64(after))
}

// windowRetryAfter is when the window will have room again: those who are refused one after the other are told one slot after the other.
func (s *limiter) windowRetryAfter(now int64, a Amount, skew float64) int64 {
	length := float64(s.limit.Window) * (1 + skew)
	slot := length / (slotsPerWindow - 1)
	s.promised = max(0, s.promised-float64(s.amount)*float64(now-s.promisedAt)/length)
	s.promisedAt = now
	need, left := float64(s.used)+float64(a)+s.promised-float64(s.amount), 0.0
	s.promised = min(s.promised+float64(a), float64(s.amount))
	for i := int64(1); i <= slotsPerWindow; i++ {
		if left += float64(s.slots[(s.newestSlot+i)%slotsPerWindow]); left >= need || i == slotsPerWindow {
			return max(1e6, int64(slot*float64(s.newestSlot+i)-float64(now)))
		}
	}
	return int64(length)
}

// reallocationDelay is how long it takes until a share that is too small may be larger: two words and two divisions. Those who wait are spread.
func (h *Consumer) reallocationDelay(s *limiter) int64 {
	of := 2 * h.rules.reportInterval(h.processCount)
	return of + of*int64(s.rejected%16)/16
}

// recordRejection counts one that finds no room. Of what is wanted at once nothing else tells how much more there would be.
func (s *limiter) recordRejection(a Amount) {
	s.rejected++
	if s.limit.Kind == Concurrency {
		s.requested += a
		s.peakInUse = max(s.peakInUse, s.used+s.requested)
	}
}

// spend takes an amount for which there is room.
func (s *limiter) spend(a Amount) {
	switch s.limit.Kind {
	case Rate:
		s.tokens -= float64(a)
	case Window:
		s.used += a
		s.slots[s.newestSlot%slotsPerWindow] += a
	default:
		s.used += a
	}
}

// Cancel gives back what a request took that never ran. A ticket is given back once, or is done.
func (h *Consumer) Cancel(now int64, t *Reservation) {
	if t == nil {
		return
	}
	for n := 0; n < 1 || n < 2 && h.defect == RefundTwice; n++ {
		for _, x := range t.charged {
			if s := x.limiter; s.session == t.session || s.fallback {
				s.refund(now, x, h)
			}
		}
	}
	t.charged = nil
}

func (s *limiter) refund(now int64, x chargedLimiter, h *Consumer) {
	switch s.limit.Kind {
	case Rate:
		s.refill(now)
		s.tokens = min(s.burst, s.tokens+float64(x.amount))
		if h.defect == RefundTwice {
			s.tokens += float64(x.amount)
		}
	case Window:
		s.expireSlots(now, h.rules.MaxClockSkew, h.defect)
		if s.newestSlot-x.slot < slotsPerWindow {
			at := &s.slots[x.slot%slotsPerWindow]
			*at -= x.amount
			s.used -= x.amount
		}
	default:
		s.used -= x.amount
	}
}

// Complete says that a request that may have run is over.
func (h *Consumer) Complete(now int64, t *Reservation) {
	if t == nil {
		return
	}
	for _, x := range t.charged {
		if s := x.limiter; s.limit.Kind == Concurrency && (s.session == t.session || s.fallback) {
			s.used -= x.amount
			if long := float64(now - t.startedAt); s.averageDuration == 0 {
				s.averageDuration = long
			} else {
				s.averageDuration += (long - s.averageDuration) / 16
			}
		}
	}
	t.charged = nil
}

// Demand is what is to be told now, and whether it is time; else when it will be.
func (h *Consumer) Demand(now int64) (n Demand, due bool, at int64) {
	if h.session == 0 {
		return Demand{}, false, 0
	}
	n = Demand{ConfigVersion: h.config.Version, SeenRevision: h.seenRevision, Nodes: map[string]NodeDemand{}}
	news := h.reportDue || h.lastReportAt == 0
	every := h.rules.reportInterval(h.processCount)
	for key, s := range h.limiters {
		s.measureDemand(now)
		s.expireSlots(now, h.rules.MaxClockSkew, h.defect)
		w := NodeDemand{Wanted: s.wanted, InUse: s.used, Admitted: s.admitted, Rejected: s.rejected}
		if s.limit.Kind == Window { // what it will use until its next word has its effect
			w.Wanted = s.used + Amount(float64(s.wanted)*float64(min(s.limit.Window, 4*every))/1e9)
		}
		if w.Wanted == 0 && w.InUse == 0 && s.amount == 0 && h.lastReport.Nodes[key] == (NodeDemand{}) {
			continue
		}
		was := h.lastReport.Nodes[key]
		gap := w.Wanted - was.Wanted
		if gap < 0 {
			gap = -gap
		}
		switch {
		case gap > max(s.limit.minUseful()/2, was.Wanted/5), w.Wanted == 0 && was.Wanted != 0:
			news = true
		case was.InUse > s.amount && w.InUse < was.InUse: // it was more than the share
			news = true
		}
		n.Nodes[key] = w
	}
	wait := every
	if h.reportDue {
		wait = min(every, int64(20*time.Millisecond))
	}
	if h.lastReportAt != 0 && now-h.lastReportAt < wait {
		return n, false, h.lastReportAt + wait
	}
	if !news {
		return n, false, now + every
	}
	return n, true, 0
}

// ReportSent notes that a word is on its way; Untold that it did not come through, as far as is known.
func (h *Consumer) ReportSent(now int64, n Demand) {
	h.lastReport, h.lastReportAt, h.reportDue = n, now, false
}

// ReportFailed is of Told.
func (h *Consumer) ReportFailed() { h.reportDue = true }

// ValidUntil is when the entitlement ends unless it is renewed; 0: there is none.
func (h *Consumer) ValidUntil() int64 { return h.validUntil }

// QuotaStatus is a share for people.
type QuotaStatus struct {
	Key      string
	Amount   Amount
	Used     Amount // of a rate: what may be spent now
	Wanted   Amount
	Admitted uint64
	Rejected uint64
}

// Quotas lists those of this process.
func (h *Consumer) Quotas(now int64) []QuotaStatus {
	var all []QuotaStatus
	for key, s := range h.limiters {
		s.refill(now)
		x := QuotaStatus{Key: key, Amount: s.amount, Used: s.used, Wanted: s.wanted, Admitted: s.admitted, Rejected: s.rejected}
		if s.limit.Kind == Rate {
			x.Used = Amount(s.tokens)
		}
		all = append(all, x)
	}
	return all
}
