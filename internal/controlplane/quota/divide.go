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
	rules  Rules
	plant  Defect
	conf   *Config
	turn   uint64 // revision of the last division
	procs  map[Process]*process
	faults map[string]string // what could not be read, by key

	wrote  uint64 // NotTakenOver: the revision that it began after
	began  bool
	moved  map[Process]int64 // when shares were last changed
	last   int64             // when small differences were last made up
	settle bool              // they are, in this division
	fresh  bool              // something has changed since the last division
	looked int64
}

// process is what the copy shows of one.
type process struct {
	need  Demand
	here  bool // it tells of itself
	told  int64
	grant Grant
	at    uint64 // the grant's revision; 0: there is none
	gone  int64  // since when it does not tell, by this clock; 0: not known yet
}

const (
	opsMost     = 100          // grants of one division
	changeLeast = int64(150e6) // nanoseconds between two changes of one process's shares, and no less than between two of its words
	ageEvery    = int64(1e9)   // between two notes of how long a share has outlived its process
	settleFor   = int64(2e9)   // after which small differences are made up
	lookEvery   = int64(1e9)   // where nothing has changed
	turnsOf     = int64(2e9)   // for which those keep a share who take turns
	small       = 0.1          // part of a share by which it may differ from what it should be
)

// NewAllocator returns one that knows nothing yet.
func NewAllocator(r Rules, p Defect) *Allocator {
	return &Allocator{rules: r, plant: p, conf: &Config{}, procs: map[Process]*process{}, faults: map[string]string{}, moved: map[Process]int64{}}
}

// SetConfig takes the limits in force.
func (d *Allocator) SetConfig(c *Config) { d.conf, d.fresh = c, true }

// Event takes a change that the copy shows.
func (d *Allocator) Event(now int64, e store.Event) {
	d.fresh = true
	switch key := e.Item.Key; {
	case key == AllocationKey:
		d.turn = e.Revision
	case strings.HasPrefix(key, DemandPrefix):
		d.take(now, strings.TrimPrefix(key, DemandPrefix), e.Item, e.Deleted, true)
	case strings.HasPrefix(key, GrantPrefix):
		d.take(now, strings.TrimPrefix(key, GrantPrefix), e.Item, e.Deleted, false)
	}
}

// Reset takes a whole copy.
func (d *Allocator) Reset(now int64, s *store.State) {
	was := d.procs
	d.fresh = true
	d.procs, d.turn = map[Process]*process{}, 0
	clear(d.faults)
	if i, ok := s.Get(AllocationKey); ok {
		d.turn = i.Modified
	}
	for _, prefix := range []string{DemandPrefix, GrantPrefix} {
		s.Range(prefix, store.PrefixEnd(prefix), func(i store.Item) bool {
			d.take(now, strings.TrimPrefix(i.Key, prefix), i, false, prefix == DemandPrefix)
			return true
		})
	}
	for p, x := range d.procs {
		if o := was[p]; o != nil && !x.here && o.gone != 0 && o.at == x.at {
			x.gone = o.gone
		}
	}
}

func (d *Allocator) take(now int64, rest string, i store.Item, deleted, need bool) {
	p, ok := processOf(rest)
	if !ok {
		return
	}
	x := d.procs[p]
	if x == nil {
		x = &process{}
		d.procs[p] = x
	}
	delete(d.faults, i.Key)
	var err error
	switch {
	case need && deleted:
		x.here, x.gone = false, now
	case need:
		x.here, x.told, x.gone = true, now, 0
		var n Demand
		if n, err = DecodeDemand(i.Value); err == nil {
			x.need = n
		} // else it counts as it did, and has seen nothing new
	case deleted:
		x.grant, x.at = Grant{}, 0
	default:
		var g Grant
		if g, err = DecodeGrant(i.Value); err == nil {
			x.grant = g
		}
		x.at = i.Modified
	}
	if err != nil {
		d.faults[i.Key] = err.Error()
	}
	if !x.here && x.at == 0 {
		delete(d.procs, p)
		delete(d.moved, p)
	}
}

