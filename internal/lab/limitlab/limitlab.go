// Package limitlab shares limits among real processes: three replicas and followers, each a sidecar under more load than the limits let
// through, over servers that count. It kills, stops, cuts and slows them; the servers judge what came by each limit's own formula.
package limitlab

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/lab/fleetlab"
)

// Torture says what is done.
type Torture struct {
	Program  string
	Env      []string
	Dir      string
	Replicas int
	Follow   int
	For      time.Duration
	Blows    int // in place of For: so many of Faults in turn
	Every    time.Duration
	Seed     uint64
	Play     []Blow
	Until    bool // it ends once a bound was passed
	Say      func(string)
}

// Blow is one of a schedule.
type Blow struct {
	GapMs int64  `json:"gap_ms"`
	Fault string `json:"fault"`
	Draw  uint64 `json:"draw"`
	AtMs  int64  `json:"at_ms,omitempty"`
	What  string `json:"what,omitempty"`
}

// Tortured is what came of it.
type Tortured struct {
	Requests int            `json:"requests"` // that servers saw
	Refused  int            `json:"refused"`  // with 429, by sidecars
	NoTime   int            `json:"refused_without_time"`
	Crowds   int            `json:"crowds"` // more at once than a limit, among them tries that had been given up
	Blows    map[string]int `json:"blows"`
	Seen     []Seen         `json:"seen"`
	Use      float64        `json:"use"` // of the rate limit, once all was calm
	Broken   []string       `json:"broken"`
	History  []string       `json:"history,omitempty"` // of the store, around the first excess
	Schedule []Blow         `json:"schedule"`
}

// maxLateness is more than a request's time, after which its sidecar sends it no more.
const maxLateness = time.Second

// TTL is that of sidecars' sessions here.
const TTL = 1500 * time.Millisecond

// Limits are those that are played.
const Limits = `
[limit.orders]
rate = 160.0
burst = "250ms"
paths = ["/look/orders"]
by = ["header:X-Org"]
[limit.orders.parts."a"]
most = 100.0
least = 40.0
[limit.orders.parts."b"]
most = 120.0
[limit.quota]
amount = 300.0
window = "3s"
paths = ["/look/quota"]
[limit.long]
amount = 1000.0
window = "10s"
paths = ["/look/long"]
[limit.held]
at_once = 16.0
longest = "1s"
paths = ["/look/held"]
[limit.fair]
rate = 60.0
burst = "500ms"
paths = ["/look/fair"]
without = "fair"
part = 0.5
hosts = 8
`

// Fault is one kind of blow.
type Fault struct {
	Name  string
	About string
	long  float64 // TTLs
	blow  fleetlab.Fault
	lead  bool // the store's leader is meant
}

// Faults are all kinds.
var Faults = []Fault{
	{"killed", "a daemon with its share is killed, and started at once", 0, fleetlab.KillDaemon, false},
	{"stopped", "a daemon is stopped for three of its sessions, and continued with all that has waited", 3, fleetlab.StopDaemon, false},
	{"mute", "a daemon is not heard, and hears", 1.5, fleetlab.LoseSent, false},
	{"deaf", "a daemon is heard, and hears nothing", 1.5, fleetlab.LoseReceived, false},
	{"cut-off", "a daemon is cut off both ways for three of its sessions", 3, fleetlab.Isolate, false},
	{"leader-killed", "the store's leader is killed", 0, fleetlab.KillDaemon, true},
	{"leader-stopped", "the store's leader is stopped for one and a half of its sessions", 1.5, fleetlab.StopDaemon, true},
	{"split", "a third of all daemons is cut off for two and a half sessions", 2.5, split, false},
	{"all-killed", "all daemons are killed", 0, fleetlab.KillAll, false},
	{"slow", "all links are slow and lossy", 1.5, fleetlab.SlowLinks, false},
}

func split(f *fleetlab.Fleet, d *fleetlab.Daemon, long time.Duration) (string, func(context.Context) error) {
	what, ends := "", []func(context.Context) error{}
	for _, x := range f.Daemons {
		if x == d || (x.Number-d.Number+len(f.Daemons))%3 == 0 {
			name, end := fleetlab.Isolate(f, x, long)
			what, ends = what+" "+name, append(ends, end)
		}
	}
	return what, func(ctx context.Context) (err error) {
		for _, end := range ends { // the first waits for all
			err = errors.Join(err, end(ctx))
			long = 0
		}
		return err
	}
}

