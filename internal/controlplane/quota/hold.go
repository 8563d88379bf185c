package quota

import (
	"math"
	"time"
)

// Defect is a fault that is put in so that a test shows that it is found.
type Defect int

// The faults of a Holder and of a Divider.
const (
	NoDefect      Defect = iota
	FullAtStart          // a new session's shares begin full
	RefundTwice          // what never ran is given back twice
	KeepLevel            // a share made smaller keeps what it had saved
	AlignedWindow        // windows begin at multiples of their length
	NoEnd                // a process out of reach goes on for as long as it likes
	UseAfterEnd          // shares are used after the session's end
	EarlySeen            // a smaller share is told as seen, and gone by only a while later

	GivenUnseen   // a share made smaller counts as small at once
	GivenBefore   // a process that says nothing for a while counts as gone
	NoLinger      // what the gone may have begun does not count
	RootAlone     // the whole is looked at, and parts are not
	NotTakenOver  // who divides anew does not count what others gave
	RoundUp       // shares are rounded up
	TurnUnchecked // divisions are not one on the last
)

// Rules are those of a fleet's processes.
type Rules struct {
	Skew float64 // as of lease.Rules
	Tell int64   // nanoseconds between two words of a process on what it wants, at least
	Each int64   // and for each process that there is: the fleet tells one in this time
}

// every is the time between two words of a process in a fleet of so many.
func (r Rules) every(processes int) int64 { return max(r.Tell, r.Each*int64(processes)) }

// Consumer is one process's half: what it may let through. It is for one goroutine at a time; instants are of a clock that does not step,
// in nanoseconds.
type Consumer struct {
	rules   Rules
	plant   Defect
	conf    *Config
	session uint64 // 0: none
	until   int64  // its entitlement's end; 0: there is none
	lost    int64  // since when there is no entitlement; 0: there is one
	others  int    // processes that the store shows
	seen    uint64 // revision of the grant it goes by
	shares  map[string]*share
	by      map[*Limit][]*share // the same by node, of the limits in force; nil for those not used yet
	alone   map[string]*share   // those without the store

	told   Demand
	toldAt int64
	due    bool // it is to be told at once
}

// share is what is spent of one.
type share struct {
	l       *Limit
	amount  Amount
	cap     float64  // of it that may be spent at once
	level   float64  // of Rate: what may be spent now
	at      int64    // when that was so
	used    Amount   // AtOnce: now; Window: in the slots
	slots   []Amount // of a Window
	slot    int64    // the newest
	epoch   uint64   // of the session: tickets of another take nothing back
	own     bool     // it is of this process without the store, whatever its session
	want    Amount   // by what was asked of late: a second, or of AtOnce at a time
	asked   Amount   // since measured
	heard   int64    // when something was last wanted
	peak    Amount   // AtOnce: the most that was wanted at a time
	since   int64    // measured
	owed    float64  // promised to those who were told to come back
	owedAt  int64
	taken   uint64
	refused uint64
	long    float64 // AtOnce: nanoseconds that one lasts, on average
}

const (
	slotsOf  = 64 // of a window
	measure  = int64(500 * time.Millisecond)
	smooth   = 3e9  // nanoseconds over which what is wanted is averaged
	quietFor = 10e9 // nanoseconds without a request after which nothing is wanted
)

// NewConsumer returns one that knows of no limits.
func NewConsumer(r Rules, p Defect) *Consumer {
	return &Consumer{rules: r, plant: p, conf: &Config{}, shares: map[string]*share{}, by: map[*Limit][]*share{}, alone: map[string]*share{}}
}

// SetConfig takes the limits in force. Shares of those that changed their meaning are gone.
func (h *Consumer) SetConfig(now int64, c *Config) {
	h.conf = c
	keep := map[string]bool{}
	clear(h.by)
	for _, l := range c.Limits {
		h.by[l] = make([]*share, len(l.Nodes))
		for i := range l.Nodes {
			key := l.Key(i)
			keep[key] = true
			for _, m := range []map[string]*share{h.shares, h.alone} {
				if s := m[key]; s != nil {
					s.l = l
				}
			}
			h.by[l][i] = h.shares[key]
			if s := h.alone[key]; s != nil {
				s.set(now, l.without(i), h.plant)
			}
		}
	}
	for key := range h.shares {
		if !keep[key] {
			delete(h.shares, key)
			delete(h.alone, key)
		}
	}
	h.due = true
}

