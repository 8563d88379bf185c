package scale

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/controlplane"
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// Spec is what a process of the run is told in a file: hollow sidecars, or the links of a zone.
type Spec struct {
	Dir      string
	Hollow   []HollowSpec `json:",omitempty"`
	Links    []LinkSpec   `json:",omitempty"`
	Settings json.RawMessage
	Interest string // of the hollow sidecars' copies; "": as is usual
	Operator string // text of the operator file, behind [store]
}

// HollowSpec is one hollow sidecar.
type HollowSpec struct {
	Number    int
	Discovery string
	Follow    []string // replicas, NAME=ADDRESS
	Seed      uint64
}

// LinkSpec is a link to a replica.
type LinkSpec struct {
	Name, To string
	Delay    time.Duration
	Seed     uint64
}

// order is what the run tells a process, a line of JSON each. Each is answered by one line.
type order struct {
	ID       uint64
	Do       string        // "begin", "end", "restart", "look", "read", "cut", "mend"
	Of       []int         `json:",omitempty"` // sidecars or links; none: all
	Revision uint64        `json:",omitempty"`
	Mark     int           `json:",omitempty"`
	Over     time.Duration `json:",omitempty"` // in which they begin, one after the other
}

// word is what a process says: an answer, or that settings came in force somewhere.
type word struct {
	ID    uint64         `json:",omitempty"` // of the order that it answers
	Ready []string       `json:",omitempty"` // where links listen
	Look  *looked        `json:",omitempty"`
	Read  *usage.Reading `json:",omitempty"` // of all its sidecars together
	Error string         `json:",omitempty"`
	Set   *inForce       `json:",omitempty"`
}

// looked is how the hollow sidecars of a process stand.
type looked struct {
	Runs     int // that run
	Right    int // and know all that was asked for, by a copy that a quorum confirmed of late, with a session
	Sessions int
	Fresh    int
	Marked   int
	Oldest   uint64 // revision
	Words    uint64 // told by others, so far
	Wrong    string // one that is not right, and why
}

// inForce says that a sidecar went over to settings.
type inForce struct {
	Sidecar, Mark int
	At            int64 // Unix time in nanoseconds: all processes are of one host
}

// Plant is what builds for tests do wrong in hollow sidecars; no other sets it.
type Plant struct {
	controlplane.Defects
	Twice bool // each has a second session
	All   bool // each puts its picture once more for each daemon that there is
	Told  bool // each is told of all pictures
	None  bool // limits are left out
}

// Child is the life of a process of the run: it reads what it is told from in until that ends, and answers on out.
func Child(ctx context.Context, path string, in io.Reader, out io.Writer, log *slog.Logger, plant Plant) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	c := &child{out: json.NewEncoder(out), log: log, plant: plant, ctx: ctx, begun: time.Now()}
	if err := json.Unmarshal(text, &c.spec); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer c.end()
	if err := c.open(); err != nil {
		return err
	}
	var working sync.WaitGroup
	defer working.Wait()
	lines := make(chan []byte)
	go func() {
		defer close(lines)
		s := bufio.NewScanner(in)
		for s.Scan() {
			lines <- bytes.Clone(s.Bytes())
		}
	}()
	for {
		select {
		case <-ctx.Done():
			return nil
		case line, more := <-lines:
			if !more {
				return nil // whoever started it is gone
			}
			var o order
			if err := json.Unmarshal(line, &o); err != nil {
				return err
			}
			working.Go(func() {
				w := c.do(o)
				w.ID = o.ID
				c.say(w)
			})
		}
	}
}

type child struct {
	spec  Spec
	log   *slog.Logger
	plant Plant
	ctx   context.Context
	begun time.Time

	mu    sync.Mutex // of out
	out   *json.Encoder
	links []*relay.Link
	all   []*hollow
}

func (c *child) say(w word) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.out.Encode(w) // whoever started this is gone if it fails, and its input ends
}