// blow is the nth of a run, and whether there is one.
func (t *Torture) blow(n int, run time.Duration) (Blow, bool) {
	rng := rand.New(rand.NewPCG(t.Seed, uint64(n)))
	b := Blow{GapMs: t.Every.Milliseconds()/2 + rng.Int64N(max(1, t.Every.Milliseconds())), Fault: Faults[rng.IntN(len(Faults))].Name, Draw: rng.Uint64()}
	switch {
	case t.Play != nil:
		if n < len(t.Play) {
			b = t.Play[n]
		}
		return b, n < len(t.Play)
	case t.Blows > 0:
		b.Fault = Faults[n%len(Faults)].Name
		return b, n < t.Blows
	}
	return b, run < t.For
}

// say passes a line on to whoever follows the run, if anybody does.
func (t *Torture) say(line string) {
	if t.Say != nil {
		t.Say(line)
	}
}

type run struct {
	*Torture
	fleet   *fleetlab.Fleet
	judge   *Judge
	refused atomic.Int64
	noTime  atomic.Int64
	hot     atomic.Uint64 // who is busy
}

// Run tortures.
func (t *Torture) Run(ctx context.Context) (r *Tortured, err error) {
	dir, err := os.MkdirTemp(t.Dir, "limits-")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	conf, err := quota.ParseFile("limits.toml", []byte(Limits))
	if err != nil {
		return nil, err
	}
	conf.AssignGenerations(&quota.Config{})
	x := &run{Torture: t, judge: NewJudge(conf, t.Replicas+t.Follow)}
	x.judge.maxLateness = maxLateness
	changes := &history{now: x.judge.Now}
	x.fleet, err = fleetlab.Begin(ctx, fleetlab.Config{Program: t.Program, Args: []string{"run", "--config"}, Env: t.Env, Dir: dir, Replicas: t.Replicas,
		Followers: t.Follow, Servers: 4, Seed: t.Seed, Handler: x.judge, ExtraOperatorConfig: fmt.Sprintf("[limits]\nlease = %q\ntell = \"50ms\"\neach = \"2ms\"\n", TTL)})
	if err != nil {
		return nil, err
	}
	defer x.fleet.End()
	if err := x.put(ctx, conf); err != nil {
		return nil, err
	}
	r = &Tortured{Blows: map[string]int{}}
	load, stop := context.WithCancel(ctx)
	var asking sync.WaitGroup
	defer func() {
		stop()
		asking.Wait()
		r.Seen, r.Broken = x.judge.Result()
		r.Requests, _ = x.judge.counts("orders")
		r.Crowds = len(x.judge.excesses)
		if from, to, exceeded := x.judge.firstExcess(); exceeded {
			r.History = changes.between(from-historyBefore, to)
			for _, line := range r.History {
				t.say(line)
			}
		}
		r.Refused, r.NoTime = int(x.refused.Load()), int(x.noTime.Load())
	}()
	asking.Go(func() { changes.record(load, x.replicaClients()) })
	for _, d := range x.fleet.Daemons {
		for i := range askedPaths {
			asking.Go(func() { x.ask(load, d, i) })
		}
	}
	if err := x.goesOn(ctx, 100); err != nil {
		return r, err
	}
	begun := time.Now()
	for n := 0; ; n++ {
		b, more := t.blow(n, time.Since(begun))
		if _, broken := x.judge.Result(); t.Until && len(broken) > 0 {
			return r, nil
		}
		if !more {
			break
		}
		at := slices.IndexFunc(Faults, func(f Fault) bool { return f.Name == b.Fault })
		if at < 0 {
			return r, fmt.Errorf("%q is not a kind of blow", b.Fault)
		}
		select {
		case <-ctx.Done():
			return r, ctx.Err()
		case <-time.After(time.Duration(b.GapMs) * time.Millisecond):
		}
		f, d := Faults[at], x.fleet.Daemons[b.Draw%uint64(len(x.fleet.Daemons))]
		x.hot.Store(b.Draw >> 8)
		if f.lead {
			d = x.fleet.Leader()
		}
		before, _ := x.judge.counts("orders")
		what, end := f.blow(x.fleet, d, time.Duration(f.long*float64(TTL)))
		r.Blows[f.Name]++
		b.AtMs, b.What = time.Since(begun).Milliseconds(), what
		r.Schedule = append(r.Schedule, b)
		if err := end(ctx); err != nil {
			return r, fmt.Errorf("%s %s: %w", f.Name, what, err)
		}
		if err := x.goesOn(ctx, before+100); err != nil {
			return r, fmt.Errorf("after %s %s: %w", f.Name, what, err)
		}
		if t.Say != nil {
			all, _ := x.judge.counts("orders")
			_, broken := x.judge.Result()
			t.say(fmt.Sprintf("%v: %s %s; %d requests, %d refused, %d broken", time.Since(begun).Round(time.Second), f.Name, what, all, x.refused.Load(), len(broken)))
		}
	}
	return r, x.calm(ctx, r)
}