// without is the part of a node that a process has when it is out of the store's reach.
func (l *Limit) without(node int) Amount {
	if l.Without != Fair {
		return 0
	}
	of := Amount(float64(l.Nodes[node].Most) * l.Part / float64(max(1, l.Hosts)))
	if l.Kind == AtOnce {
		of = of / AmountUnit * AmountUnit
	}
	return of
}

// Session says which session this process has, 0 for none, and until when it is entitled by it. With another session it begins with
// nothing: what the last one had counts elsewhere until nobody can use it.
func (h *Consumer) Session(now int64, id uint64, until int64) {
	if id != h.session {
		h.session, h.seen, h.told, h.due = id, 0, Demand{}, true
		for _, s := range h.shares {
			s.amount, s.cap, s.level, s.used, s.at = 0, 0, 0, 0, now
			clear(s.slots)
			s.epoch = id
		}
	}
	if h.until = until; id == 0 {
		h.until = 0
	}
}

// SetProcessCount says how many processes the store shows.
func (h *Consumer) SetProcessCount(n int) { h.others = n }

// entitled says whether shares may be used, and notes since when not.
func (h *Consumer) entitled(now int64) bool {
	if h.plant == UseAfterEnd && h.session != 0 {
		return true
	}
	if h.session != 0 && now < h.until {
		h.lost = 0
		return true
	}
	if h.lost == 0 {
		if h.lost = h.until; h.until == 0 {
			h.lost = now
		}
	}
	return false
}

// Granted takes the shares of this process's session as the store has them at a revision. Older ones are passed over.
func (h *Consumer) Granted(now int64, session, revision uint64, g Grant) {
	if session != h.session || session == 0 || revision < h.seen {
		return
	}
	h.seen = revision
	for key, s := range h.shares {
		if to := g.Of[key].Amount; to != s.amount {
			h.due = h.due || to < s.amount
			if h.plant == EarlySeen && to < s.amount {
				continue
			}
			s.set(now, to, h.plant)
		}
	}
	for key, x := range g.Of {
		if h.shares[key] == nil {
			if l, node := h.find(key); l != nil {
				h.share(now, l, node).set(now, x.Amount, h.plant)
			}
		}
	}
}

