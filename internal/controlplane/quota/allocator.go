package quota

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"birchmoor/internal/store"

	"github.com/cespare/xxhash/v2"
)

// Allocator divides limits among processes by a copy of the store. It is for one goroutine at a time. Whoever runs it makes what Divide
// returns one transaction; one that did not hold, or whose outcome is not known, was on a copy that is old by now, and harms nothing.
type Allocator struct {
	rules        Rules
	defect       Defect
	config       *Config
	revision     uint64 // revision of the last division
	processes    map[Process]*processState
	decodeErrors map[string]string // what could not be read, by key

	firstRevision uint64 // NotTakenOver: the revision that it began after
	started       bool
	changedAt     map[Process]int64 // when shares were last changed
	settledAt     int64             // when small differences were last made up
	settling      bool              // they are, in this division
	dirty         bool              // something has changed since the last division
	allocatedAt   int64
}

// processState is what the copy shows of one.
type processState struct {
	demand        Demand
	alive         bool // it tells of itself
	reportedAt    int64
	grant         Grant
	grantRevision uint64 // the grant's revision; 0: there is none
	goneSince     int64  // since when it does not tell, by this clock; 0: not known yet
}

const (
	maxOpsPerAllocation = 100          // grants of one division
	minChangeInterval   = int64(150e6) // nanoseconds between two changes of one process's shares, and no less than between two of its words
	ageWriteInterval    = int64(1e9)   // between two notes of how long a share has outlived its process
	settleInterval      = int64(2e9)   // after which small differences are made up
	idleInterval        = int64(1e9)   // where nothing has changed
	rotationInterval    = int64(2e9)   // for which those keep a share who take turns
	minRelativeChange   = 0.1          // part of a share by which it may differ from what it should be
)

// NewAllocator returns one that knows nothing yet.
func NewAllocator(r Rules, p Defect) *Allocator {
	return &Allocator{rules: r, defect: p, config: &Config{}, processes: map[Process]*processState{}, decodeErrors: map[string]string{}, changedAt: map[Process]int64{}}
}

// SetConfig takes the limits in force.
func (d *Allocator) SetConfig(c *Config) { d.config, d.dirty = c, true }

// Event takes a change that the copy shows.
func (d *Allocator) Event(now int64, e store.Event) {
	d.dirty = true
	switch key := e.Item.Key; {
	case key == AllocationKey:
		d.revision = e.Revision
	case strings.HasPrefix(key, DemandPrefix):
		d.applyItem(now, strings.TrimPrefix(key, DemandPrefix), e.Item, e.Deleted, true)
	case strings.HasPrefix(key, GrantPrefix):
		d.applyItem(now, strings.TrimPrefix(key, GrantPrefix), e.Item, e.Deleted, false)
	}
}

// Reset takes a whole copy.
func (d *Allocator) Reset(now int64, s *store.State) {
	was := d.processes
	d.dirty = true
	d.processes, d.revision = map[Process]*processState{}, 0
	clear(d.decodeErrors)
	if i, ok := s.Get(AllocationKey); ok {
		d.revision = i.ModRevision
	}
	for _, prefix := range []string{DemandPrefix, GrantPrefix} {
		s.Range(prefix, store.PrefixEnd(prefix), func(i store.Item) bool {
			d.applyItem(now, strings.TrimPrefix(i.Key, prefix), i, false, prefix == DemandPrefix)
			return true
		})
	}
	for p, x := range d.processes {
		if o := was[p]; o != nil && !x.alive && o.goneSince != 0 && o.grantRevision == x.grantRevision {
			x.goneSince = o.goneSince
		}
	}
}

func (d *Allocator) applyItem(now int64, rest string, i store.Item, deleted, need bool) {
	p, ok := parseProcess(rest)
	if !ok {
		return
	}
	x := d.processes[p]
	if x == nil {
		x = &processState{}
		d.processes[p] = x
	}
	delete(d.decodeErrors, i.Key)
	var err error
	switch {
	case need && deleted:
		x.alive, x.goneSince = false, now
	case need:
		x.alive, x.reportedAt, x.goneSince = true, now, 0
		var n Demand
		if n, err = DecodeDemand(i.Value); err == nil {
			x.demand = n
		} // else it counts as it did, and has seen nothing new
	case deleted:
		x.grant, x.grantRevision = Grant{}, 0
	default:
		var g Grant
		if g, err = DecodeGrant(i.Value); err == nil {
			x.grant = g
		}
		x.grantRevision = i.ModRevision
	}
	if err != nil {
		d.decodeErrors[i.Key] = err.Error()
	}
	if !x.alive && x.grantRevision == 0 {
		delete(d.processes, p)
		delete(d.changedAt, p)
	}
}