// Fault says why nothing is divided by this copy, or nothing.
func (d *Allocator) Fault() string {
	for _, key := range slices.Sorted(maps.Keys(d.faults)) {
		return key + ": " + d.faults[key]
	}
	return ""
}

// counts is what a share counts for: what its process may use by what it has told.
func (d *Allocator) counts(x *process, key string) Amount {
	g := x.grant.Of[key]
	floor := Amount(0)
	if x.here {
		floor = x.need.Of[key].Floor
	}
	if x.here && x.need.Seen >= x.at || d.plant == GivenUnseen {
		return max(g.Amount, floor)
	}
	return max(g.Amount, g.Was, floor)
}

// outlives is how long the shares of a process that is gone have outlived it, and for how long the longest counts.
func (d *Allocator) outlives(now int64, x *process) (age, linger int64) {
	if x.gone == 0 {
		x.gone = now
	}
	for _, g := range x.grant.Of {
		linger = max(linger, g.Linger)
	}
	if d.plant == NoLinger {
		linger = 0
	}
	return x.grant.Age + now - x.gone, int64(float64(linger) * (1 + d.rules.Skew))
}

// Allocation is what is to be written at once.
type Allocation struct {
	If   []store.Compare
	Then []store.Op
}

// Allocate returns what is to be changed now, or nil.
func (d *Allocator) Allocate(now int64) *Allocation {
	if !d.fresh && now-d.looked < lookEvery || len(d.faults) > 0 {
		return nil // what cannot be read, as of a newer build, may count for anything
	}
	d.fresh, d.looked, d.settle = false, now, now-d.last >= settleFor
	if !d.began {
		d.began, d.wrote = true, d.turn+1
	}
	next := map[Process]Grant{}
	var drop []Process
	all := slices.SortedFunc(maps.Keys(d.procs), func(a, b Process) int { return cmp.Or(cmp.Compare(a.Host, b.Host), cmp.Compare(a.Session, b.Session)) })
	for _, p := range all {
		x := d.procs[p]
		if x.here || x.at == 0 {
			continue
		}
		switch age, linger := d.outlives(now, x); {
		case age >= linger:
			drop = append(drop, p)
		case age-x.grant.Age >= max(ageEvery, linger/20):
			g := x.grant
			g.Age = age
			next[p] = g
		}
	}
	dead := map[Process]bool{} // what goes in this division may be given in the next
	for _, p := range drop {
		dead[p] = true
	}
	for _, l := range d.conf.Limits {
		d.divide(now, l, all, next)
	}
	if d.settle {
		d.last = now
	}
	d.clear(all, next)
	if len(next) == 0 && len(drop) == 0 {
		return nil
	}
	v := &Allocation{If: []store.Compare{{Key: AllocationKey, Modified: d.turn}}, Then: []store.Op{{Key: AllocationKey, Value: []byte{1}}}}
	if d.plant == TurnUnchecked {
		v.If = nil
	}
	for _, p := range drop {
		if len(v.Then) < opsMost {
			v.Then = append(v.Then, store.Op{Key: p.GrantKey(), Delete: true})
		}
	}
	changed := slices.SortedFunc(maps.Keys(next), func(a, b Process) int { // least lately changed first
		return cmp.Or(cmp.Compare(d.moved[a], d.moved[b]), cmp.Compare(a.Host, b.Host), cmp.Compare(a.Session, b.Session))
	})
	for _, p := range changed {
		if dead[p] || len(v.Then) >= opsMost {
			continue
		}
		v.Then = append(v.Then, store.Op{Key: p.GrantKey(), Value: Encode(next[p])})
		d.moved[p] = now
	}
	return v
}

// clear lets go entries of shares that count for nothing any more.
func (d *Allocator) clear(all []Process, next map[Process]Grant) {
	for _, p := range all {
		x := d.procs[p]
		if g, changed := next[p]; changed && x.here {
			for key, v := range g.Of {
				if v.Amount == 0 && v.Was == 0 {
					delete(g.Of, key)
				}
			}
		}
	}
}

