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

// Spec is the configuration of a child process of the run, in a JSON file: its stub sidecars, or the links of a zone.
type Spec struct {
	Dir            string
	Stubs          []StubSpec `json:"Hollow,omitempty"`
	Links          []LinkSpec `json:",omitempty"`
	Settings       json.RawMessage
	Interest       string // what the copies of the stub sidecars hold; "": the default
	OperatorConfig string `json:"Operator"` // text of the operator file after its [store] section
}

// StubSpec is the configuration of a stub sidecar.
type StubSpec struct {
	Number    int
	Discovery string   // address of the discovery server
	Follow    []string // replicas, NAME=ADDRESS
	Seed      uint64
}

// LinkSpec is the configuration of a link to a replica.
type LinkSpec struct {
	Name, To string        // name and address of the replica
	Delay    time.Duration // in each direction
	Seed     uint64
}

// command is sent to a child process as a line of JSON. The process answers each with a message of the same ID.
//
//	begin    start stub sidecars
//	end      stop stub sidecars
//	restart  stop and start stub sidecars
//	look     report the states of the stub sidecars
//	read     report the usage of the stub sidecars
//	cut      let nothing pass through links
//	mend     let links pass traffic again
type command struct {
	ID       uint64
	Name     string `json:"Do"`
	Targets  []int  `json:"Of,omitempty"` // numbers of stub sidecars or links; none: all stub sidecars
	Revision uint64 `json:",omitempty"`   // look: revision that a converged sidecar has received
	// SettingsVersion is that of the settings that a converged sidecar has adopted, for look.
	SettingsVersion int           `json:"Mark,omitempty"`
	StaggerOver     time.Duration `json:"Over,omitempty"` // begin: time over which the starts are spread
}

// message is sent by a child process as a line of JSON: that it is ready, the answer to a command, or that a stub
// sidecar has adopted settings.
type message struct {
	ID        uint64            `json:",omitempty"`      // of the command that it answers; 0: the process is ready
	LinkAddrs []string          `json:"Ready,omitempty"` // addresses at which links listen
	State     *stubStates       `json:"Look,omitempty"`
	Usage     *usage.Reading    `json:"Read,omitempty"` // of all its stub sidecars together
	Error     string            `json:",omitempty"`
	Adopted   *settingsAdoption `json:"Set,omitempty"`
}

// stubStates counts the stub sidecars of a process by their state.
type stubStates struct {
	Running int `json:"Runs"`
	// Converged sidecars have a fresh copy that a quorum confirmed, a session, and the revision and settings of the
	// command.
	Converged       int `json:"Right"`
	Sessions        int
	FreshCopies     int    `json:"Fresh"`
	CurrentSettings int    `json:"Marked"` // have adopted the settings of the command
	OldestRevision  uint64 `json:"Oldest"`
	PeerMessages    uint64 `json:"Words"` // drains, starts and module snapshots that other daemons reported so far
	Unconverged     string `json:"Wrong"` // an example of a sidecar that has not converged, with the reason
}

// settingsAdoption reports that a stub sidecar has adopted settings.
type settingsAdoption struct {
	Sidecar int
	Version int   `json:"Mark"`
	AtNanos int64 `json:"At"` // Unix time in nanoseconds; all processes run on one machine
}

// StubDefects holds the injected defects of stub sidecars. Only builds for tests set them.
type StubDefects struct {
	controlplane.Defects
	SecondSession     bool // each has a second session
	SnapshotPerDaemon bool // each saves its module snapshot once more for each daemon of the fleet
	AllSnapshots      bool // each subscribes to all module snapshots
	NoLimits          bool // each lacks the component for limits
}