// Fault says why nothing is divided by this copy, or nothing.
func (d *Allocator) Fault() string {
	for _, key := range slices.Sorted(maps.Keys(d.decodeErrors)) {
		return key + ": " + d.decodeErrors[key]
	}
	return ""
}

// committed is what a share counts for: what its process may use by what it has told.
func (d *Allocator) committed(x *processState, key string) Amount {
	g := x.grant.Quotas[key]
	floor := Amount(0)
	if x.alive {
		floor = x.demand.Nodes[key].InUse
	}
	if x.alive && x.demand.SeenRevision >= x.grantRevision || d.defect == IgnoreUnacknowledged {
		return max(g.Amount, floor)
	}
	return max(g.Amount, g.Previous, floor)
}

// outlived is how long the shares of a process that is gone have outlived it, and for how long the longest counts.
func (d *Allocator) outlived(now int64, x *processState) (age, linger int64) {
	if x.goneSince == 0 {
		x.goneSince = now
	}
	for _, g := range x.grant.Quotas {
		linger = max(linger, g.Linger)
	}
	if d.defect == NoLinger {
		linger = 0
	}
	return x.grant.OutlivedNanos + now - x.goneSince, int64(float64(linger) * (1 + d.rules.MaxClockSkew))
}

// Allocation is what is to be written at once.
type Allocation struct {
	If   []store.Compare
	Then []store.Op
}

// Allocate returns what is to be changed now, or nil.
func (d *Allocator) Allocate(now int64) *Allocation {
	if !d.dirty && now-d.allocatedAt < idleInterval || len(d.decodeErrors) > 0 {
		return nil // what cannot be read, as of a newer build, may count for anything
	}
	d.dirty, d.allocatedAt, d.settling = false, now, now-d.settledAt >= settleInterval
	if !d.started {
		d.started, d.firstRevision = true, d.revision+1
	}
	next := map[Process]Grant{}
	var drop []Process
	all := slices.SortedFunc(maps.Keys(d.processes), func(a, b Process) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Session, b.Session)) })
	for _, p := range all {
		x := d.processes[p]
		if x.alive || x.grantRevision == 0 {
			continue
		}
		switch age, linger := d.outlived(now, x); {
		case age >= linger:
			drop = append(drop, p)
		case age-x.grant.OutlivedNanos >= max(ageWriteInterval, linger/20):
			g := x.grant
			g.OutlivedNanos = age
			next[p] = g
		}
	}
	dead := map[Process]bool{} // what goes in this division may be given in the next
	for _, p := range drop {
		dead[p] = true
	}
	for _, l := range d.config.Limits {
		d.allocateLimit(now, l, all, next)
	}
	if d.settling {
		d.settledAt = now
	}
	d.dropEmptyQuotas(all, next)
	if len(next) == 0 && len(drop) == 0 {
		return nil
	}
	v := &Allocation{If: []store.Compare{{Key: AllocationKey, ModRevision: d.revision}}, Then: []store.Op{{Key: AllocationKey, Value: []byte{1}}}}
	if d.defect == UncheckedRevision {
		v.If = nil
	}
	for _, p := range drop {
		if len(v.Then) < maxOpsPerAllocation {
			v.Then = append(v.Then, store.Op{Key: p.GrantKey(), Delete: true})
		}
	}
	changed := slices.SortedFunc(maps.Keys(next), func(a, b Process) int { // least lately changed first
		return cmp.Or(cmp.Compare(d.changedAt[a], d.changedAt[b]), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Session, b.Session))
	})
	for _, p := range changed {
		if dead[p] || len(v.Then) >= maxOpsPerAllocation {
			continue
		}
		v.Then = append(v.Then, store.Op{Key: p.GrantKey(), Value: Encode(next[p])})
		d.changedAt[p] = now
	}
	return v
}

// dropEmptyQuotas lets go entries of shares that count for nothing any more.
func (d *Allocator) dropEmptyQuotas(all []Process, next map[Process]Grant) {
	for _, p := range all {
		x := d.processes[p]
		if g, changed := next[p]; changed && x.alive {
			for key, v := range g.Quotas {
				if v.Amount == 0 && v.Previous == 0 {
					delete(g.Quotas, key)
				}
			}
		}
	}
}