// division is one limit under way.
type division struct {
	l     *Limit
	all   []Process
	live  []int    // of all
	outs  []Amount // by node, with its parts: what shares count for
	cells [][]cell // by node, by live
	parts [][]int  // by node
	turn  int64    // of those who have a share in turns
}

// cell is a process's share of a node.
type cell struct {
	counts, has, want, floor, gets Amount
}

// divide finds what is to be changed of one limit. Shares that are too large are made smaller first; what is free by what has been
// seen is given.
func (d *Allocator) divide(now int64, l *Limit, all []Process, next map[Process]Grant) {
	v := &division{l: l, all: all, outs: make([]Amount, len(l.Nodes)), cells: make([][]cell, len(l.Nodes)), parts: make([][]int, len(l.Nodes))}
	keys := make([]string, len(l.Nodes))
	for n := range l.Nodes {
		keys[n] = l.Key(n)
		if n > 0 {
			v.parts[l.Nodes[n].Parent] = append(v.parts[l.Nodes[n].Parent], n)
		}
	}
	for i, p := range all {
		if d.procs[p].here {
			v.live = append(v.live, i)
		}
	}
	if len(v.live) == 0 {
		return
	}
	blocked, any := false, false
	for _, p := range all {
		x := d.procs[p]
		if d.plant == NotTakenOver && x.at < d.wrote {
			continue
		}
		if d.plant == GivenBefore && now-x.told > d.rules.Tell*8 {
			continue
		}
		for key, g := range x.grant.Of {
			// What was granted while it meant something else is waited out.
			if nameOf(key) == l.Name && !strings.HasPrefix(key, keys[0]) && (g.Amount > 0 || g.Was > 0) && !(x.here && x.need.Conf >= d.conf.Version) {
				blocked = true
			}
		}
	}
	for n := range l.Nodes {
		v.cells[n] = make([]cell, len(v.live))
		for k, i := range v.live {
			x := d.procs[all[i]]
			c := &v.cells[n][k]
			w := x.need.Of[keys[n]]
			c.counts, c.has, c.want, c.floor = d.counts(x, keys[n]), x.grant.Of[keys[n]].Amount, w.Want, w.Floor
			if x.need.Conf < d.conf.Version && c.has == 0 {
				c.want = 0 // it does not know the limit yet
			}
			any = any || c.want > 0 || c.counts > 0
			if d.plant == NotTakenOver && x.at < d.wrote || d.plant == GivenBefore && now-x.told > d.rules.Tell*8 {
				c.counts = 0
			}
			v.outs[n] += c.counts
		}
		for _, p := range all {
			if x := d.procs[p]; !x.here && !(d.plant == NotTakenOver && x.at < d.wrote) && d.plant != GivenBefore {
				v.outs[n] += d.counts(x, keys[n])
			}
		}
	}
	for n := len(l.Nodes) - 1; n > 0; n-- {
		v.outs[l.Nodes[n].Parent] += v.outs[n]
	}
	if !any && len(l.Nodes) > 1 {
		return
	}
	v.turn = now / turnsOf
	short := v.allot(d, 0, l.Nodes[0].Most-v.lost(d, keys))
	v.emit(d, now, keys, short, blocked, next)
}

// lost is what is out with processes that are gone.
func (v *division) lost(d *Allocator, keys []string) (sum Amount) {
	for _, p := range v.all {
		if x := d.procs[p]; !x.here {
			for _, key := range keys {
				sum += d.counts(x, key)
			}
		}
	}
	return sum
}

// demand is what a node and its parts want and have in use, within their most.
func (v *division) demand(d *Allocator, n int) (want, floor Amount) {
	for _, c := range v.cells[n] {
		want, floor = want+max(c.want, c.floor), floor+c.floor
	}
	for _, p := range v.parts[n] {
		w, f := v.demand(d, p)
		want, floor = want+w, floor+f
	}
	if d.plant == RootAlone {
		return want, floor
	}
	return min(want, v.l.Nodes[n].Most), floor
}