// RunChild runs a child process of a measurement with the spec in a file. It reads commands from input until that ends,
// and writes messages to out. It ends all stub sidecars and links before it returns.
func RunChild(
	ctx context.Context, path string, input io.Reader, out io.Writer, log *slog.Logger, defects StubDefects,
) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	host := &stubHost{out: json.NewEncoder(out), log: log, defects: defects, ctx: ctx, startedAt: time.Now()}
	if err := json.Unmarshal(text, &host.spec); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	defer host.stop()
	if err := host.start(); err != nil {
		return err
	}
	var running sync.WaitGroup
	defer running.Wait()
	lines := make(chan []byte)
	go func() {
		defer close(lines)
		s := bufio.NewScanner(input)
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
				return nil // the process that started this one has ended
			}
			var cmd command
			if err := json.Unmarshal(line, &cmd); err != nil {
				return err
			}
			running.Go(func() {
				reply := host.execute(cmd)
				reply.ID = cmd.ID
				host.send(reply)
			})
		}
	}
}

// stubHost runs the stub sidecars and links of a child process.
type stubHost struct {
	spec      Spec
	log       *slog.Logger
	defects   StubDefects
	ctx       context.Context
	startedAt time.Time

	mu    sync.Mutex // guards out
	out   *json.Encoder
	links []*relay.Link
	stubs []*stubSidecar
}

func (c *stubHost) send(w message) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = c.out.Encode(w) // fails only if the process that started this one has ended; then the input ends, too
}

func (c *stubHost) start() error {
	var addrs []string
	for _, l := range c.spec.Links {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		link := relay.New(l.To, l.Seed, relay.Conditions{Delay: l.Delay})
		link.Listen(ln)
		c.links, addrs = append(c.links, link), append(addrs, ln.Addr().String())
	}
	for _, h := range c.spec.Stubs {
		c.stubs = append(c.stubs, &stubSidecar{StubSpec: h, host: c, name: stubName(h.Number)})
	}
	c.send(message{LinkAddrs: addrs})
	return nil
}

func (c *stubHost) stop() {
	var wg sync.WaitGroup
	for _, h := range c.stubs {
		wg.Go(h.stop)
	}
	for _, l := range c.links {
		wg.Go(l.Close)
	}
	wg.Wait()
}

// execute carries out a command and returns its answer, without the ID.
func (c *stubHost) execute(cmd command) message {
	switch cmd.Name {
	case "begin", "end", "restart":
		var wg sync.WaitGroup
		var mu sync.Mutex
		var errs []error
		chosen := c.selectStubs(cmd.Targets)
		for n, h := range chosen {
			wg.Go(func() {
				if cmd.StaggerOver > 0 {
					sleep(c.ctx, cmd.StaggerOver*time.Duration(n)/time.Duration(len(chosen)))
				}
				if cmd.Name != "begin" {
					h.stop()
				}
				if cmd.Name != "end" {
					if err := h.start(); err != nil {
						mu.Lock()
						errs = append(errs, fmt.Errorf("%s: %w", h.name, err))
						mu.Unlock()
					}
				}
			})
		}
		wg.Wait()
		if err := errors.Join(errs...); err != nil {
			return message{Error: err.Error()}
		}
	case "look":
		states := &stubStates{}
		for _, h := range c.stubs {
			h.addState(states, cmd)
		}
		return message{State: states}
	case "read":
		sum := (*usage.Recorder)(nil).Read()
		sum.Seconds = time.Since(c.startedAt).Seconds()
		for _, h := range c.stubs {
			h.mu.Lock()
			addUsage(&sum, &h.pastUsage)
			if h.components != nil {
				counters := h.components.Usage.ReadCounters()
				addUsage(&sum, &counters)
			}
			h.mu.Unlock()
		}
		return message{Usage: &sum}
	case "cut", "mend":
		for _, n := range cmd.Targets {
			c.links[n].Update(func(conditions *relay.Conditions) { conditions.BlackHole = cmd.Name == "cut" })
		}
	default:
		return message{Error: fmt.Sprintf("unknown command %q", cmd.Name)}
	}
	return message{}
}

// selectStubs returns the stub sidecars with the given numbers, or all if there are no numbers.
func (c *stubHost) selectStubs(numbers []int) (selected []*stubSidecar) {
	for _, h := range c.stubs {
		if len(numbers) == 0 {
			selected = append(selected, h)
		}
		for _, n := range numbers {
			if n == h.Number {
				selected = append(selected, h)
			}
		}
	}
	return selected
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}

