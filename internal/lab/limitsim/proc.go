package limitsim

import (
	"errors"
	"fmt"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/store"
)

// proc is one sidecar's process, with its daemon.
type proc struct {
	w       *world
	number  int
	name    string
	pace    float64
	origin  int64
	boot    int
	stopped int64
	mute    int64 // until when what it sends is lost
	deaf    int64 // until when what it is sent is lost
	session *lease.Session
	table   *lease.Table
	holder  *quota.Consumer
	divider *quota.Allocator
	seen    uint64 // revision of its copy
	seq     uint64
	telling bool
	place   string // in the divider's queue
	placeOf uint64
	putAt   int64
	divides bool
	busy    bool // a division is under way
}

const (
	divideTask = "limits"
	replicas   = 3
)

// processes is how many the store shows.
func (w *world) processes() int {
	if at := w.state.Revision(); w.countedAt != at {
		w.countedAt, w.counted = at, 0
		w.state.Range(quota.DemandPrefix, store.PrefixEnd(quota.DemandPrefix), func(store.Item) bool { w.counted++; return true })
	}
	return w.counted
}

func (p *proc) start() {
	w := p.w
	p.boot++
	if _, is := w.open[p.name]; is {
		w.open[p.name] = w.q.Now() // a process counts from its start
	}
	p.pace, p.origin, p.stopped = 1/w.fast+(w.fast-1/w.fast)*w.rng.Float64(), w.q.Now()-w.rng.Int64N(3600*second), 0
	p.session = lease.NewSession(lease.Rules{TTL: ttl * 1e6, MaxClockSkew: skew, Margin: 2e6}, w.o.Plant.Session)
	p.table = lease.NewTable(lease.NoTableDefect)
	rules := quota.Rules{MaxClockSkew: skew, ReportInterval: 50e6, ReportIntervalPerProcess: 2e6}
	p.holder, p.divider = quota.NewConsumer(rules, w.o.Plant.Limit), quota.NewAllocator(rules, w.o.Plant.Limit)
	p.holder.SetConfig(p.now(), w.conf)
	p.divider.SetConfig(w.conf)
	p.seen, p.telling, p.place, p.putAt, p.divides, p.busy = 0, false, "", 0, false, false
	p.step(0, p.renew)
	p.step(0, p.copy)
	p.step(0, p.tell)
	p.step(0, p.divide)
	p.step(0, p.arrive)
}

// now is the process's own clock, in nanoseconds.
func (p *proc) now() int64 { return int64(float64(p.w.q.Now()-p.origin)*p.pace*1000) + 1 }

func (p *proc) step(after int64, f func()) {
	boot := p.boot
	p.w.q.After(after, func() {
		switch {
		case p.boot != boot:
		case p.w.q.Now() < p.stopped:
			p.step(p.stopped-p.w.q.Now()+1, f)
		default:
			f()
		}
	})
}

// cut loses what it sends or is sent for a while.
func (p *proc) cut(sends, hears bool, long int64) {
	w := p.w
	until := w.q.Now() + long
	if sends {
		p.mute = max(p.mute, until)
	}
	if hears {
		p.deaf = max(p.deaf, until)
	}
	if _, is := w.open[p.name]; sends && !is {
		w.open[p.name] = w.q.Now() + 100*milli // what was on its way still counts
		var back func()
		back = func() {
			if w.q.Now() < p.mute {
				w.q.After(p.mute-w.q.Now(), back)
				return
			}
			delete(w.open, p.name)
		}
		w.q.After(long, back)
	}
}

// send proposes a command; the answer may be lost, and come late.
func (p *proc) send(c store.Command, f func(store.Result, error)) {
	w := p.w
	p.seq++
	c.ID = store.RequestID{Client: uint64(p.number+1)<<20 + uint64(p.boot), Seq: p.seq}
	answered, boot := false, p.boot
	answer := func(r store.Result, err error) {
		if !answered && p.boot == boot {
			answered = true
			f(r, err)
		}
	}
	p.step(ttl*milli/2, func() { answer(store.Result{}, errLost) })
	way := func() int64 {
		switch n := w.rng.IntN(40); {
		case w.clean:
		case n == 0: // it comes long after its sender has given it up
			return w.rng.Int64N(3 * ttl * milli)
		case n < 5:
			return w.rng.Int64N(ttl * milli)
		}
		return 500 + w.rng.Int64N(4*milli)
	}
	if w.q.Now() < p.mute {
		return
	}
	w.q.After(way(), func() {
		if w.away {
			return
		}
		r := w.apply(&c)
		if w.q.Now() < p.deaf || !w.clean && w.rng.IntN(20) == 0 {
			return
		}
		p.step(way(), func() { answer(r, r.Err) })
	})
}