// allot divides an amount among a node's own shares and its parts: what is in use, then what is promised, then by weight. It says
// whether somebody gets less than it wants.
func (v *division) allot(d *Allocator, n int, amount Amount) (short bool) {
	node := &v.l.Nodes[n]
	if amount = max(0, amount); d.plant != RootAlone || n == 0 {
		amount = min(amount, node.Most)
	}
	parts := v.parts[n]
	wants, floors, gets, weights := make([]Amount, len(parts)+1), make([]Amount, len(parts)+1), make([]Amount, len(parts)+1), make([]float64, len(parts)+1)
	weights[len(parts)] = 1
	for _, c := range v.cells[n] {
		wants[len(parts)], floors[len(parts)] = wants[len(parts)]+max(c.want, c.floor), floors[len(parts)]+c.floor
	}
	for i, p := range parts {
		wants[i], floors[i] = v.demand(d, p)
		weights[i] = v.l.Nodes[p].Weight
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
		give(i, min(v.l.Nodes[p].Least, wants[i])-gets[i])
	}
	rest := make([]Amount, len(gets))
	for i := range gets {
		rest[i] = max(0, wants[i]-gets[i])
	}
	for i, a := range fill(amount, rest, weights) {
		give(i, a)
		short = short || gets[i] < wants[i]-wants[i]/50
	}
	if !short && amount > 0 { // what nobody wants is lent where it may be wanted next
		for i, p := range parts {
			give(i, v.l.Nodes[p].Least-gets[i])
		}
		give(len(parts), amount)
	}
	for i, p := range parts {
		short = v.allot(d, p, gets[i]) || short
	}
	return v.split(n, gets[len(parts)]) || short
}

// split divides a node's own amount among processes.
func (v *division) split(n int, amount Amount) (short bool) {
	cells, useful := v.cells[n], v.l.useful()
	if v.l.Kind == AtOnce {
		amount = amount / AmountUnit * AmountUnit
	}
	wants := make([]Amount, len(cells))
	for i := range cells {
		c := &cells[i]
		c.gets = min(c.floor, amount)
		amount -= c.gets
		wants[i] = max(0, c.want-c.gets)
	}
	total := amount
	for i, a := range fill(amount, wants, nil) {
		if v.l.Kind == AtOnce {
			a = a / AmountUnit * AmountUnit
		}
		cells[i].gets += a
		amount -= a
		short = short || a < wants[i]-wants[i]/50
	}
	// A share by which no request ever gets through is of no use: as many as can have one take turns, by lot.
	thin := make([]int, 0, len(cells))
	for i := range cells {
		if c := &cells[i]; c.want > 0 && c.gets < useful && c.floor == 0 {
			amount += c.gets
			c.gets = 0
			thin = append(thin, i)
		}
	}
	lot := func(i int) uint64 { return xxhash.Sum64String(fmt.Sprint(v.all[v.live[i]], v.turn)) }
	slices.SortFunc(thin, func(a, b int) int { return cmp.Compare(lot(a), lot(b)) })
	for _, i := range thin {
		if amount < useful {
			break
		}
		cells[i].gets = useful
		amount -= useful
	}
	// What is left is lent: most of it to those who want something, in proportion, for what comes unevenly; the rest in equal parts to
	// all, so that who wakes has something at once.
	if amount > 0 {
		lend, base := amount/4*3, total-amount
		for i := range cells {
			if c := &cells[i]; base > 0 && c.gets > 0 {
				a := min(Amount(float64(lend)*float64(c.gets)/float64(base)), amount)
				if v.l.Kind == AtOnce {
					a = a / AmountUnit * AmountUnit
				}
				c.gets += a
				amount -= a
			}
		}
		each := amount / Amount(len(cells))
		if v.l.Kind == AtOnce {
			each = each / AmountUnit * AmountUnit
		}
		if each >= useful {
			for i := range cells {
				if c := &cells[i]; c.gets < each {
					c.gets = each
				}
			}
		}
	}
	return short
}