func stubName(sidecar int) string { return fmt.Sprintf("h%05d", sidecar) }

// stubSidecar is a sidecar without fronts and requests to forward.
type stubSidecar struct {
	StubSpec
	host *stubHost
	name string

	mu              sync.Mutex
	components      *controlplane.Components // nil while the sidecar does not run
	session         *leasetask.SessionRef    // nil without limits
	cancel          context.CancelFunc
	running         sync.WaitGroup // goroutines of the sidecar
	settingsVersion int            // newest version that the sidecar has adopted
	peerMessages    uint64
	rng             *rand.Rand
	instances       map[string]discovery.Instance // the servers that discovery lists, by ID
	pastUsage       usage.Reading                 // before the last restart
}

// start opens the components of the sidecar with the function that opens those of a daemon, and connects them as a
// sidecar does.
func (h *stubSidecar) start() error {
	dir := h.host.spec.Dir
	storeText := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\nfollow = [", h.name, h.name,
		h.name+".sock")
	for i, r := range h.Follow {
		if i > 0 {
			storeText += ", "
		}
		storeText += strconv.Quote(r)
	}
	storeText += "]\n"
	if h.host.spec.Interest != "" {
		storeText += fmt.Sprintf("interest = %q\n", h.host.spec.Interest)
	}
	operatorTail := h.host.spec.OperatorConfig
	if h.host.defects.NoLimits {
		operatorTail = ""
	}
	operatorPath := filepath.Join(dir, h.name+".toml")
	if err := os.WriteFile(operatorPath, []byte(storeText+operatorTail), 0o600); err != nil {
		return err
	}
	operatorConfig, err := operatorconfig.Read(operatorPath)
	if err != nil {
		return err
	}
	sidecarConfigPath := filepath.Join(dir, h.name+".json")
	sidecarConfig, err := json.Marshal(map[string]any{"name": h.name, "listen": "127.0.0.1:1", "discovery": h.Discovery,
		"seed":  fmt.Sprintf("%016x", h.Seed),
		"known": discovery.List{Generation: 1, Reset: true}, "settings": h.host.spec.Settings})
	if err != nil {
		return err
	}
	if err := os.WriteFile(sidecarConfigPath, sidecarConfig, 0o600); err != nil {
		return err
	}
	checkSettings := func(settings json.RawMessage) error {
		_, err := config.ReadWithSettings(func(key string) string {
			if key == "ROUTER_CONFIG" {
				return sidecarConfigPath
			}
			return ""
		}, settings)
		return err
	}
	log := h.host.log.With("sidecar", h.name)
	components, err := controlplane.Open(controlplane.Config{File: operatorConfig, Sidecar: h.name,
		SettingsCheck: checkSettings, Log: log, Defects: h.host.defects.Defects})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	h.mu.Lock()
	h.components, h.cancel, h.instances, h.rng = components, cancel, map[string]discovery.Instance{},
		rand.New(rand.NewPCG(h.Seed, 1))
	if components.Limits != nil {
		if h.session, err = components.Tasks.UseSession(time.Duration(operatorConfig.Limits.SessionTTL)); err != nil {
			h.host.log.Error("cannot use the session of the limits", "error", err)
		}
	}
	if h.host.defects.SecondSession {
		if _, err := components.Tasks.UseSession(
			time.Duration(operatorConfig.Limits.SessionTTL) - time.Millisecond); err != nil {
			h.host.log.Error("cannot open a second session", "error", err)
		}
	}
	h.mu.Unlock()
	countMessage := func() {
		h.mu.Lock()
		h.peerMessages++
		h.mu.Unlock()
	}
	if h.host.defects.AllSnapshots {
		components.Servers.SubscribeAll(ctx)
	}
	components.Servers.OnDrain(func(context.Context, discovery.Process, bool) error { countMessage(); return nil })
	components.Servers.OnStart(func(context.Context, core.ProcessStart) error { countMessage(); return nil })
	components.Servers.Subscribe(func(context.Context, string, bool) error { countMessage(); return nil })
	watcher := discovery.NewWatcher(h.Discovery, discovery.NoGeneration, 192, h.handleList, log)
	h.running.Go(func() { watcher.Run(ctx) })
	h.running.Go(func() {
		components.Servers.SaveSnapshots(ctx, h.name, "", h.moduleSnapshot, func() bool { return false })
	})
	h.running.Go(func() { h.followSettings(ctx, components, checkSettings) })
	if components.Limits != nil {
		h.running.Go(func() { h.sendRequests(ctx, components) })
	}
	return nil
}