// renew is the session's loop.
func (p *proc) renew() {
	ask, due := p.session.Next(p.now())
	switch ask {
	case lease.NoRequest:
		p.step(max(milli, int64(float64(due-p.now())/p.pace/1000)), p.renew)
		return
	case lease.GrantRequest:
		p.send(store.Command{GrantLease: &store.GrantLease{TTLMillis: ttl, Owner: p.name}}, p.renewed)
	case lease.RenewRequest:
		p.send(store.Command{RenewLease: &store.RenewLease{LeaseID: p.session.ID(), Owner: p.name}}, p.renewed)
	}
}

func (p *proc) renewed(r store.Result, err error) {
	o := lease.Succeeded
	switch {
	case errors.Is(err, store.ErrLeaseNotFound):
		o = lease.SessionNotFound
		p.w.r.Lost++
	case err != nil:
		o = lease.OutcomeUnknown
	}
	p.session.HandleResponse(p.now(), o, r.LeaseID)
	p.holder.SetSession(p.now(), p.session.ID(), p.session.ValidUntil())
	p.step(0, p.renew)
}

// copy has the process see the store now and then.
func (p *proc) copy() {
	w := p.w
	if w.q.Now() >= p.deaf && w.state.Revision() > p.seen {
		events, _, err := w.state.Changes(nil, "", p.seen, 1<<30)
		if p.seen == 0 || err != nil {
			if p.number < replicas {
				p.table.Reset(w.state)
				p.divider.Reset(p.now(), w.state)
			}
			if me := p.me(); me.Session != 0 {
				if i, ok := w.state.Get(me.GrantKey()); ok {
					p.granted(i)
				}
			}
		} else {
			own := p.me().GrantKey()
			for _, e := range events {
				if p.number < replicas {
					p.table.Event(e)
					p.divider.Event(p.now(), e)
				}
				if !e.Deleted && e.Item.Key == own {
					p.granted(e.Item)
				}
			}
		}
		p.seen = w.state.Revision()
		p.holder.SetProcessCount(w.processes())
	}
	long := 2*milli + w.rng.Int64N(15*milli)
	if !w.clean && w.rng.IntN(50) == 0 {
		long += w.rng.Int64N(ttl * milli / 2)
	}
	p.step(long, p.copy)
}

func (p *proc) me() quota.Process { return quota.Process{Host: p.name, Session: p.session.ID()} }

func (p *proc) granted(i store.Item) {
	g, err := quota.DecodeGrant(i.Value)
	if err != nil {
		panic(err)
	}
	p.holder.ApplyGrant(p.now(), p.session.ID(), i.ModRevision, g)
}

// tell says what the process wants and has seen.
func (p *proc) tell() {
	defer p.step(10*milli, p.tell)
	n, due, _ := p.holder.Demand(p.now())
	if !due || p.telling || p.session.ID() == 0 || p.now() >= p.session.ValidUntil() {
		return
	}
	p.telling = true
	p.holder.ReportSent(p.now(), n)
	me := p.me()
	p.send(store.Command{Txn: &store.Txn{Owner: p.name, Then: []store.Op{{Key: me.DemandKey(), Value: quota.Encode(n), LeaseID: me.Session}}}}, func(_ store.Result, err error) {
		if p.telling = false; err != nil {
			p.holder.ReportFailed()
		}
	})
}

