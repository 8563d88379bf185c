// Package fleetlab runs daemons as processes: a few replicas of the store and any number of followers, each with its sidecar,
// a discovery of its own and clients, over slot servers that count what reaches them. It kills and cuts them, judges by what the
// servers counted, and measures. All of it is on loopback.
package fleetlab

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/lab/address"
	"birchmoor/internal/lab/relay"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"

	"golang.org/x/sys/unix"
)

// Config says what is run.
type Config struct {
	Program  string   // that runs a daemon,
	Args     []string // with these before the operator file,
	Env      []string // and these besides the environment
	Dir      string   // for what it writes; a temporary folder within it
	Replicas int
	Follow   int // followers
	Servers  int
	Starts   bool // discovery tells when servers start
	Seed     uint64
	Wait     time.Duration             // of a follower without a disk for its first copy; 0: as daemons do
	Bare     bool                      // daemons run no sidecar
	Handle   http.Handler              // what servers do, in place of counting and answering at once
	EnvOf    func(daemon int) []string // and of one daemon's alone
	Skew     float64                   // of the operator file; 0: none stands there
	Interest string                    // of followers; "": as is usual
	More     string                    // of the operator file, behind [store]
	Settings string                    // of the sidecars, as JSON; "": as Settings returns them
	Sockets  int                       // limit on each sidecar's descriptors; 0: none is configured

	Tick         time.Duration                         // of replicas; 0: 20 ms
	BareReplicas bool                                  // replicas run no sidecar; followers do, unless Bare
	Known        func(daemon int) []discovery.Instance // with which a daemon is configured, and what its discovery says; nil: all servers
	Between      func(from, to int) relay.Conditions   // of the link from a daemon to a replica; nil: none
}

// settings is a small site: one class that is safe to repeat, and servers that are cold for 10 s.
const settings = `{"peers-total":1,"areas":["a"],"skus":["m"],"discovery":"automatic",
	"classes":[{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,"overload-for":2000000,
	"ask-within":10000000},"limits":{"cancel":true,"probes":false,"most-tries":3,"most-held":1000,"dial-timeout":1000000},
	"reporting":{"how":"none"},"tenants":[{"name":"acme","allowance-per-s":100.0,"share":1.0}]}`

// Settings are those that daemons' sidecars are started with, as JSON, with edits as pairs of old and new text.
func Settings(edits ...string) string { return strings.NewReplacer(edits...).Replace(settings) }

// Fleet is what runs.
type Fleet struct {
	cfg     Config
	dir     string
	Daemons []*Daemon
	Servers []*Server
	doors   []door // of replicas
	ends    []end  // of links
}

// door is where other replicas reach one: all that comes in goes through one relay, and what each sends through one of its own
// before that.
type door struct {
	listen, address string
	in              *relay.Link
}

// Arrival is a request as a server counted it.
type Arrival struct {
	From  int // daemon
	At    time.Time
	Start int64 // of the process that it reached
}

// Server is a slot server.
type Server struct {
	*httptest.Server
	Number int
	handle http.Handler // or nil

	mu    sync.Mutex
	now   discovery.Instance
	last  map[int]time.Time // of the process of now, by daemon
	count map[int]int
	watch func(Arrival) // told of each, or nil
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.handle != nil {
		s.handle.ServeHTTP(w, r)
		return
	}
	at := time.Now()
	var from int
	fmt.Sscanf(r.Header.Get("X-From"), "%d", &from)
	s.mu.Lock()
	s.last[from] = at
	s.count[from]++
	watch, a := s.watch, Arrival{from, at, s.now.StartedMs}
	s.mu.Unlock()
	if watch != nil {
		watch(a)
	}
	io.WriteString(w, "ok")
}

// Now is the entry of the process that runs.
func (s *Server) Now() discovery.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.now
}

// Set makes it another entry's: one that drains, or a new start. Counts begin anew with a start.
func (s *Server) Set(in discovery.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if in.StartedMs != s.now.StartedMs || in.Lifecycle == "up" && s.now.Lifecycle != "up" {
		clear(s.last)
		clear(s.count)
	}
	s.now = in
}

// Last is when a daemon's last request came to the process of now; ok is false if none did.
func (s *Server) Last(from int) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok = s.last[from]
	return at, ok
}

// Count is how many of a daemon's came to it.
func (s *Server) Count(from int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count[from]
}