func (c *child) open() error {
	var ready []string
	for _, l := range c.spec.Links {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		x := relay.New(l.To, l.Seed, relay.Conditions{Delay: l.Delay})
		x.Listen(ln)
		c.links, ready = append(c.links, x), append(ready, ln.Addr().String())
	}
	for _, h := range c.spec.Hollow {
		c.all = append(c.all, &hollow{HollowSpec: h, c: c, name: nameOf(h.Number)})
	}
	c.say(word{Ready: ready})
	return nil
}

func (c *child) end() {
	var wg sync.WaitGroup
	for _, h := range c.all {
		wg.Go(h.end)
	}
	for _, l := range c.links {
		wg.Go(l.Close)
	}
	wg.Wait()
}

func (c *child) do(o order) word {
	switch o.Do {
	case "begin", "end", "restart":
		var wg sync.WaitGroup
		var mu sync.Mutex
		var faults []error
		chosen := c.chosen(o.Of)
		for n, h := range chosen {
			wg.Go(func() {
				if o.Over > 0 {
					pause(c.ctx, o.Over*time.Duration(n)/time.Duration(len(chosen)))
				}
				if o.Do != "begin" {
					h.end()
				}
				if o.Do != "end" {
					if err := h.begin(); err != nil {
						mu.Lock()
						faults = append(faults, fmt.Errorf("%s: %w", h.name, err))
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		if err := errors.Join(faults...); err != nil {
			return word{Error: err.Error()}
		}
	case "look":
		l := &looked{}
		for _, h := range c.all {
			h.look(l, o)
		}
		return word{Look: l}
	case "read":
		sum := (*usage.Recorder)(nil).Read()
		sum.Seconds = time.Since(c.begun).Seconds()
		for _, h := range c.all {
			h.mu.Lock()
			add(&sum, &h.past)
			if h.parts != nil {
				now := h.parts.Usage.ReadCounters()
				add(&sum, &now)
			}
			h.mu.Unlock()
		}
		return word{Read: &sum}
	case "cut", "mend":
		for _, n := range o.Of {
			c.links[n].Update(func(now *relay.Conditions) { now.BlackHole = o.Do == "cut" })
		}
	default:
		return word{Error: fmt.Sprintf("%q is no order", o.Do)}
	}
	return word{}
}

func (c *child) chosen(of []int) (all []*hollow) {
	for _, h := range c.all {
		if len(of) == 0 {
			all = append(all, h)
		}
		for _, n := range of {
			if n == h.Number {
				all = append(all, h)
			}
		}
	}
	return all
}

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func nameOf(sidecar int) string { return fmt.Sprintf("h%05d", sidecar) }

// ---- One hollow sidecar ----------------------------------------------------

// hollow is a sidecar without fronts and traffic.
type hollow struct {
	HollowSpec
	c    *child
	name string

	mu       sync.Mutex
	parts    *controlplane.Components // nil while it does not run
	presence *leasetask.SessionRef
	cancel   context.CancelFunc
	working  sync.WaitGroup
	mark     int
	words    uint64
	rng      *rand.Rand
	list     map[string]discovery.Instance // as discovery tells it
	past     usage.Reading                 // of its earlier processes
}

// begin starts its parts by the function that starts those of a daemon, and gives them what a sidecar would.
func (h *hollow) begin() error {
	dir := h.c.spec.Dir
	text := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\nfollow = [", h.name, h.name, h.name+".sock")
	for i, r := range h.Follow {
		if i > 0 {
			text += ", "
		}
		text += strconv.Quote(r)
	}
	text += "]\n"
	if h.c.spec.Interest != "" {
		text += fmt.Sprintf("interest = %q\n", h.c.spec.Interest)
	}
	more := h.c.spec.Operator
	if h.c.plant.None {
		more = ""
	}
	path := filepath.Join(dir, h.name+".toml")
	if err := os.WriteFile(path, []byte(text+more), 0o600); err != nil {
		return err
	}
	f, err := operatorconfig.Read(path)
	if err != nil {
		return err
	}
	configured := filepath.Join(dir, h.name+".json")
	own, err := json.Marshal(map[string]any{"name": h.name, "listen": "127.0.0.1:1", "discovery": h.Discovery, "seed": fmt.Sprintf("%016x", h.Seed),
		"known": discovery.List{Generation: 1, Reset: true}, "settings": h.c.spec.Settings})
	if err != nil {
		return err
	}
	if err := os.WriteFile(configured, own, 0o600); err != nil {
		return err
	}
	read := func(settings json.RawMessage) error {
		_, err := config.ReadWithSettings(func(key string) string {
			if key == "ROUTER_CONFIG" {
				return configured
			}
			return ""
		}, settings)
		return err
	}
	log := h.c.log.With("sidecar", h.name)
	p, err := controlplane.Open(controlplane.Config{File: f, Sidecar: h.name, SettingsCheck: read, Log: log, Defects: h.c.plant.Defects})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.parts, h.cancel, h.list, h.rng = p, cancel, map[string]discovery.Instance{}, rand.New(rand.NewPCG(h.Seed, 1))
	if p.Limits != nil {
		if h.presence, err = p.Tasks.UseSession(time.Duration(f.Limits.SessionTTL)); err != nil {
			h.c.log.Error("no session is seen", "error", err)
		}
	}
	if h.c.plant.Twice {
		if _, err := p.Tasks.UseSession(time.Duration(f.Limits.SessionTTL) - time.Millisecond); err != nil {
			h.c.log.Error("no second session", "error", err)
		}
	}
	h.mu.Unlock()
	heard := func() {
		h.mu.Lock()
		h.words++
		h.mu.Unlock()
	}
	if h.c.plant.Told {
		p.Servers.SubscribeAll(ctx)
	}
	p.Servers.OnDrain(func(context.Context, discovery.Process, bool) error { heard(); return nil })
	p.Servers.OnStart(func(context.Context, core.ProcessStart) error { heard(); return nil })
	p.Servers.Subscribe(func(context.Context, string, bool) error { heard(); return nil })
	w := discovery.NewWatcher(h.Discovery, discovery.NoGeneration, 192, h.told, log)
	h.working.Go(func() { w.Run(ctx) })
	h.working.Go(func() { p.Servers.SaveSnapshots(ctx, h.name, "", h.picture, func() bool { return false }) })
	h.working.Go(func() { h.settings(ctx, p, read) })
	if p.Limits != nil {
		h.working.Go(func() { h.ask(ctx, p) })
	}
	return nil
}

func (h *hollow) end() {
	h.mu.Lock()
	p, cancel := h.parts, h.cancel
	h.parts, h.presence = nil, nil
	if p != nil {
		now := p.Usage.ReadCounters()
		add(&h.past, &now)
	}
	h.mu.Unlock()
	if p != nil {
		cancel()
		p.Close()
		h.working.Wait()
	}
}

// add adds what one meter counted to a sum; the process is not theirs.
func add(sum, r *usage.Reading) {
	if len(sum.Purposes) == 0 {
		sum.Purposes, sum.Written = make([]usage.PurposeUsage, len(r.Purposes)), make([]usage.FileUsage, len(r.Written))
	}
	for i, f := range r.Purposes {
		s := &sum.Purposes[i]
		s.Purpose = f.Purpose
		s.MessagesIn, s.MessagesOut, s.BytesIn, s.BytesOut = s.MessagesIn+f.MessagesIn, s.MessagesOut+f.MessagesOut, s.BytesIn+f.BytesIn, s.BytesOut+f.BytesOut
		s.Proposed, s.Applied, s.AppliedBytes = s.Proposed+f.Proposed, s.Applied+f.Applied, s.AppliedBytes+f.AppliedBytes
	}
	for i, f := range r.Written {
		s := &sum.Written[i]
		s.File, s.Syncs, s.Bytes = f.File, s.Syncs+f.Syncs, s.Bytes+f.Bytes
	}
	s, c := &sum.Connections, r.Connections
	s.Opened, s.BytesIn, s.BytesOut = s.Opened+c.Opened, s.BytesIn+c.BytesIn, s.BytesOut+c.BytesOut
}

// coldFor is how long a server is cold after its start.
const coldFor = 10 * time.Second

// told passes on what discovery says, as a sidecar's loop does.
func (h *hollow) told(ctx context.Context, l discovery.List) {
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.parts == nil {
		return
	}
	for _, in := range l.Instances {
		was, known := h.list[in.ID]
		h.list[in.ID] = in
		p := discovery.Process{ID: in.ID, Addr: in.Addr, StartedMs: in.StartedMs}
		drains := in.Lifecycle == "draining"
		if drains && was.Lifecycle != "draining" || known && was.Lifecycle == "draining" && !drains && was.StartedMs == in.StartedMs {
			h.parts.Servers.ReportProcessDrain(p, drains)
		}
		if ago := time.Since(time.UnixMilli(in.StartedMs)); known && was.StartedMs < in.StartedMs && !drains && ago < coldFor {
			h.parts.Servers.ReportStart(p, max(0, ago), coldFor)
		}
	}
}

// picture is what a decision module would know of its servers: of each about as much as one does that sends them a few requests a second.
func (h *hollow) picture(ctx context.Context) ([]byte, error) {
	h.mu.Lock()
	p := h.parts
	h.mu.Unlock()
	known, err := h.draw()
	if err != nil || !h.c.plant.All || p == nil {
		return known, err
	}
	daemons, places := 0, lease.QueuePrefix+daemon.FleetTask+"/" // each has one
	if _, err := p.Store.View(ctx, true, func(s *store.State) {
		s.Range(places, store.PrefixEnd(places), func(store.Item) bool { daemons++; return true })
	}); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	slots := make(chan struct{}, 8) // a replica takes 256 changes of followers at once
	for range daemons {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			if _, err := p.Store.Do(ctx, store.Command{Txn: serverstate.ModuleSnapshot{ReportedBy: h.name, Data: known}.PutTxn(serverstate.SnapshotKey(h.name, ""))}); err != nil {
				h.c.log.Error("a picture that is planted is not put", "sidecar", h.name, "error", err)
			}
		})
	}
	return known, nil
}

func (h *hollow) draw() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mean := func(v float64) balancer.MeanState {
		return balancer.MeanState{Value: v * (0.5 + h.rng.Float64()), Samples: 20 * h.rng.Float64()}
	}
	micros := func(most int64) balancer.Micros { return h.rng.Int64N(most) }
	meter := func() balancer.RateState { return balancer.RateState{Sum: 100 * h.rng.Float64(), Age: micros(1e6)} }
	k := &snapshot.Saved{Sidecar: h.name, Clock: snapshot.ReadClock(), State: &balancer.Snapshot{At: micros(1e9), Random: h.rng.Uint64(), Listed: true, Subscribed: true,
		Capacity: h.rng.Float64(), WarmEndpoints: h.rng.Float64(), RetryBudget: h.rng.Float64(), ReportTime: h.rng.Float64(), FleetPace: mean(2000), MeanWork: mean(1000), RejectionRate: mean(0.01),
		LateReports: mean(500), TypicalLoad: mean(2000), ServiceTime: mean(1), Demand: meter(), SentWork: meter(), ApertureSeed: h.rng.Uint64(),
		Classes: []balancer.ClassState{{Name: "look", InUse: true, PriorityWeight: 1, Work: mean(1000), Demand: meter(), OnTime: mean(1)}}}}
	n := uint32(0)
	for _, in := range h.list {
		n++
		e := balancer.EndpointState{ID: n, Cell: in.Cell, Weight: 1, StartTime: in.StartedMs * 1000, HasLoad: true, SlowStartBudget: h.rng.Float64(), BudgetRefilled: micros(1e6),
			LastSend: micros(1e6), SilentSince: micros(1e6), ProbeRound: n, LastProbe: micros(1e6), LastReport: micros(1e6), OthersLoad: h.rng.Float64(), RTT: mean(800), Pace: mean(1),
			PaceLearned: micros(1e6), Head: micros(1e6), Base: 1000 * h.rng.Float64(), Current: 1000 * h.rng.Float64(), LastForced: micros(1e6)}
		k.Names, k.Addresses, k.State.Endpoints = append(k.Names, in.ID), append(k.Addresses, in.Addr), append(k.State.Endpoints, e)
	}
	return snapshot.Encode(k)
}

// Mark is what settings of the run are told apart by.
const markIn = `"dial-timeout":`

// marked are settings with a mark.
func marked(settings json.RawMessage, mark int) json.RawMessage {
	at := bytes.Index(settings, []byte(markIn)) + len(markIn)
	end := at + bytes.IndexAny(settings[at:], ",}")
	return json.RawMessage(fmt.Sprintf("%s%d%s", settings[:at], 1_000_000+mark, settings[end:]))
}

func markOf(settings json.RawMessage) int {
	at := bytes.Index(settings, []byte(markIn))
	if at < 0 {
		return 0
	}
	rest := settings[at+len(markIn):]
	n, err := strconv.Atoi(string(rest[:max(0, bytes.IndexAny(rest, ",}"))]))
	if err != nil {
		return 0
	}
	return n - 1_000_000
}

// settings goes over to those of the fleet, as a sidecar does that is told of them.
func (h *hollow) settings(ctx context.Context, p *controlplane.Components, read func(json.RawMessage) error) {
	for first := true; ; first = false {
		if !first {
			select {
			case <-ctx.Done():
				return
			case <-p.Settings.Reload():
			}
		}
		now := p.Settings.Current()
		if now == nil {
			continue
		}
		if err := read(now); err != nil {
			h.c.log.Error("settings are not taken", "sidecar", h.name, "error", err)
			continue
		}
		m := markOf(now)
		h.mu.Lock()
		fresh := m > h.mark
		h.mark = max(m, h.mark)
		h.mu.Unlock()
		if fresh {
			h.c.say(word{Set: &inForce{h.Number, m, time.Now().UnixNano()}})
		}
	}
}

// ask is the demand for limits: it moves by the seed every half minute.
func (h *hollow) ask(ctx context.Context, p *controlplane.Components) {
	rng := rand.New(rand.NewPCG(h.Seed, 2))
	none := func(string) string { return "" }
	for next := asking(rng); ; {
		if pause(ctx, next()); ctx.Err() != nil {
			return
		}
		if ended, _ := p.Limits.Admit(&core.LimiterRequest{Class: "look", Path: "/look/1", PriorityWeight: 1, Header: none}); ended != nil {
			ended(true)
		}
	}
}

// demand is how much a sidecar is asked a second, on average.
const demand = 2.0

// asking draws the gaps between requests of one sidecar.
func asking(rng *rand.Rand) (next func() time.Duration) {
	rate, until := 0.0, time.Time{}
	return func() time.Duration {
		if now := time.Now(); now.After(until) {
			rate, until = demand*2*rng.Float64(), now.Add(15*time.Second+time.Duration(rng.Int64N(30e9)))
		}
		return time.Duration(rng.ExpFloat64() * float64(time.Second) / max(0.2, rate))
	}
}

// look adds how it stands.
func (h *hollow) look(l *looked, o order) {
	h.mu.Lock()
	p, presence, mark := h.parts, h.presence, h.mark
	l.Words += h.words
	h.mu.Unlock()
	if p == nil {
		return
	}
	l.Runs++
	s, err := p.Store.Status(context.Background())
	fresh := err == nil && s.CopyAge.Confirmed && !s.CopyAge.Stale
	session := true
	if presence != nil {
		id, until, _ := presence.Current()
		session = id != 0 && until > h.c.plant.Clock.Now()
	}
	if l.Oldest == 0 || s.Revision < l.Oldest {
		l.Oldest = s.Revision
	}
	if fresh {
		l.Fresh++
	}
	if session {
		l.Sessions++
	}
	if mark >= o.Mark {
		l.Marked++
	}
	if fresh && session && mark >= o.Mark && s.Revision >= o.Revision {
		l.Right++
	} else {
		l.Wrong = fmt.Sprintf("%s: fresh %v, session %v, settings %d of %d, revision %d of %d", h.name, fresh, session, mark, o.Mark, s.Revision, o.Revision)
	}
}