// divide is the daemon's part in the task of dividing.
func (p *proc) divide() {
	w := p.w
	defer p.step(20*milli, p.divide)
	if p.number >= replicas { // the others have no part in it
		return
	}
	live := p.session.ID() != 0 && p.now() < p.session.ValidUntil()
	if p.place != "" && p.placeOf != p.session.Generation() {
		p.place = ""
	}
	if !live {
		p.divides = false
		return
	}
	_, _, there := p.table.Find(divideTask, p.place)
	if !there && w.q.Now() > p.putAt { // the answer was lost, or what was to be answered: the same place is put again
		if p.place == "" {
			p.seq++
			p.place, p.placeOf = lease.QueueEntryKey(divideTask, p.name, fmt.Sprintf("%d.%d", p.boot, p.seq)), p.session.Generation()
		}
		p.putAt = w.q.Now() + ttl*milli/2
		id := p.session.ID()
		p.send(store.Command{Txn: &store.Txn{Owner: p.name, If: []store.Compare{{Key: p.place}}, Then: []store.Op{{Key: p.place, Value: fmt.Appendf(nil, `{"session":%d}`, id), LeaseID: id}}}},
			func(store.Result, error) {})
		return
	}
	token, holds := p.table.Holds(divideTask, p.place)
	if holds && !p.divides {
		w.r.Dividers++
	}
	if p.divides = holds; !holds || p.busy {
		return
	}
	v := p.divider.Allocate(p.now())
	if v == nil {
		return
	}
	w.r.Turns++
	p.busy = true
	t := &store.Txn{If: append([]store.Compare{{Key: p.place, ModRevision: token}}, v.If...), Then: v.Then}
	if w.o.Plant.Limit == quota.UncheckedRevision {
		t.If = nil
	}
	p.send(store.Command{Txn: t}, func(store.Result, error) { p.busy = false })
}

var paths = []string{"/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/rate", "/window", "/window", "/window", "/held", "/held", "/fair", "/fair", "/slow", "/slow", "/slow", "/open", "/long"}

// arrive is what clients ask of this sidecar, one at a time.
func (p *proc) arrive() {
	w := p.w
	rate := w.lull * w.hot[p.number] * float64(w.o.Sidecars) * w.o.Load * 110 // a second, over all limits
	defer p.step(int64(w.rng.ExpFloat64()/rate*float64(second))+1, p.arrive)
	p.ask(paths[w.rng.IntN(len(paths))])
}

// burst is what has waited for a while: more of one limit than there is, at one or at all sidecars.
func (w *world) burst() {
	if w.clean {
		return
	}
	defer w.q.After(w.rng.Int64N(second/2), w.burst)
	path := []string{"/rate", "/window", "/held", "/fair", "/slow", "/slow", "/open"}[w.rng.IntN(7)]
	one, all := w.nodes[w.rng.IntN(len(w.nodes))], w.rng.IntN(2) == 0
	for _, p := range w.nodes {
		if all || p == one {
			p.step(w.rng.Int64N(5*milli), func() {
				for n, no := 0, 0; n < 200 && no < 8; n++ {
					if no++; p.ask(path) {
						no = 0
					}
				}
			})
		}
	}
}

// ask is one request, which is let through or not.
func (p *proc) ask(path string) bool {
	w := p.w
	w.r.Asked++
	r := quota.Request{Path: path}
	org, agency := []string{"a", "a", "b"}[w.rng.IntN(3)], []string{"x", "x", "y"}[w.rng.IntN(3)]
	r.Header = func(name string) string {
		if name == "org" {
			return org
		}
		return agency
	}
	charges := w.match.Match(nil, &r)
	t, no := p.holder.Reserve(p.now(), charges, 1)
	if r.Path == "/rate" {
		if w.want++; no == nil {
			w.got++
		}
	}
	if no != nil {
		if no.RetryAfter <= 0 {
			w.broken("no time to come back", "%+v", no)
		}
		return false
	}
	if w.rng.IntN(40) == 0 { // it never runs, which is known a while later
		p.step(w.rng.Int64N(30*milli), func() { p.holder.Cancel(p.now(), t) })
		return true
	}
	for _, c := range charges {
		if _, there := w.state.Lease(p.session.ID()); !there && c.Limit.Fallback == quota.Strict {
			w.broken("used after its end", "%s lets through by a session that the store has ended", p.name)
		}
		w.come(p, c)
		if c.Limit.Kind == quota.Concurrency {
			long := c.Limit.Window / 1000 * int64(40+w.rng.IntN(60)) / 100
			w.q.After(long, func() { w.gone(c) }) // at the server, whatever becomes of the process
			p.step(long, func() { p.holder.Complete(p.now(), t) })
			return true
		}
	}
	p.holder.Complete(p.now(), t)
	return true
}