// Daemon is a process with a sidecar and a copy of the store.
type Daemon struct {
	Number   int
	f        *Fleet
	name     string
	follower bool
	listen   string // of the sidecar
	mgmt     string
	peer     string // of the replica, through the relay
	serve    string
	in       *relay.Link            // what comes to the replica from other replicas
	links    map[string]*relay.Link // by which it reaches each replica, by name
	board    *Board
	Client   *adminapi.Client
	Known    []discovery.Instance // with which it is configured: its list of a start
	bare     bool                 // it runs no sidecar
	plain    bool                 // the next start is of the sidecar alone
	Env      []string             // of its processes, besides the bench's own
	Build    string               // the program of the next starts, in place of the fleet's

	mu   sync.Mutex
	cmd  *exec.Cmd
	over chan struct{} // closed when it has ended
}

// Begin starts servers, boards and daemons, and waits until all replicas vote. End ends them.
func Begin(ctx context.Context, cfg Config) (f *Fleet, err error) {
	dir, err := os.MkdirTemp(cfg.Dir, "fleet-")
	if err != nil {
		return nil, err
	}
	f = &Fleet{cfg: cfg, dir: dir}
	defer func() {
		if err != nil {
			f.End()
		}
	}()
	var list []discovery.Instance
	for i := range cfg.Servers {
		s := &Server{Number: i, handle: cfg.Handle, last: map[int]time.Time{}, count: map[int]int{}}
		s.Server = httptest.NewServer(s)
		s.now = discovery.Instance{ID: fmt.Sprintf("slot-%d", i), Addr: s.Listener.Addr().String(), Zone: "a", Kind: "m", Cell: 1,
			Lifecycle: "up", Weight: 1}
		if cfg.Starts {
			s.now.StartedMs = time.Now().Add(-time.Hour).UnixMilli()
		}
		f.Servers = append(f.Servers, s)
		list = append(list, s.now)
	}
	for i := range cfg.Replicas {
		to := address.Next()
		in, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		l := relay.New(to, cfg.Seed+uint64(i), relay.Conditions{})
		l.Listen(in)
		f.doors = append(f.doors, door{to, in.Addr().String(), l})
	}
	for i := range cfg.Replicas + cfg.Follow {
		known := list
		if cfg.Known != nil {
			known = cfg.Known(i)
		}
		d, err := f.prepare(i, i >= cfg.Replicas, known)
		if err != nil {
			return f, err
		}
		f.Daemons = append(f.Daemons, d)
		if d.follower {
			continue
		}
		if err := d.Start(); err != nil {
			return f, err
		}
		if err := f.vote(ctx, i); err != nil {
			return f, err
		}
	}
	for _, d := range f.Daemons[cfg.Replicas:] {
		if err := d.Start(); err != nil {
			return f, err
		}
	}
	for _, d := range f.Daemons {
		if err := d.Ready(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// End kills all, and removes what was written.
func (f *Fleet) End() {
	for _, d := range f.Daemons {
		d.Kill()
		for _, l := range d.links {
			l.Close()
		}
		d.board.Close()
	}
	for _, x := range f.doors {
		x.in.Close()
	}
	for _, s := range f.Servers {
		s.CloseClientConnections()
		s.Close()
	}
	os.RemoveAll(f.dir)
}

func (f *Fleet) prepare(i int, follower bool, list []discovery.Instance) (*Daemon, error) {
	d := &Daemon{links: map[string]*relay.Link{}, Number: i, f: f, name: fmt.Sprintf("d%d", i), follower: follower, Known: list, board: NewBoard(list)}
	d.bare = f.cfg.Bare || f.cfg.BareReplicas && !follower
	d.Env = slices.Clone(f.cfg.Env)
	if f.cfg.EnvOf != nil {
		d.Env = append(d.Env, f.cfg.EnvOf(i)...)
	}
	d.Client = adminapi.Dial(d.path(".sock"))
	for _, to := range []*string{&d.listen, &d.mgmt, &d.serve} {
		*to = address.Next()
	}
	file := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\n", d.name, d.name, d.name+".sock")
	if follower {
		var all []string
		for _, r := range f.Daemons[:f.cfg.Replicas] {
			addr, err := d.link(r, r.serve, f.cfg.Seed+uint64(100*i+r.Number))
			if err != nil {
				return nil, err
			}
			all = append(all, r.name+"="+addr)
		}
		text, _ := json.Marshal(all) // TOML writes such lists as JSON does
		file += fmt.Sprintf("follow = %s\n", text)
		if f.cfg.Wait > 0 {
			file += fmt.Sprintf("wait = %q\n", f.cfg.Wait)
		}
		if f.cfg.Interest != "" {
			file += fmt.Sprintf("interest = %q\n", f.cfg.Interest)
		}
	} else {
		own := f.doors[i]
		d.in, d.peer = own.in, own.address
		var via []string
		for n, to := range f.doors {
			if n == i {
				continue
			}
			to := &Daemon{Number: n, name: fmt.Sprintf("d%d", n), peer: to.address}
			addr, err := d.link(to, to.peer, f.cfg.Seed+uint64(100*i+n))
			if err != nil {
				return nil, err
			}
			via = append(via, to.name+"="+addr)
		}
		file += fmt.Sprintf("listen = %q\naddress = %q\nserve = %q\njoin = %v\ntick = %q\n", own.listen, d.peer, d.serve, i > 0, cmp.Or(f.cfg.Tick, 20*time.Millisecond))
		if len(via) > 0 {
			text, _ := json.Marshal(via)
			file += fmt.Sprintf("via = %s\n", text)
		}
	}
	if f.cfg.Skew > 0 {
		file += fmt.Sprintf("skew = %g\n", f.cfg.Skew)
	}
	file += f.cfg.More
	return d, os.WriteFile(d.path(".toml"), []byte(file), 0o600)
}

// link makes a relay by which the daemon reaches another.
func (d *Daemon) link(to *Daemon, at string, seed uint64) (addr string, err error) {
	addr = address.Next()
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	var how relay.Conditions
	if d.f.cfg.Between != nil {
		how = d.f.cfg.Between(d.Number, to.Number)
	}
	l := relay.New(at, seed, how)
	d.links[to.name] = l
	l.Listen(ln)
	d.f.ends = append(d.f.ends, end{to.name, addr, l})
	return addr, nil
}

// end is where a link to a daemon listens: it refuses while that does not run, as the daemon itself would.
type end struct {
	to, addr string
	link     *relay.Link
}

// listens has the links to a daemon take connections, or refuse them.
func (f *Fleet) listens(to string, on bool) error {
	for _, e := range f.ends {
		if e.to != to {
			continue
		}
		e.link.Refuse()
		if !on {
			continue
		}
		ln, err := net.Listen("tcp", e.addr)
		if err != nil {
			return err
		}
		e.link.Listen(ln)
	}
	return nil
}

func (d *Daemon) path(of string) string { return filepath.Join(d.f.dir, d.name+of) }

// Start runs the process. Its temporary folder is new: what outlives it is the store's.
func (d *Daemon) Start() error {
	entries := map[string]any{"name": d.name, "listen": d.listen, "mgmt": d.mgmt, "discovery": d.board.Addr(),
		"seed": fmt.Sprintf("%016x", d.f.cfg.Seed+uint64(d.Number)), "known": discovery.List{Generation: 1, Reset: true, Instances: d.Known},
		"settings": json.RawMessage(cmp.Or(d.f.cfg.Settings, settings))}
	if d.f.cfg.Sockets > 0 {
		entries["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": d.f.cfg.Sockets}
	}
	config, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp(d.f.dir, "tmp-")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.path(".json"), config, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(d.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	args := append(append([]string{}, d.f.cfg.Args...), d.path(".toml"))
	if d.plain {
		args = []string{"sidecar"}
	}
	program := d.f.cfg.Program
	if d.Build != "" {
		program = d.Build
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+tmp), d.Env...)
	if !d.bare {
		cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+d.path(".json"))
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // none is left when this process is killed
	if err := d.f.listens(d.name, true); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	over := make(chan struct{})
	go func() {
		_ = cmd.Wait() // how it ended shows in its log, or it was killed
		close(over)
	}()
	d.mu.Lock()
	d.cmd, d.over = cmd, over
	d.mu.Unlock()
	return nil
}

// ended says whether the process has ended by itself.
func (d *Daemon) ended() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.over:
		return d.cmd != nil
	default:
		return false
	}
}

// Kill ends the process with SIGKILL.
func (d *Daemon) Kill() {
	d.mu.Lock()
	cmd, over := d.cmd, d.over
	d.cmd = nil
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL) // which it may have done without
		<-over
		_ = d.f.listens(d.name, false) // nothing is asked of it
	}
}