// limitAllocation is one limit under way.
type limitAllocation struct {
	limit     *Limit
	processes []Process
	live      []int    // of all
	committed []Amount // by node, with its parts: what shares count for
	cells     [][]cell // by node, by live
	children  [][]int  // by node
	rotation  int64    // of those who have a share in turns
}

// cell is a process's share of a node.
type cell struct {
	committed, granted, wanted, inUse, target Amount
}

// allocateLimit finds what is to be changed of one limit. Shares that are too large are made smaller first; what is free by what has been
// seen is given.
func (d *Allocator) allocateLimit(now int64, l *Limit, all []Process, next map[Process]Grant) {
	v := &limitAllocation{limit: l, processes: all, committed: make([]Amount, len(l.Nodes)), cells: make([][]cell, len(l.Nodes)), children: make([][]int, len(l.Nodes))}
	keys := make([]string, len(l.Nodes))
	for n := range l.Nodes {
		keys[n] = l.Key(n)
		if n > 0 {
			v.children[l.Nodes[n].Parent] = append(v.children[l.Nodes[n].Parent], n)
		}
	}
	for i, p := range all {
		if d.processes[p].alive {
			v.live = append(v.live, i)
		}
	}
	if len(v.live) == 0 {
		return
	}
	blocked, any := false, false
	for _, p := range all {
		x := d.processes[p]
		if d.defect == IgnorePredecessor && x.grantRevision < d.firstRevision {
			continue
		}
		if d.defect == ForgetSilent && now-x.reportedAt > d.rules.ReportInterval*8 {
			continue
		}
		for key, g := range x.grant.Quotas {
			// What was granted while it meant something else is waited out.
			if limitNameOf(key) == l.Name && !strings.HasPrefix(key, keys[0]) && (g.Amount > 0 || g.Previous > 0) && !(x.alive && x.demand.ConfigVersion >= d.config.Version) {
				blocked = true
			}
		}
	}
	for n := range l.Nodes {
		v.cells[n] = make([]cell, len(v.live))
		for k, i := range v.live {
			x := d.processes[all[i]]
			c := &v.cells[n][k]
			w := x.demand.Nodes[keys[n]]
			c.committed, c.granted, c.wanted, c.inUse = d.committed(x, keys[n]), x.grant.Quotas[keys[n]].Amount, w.Wanted, w.InUse
			if x.demand.ConfigVersion < d.config.Version && c.granted == 0 {
				c.wanted = 0 // it does not know the limit yet
			}
			any = any || c.wanted > 0 || c.committed > 0
			if d.defect == IgnorePredecessor && x.grantRevision < d.firstRevision || d.defect == ForgetSilent && now-x.reportedAt > d.rules.ReportInterval*8 {
				c.committed = 0
			}
			v.committed[n] += c.committed
		}
		for _, p := range all {
			if x := d.processes[p]; !x.alive && !(d.defect == IgnorePredecessor && x.grantRevision < d.firstRevision) && d.defect != ForgetSilent {
				v.committed[n] += d.committed(x, keys[n])
			}
		}
	}
	for n := len(l.Nodes) - 1; n > 0; n-- {
		v.committed[l.Nodes[n].Parent] += v.committed[n]
	}
	if !any && len(l.Nodes) > 1 {
		return
	}
	v.rotation = now / rotationInterval
	short := v.distribute(d, 0, l.Nodes[0].Capacity-v.committedToGone(d, keys))
	v.writeGrants(d, now, keys, short, blocked, next)
}

// committedToGone is what is out with processes that are gone.
func (v *limitAllocation) committedToGone(d *Allocator, keys []string) (sum Amount) {
	for _, p := range v.processes {
		if x := d.processes[p]; !x.alive {
			for _, key := range keys {
				sum += d.committed(x, key)
			}
		}
	}
	return sum
}

// demand is what a node and its parts want and have in use, within their most.
func (v *limitAllocation) demand(d *Allocator, n int) (want, floor Amount) {
	for _, c := range v.cells[n] {
		want, floor = want+max(c.wanted, c.inUse), floor+c.inUse
	}
	for _, p := range v.children[n] {
		w, f := v.demand(d, p)
		want, floor = want+w, floor+f
	}
	if d.defect == IgnoreParts {
		return want, floor
	}
	return min(want, v.limit.Nodes[n].Capacity), floor
}