// put puts the limits in force, and waits until every daemon goes by them.
func (x *run) put(ctx context.Context, conf *quota.Config) error {
	wait, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	if _, err := x.fleet.Daemons[0].Client.PutLimits(wait, conf); err != nil {
		return err
	}
	for _, d := range x.fleet.Daemons {
		for {
			s, err := d.Client.Limits(wait, "")
			if err == nil && s.Version == conf.Version && s.Process.Session != 0 {
				break
			}
			if wait.Err() != nil {
				return errors.Join(fmt.Errorf("%s does not come to share limits", d.Name()), err, errors.New(d.Log()))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
	return nil
}

// goesOn waits until servers have seen so many requests.
func (x *run) goesOn(ctx context.Context, n int) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	for {
		if all, _ := x.judge.counts("orders"); all >= n {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("nothing is let through: %w", ctx.Err())
		case <-time.After(5 * time.Millisecond):
		}
	}
}

// calm measures the use of the rate limit once nothing is done to anybody.
func (x *run) calm(ctx context.Context, r *Tortured) error {
	const long = 3 * time.Second
	for _, wait := range []time.Duration{2*TTL + time.Second, long} {
		_, before := x.judge.counts("orders")
		begun := time.Now()
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(wait):
		}
		_, after := x.judge.counts("orders")
		r.Use = float64(after-before) / time.Since(begun).Seconds() / (float64(x.judge.config.Find("orders").Nodes[0].Capacity) / float64(quota.AmountUnit))
	}
	return nil
}

// replicaClients are the clients of the daemons with a replica, the first of all.
func (x *run) replicaClients() (clients []*adminapi.Client) {
	for _, d := range x.fleet.Daemons[:x.Replicas] {
		clients = append(clients, d.Client)
	}
	return clients
}

// askedPaths are what each daemon is asked for, one by each of its askers.
var askedPaths = []string{"orders", "quota", "held", "fair", "long"}

// ask asks one daemon again and again, of one limit; more where it is busy.
func (x *run) ask(ctx context.Context, d *fleetlab.Daemon, n int) {
	c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 8}, Timeout: 2 * time.Second}
	defer c.CloseIdleConnections()
	path := askedPaths[n]
	rng := rand.New(rand.NewPCG(x.Seed, uint64(d.Number*len(askedPaths)+n)))
	room := make(chan struct{}, 8)
	var open sync.WaitGroup
	defer open.Wait()
	for count := 0; ctx.Err() == nil; count++ {
		select {
		case room <- struct{}{}:
		case <-ctx.Done():
			return
		}
		org := []string{"a", "a", "b", "c"}[rng.IntN(4)]
		id := fmt.Sprintf("%04x%04x%012x", d.Number, n, count)
		open.Go(func() {
			defer func() { <-room }()
			x.one(ctx, c, d, path, org, id)
		})
		pause := 12 * time.Millisecond
		if x.hot.Load()%uint64(len(x.fleet.Daemons)) == uint64(d.Number) {
			pause = 3 * time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + time.Duration(rng.Int64N(int64(pause)))):
		}
	}
}

func (x *run) one(ctx context.Context, c *http.Client, d *fleetlab.Daemon, path, org, id string) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.ClientAddr()+"/look/"+path, nil)
	if err != nil {
		return
	}
	for name, value := range map[string]string{
		"X-Trace-Id":      id,
		"X-Qos":           "look",
		"X-Customer":      "acme",
		"X-Org":           org,
		"X-Expires-In-Ms": "900",
		DaemonHeader:      strconv.Itoa(d.Number),
		SentHeader:        strconv.FormatInt(int64(x.judge.Now()), 10),
	} {
		r.Header.Set(name, value)
	}
	resp, err := c.Do(r)
	if err != nil {
		x.judge.ClientEnded(id, 0)
		return // its daemon was killed, or is stopped
	}
	x.judge.ClientEnded(id, resp.StatusCode)
	resp.Body.Close()
	if resp.StatusCode == http.StatusTooManyRequests {
		if x.refused.Add(1); resp.Header.Get("Retry-After") == "" {
			x.noTime.Add(1)
		}
	}
}