// PID is the process's number, or 0 if none runs.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// Ended is closed once the process that runs now has ended.
func (d *Daemon) Ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.over
}

// Socket is where its operators reach it.
func (d *Daemon) Socket() string { return d.path(".sock") }

// Dir is its store's folder.
func (d *Daemon) Dir() string { return d.path("") }

// Lose removes what a daemon that does not run has on its disk.
func (d *Daemon) Lose() error { return os.RemoveAll(d.path("")) }

// Log is what its processes wrote.
func (d *Daemon) Log() string {
	b, err := os.ReadFile(d.path(".log"))
	if err != nil {
		return err.Error()
	}
	return string(b)
}

// Serve is where followers reach a replica, past all links.
func (d *Daemon) Serve() string { return d.serve }

// Peer is where other replicas reach a replica.
func (d *Daemon) Peer() string { return d.peer }

// Board is its discovery.
func (d *Daemon) Board() *Board { return d.board }

// Link is the one by which the daemon reaches a replica, or nil.
func (d *Daemon) Link(to *Daemon) *relay.Link { return d.links[to.name] }

// Name is the daemon's.
func (d *Daemon) Name() string { return d.name }

// Follower says whether it has no replica.
func (d *Daemon) Follower() bool { return d.follower }

// Signal sends a signal to the process, if there is one.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // it may have ended
	}
}