// distribute divides an amount among a node's own shares and its parts: what is in use, then what is promised, then by weight. It says
// whether somebody gets less than it wants.
func (v *limitAllocation) distribute(d *Allocator, n int, amount Amount) (short bool) {
	node := &v.limit.Nodes[n]
	if amount = max(0, amount); d.defect != IgnoreParts || n == 0 {
		amount = min(amount, node.Capacity)
	}
	parts := v.children[n]
	wants, floors, gets, weights := make([]Amount, len(parts)+1), make([]Amount, len(parts)+1), make([]Amount, len(parts)+1), make([]float64, len(parts)+1)
	weights[len(parts)] = 1
	for _, c := range v.cells[n] {
		wants[len(parts)], floors[len(parts)] = wants[len(parts)]+max(c.wanted, c.inUse), floors[len(parts)]+c.inUse
	}
	for i, p := range parts {
		wants[i], floors[i] = v.demand(d, p)
		weights[i] = v.limit.Nodes[p].Weight
	}
	give := func(i int, a Amount) {
		a = max(0, min(a, amount))
		gets[i] += a
		amount -= a
	}
	for i := range gets {
		give(i, floors[i])
	}
	for i, p := range parts {
		give(i, min(v.limit.Nodes[p].Guaranteed, wants[i])-gets[i])
	}
	rest := make([]Amount, len(gets))
	for i := range gets {
		rest[i] = max(0, wants[i]-gets[i])
	}
	for i, a := range maxMinFair(amount, rest, weights) {
		give(i, a)
		short = short || gets[i] < wants[i]-wants[i]/50
	}
	if !short && amount > 0 { // what nobody wants is lent where it may be wanted next
		for i, p := range parts {
			give(i, v.limit.Nodes[p].Guaranteed-gets[i])
		}
		give(len(parts), amount)
	}
	for i, p := range parts {
		short = v.distribute(d, p, gets[i]) || short
	}
	return v.distributeToProcesses(n, gets[len(parts)]) || short
}

// distributeToProcesses divides a node's own amount among processes.
func (v *limitAllocation) distributeToProcesses(n int, amount Amount) (short bool) {
	cells, useful := v.cells[n], v.limit.minUseful()
	if v.limit.Kind == Concurrency {
		amount = amount / AmountUnit * AmountUnit
	}
	wants := make([]Amount, len(cells))
	for i := range cells {
		c := &cells[i]
		c.target = min(c.inUse, amount)
		amount -= c.target
		wants[i] = max(0, c.wanted-c.target)
	}
	total := amount
	for i, a := range maxMinFair(amount, wants, nil) {
		if v.limit.Kind == Concurrency {
			a = a / AmountUnit * AmountUnit
		}
		cells[i].target += a
		amount -= a
		short = short || a < wants[i]-wants[i]/50
	}
	// A share by which no request ever gets through is of no use: as many as can have one take turns, by lot.
	thin := make([]int, 0, len(cells))
	for i := range cells {
		if c := &cells[i]; c.wanted > 0 && c.target < useful && c.inUse == 0 {
			amount += c.target
			c.target = 0
			thin = append(thin, i)
		}
	}
	lot := func(i int) uint64 { return xxhash.Sum64String(fmt.Sprint(v.processes[v.live[i]], v.rotation)) }
	slices.SortFunc(thin, func(a, b int) int { return cmp.Compare(lot(a), lot(b)) })
	for _, i := range thin {
		if amount < useful {
			break
		}
		cells[i].target = useful
		amount -= useful
	}
	// What is left is lent: most of it to those who want something, in proportion, for what comes unevenly; the rest in equal parts to
	// all, so that who wakes has something at once.
	if amount > 0 {
		lend, base := amount/4*3, total-amount
		for i := range cells {
			if c := &cells[i]; base > 0 && c.target > 0 {
				a := min(Amount(float64(lend)*float64(c.target)/float64(base)), amount)
				if v.limit.Kind == Concurrency {
					a = a / AmountUnit * AmountUnit
				}
				c.target += a
				amount -= a
			}
		}
		each := amount / Amount(len(cells))
		if v.limit.Kind == Concurrency {
			each = each / AmountUnit * AmountUnit
		}
		if each >= useful {
			for i := range cells {
				if c := &cells[i]; c.target < each {
					c.target = each
				}
			}
		}
	}
	return short
}