func (h *stubSidecar) stop() {
	h.mu.Lock()
	components, cancel := h.components, h.cancel
	h.components, h.session = nil, nil
	if components != nil {
		counters := components.Usage.ReadCounters()
		addUsage(&h.pastUsage, &counters)
	}
	h.mu.Unlock()
	if components != nil {
		cancel()
		components.Close()
		h.running.Wait()
	}
}

// addUsage adds the counters of a reading to a sum. It leaves out those of the process, which belong to all its stub
// sidecars.
func addUsage(sum, reading *usage.Reading) {
	if len(sum.Purposes) == 0 {
		sum.Purposes, sum.Written = make([]usage.PurposeUsage, len(reading.Purposes)),
			make([]usage.FileUsage, len(reading.Written))
	}
	for i, counted := range reading.Purposes {
		s := &sum.Purposes[i]
		s.Purpose = counted.Purpose
		s.MessagesIn, s.MessagesOut, s.BytesIn, s.BytesOut = s.MessagesIn+counted.MessagesIn,
			s.MessagesOut+counted.MessagesOut, s.BytesIn+counted.BytesIn, s.BytesOut+counted.BytesOut
		s.Proposed, s.Applied, s.AppliedBytes = s.Proposed+counted.Proposed, s.Applied+counted.Applied,
			s.AppliedBytes+counted.AppliedBytes
	}
	for i, counted := range reading.Written {
		s := &sum.Written[i]
		s.File, s.Syncs, s.Bytes = counted.File, s.Syncs+counted.Syncs, s.Bytes+counted.Bytes
	}
	s, c := &sum.Connections, reading.Connections
	s.Opened, s.BytesIn, s.BytesOut = s.Opened+c.Opened, s.BytesIn+c.BytesIn, s.BytesOut+c.BytesOut
}

// coldFor is the time that a server is cold after its start.
const coldFor = 10 * time.Second

// handleList reports drains and starts in an update from discovery to the other daemons, as a sidecar does.
func (h *stubSidecar) handleList(ctx context.Context, list discovery.List) {
	if ctx.Err() != nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.components == nil {
		return
	}
	for _, instance := range list.Instances {
		previous, known := h.instances[instance.ID]
		h.instances[instance.ID] = instance
		serverProcess := discovery.Process{ID: instance.ID, Addr: instance.Addr, StartedMs: instance.StartedMs}
		draining := instance.Lifecycle == "draining"
		if draining && previous.Lifecycle != "draining" || known && previous.Lifecycle == "draining" && !draining &&
			previous.StartedMs == instance.StartedMs {
			h.components.Servers.ReportProcessDrain(serverProcess, draining)
		}
		if age := time.Since(time.UnixMilli(instance.StartedMs)); known && previous.StartedMs < instance.StartedMs &&
			!draining && age < coldFor {
			h.components.Servers.ReportStart(serverProcess, max(0, age), coldFor)
		}
	}
}