// Full has every write of the process that would make a file longer fail, as on a disk without room (EFBIG in the place of ENOSPC),
// or succeed again.
func (d *Daemon) Full(on bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return nil
	}
	room := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if on {
		room.Cur = 0
	}
	return unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_FSIZE, &room, nil)
}

// Links changes all links by which the daemon reaches others, and what comes in to a replica.
func (d *Daemon) Links(change func(*relay.Conditions)) {
	if d.in != nil {
		d.in.Update(change)
	}
	for _, l := range d.links {
		l.Update(change)
	}
}

// Unheard has what the daemon sends to others lost, or go on; it hears them. Replicas send on connections of their own.
func (d *Daemon) Unheard(on bool) {
	for _, l := range d.links {
		l.Update(func(c *relay.Conditions) { c.BlackHoleToTarget = on })
	}
}

// Deafen has what others send to the daemon lost, or go on; they hear it.
func (d *Daemon) Deafen(on bool) {
	if d.in != nil {
		d.in.Update(func(c *relay.Conditions) { c.BlackHoleToTarget = on })
		return
	}
	for _, l := range d.links {
		l.Update(func(c *relay.Conditions) { c.BlackHoleFromTarget = on })
	}
}

// Between has what one replica sends to another lost, or go on.
func (d *Daemon) Between(to *Daemon, on bool) {
	if l := d.links[to.name]; l != nil {
		l.Update(func(c *relay.Conditions) { c.BlackHoleToTarget = on })
	}
}

// Copy is the file of a follower's copy, as it is on its disk; Put puts one there in the place of the newer one, while the daemon
// does not run.
func (d *Daemon) Copy() ([]byte, error) { return os.ReadFile(filepath.Join(d.Dir(), "copy")) }

// Put is of Copy.
func (d *Daemon) Put(copied []byte) error {
	return os.WriteFile(filepath.Join(d.Dir(), "copy"), copied, 0o600)
}

// Ready waits until the sidecar takes requests, or without one until the operators' socket answers.
func (d *Daemon) Ready(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.bare {
			if _, err := d.Client.Status(ctx); err == nil {
				return nil
			}
			if d.ended() {
				return fmt.Errorf("%s has ended:\n%s", d.name, d.Log())
			}
			time.Sleep(2 * time.Millisecond)
			continue
		}
		resp, err := http.Get("http://" + d.listen + "/-/ready")
		if err == nil {
			resp.Body.Close()
			if resp.StatusCode == 200 {
				return nil
			}
		}
		if d.ended() {
			return fmt.Errorf("%s has ended:\n%s", d.name, d.Log())
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("%s does not come to serve: %w", d.name, ctx.Err())
}

// vote takes a replica into the cluster, and waits until it votes.
func (f *Fleet) vote(ctx context.Context, i int) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	added := i == 0
	var last error
	for ctx.Err() == nil {
		a := f.Daemons[0].Client
		if !added {
			_, last = a.Change(ctx, admin.ChangeRequest{ID: store.RequestID{Client: 1 << 40, Seq: uint64(i)},
				AddMember: &store.AddMember{Name: f.Daemons[i].name, Address: f.Daemons[i].peer}})
			added = last == nil
		}
		if s, err := a.Status(ctx); err == nil && added && s.MembershipStable && len(s.Peers) == i+1 && s.LeaderID != 0 && s.Level >= store.Level {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("replica %d does not come to vote: %w\n%s", i, errors.Join(last, ctx.Err()), f.Daemons[i].Log())
}

// Listen is where its sidecar's clients connect.
func (d *Daemon) Listen() string { return d.listen }

// Ask sends one request through the daemon's sidecar, and says whether it was served.
func (d *Daemon) Ask(ctx context.Context, c *http.Client, id string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.listen+"/look/1", nil)
	if err != nil {
		return false
	}
	for name, value := range map[string]string{"X-Trace-Id": id, "X-Qos": "look", "X-Customer": "acme", "X-Expires-In-Ms": "900",
		"X-From": fmt.Sprint(d.Number)} {
		r.Header.Set(name, value)
	}
	resp, err := c.Do(r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, resp.Body)
	resp.Body.Close()
	return err == nil && resp.StatusCode == http.StatusOK
}

// Load asks through all daemons, each so many times a second over so many connections, until ctx ends.
func (f *Fleet) Load(ctx context.Context, conns int, every time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, d := range f.Daemons {
		for k := range conns {
			wg.Go(func() {
				c := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * time.Second}
				defer c.CloseIdleConnections()
				t := time.NewTicker(every)
				defer t.Stop()
				for n := 0; ctx.Err() == nil; n++ {
					d.Ask(ctx, c, fmt.Sprintf("%04x%04x%012x", d.Number, k, n))
					select {
					case <-t.C:
					case <-ctx.Done():
					}
				}
			})
		}
	}
	return &wg
}