// emit writes down what changes. Where nobody is short, shares that are too large stay: they are in nobody's way.
func (v *division) emit(d *Allocator, now int64, keys []string, short, blocked bool, next map[Process]Grant) {
	short = short || v.tight(d)
	least := small
	if d.settle {
		least = small / 10
	}
	for _, smaller := range []bool{true, false} {
		for n := range v.l.Nodes {
			for k, i := range v.live {
				c, p := &v.cells[n][k], v.all[i]
				x := d.procs[p]
				to := c.gets
				gap := to - c.has
				if (gap < 0) != smaller || gap == 0 {
					continue
				}
				over := v.over(n)
				switch {
				case now-d.moved[p] < max(changeLeast, d.rules.every(len(v.live))) && d.moved[p] != 0:
					continue
				case smaller && !over && (!short || -gap < Amount(least*float64(c.has)) && to > 0):
					continue
				case !smaller && gap < Amount(least*float64(c.has)):
					continue
				}
				if !smaller {
					if blocked {
						continue
					}
					room := v.room(d, n)
					if gap = min(gap, c.counts+room-c.has); gap <= 0 {
						continue
					}
					if v.l.Kind == AtOnce {
						if gap = gap / AmountUnit * AmountUnit; gap == 0 {
							continue
						}
					}
					if c.has+gap < v.l.useful() {
						continue
					}
				}
				g, ok := next[p]
				if !ok {
					g = Grant{Of: maps.Clone(x.grant.Of)}
					if g.Of == nil {
						g.Of = map[string]Quota{}
					}
					for key, old := range g.Of { // all that it may still use counts on until it has seen this
						old.Was = d.counts(x, key)
						if nameOf(key) != v.l.Name && d.conf.Find(nameOf(key)) == nil || d.stale(key) {
							old.Amount = 0
							if x.need.Conf >= d.conf.Version {
								old.Was = 0
							}
						}
						if old.Was <= old.Amount {
							old.Was = 0
						}
						g.Of[key] = old
					}
				}
				if useful := v.l.useful(); d.plant == RoundUp {
					gap = (c.has+gap+2*useful-1)/useful*useful - c.has
				}
				given := Quota{Amount: c.has + gap, Was: c.counts, Linger: v.l.linger()}
				if given.Was <= given.Amount {
					given.Was = 0
				}
				g.Of[keys[n]] = given
				next[p] = g
				if more := max(given.Amount, c.counts) - c.counts; more > 0 {
					for at := n; ; at = v.l.Nodes[at].Parent {
						v.outs[at] += more
						if at == 0 {
							break
						}
					}
				}
			}
		}
	}
}

// tight says whether what is free does not do for those who have less than they want, so that others are to give.
func (v *division) tight(d *Allocator) bool {
	wanted := make([]Amount, len(v.l.Nodes))
	for n := len(v.l.Nodes) - 1; n >= 0; n-- {
		for _, c := range v.cells[n] {
			if to := min(c.want, c.gets); to > c.has+c.has/20 {
				wanted[n] += to - c.counts
			}
		}
		if wanted[n] > v.room(d, n) {
			return true
		}
		if n > 0 {
			wanted[v.l.Nodes[n].Parent] += max(0, wanted[n])
		}
	}
	return false
}

// stale says whether a key is of no share that there is.
func (d *Allocator) stale(key string) bool {
	l := d.conf.Find(nameOf(key))
	return l == nil || !strings.HasPrefix(key, l.Key(0))
}

// over says whether shares count for more than a node or what it is part of has.
func (v *division) over(n int) bool {
	for at := n; ; at = v.l.Nodes[at].Parent {
		if v.outs[at] > v.l.Nodes[at].Most {
			return true
		}
		if at == 0 {
			return false
		}
	}
}

// room is what a node's shares may grow by, at all levels.
func (v *division) room(d *Allocator, n int) Amount {
	room := v.l.Nodes[0].Most - v.outs[0]
	for at := n; at > 0 && d.plant != RootAlone; at = v.l.Nodes[at].Parent {
		room = min(room, v.l.Nodes[at].Most-v.outs[at])
	}
	return max(0, room)
}