// writeGrants writes down what changes. Where nobody is short, shares that are too large stay: they are in nobody's way.
func (v *limitAllocation) writeGrants(d *Allocator, now int64, keys []string, short, blocked bool, next map[Process]Grant) {
	short = short || v.scarce(d)
	least := minRelativeChange
	if d.settling {
		least = minRelativeChange / 10
	}
	for _, smaller := range []bool{true, false} {
		for n := range v.limit.Nodes {
			for k, i := range v.live {
				c, p := &v.cells[n][k], v.processes[i]
				x := d.processes[p]
				to := c.target
				gap := to - c.granted
				if (gap < 0) != smaller || gap == 0 {
					continue
				}
				over := v.overcommitted(n)
				switch {
				case now-d.changedAt[p] < max(minChangeInterval, d.rules.reportInterval(len(v.live))) && d.changedAt[p] != 0:
					continue
				case smaller && !over && (!short || -gap < Amount(least*float64(c.granted)) && to > 0):
					continue
				case !smaller && gap < Amount(least*float64(c.granted)):
					continue
				}
				if !smaller {
					if blocked {
						continue
					}
					room := v.headroom(d, n)
					if gap = min(gap, c.committed+room-c.granted); gap <= 0 {
						continue
					}
					if v.limit.Kind == Concurrency {
						if gap = gap / AmountUnit * AmountUnit; gap == 0 {
							continue
						}
					}
					if c.granted+gap < v.limit.minUseful() {
						continue
					}
				}
				g, ok := next[p]
				if !ok {
					g = Grant{Quotas: maps.Clone(x.grant.Quotas)}
					if g.Quotas == nil {
						g.Quotas = map[string]Quota{}
					}
					for key, old := range g.Quotas { // all that it may still use counts on until it has seen this
						old.Previous = d.committed(x, key)
						if limitNameOf(key) != v.limit.Name && d.config.Find(limitNameOf(key)) == nil || d.isStale(key) {
							old.Amount = 0
							if x.demand.ConfigVersion >= d.config.Version {
								old.Previous = 0
							}
						}
						if old.Previous <= old.Amount {
							old.Previous = 0
						}
						g.Quotas[key] = old
					}
				}
				if useful := v.limit.minUseful(); d.defect == RoundUp {
					gap = (c.granted+gap+2*useful-1)/useful*useful - c.granted
				}
				given := Quota{Amount: c.granted + gap, Previous: c.committed, Linger: v.limit.linger()}
				if given.Previous <= given.Amount {
					given.Previous = 0
				}
				g.Quotas[keys[n]] = given
				next[p] = g
				if more := max(given.Amount, c.committed) - c.committed; more > 0 {
					for at := n; ; at = v.limit.Nodes[at].Parent {
						v.committed[at] += more
						if at == 0 {
							break
						}
					}
				}
			}
		}
	}
}

// scarce says whether what is free does not do for those who have less than they want, so that others are to give.
func (v *limitAllocation) scarce(d *Allocator) bool {
	wanted := make([]Amount, len(v.limit.Nodes))
	for n := len(v.limit.Nodes) - 1; n >= 0; n-- {
		for _, c := range v.cells[n] {
			if to := min(c.wanted, c.target); to > c.granted+c.granted/20 {
				wanted[n] += to - c.committed
			}
		}
		if wanted[n] > v.headroom(d, n) {
			return true
		}
		if n > 0 {
			wanted[v.limit.Nodes[n].Parent] += max(0, wanted[n])
		}
	}
	return false
}

// isStale says whether a key is of no share that there is.
func (d *Allocator) isStale(key string) bool {
	l := d.config.Find(limitNameOf(key))
	return l == nil || !strings.HasPrefix(key, l.Key(0))
}

// overcommitted says whether shares count for more than a node or what it is part of has.
func (v *limitAllocation) overcommitted(n int) bool {
	for at := n; ; at = v.limit.Nodes[at].Parent {
		if v.committed[at] > v.limit.Nodes[at].Capacity {
			return true
		}
		if at == 0 {
			return false
		}
	}
}

// headroom is what a node's shares may grow by, at all levels.
func (v *limitAllocation) headroom(d *Allocator, n int) Amount {
	room := v.limit.Nodes[0].Capacity - v.committed[0]
	for at := n; at > 0 && d.defect != IgnoreParts; at = v.limit.Nodes[at].Parent {
		room = min(room, v.limit.Nodes[at].Capacity-v.committed[at])
	}
	return max(0, room)
}