// Operate makes an operator's call at the daemon's second address, and returns the answer.
func (d *Daemon) Operate(line string) (string, error) {
	c, err := net.DialTimeout("tcp", d.mgmt, time.Second)
	if err != nil {
		return "", err
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(c, line+"\n"); err != nil {
		return "", err
	}
	b, err := io.ReadAll(c)
	return string(b), err
}

// ---- Discovery -------------------------------------------------------------

// Board is a discovery that tells those who watch it one list. Any goroutine may use it.
type Board struct {
	http *httptest.Server

	mu      sync.Mutex
	list    []discovery.Instance
	version int64
	changed chan struct{}
	deaf    bool // it says nothing new
	sent    atomic.Uint64
}

// Sent is how many bytes it said, without the heads of HTTP.
func (b *Board) Sent() uint64 { return b.sent.Load() }

// NewBoard starts one on loopback; Close ends it.
func NewBoard(list []discovery.Instance) *Board {
	b := &Board{list: append([]discovery.Instance(nil), list...), version: 1, changed: make(chan struct{})}
	b.http = httptest.NewServer(b)
	return b
}

// Addr is where it is asked.
func (b *Board) Addr() string { return b.http.Listener.Addr().String() }

// Close ends it, and all watches.
func (b *Board) Close() {
	b.http.CloseClientConnections()
	b.http.Close()
}

// Tell has a daemon's discovery say that an entry is so, unless it has said something later of it: words that are told late
// may cross.
func (d *Daemon) Tell(in discovery.Instance) { d.board.Tell(in) }

// Tell says that an entry is so; see Daemon.Tell.
func (b *Board) Tell(in discovery.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for i := range b.list {
		if was := b.list[i]; was.ID == in.ID {
			if was.StartedMs > in.StartedMs || was.StartedMs == in.StartedMs && was.Lifecycle == "draining" {
				return
			}
			b.list[i], found = in, true
		}
	}
	if !found {
		b.list = append(b.list, in)
	}
	b.version++
	close(b.changed)
	b.changed = make(chan struct{})
}

// Deaf has a daemon's discovery say nothing new, or go on with what it has.
func (d *Daemon) Deaf(on bool) {
	d.board.mu.Lock()
	defer d.board.mu.Unlock()
	d.board.deaf = on
	close(d.board.changed)
	d.board.changed = make(chan struct{})
}

func (b *Board) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c := http.NewResponseController(w)
	sent := int64(0)
	for {
		b.mu.Lock()
		list, version, changed := append([]discovery.Instance(nil), b.list...), b.version, b.changed
		if b.deaf {
			version = sent
		}
		b.mu.Unlock()
		if version != sent {
			text, err := json.Marshal(discovery.List{Generation: version, Reset: true, Instances: list})
			if err != nil {
				return
			}
			n, err := w.Write(append(text, '\n'))
			if b.sent.Add(uint64(n)); err != nil {
				return
			}
			sent = version
		} else if r.FormValue("watch") != "" {
			n, err := io.WriteString(w, "\n")
			if b.sent.Add(uint64(n)); err != nil {
				return
			}
		}
		if r.FormValue("watch") == "" || c.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-time.After(time.Second):
		case <-r.Context().Done():
			return
		}
	}
}