func (h *Consumer) find(key string) (*Limit, int) {
	l := h.conf.Find(nameOf(key))
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

// share is that of a node of a limit in force, nil if it is in force no more.
func (h *Consumer) share(now int64, l *Limit, node int) *share {
	all, ok := h.by[l]
	if !ok {
		return nil
	}
	s := all[node]
	if s == nil {
		s = newShare(now, l)
		s.epoch = h.session
		h.shares[l.Key(node)] = s
		all[node] = s
	}
	return s
}

func newShare(now int64, l *Limit) *share {
	s := &share{l: l, at: now, since: now}
	if l.Kind == Window {
		s.slots = make([]Amount, slotsOf)
	}
	return s
}

// set changes what is granted. What a rate had saved beyond the new burst is gone.
func (s *share) set(now int64, to Amount, p Defect) {
	s.fill(now)
	if s.amount == 0 && p == FullAtStart {
		s.level = float64(s.l.capOf(to))
	}
	s.amount, s.cap = to, float64(s.l.capOf(to))
	if p != KeepLevel {
		s.level = min(s.level, s.cap)
	}
}

// fill brings a share to an instant.
func (s *share) fill(now int64) {
	if now <= s.at {
		return
	}
	if s.l.Kind == Rate {
		s.level = max(s.level, min(s.cap, s.level+float64(s.amount)*float64(now-s.at)/1e9))
	}
	s.at = now
}

// roll lets slots of a window go that are wholly out of it. A slot counts until the window after its end, by the slowest clock.
func (s *share) roll(now int64, skew float64, p Defect) {
	if s.l.Kind != Window {
		return
	}
	length := float64(s.l.Span) * (1 + skew)
	newest := int64(float64(now) / (length / (slotsOf - 1)))
	if p == AlignedWindow {
		if newest = now / s.l.Span * slotsOf; newest != s.slot {
			clear(s.slots)
			s.used = 0
		}
	}
	for s.slot < newest {
		if newest-s.slot > slotsOf {
			clear(s.slots)
			s.used, s.slot = 0, newest
			return
		}
		s.slot++
		at := &s.slots[s.slot%slotsOf]
		s.used -= *at
		*at = 0
	}
}

// Reservation is what a request took.
type Reservation struct {
	epoch uint64
	begun int64
	took  []taken
	few   [4]taken // of took, where that does
}

type taken struct {
	s      *share
	amount Amount
	slot   int64
}

// Rejection says why a request is not let through, and when there will be room.
type Rejection struct {
	Limit string
	Node  string
	After int64 // nanoseconds
	Alone bool  // the store is out of reach
}

// Reserve lets a request through all its limits, or none: nothing is charged then.
func (h *Consumer) Reserve(now int64, charges []Charge, worth float64) (*Reservation, *Rejection) {
	if len(charges) == 0 {
		return nil, nil
	}
	entitled := h.entitled(now)
	t := &Reservation{epoch: h.session, begun: now}
	t.took = t.few[:0]
	for _, c := range charges {
		if s := h.share(now, c.Limit, c.Node); s != nil {
			s.ask(now, c.Amount)
		}
	}
	for _, c := range charges {
		l := c.Limit
		s := h.share(now, l, c.Node)
		if s == nil {
			continue // the limits were changed meanwhile
		}
		if !entitled {
			over := l.For > 0 && h.lost != 0 && now-h.lost > l.For && h.plant != NoEnd
			if l.Without == Open && !over {
				continue
			}
			for at := c.Node; ; at = l.Nodes[at].Parent { // nobody else looks at the whole
				x := h.aside(now, l, at)
				if ok, after := x.can(now, c.Amount, 0, h); !ok || over || l.Without == Strict {
					s.refuse(c.Amount)
					if over || l.Without == Strict {
						after = h.comes(s)
					}
					return nil, &Rejection{l.Name, l.Nodes[at].Path, after, true}
				}
				t.took = append(t.took, taken{s: x, amount: c.Amount})
				if at == 0 {
					break
				}
			}
			continue
		}
		if ok, after := s.can(now, c.Amount, l.Reserve*(1-worth), h); !ok {
			s.refuse(c.Amount)
			return nil, &Rejection{l.Name, l.Nodes[c.Node].Path, after, false}
		}
		t.took = append(t.took, taken{s: s, amount: c.Amount})
	}
	for i := range t.took {
		x := &t.took[i]
		x.s.spend(x.amount)
		x.slot = x.s.slot
	}
	for _, c := range charges {
		if s := h.share(now, c.Limit, c.Node); s != nil {
			s.taken++
		}
	}
	return t, nil
}

// aside is the share of a node without the store.
func (h *Consumer) aside(now int64, l *Limit, node int) *share {
	key := l.Key(node)
	s := h.alone[key]
	if s == nil {
		s = newShare(now, l)
		s.own = true
		s.set(now, l.without(node), NoDefect)
		h.alone[key] = s
	}
	return s
}

// ask notes what is wanted.
func (s *share) ask(now int64, a Amount) {
	if now-s.since >= measure {
		s.note(now)
	}
	if s.l.Kind == AtOnce {
		s.peak = max(s.peak, s.used+a)
	} else {
		s.asked += a
	}
}

// note measures what is wanted. An average over a while, but for what is more than chance would have it: that counts at once.
func (s *share) note(now int64) {
	dt := float64(now - s.since)
	if dt < float64(measure)/2 {
		return
	}
	inst := float64(s.asked) / dt * 1e9
	expect := float64(s.want) * dt / 1e9
	switch over := float64(s.asked) - expect; {
	case s.l.Kind == AtOnce:
		s.want -= Amount(float64(s.want) * (1 - math.Exp(-dt/smooth)))
		s.want = max(s.want, s.peak)
	case over > 2*math.Sqrt(expect*float64(AmountUnit))+2*float64(AmountUnit):
		s.want = Amount(inst)
	case -over > 1.5*math.Sqrt(expect*float64(AmountUnit))+float64(AmountUnit)/2:
		s.want = (s.want + Amount(inst)) / 2
	default:
		s.want += Amount((inst - float64(s.want)) * (1 - math.Exp(-dt/smooth)))
	}
	if s.asked > 0 || s.peak > 0 {
		s.heard = now
	} else if quiet := float64(now - s.heard); quiet > quietFor {
		s.want = 0
	} else if s.l.Kind != AtOnce { // whoever asks more often is heard in that time, six times of seven
		s.want = min(s.want, Amount(2*float64(AmountUnit)*1e9/max(1, quiet)))
	}
	s.asked, s.peak, s.since = 0, s.used, now
}

// can says whether a share has room for an amount beside a part that is kept for what is worth more, and if not in how long.
func (s *share) can(now int64, a Amount, reserve float64, h *Consumer) (bool, int64) {
	s.fill(now)
	s.roll(now, h.rules.Skew, h.plant)
	kept := s.cap * reserve
	if float64(a)+kept > s.cap {
		kept = max(0, s.cap-float64(a))
	}
	switch s.l.Kind {
	case Rate:
		if s.level >= float64(a)+kept {
			return true, 0
		}
		if s.amount <= 0 || float64(a) > s.cap {
			return false, h.comes(s)
		}
		// Those who were told to come back before are to find their room.
		s.owed = max(0, s.owed-float64(s.amount)*float64(now-s.owedAt)/1e9)
		s.owedAt = now
		after := (float64(a) + kept - s.level + s.owed) / float64(s.amount) * 1e9
		s.owed = min(s.owed+float64(a), 60*float64(s.amount))
		return false, max(1e6, int64(after))
	case Window:
		if float64(s.used)+float64(a)+kept <= float64(s.amount) {
			return true, 0
		}
		if a > s.amount {
			return false, h.comes(s)
		}
		return false, s.frees(now, a, h.rules.Skew)
	}
	if float64(s.used)+float64(a)+kept <= float64(s.amount) {
		return true, 0
	}
	if s.amount < a || s.long == 0 {
		return false, h.comes(s)
	}
	s.owed = max(0, s.owed-float64(s.amount)*float64(now-s.owedAt)/s.long)
	s.owedAt = now
	after := (float64(a) + s.owed) / float64(s.amount) * s.long
	s.owed = min(s.owed+float64(a), 60*float64(s.amount))
	return false, max(1e6, int64(after))
}

// frees is when the window will have room again: those who are refused one after the other are told one slot after the other.
func (s *share) frees(now int64, a Amount, skew float64) int64 {
	length := float64(s.l.Span) * (1 + skew)
	slot := length / (slotsOf - 1)
	s.owed = max(0, s.owed-float64(s.amount)*float64(now-s.owedAt)/length)
	s.owedAt = now
	need, left := float64(s.used)+float64(a)+s.owed-float64(s.amount), 0.0
	s.owed = min(s.owed+float64(a), float64(s.amount))
	for i := int64(1); i <= slotsOf; i++ {
		if left += float64(s.slots[(s.slot+i)%slotsOf]); left >= need || i == slotsOf {
			return max(1e6, int64(slot*float64(s.slot+i)-float64(now)))
		}
	}
	return int64(length)
}

// comes is how long it takes until a share that is too small may be larger: two words and two divisions. Those who wait are spread.
func (h *Consumer) comes(s *share) int64 {
	of := 2 * h.rules.every(h.others)
	return of + of*int64(s.refused%16)/16
}

// refuse counts one that finds no room. Of what is wanted at once nothing else tells how much more there would be.
func (s *share) refuse(a Amount) {
	s.refused++
	if s.l.Kind == AtOnce {
		s.asked += a
		s.peak = max(s.peak, s.used+s.asked)
	}
}

// spend takes an amount for which there is room.
func (s *share) spend(a Amount) {
	switch s.l.Kind {
	case Rate:
		s.level -= float64(a)
	case Window:
		s.used += a
		s.slots[s.slot%slotsOf] += a
	default:
		s.used += a
	}
}

// Cancel gives back what a request took that never ran. A ticket is given back once, or is done.
func (h *Consumer) Cancel(now int64, t *Reservation) {
	if t == nil {
		return
	}
	for n := 0; n < 1 || n < 2 && h.plant == RefundTwice; n++ {
		for _, x := range t.took {
			if s := x.s; s.epoch == t.epoch || s.own {
				s.back(now, x, h)
			}
		}
	}
	t.took = nil
}

func (s *share) back(now int64, x taken, h *Consumer) {
	switch s.l.Kind {
	case Rate:
		s.fill(now)
		s.level = min(s.cap, s.level+float64(x.amount))
		if h.plant == RefundTwice {
			s.level += float64(x.amount)
		}
	case Window:
		s.roll(now, h.rules.Skew, h.plant)
		if s.slot-x.slot < slotsOf {
			at := &s.slots[x.slot%slotsOf]
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
	for _, x := range t.took {
		if s := x.s; s.l.Kind == AtOnce && (s.epoch == t.epoch || s.own) {
			s.used -= x.amount
			if long := float64(now - t.begun); s.long == 0 {
				s.long = long
			} else {
				s.long += (long - s.long) / 16
			}
		}
	}
	t.took = nil
}

// Demand is what is to be told now, and whether it is time; else when it will be.
func (h *Consumer) Demand(now int64) (n Demand, due bool, at int64) {
	if h.session == 0 {
		return Demand{}, false, 0
	}
	n = Demand{Conf: h.conf.Version, Seen: h.seen, Of: map[string]Wants{}}
	news := h.due || h.toldAt == 0
	every := h.rules.every(h.others)
	for key, s := range h.shares {
		s.note(now)
		s.roll(now, h.rules.Skew, h.plant)
		w := Wants{Want: s.want, Floor: s.used, Taken: s.taken, Refused: s.refused}
		if s.l.Kind == Window { // what it will use until its next word has its effect
			w.Want = s.used + Amount(float64(s.want)*float64(min(s.l.Span, 4*every))/1e9)
		}
		if w.Want == 0 && w.Floor == 0 && s.amount == 0 && h.told.Of[key] == (Wants{}) {
			continue
		}
		was := h.told.Of[key]
		gap := w.Want - was.Want
		if gap < 0 {
			gap = -gap
		}
		switch {
		case gap > max(s.l.useful()/2, was.Want/5), w.Want == 0 && was.Want != 0:
			news = true
		case was.Floor > s.amount && w.Floor < was.Floor: // it was more than the share
			news = true
		}
		n.Of[key] = w
	}
	wait := every
	if h.due {
		wait = min(every, int64(20*time.Millisecond))
	}
	if h.toldAt != 0 && now-h.toldAt < wait {
		return n, false, h.toldAt + wait
	}
	if !news {
		return n, false, now + every
	}
	return n, true, 0
}

// ReportSent notes that a word is on its way; Untold that it did not come through, as far as is known.
func (h *Consumer) ReportSent(now int64, n Demand) {
	h.told, h.toldAt, h.due = n, now, false
}

// ReportFailed is of Told.
func (h *Consumer) ReportFailed() { h.due = true }

// ValidUntil is when the entitlement ends unless it is renewed; 0: there is none.
func (h *Consumer) ValidUntil() int64 { return h.until }

// QuotaStatus is a share for people.
type QuotaStatus struct {
	Key     string
	Amount  Amount
	Used    Amount // of a rate: what may be spent now
	Want    Amount
	Taken   uint64
	Refused uint64
}

// Quotas lists those of this process.
func (h *Consumer) Quotas(now int64) []QuotaStatus {
	var all []QuotaStatus
	for key, s := range h.shares {
		s.fill(now)
		x := QuotaStatus{Key: key, Amount: s.amount, Used: s.used, Want: s.want, Taken: s.taken, Refused: s.refused}
		if s.l.Kind == Rate {
			x.Used = Amount(s.level)
		}
		all = append(all, x)
	}
	return all
}