// moduleSnapshot returns a module snapshot about as large as that of a sidecar that sends a few requests a second to
// its servers. With the defect StubDefects.SnapshotPerDaemon it also saves the snapshot once for each daemon.
func (h *stubSidecar) moduleSnapshot(ctx context.Context) ([]byte, error) {
	h.mu.Lock()
	components := h.components
	h.mu.Unlock()
	data, err := h.randomSnapshot()
	if err != nil || !h.host.defects.SnapshotPerDaemon || components == nil {
		return data, err
	}
	daemons, queuePrefix := 0, lease.QueuePrefix+daemon.FleetTask+"/" // each daemon has an entry in the queue
	if _, err := components.Store.View(ctx, true, func(s *store.State) {
		s.Range(queuePrefix, store.PrefixEnd(queuePrefix), func(store.Item) bool { daemons++; return true })
	}); err != nil {
		return nil, err
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	concurrent := make(chan struct{}, 8) // a replica accepts 256 concurrent changes of followers
	for range daemons {
		concurrent <- struct{}{}
		wg.Go(func() {
			defer func() { <-concurrent }()
			if _, err := components.Store.Do(ctx, store.Command{Txn: serverstate.ModuleSnapshot{ReportedBy: h.name,
				Data: data}.PutTxn(serverstate.SnapshotKey(h.name, ""))}); err != nil {
				h.host.log.Error("the injected defect failed to save a module snapshot", "sidecar", h.name,
					"error", err)
			}
		})
	}
	return data, nil
}

// randomSnapshot draws a module snapshot with random statistics of all listed servers.
func (h *stubSidecar) randomSnapshot() ([]byte, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	mean := func(v float64) balancer.MeanState {
		return balancer.MeanState{Value: v * (0.5 + h.rng.Float64()), Samples: 20 * h.rng.Float64()}
	}
	micros := func(limit int64) balancer.Micros { return h.rng.Int64N(limit) }
	rate := func() balancer.RateState { return balancer.RateState{Sum: 100 * h.rng.Float64(), Age: micros(1e6)} }
	saved := &snapshot.Saved{Sidecar: h.name, Clock: snapshot.ReadClock(),
		State: &balancer.Snapshot{At: micros(1e9), Random: h.rng.Uint64(), Listed: true, Subscribed: true,
			Capacity: h.rng.Float64(), WarmEndpoints: h.rng.Float64(), RetryBudget: h.rng.Float64(),
			ReportTime: h.rng.Float64(), FleetPace: mean(2000), MeanWork: mean(1000), RejectionRate: mean(0.01),
			LateReports: mean(500), TypicalLoad: mean(2000), ServiceTime: mean(1), Demand: rate(), SentWork: rate(),
			ApertureSeed: h.rng.Uint64(),
			Classes: []balancer.ClassState{{Name: "look", InUse: true, PriorityWeight: 1, Work: mean(1000),
				Demand: rate(), OnTime: mean(1)}}}}
	number := uint32(0)
	for _, instance := range h.instances {
		number++
		endpoint := balancer.EndpointState{ID: number, Cell: instance.Cell, Weight: 1,
			StartTime: instance.StartedMs * 1000, HasLoad: true, SlowStartBudget: h.rng.Float64(),
			BudgetRefilled: micros(1e6), LastSend: micros(1e6), SilentSince: micros(1e6), ProbeRound: number,
			LastProbe: micros(1e6), LastReport: micros(1e6), OthersLoad: h.rng.Float64(), RTT: mean(800), Pace: mean(1),
			PaceLearned: micros(1e6), Head: micros(1e6), Base: 1000 * h.rng.Float64(), Current: 1000 * h.rng.Float64(),
			LastForced: micros(1e6)}
		saved.Names, saved.Addresses, saved.State.Endpoints = append(saved.Names, instance.ID),
			append(saved.Addresses, instance.Addr), append(saved.State.Endpoints, endpoint)
	}
	return snapshot.Encode(saved)
}

// versionKey precedes the value in settings that carries the version.
const versionKey = `"dial-timeout":`

// withVersion returns settings with a version: their dial timeout is 1 s plus the version in microseconds.
func withVersion(settings json.RawMessage, version int) json.RawMessage {
	start := bytes.Index(settings, []byte(versionKey)) + len(versionKey)
	end := start + bytes.IndexAny(settings[start:], ",}")
	return json.RawMessage(fmt.Sprintf("%s%d%s", settings[:start], 1_000_000+version, settings[end:]))
}

// versionOf returns the version in settings of withVersion, or 0 for other settings.
func versionOf(settings json.RawMessage) int {
	start := bytes.Index(settings, []byte(versionKey))
	if start < 0 {
		return 0
	}
	rest := settings[start+len(versionKey):]
	n, err := strconv.Atoi(string(rest[:max(0, bytes.IndexAny(rest, ",}"))]))
	if err != nil {
		return 0
	}
	return n - 1_000_000
}

// followSettings checks new settings of the fleet, as a sidecar does before it adopts them, and reports their version.
func (h *stubSidecar) followSettings(
	ctx context.Context, components *controlplane.Components, checkSettings func(json.RawMessage) error,
) {
	for first := true; ; first = false {
		if !first {
			select {
			case <-ctx.Done():
				return
			case <-components.Settings.Reload():
			}
		}
		current := components.Settings.Current()
		if current == nil {
			continue
		}
		if err := checkSettings(current); err != nil {
			h.host.log.Error("settings were rejected", "sidecar", h.name, "error", err)
			continue
		}
		version := versionOf(current)
		h.mu.Lock()
		newer := version > h.settingsVersion
		h.settingsVersion = max(version, h.settingsVersion)
		h.mu.Unlock()
		if newer {
			h.host.send(message{Adopted: &settingsAdoption{h.Number, version, time.Now().UnixNano()}})
		}
	}
}

// sendRequests passes requests through the limits, so that the sidecar has a demand. Its rate changes every 15 to 45 s.
func (h *stubSidecar) sendRequests(ctx context.Context, components *controlplane.Components) {
	rng := rand.New(rand.NewPCG(h.Seed, 2))
	noHeaders := func(string) string { return "" }
	for next := requestGaps(rng); ; {
		if sleep(ctx, next()); ctx.Err() != nil {
			return
		}
		if done, _ := components.Limits.Admit(&core.LimiterRequest{Class: "look", Path: "/look/1", PriorityWeight: 1,
			Header: noHeaders}); done != nil {
			done(true)
		}
	}
}

// meanRequestRate is the mean rate of requests of a sidecar, in requests a second.
const meanRequestRate = 2.0

// requestGaps returns a function that draws the time until the next request of a sidecar.
func requestGaps(rng *rand.Rand) (next func() time.Duration) {
	rate, until := 0.0, time.Time{}
	return func() time.Duration {
		if now := time.Now(); now.After(until) {
			rate, until = meanRequestRate*2*rng.Float64(), now.Add(15*time.Second+time.Duration(rng.Int64N(30e9)))
		}
		return time.Duration(rng.ExpFloat64() * float64(time.Second) / max(0.2, rate))
	}
}

// addState adds the state of the sidecar to states, for the revision and the settings of a command.
func (h *stubSidecar) addState(states *stubStates, cmd command) {
	h.mu.Lock()
	components, sessionRef, settingsVersion := h.components, h.session, h.settingsVersion
	states.PeerMessages += h.peerMessages
	h.mu.Unlock()
	if components == nil {
		return
	}
	states.Running++
	status, err := components.Store.Status(context.Background())
	fresh := err == nil && status.CopyAge.Confirmed && !status.CopyAge.Stale
	hasSession := true
	if sessionRef != nil {
		id, validUntil, _ := sessionRef.Current()
		hasSession = id != 0 && validUntil > h.host.defects.Clock.Now()
	}
	if states.OldestRevision == 0 || status.Revision < states.OldestRevision {
		states.OldestRevision = status.Revision
	}
	if fresh {
		states.FreshCopies++
	}
	if hasSession {
		states.Sessions++
	}
	if settingsVersion >= cmd.SettingsVersion {
		states.CurrentSettings++
	}
	if fresh && hasSession && settingsVersion >= cmd.SettingsVersion && status.Revision >= cmd.Revision {
		states.Converged++
	} else {
		states.Unconverged = fmt.Sprintf("%s: fresh %v, session %v, settings %d of %d, revision %d of %d", h.name,
			fresh, hasSession, settingsVersion, cmd.SettingsVersion, status.Revision, cmd.Revision)
	}
}
