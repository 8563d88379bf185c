// Package fleetlab runs daemons as processes: a few replicas of the store and any number of followers. Each has its
// sidecar, a discovery server of its own and clients, over slot servers that count the requests that reach them. The
// package injects faults into daemons and links, judges the daemons by what the servers counted, and takes
// measurements. Everything is on loopback.
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

// Config describes a fleet.
type Config struct {
	Program             string   // runs a daemon
	Args                []string // of Program, before the operator file
	Env                 []string // added to the environment of all daemons
	Dir                 string   // parent of the fleet's temporary folder
	Replicas            int
	Followers           int // number of followers
	Servers             int
	ReportStarts        bool // discovery reports the start time of servers
	Seed                uint64
	FirstCopyTimeout    time.Duration             // of a follower without data on disk; 0 for the default
	NoSidecars          bool                      // daemons run no sidecar
	Handler             http.Handler              // serves the servers' requests; nil to count them and answer at once
	DaemonEnv           func(daemon int) []string // added to the environment of one daemon; may be nil
	Skew                float64                   // skew of the operator file; 0 for the default
	Interest            string                    // interest of followers in the operator file; "" for the default
	ExtraOperatorConfig string                    // appended to the operator file, after [store]
	Settings            string                    // of the sidecars, as JSON; "" for Settings()
	DescriptorLimit     int                       // limit on each sidecar's descriptors; 0 to configure none

	Tick              time.Duration // of replicas; 0 for 20 ms
	NoReplicaSidecars bool          // replicas run no sidecar; followers do, unless NoSidecars is set
	// KnownInstances returns the endpoint list in a daemon's configuration and of its discovery. If it is nil, the list
	// contains all servers.
	KnownInstances func(daemon int) []discovery.Instance
	// LinkConditions returns the conditions of the link from a daemon to a replica. If it is nil, links have no faults.
	LinkConditions func(from, to int) relay.Conditions
}

// settings describe a small site, with one idempotent class, and servers that warm up for 10 s.
const settings = `{"peers-total":1,"areas":["a"],"skus":["m"],"discovery":"automatic",
	"classes":[{"name":"look","repeat":"pure","target":500000,"give-up":1000000,"credit":1.0}],
	"contract":{"drain-grace":250000,"cold-from":0.2,"ramp-time":10000000,"fall-multiple":2.5,"overload-for":2000000,
	"ask-within":10000000},"limits":{"cancel":true,"probes":false,"most-tries":3,"most-held":1000,"dial-timeout":1000000},
	"reporting":{"how":"none"},"tenants":[{"name":"acme","allowance-per-s":100.0,"share":1.0}]}`

// Settings returns the default settings of the sidecars as JSON, edited by pairs of old and new text.
func Settings(edits ...string) string { return strings.NewReplacer(edits...).Replace(settings) }

// Fleet is a running fleet. Its daemons are numbered, replicas first.
type Fleet struct {
	cfg           Config
	dir           string
	Daemons       []*Daemon
	Servers       []*Server
	inlets        []replicaInlet // by number of the replica
	linkListeners []linkListener // of all links between daemons
}

// replicaInlet is the address at which other replicas reach a replica. All that they send passes the relay inbound,
// after the relay of each sender.
type replicaInlet struct {
	listen, address string
	inbound         *relay.Link
}

// Arrival is a request that reached a server.
type Arrival struct {
	From  int // number of the daemon that sent it
	At    time.Time
	Start int64 // start time of the server's process, in Unix milliseconds
}

// Server is a slot server. It answers at once and counts requests by daemon, unless it has a handler. It is safe for
// concurrent use.
type Server struct {
	*httptest.Server
	Number  int
	handler http.Handler // may be nil

	mu            sync.Mutex
	instance      discovery.Instance // entry of the current process
	lastRequests  map[int]time.Time  // of the current process, by daemon
	requestCounts map[int]int        // of the current process, by daemon
	onArrival     func(Arrival)      // called for each request; may be nil
}

func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.handler != nil {
		s.handler.ServeHTTP(w, r)
		return
	}
	now := time.Now()
	var from int
	fmt.Sscanf(r.Header.Get("X-From"), "%d", &from)
	s.mu.Lock()
	s.lastRequests[from] = now
	s.requestCounts[from]++
	onArrival, arrival := s.onArrival, Arrival{from, now, s.instance.StartedMs}
	s.mu.Unlock()
	if onArrival != nil {
		onArrival(arrival)
	}
	io.WriteString(w, "ok")
}

// Instance returns the endpoint entry of the current process.
func (s *Server) Instance() discovery.Instance {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.instance
}

// SetInstance replaces the endpoint entry, for a drain or a new start of the server. A start resets the counts.
func (s *Server) SetInstance(instance discovery.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if instance.StartedMs != s.instance.StartedMs || instance.Lifecycle == "up" && s.instance.Lifecycle != "up" {
		clear(s.lastRequests)
		clear(s.requestCounts)
	}
	s.instance = instance
}

// LastRequest returns when the last request of a daemon reached the current process; ok is false if none did.
func (s *Server) LastRequest(from int) (at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok = s.lastRequests[from]
	return at, ok
}

// RequestCount returns the number of requests of a daemon that reached the current process.
func (s *Server) RequestCount(from int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requestCounts[from]
}

// Daemon runs the processes of one daemon, one after the other: a sidecar with a replica or a follower of the store.
// Its exported fields must not be changed during Start.
type Daemon struct {
	Number       int
	fleet        *Fleet
	name         string
	follower     bool
	clientAddr   string                 // of the sidecar
	operatorAddr string                 // of the sidecar, for operators' calls
	peerAddr     string                 // of the replica, through its inbound relay
	followerAddr string                 // of the replica, for followers
	inbound      *relay.Link            // from other replicas; nil for a follower
	links        map[string]*relay.Link // to replicas, by their name
	discovery    *DiscoveryServer
	Client       *adminapi.Client
	Known        []discovery.Instance // endpoint list in the configuration
	noSidecar    bool                 // the daemon runs no sidecar
	sidecarOnly  bool                 // the next start runs only the sidecar, without the store
	Env          []string             // added to the environment of its processes
	Program      string               // program of the next starts; "" for the fleet's program

	mu     sync.Mutex
	cmd    *exec.Cmd     // nil if killed or not yet started
	exited chan struct{} // closed when the process has ended
}

// Begin starts servers, discovery servers and daemons, and waits until all replicas vote and all daemons are ready. End
// must be called unless it returns an error.
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
	var instances []discovery.Instance
	for i := range cfg.Servers {
		server := &Server{Number: i, handler: cfg.Handler, lastRequests: map[int]time.Time{},
			requestCounts: map[int]int{}}
		server.Server = httptest.NewServer(server)
		server.instance = discovery.Instance{
			ID:        fmt.Sprintf("slot-%d", i),
			Addr:      server.Listener.Addr().String(),
			Zone:      "a",
			Kind:      "m",
			Cell:      1,
			Lifecycle: "up",
			Weight:    1,
		}
		if cfg.ReportStarts {
			server.instance.StartedMs = time.Now().Add(-time.Hour).UnixMilli()
		}
		f.Servers = append(f.Servers, server)
		instances = append(instances, server.instance)
	}
	for i := range cfg.Replicas {
		target := address.Next()
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		link := relay.New(target, cfg.Seed+uint64(i), relay.Conditions{})
		link.Listen(listener)
		f.inlets = append(f.inlets, replicaInlet{target, listener.Addr().String(), link})
	}
	for i := range cfg.Replicas + cfg.Followers {
		known := instances
		if cfg.KnownInstances != nil {
			known = cfg.KnownInstances(i)
		}
		daemon, err := f.newDaemon(i, i >= cfg.Replicas, known)
		if err != nil {
			return f, err
		}
		f.Daemons = append(f.Daemons, daemon)
		if daemon.follower {
			continue
		}
		if err := daemon.Start(); err != nil {
			return f, err
		}
		if err := f.addReplica(ctx, i); err != nil {
			return f, err
		}
	}
	for _, daemon := range f.Daemons[cfg.Replicas:] {
		if err := daemon.Start(); err != nil {
			return f, err
		}
	}
	for _, daemon := range f.Daemons {
		if err := daemon.Ready(ctx); err != nil {
			return f, err
		}
	}
	return f, nil
}

// End kills all daemons, closes links and servers, and removes the fleet's folder.
func (f *Fleet) End() {
	for _, d := range f.Daemons {
		d.Kill()
		for _, link := range d.links {
			link.Close()
		}
		d.discovery.Close()
	}
	for _, inlet := range f.inlets {
		inlet.inbound.Close()
	}
	for _, s := range f.Servers {
		s.CloseClientConnections()
		s.Close()
	}
	os.RemoveAll(f.dir)
}

// newDaemon returns a daemon that is not yet started, with its links and its operator file.
func (f *Fleet) newDaemon(number int, follower bool, known []discovery.Instance) (*Daemon, error) {
	d := &Daemon{
		links:     map[string]*relay.Link{},
		Number:    number,
		fleet:     f,
		name:      fmt.Sprintf("d%d", number),
		follower:  follower,
		Known:     known,
		discovery: NewDiscoveryServer(known),
	}
	d.noSidecar = f.cfg.NoSidecars || f.cfg.NoReplicaSidecars && !follower
	d.Env = slices.Clone(f.cfg.Env)
	if f.cfg.DaemonEnv != nil {
		d.Env = append(d.Env, f.cfg.DaemonEnv(number)...)
	}
	d.Client = adminapi.Dial(d.path(".sock"))
	for _, to := range []*string{&d.clientAddr, &d.operatorAddr, &d.followerAddr} {
		*to = address.Next()
	}
	operatorFile := fmt.Sprintf("[store]\nname = %q\ndir = %q\nsocket = %q\nplain = true\n",
		d.name, d.name, d.name+".sock")
	if follower {
		var replicas []string
		for _, replica := range f.Daemons[:f.cfg.Replicas] {
			addr, err := d.newLink(replica, replica.followerAddr, f.cfg.Seed+uint64(100*number+replica.Number))
			if err != nil {
				return nil, err
			}
			replicas = append(replicas, replica.name+"="+addr)
		}
		text, _ := json.Marshal(replicas) // TOML writes such lists as JSON does
		operatorFile += fmt.Sprintf("follow = %s\n", text)
		if f.cfg.FirstCopyTimeout > 0 {
			operatorFile += fmt.Sprintf("wait = %q\n", f.cfg.FirstCopyTimeout)
		}
		if f.cfg.Interest != "" {
			operatorFile += fmt.Sprintf("interest = %q\n", f.cfg.Interest)
		}
	} else {
		inlet := f.inlets[number]
		d.inbound, d.peerAddr = inlet.inbound, inlet.address
		var via []string
		for other, to := range f.inlets {
			if other == number {
				continue
			}
			to := &Daemon{Number: other, name: fmt.Sprintf("d%d", other), peerAddr: to.address}
			addr, err := d.newLink(to, to.peerAddr, f.cfg.Seed+uint64(100*number+other))
			if err != nil {
				return nil, err
			}
			via = append(via, to.name+"="+addr)
		}
		operatorFile += fmt.Sprintf("listen = %q\naddress = %q\nserve = %q\njoin = %v\ntick = %q\n",
			inlet.listen, d.peerAddr, d.followerAddr, number > 0, cmp.Or(f.cfg.Tick, 20*time.Millisecond))
		if len(via) > 0 {
			text, _ := json.Marshal(via)
			operatorFile += fmt.Sprintf("via = %s\n", text)
		}
	}
	if f.cfg.Skew > 0 {
		operatorFile += fmt.Sprintf("skew = %g\n", f.cfg.Skew)
	}
	operatorFile += f.cfg.ExtraOperatorConfig
	return d, os.WriteFile(d.path(".toml"), []byte(operatorFile), 0o600)
}

// newLink opens a relay from the daemon to an address of another daemon, and returns the relay's address.
func (d *Daemon) newLink(to *Daemon, target string, seed uint64) (addr string, err error) {
	addr = address.Next()
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	var conditions relay.Conditions
	if d.fleet.cfg.LinkConditions != nil {
		conditions = d.fleet.cfg.LinkConditions(d.Number, to.Number)
	}
	link := relay.New(target, seed, conditions)
	d.links[to.name] = link
	link.Listen(listener)
	d.fleet.linkListeners = append(d.fleet.linkListeners, linkListener{to.name, addr, link})
	return addr, nil
}

// linkListener is the listening address of a link to a daemon. The link refuses connections while the daemon does not
// run, as the daemon itself would.
type linkListener struct {
	daemon, addr string
	link         *relay.Link
}

// setLinksListening makes the links to a daemon accept or refuse new connections.
func (f *Fleet) setLinksListening(daemon string, active bool) error {
	for _, listener := range f.linkListeners {
		if listener.daemon != daemon {
			continue
		}
		listener.link.Refuse()
		if !active {
			continue
		}
		accepting, err := net.Listen("tcp", listener.addr)
		if err != nil {
			return err
		}
		listener.link.Listen(accepting)
	}
	return nil
}

func (d *Daemon) path(suffix string) string { return filepath.Join(d.fleet.dir, d.name+suffix) }

// Start starts a process of the daemon, with an empty temporary folder. Only the store's folder is kept between starts.
func (d *Daemon) Start() error {
	entries := map[string]any{
		"name":      d.name,
		"listen":    d.clientAddr,
		"mgmt":      d.operatorAddr,
		"discovery": d.discovery.Addr(),
		"seed":      fmt.Sprintf("%016x", d.fleet.cfg.Seed+uint64(d.Number)),
		"known":     discovery.List{Generation: 1, Reset: true, Instances: d.Known},
		"settings":  json.RawMessage(cmp.Or(d.fleet.cfg.Settings, settings)),
	}
	if d.fleet.cfg.DescriptorLimit > 0 {
		entries["limits"] = map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": d.fleet.cfg.DescriptorLimit}
	}
	config, err := json.Marshal(entries)
	if err != nil {
		return err
	}
	tmp, err := os.MkdirTemp(d.fleet.dir, "tmp-")
	if err != nil {
		return err
	}
	if err := os.WriteFile(d.path(".json"), config, 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(d.path(".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	args := append(append([]string{}, d.fleet.cfg.Args...), d.path(".toml"))
	if d.sidecarOnly {
		args = []string{"sidecar"}
	}
	program := d.fleet.cfg.Program
	if d.Program != "" {
		program = d.Program
	}
	cmd := exec.Command(program, args...)
	cmd.Env = append(append(os.Environ(), "TMPDIR="+tmp), d.Env...)
	if !d.noSidecar {
		cmd.Env = append(cmd.Env, "ROUTER_CONFIG="+d.path(".json"))
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // the daemon ends even if this process is killed
	if err := d.fleet.setLinksListening(d.name, true); err != nil {
		return err
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = cmd.Wait() // the process was killed, or its log says how it ended
		close(exited)
	}()
	d.mu.Lock()
	d.cmd, d.exited = cmd, exited
	d.mu.Unlock()
	return nil
}

// hasExited reports whether the process has ended by itself.
func (d *Daemon) hasExited() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	select {
	case <-d.exited:
		return d.cmd != nil
	default:
		return false
	}
}

// Kill ends the process with SIGKILL and waits for its end. It does nothing if no process runs.
func (d *Daemon) Kill() {
	d.mu.Lock()
	cmd, exited := d.cmd, d.exited
	d.cmd = nil
	d.mu.Unlock()
	if cmd != nil {
		_ = cmd.Process.Signal(syscall.SIGKILL) // fails if the process has ended already
		<-exited
		_ = d.fleet.setLinksListening(d.name, false) // only listening can fail
	}
}

// PID returns the process ID, or 0 if no process was started or it was killed.
func (d *Daemon) PID() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return 0
	}
	return d.cmd.Process.Pid
}

// Ended returns a channel that is closed once the current process has ended.
func (d *Daemon) Ended() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.exited
}

// Socket returns the path of the daemon's admin socket.
func (d *Daemon) Socket() string { return d.path(".sock") }

// Dir returns the store's folder.
func (d *Daemon) Dir() string { return d.path("") }

// RemoveData removes the store's folder. The daemon must not run.
func (d *Daemon) RemoveData() error { return os.RemoveAll(d.path("")) }

// Log returns everything that the daemon's processes have logged, or the error of reading it.
func (d *Daemon) Log() string {
	content, err := os.ReadFile(d.path(".log"))
	if err != nil {
		return err.Error()
	}
	return string(content)
}

// FollowerAddr returns the address of a replica for followers, without a relay.
func (d *Daemon) FollowerAddr() string { return d.followerAddr }

// PeerAddr returns the address of a replica for other replicas, through its inbound relay.
func (d *Daemon) PeerAddr() string { return d.peerAddr }

// DiscoveryServer returns the daemon's discovery server.
func (d *Daemon) DiscoveryServer() *DiscoveryServer { return d.discovery }

// Link returns the link from the daemon to a replica, or nil if there is none.
func (d *Daemon) Link(to *Daemon) *relay.Link { return d.links[to.name] }

// Name returns the daemon's name, which is unique in the fleet.
func (d *Daemon) Name() string { return d.name }

// Follower reports whether the daemon is a follower, without a replica of the store.
func (d *Daemon) Follower() bool { return d.follower }

// Signal sends a signal to the process. It does nothing if no process runs.
func (d *Daemon) Signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd != nil {
		_ = d.cmd.Process.Signal(s) // fails if the process has ended
	}
}

// SetDiskFull makes every write of the process that would extend a file fail, as on a full disk but with EFBIG instead
// of ENOSPC, or succeed again. It does nothing if no process runs.
func (d *Daemon) SetDiskFull(full bool) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.cmd == nil {
		return nil
	}
	limit := unix.Rlimit{Cur: unix.RLIM_INFINITY, Max: unix.RLIM_INFINITY}
	if full {
		limit.Cur = 0
	}
	return unix.Prlimit(d.cmd.Process.Pid, unix.RLIMIT_FSIZE, &limit, nil)
}

// UpdateLinks changes the conditions of all links from the daemon, and of those to a replica from other replicas.
func (d *Daemon) UpdateLinks(change func(*relay.Conditions)) {
	if d.inbound != nil {
		d.inbound.Update(change)
	}
	for _, link := range d.links {
		link.Update(change)
	}
}

// SetSentLost loses everything that the daemon sends to others while active. It still receives what they send. Replicas
// send on connections that they opened themselves.
func (d *Daemon) SetSentLost(active bool) {
	for _, link := range d.links {
		link.Update(func(c *relay.Conditions) { c.BlackHoleToTarget = active })
	}
}

// SetReceivedLost loses everything that others send to the daemon while active. They still receive what it sends.
func (d *Daemon) SetReceivedLost(active bool) {
	if d.inbound != nil {
		d.inbound.Update(func(c *relay.Conditions) { c.BlackHoleToTarget = active })
		return
	}
	for _, link := range d.links {
		link.Update(func(c *relay.Conditions) { c.BlackHoleFromTarget = active })
	}
}

// SetSentLostTo sets whether everything that the daemon sends to one other replica is lost.
func (d *Daemon) SetSentLostTo(to *Daemon, active bool) {
	if link := d.links[to.name]; link != nil {
		link.Update(func(c *relay.Conditions) { c.BlackHoleToTarget = active })
	}
}

// ReadCopy returns the content of a follower's copy of the store on disk.
func (d *Daemon) ReadCopy() ([]byte, error) { return os.ReadFile(filepath.Join(d.Dir(), "copy")) }

// WriteCopy replaces a follower's copy of the store on disk, such as by an older one from ReadCopy. The daemon must not
// run.
func (d *Daemon) WriteCopy(content []byte) error {
	return os.WriteFile(filepath.Join(d.Dir(), "copy"), content, 0o600)
}

// Ready waits until the sidecar is ready for requests, or until the admin socket answers if the daemon runs no sidecar.
func (d *Daemon) Ready(ctx context.Context) error {
	for ctx.Err() == nil {
		if d.noSidecar {
			if _, err := d.Client.Status(ctx); err == nil {
				return nil
			}
			if d.hasExited() {
				return fmt.Errorf("%s has ended:\n%s", d.name, d.Log())
			}
			time.Sleep(2 * time.Millisecond)
			continue
		}
		response, err := http.Get("http://" + d.clientAddr + "/-/ready")
		if err == nil {
			response.Body.Close()
			if response.StatusCode == 200 {
				return nil
			}
		}
		if d.hasExited() {
			return fmt.Errorf("%s has ended:\n%s", d.name, d.Log())
		}
		time.Sleep(2 * time.Millisecond)
	}
	return fmt.Errorf("%s is not ready: %w", d.name, ctx.Err())
}

// addReplica adds a replica to the cluster, and waits until it votes. The first replica is a member from its start on.
func (f *Fleet) addReplica(ctx context.Context, number int) error {
	ctx, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	added := number == 0
	var lastErr error
	for ctx.Err() == nil {
		client := f.Daemons[0].Client
		if !added {
			_, lastErr = client.Change(ctx, admin.ChangeRequest{
				ID:        store.RequestID{Client: 1 << 40, Seq: uint64(number)},
				AddMember: &store.AddMember{Name: f.Daemons[number].name, Address: f.Daemons[number].peerAddr}})
			added = lastErr == nil
		}
		if status, err := client.Status(ctx); err == nil && added && status.MembershipStable &&
			len(status.Peers) == number+1 && status.LeaderID != 0 && status.Level >= store.Level {
			return nil
		}
		time.Sleep(10 * time.Millisecond)
	}
	return fmt.Errorf("replica %d does not vote: %w\n%s", number, errors.Join(lastErr, ctx.Err()),
		f.Daemons[number].Log())
}

// ClientAddr returns the address of the sidecar for clients.
func (d *Daemon) ClientAddr() string { return d.clientAddr }

// SendRequest sends one request through the daemon's sidecar, and reports whether it was served with status 200.
func (d *Daemon) SendRequest(ctx context.Context, client *http.Client, id string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+d.clientAddr+"/look/1", nil)
	if err != nil {
		return false
	}
	for name, value := range map[string]string{
		"X-Trace-Id":      id,
		"X-Qos":           "look",
		"X-Customer":      "acme",
		"X-Expires-In-Ms": "900",
		"X-From":          fmt.Sprint(d.Number),
	} {
		request.Header.Set(name, value)
	}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, response.Body)
	response.Body.Close()
	return err == nil && response.StatusCode == http.StatusOK
}

// Load sends requests through all daemons until ctx ends, over conns connections to each daemon and at an interval on
// each connection. The caller waits on the result after the end of ctx.
func (f *Fleet) Load(ctx context.Context, conns int, interval time.Duration) *sync.WaitGroup {
	var wg sync.WaitGroup
	for _, d := range f.Daemons {
		for conn := range conns {
			wg.Go(func() {
				client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}, Timeout: 2 * time.Second}
				defer client.CloseIdleConnections()
				ticker := time.NewTicker(interval)
				defer ticker.Stop()
				for n := 0; ctx.Err() == nil; n++ {
					d.SendRequest(ctx, client, fmt.Sprintf("%04x%04x%012x", d.Number, conn, n))
					select {
					case <-ticker.C:
					case <-ctx.Done():
					}
				}
			})
		}
	}
	return &wg
}

// CallOperator sends an operator's command to the daemon's sidecar, and returns the reply.
func (d *Daemon) CallOperator(line string) (string, error) {
	conn, err := net.DialTimeout("tcp", d.operatorAddr, time.Second)
	if err != nil {
		return "", err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := io.WriteString(conn, line+"\n"); err != nil {
		return "", err
	}
	reply, err := io.ReadAll(conn)
	return string(reply), err
}

// ---- Discovery -------------------------------------------------------------

// DiscoveryServer is a discovery server with one endpoint list, for polls and watches. It is safe for concurrent use.
type DiscoveryServer struct {
	server *httptest.Server

	mu        sync.Mutex
	instances []discovery.Instance
	version   int64         // of instances
	changed   chan struct{} // closed and replaced at each change
	silenced  bool          // changes are not sent
	bytesSent atomic.Uint64
}

// BytesSent returns the number of bytes sent, without HTTP headers.
func (b *DiscoveryServer) BytesSent() uint64 { return b.bytesSent.Load() }

// NewDiscoveryServer starts a discovery server on loopback with an endpoint list, which it copies. Close ends it.
func NewDiscoveryServer(list []discovery.Instance) *DiscoveryServer {
	b := &DiscoveryServer{instances: append([]discovery.Instance(nil), list...), version: 1,
		changed: make(chan struct{})}
	b.server = httptest.NewServer(b)
	return b
}

// Addr returns the address for polls and watches.
func (b *DiscoveryServer) Addr() string { return b.server.Listener.Addr().String() }

// Close ends the server and all watches.
func (b *DiscoveryServer) Close() {
	b.server.CloseClientConnections()
	b.server.Close()
}

// Report reports the state of an instance through the daemon's discovery. The report is ignored if discovery has
// reported a later state of the instance, since delayed reports may overtake each other.
func (d *Daemon) Report(instance discovery.Instance) { d.discovery.Report(instance) }

// Report reports the state of an instance; see Daemon.Report.
func (b *DiscoveryServer) Report(instance discovery.Instance) {
	b.mu.Lock()
	defer b.mu.Unlock()
	found := false
	for i := range b.instances {
		if current := b.instances[i]; current.ID == instance.ID {
			if current.StartedMs > instance.StartedMs ||
				current.StartedMs == instance.StartedMs && current.Lifecycle == "draining" {
				return
			}
			b.instances[i], found = instance, true
		}
	}
	if !found {
		b.instances = append(b.instances, instance)
	}
	b.version++
	close(b.changed)
	b.changed = make(chan struct{})
}

// SetDiscoverySilent holds back all changes of the daemon's discovery while active. Its end sends the current list.
func (d *Daemon) SetDiscoverySilent(active bool) {
	d.discovery.mu.Lock()
	defer d.discovery.mu.Unlock()
	d.discovery.silenced = active
	close(d.discovery.changed)
	d.discovery.changed = make(chan struct{})
}

func (b *DiscoveryServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	controller := http.NewResponseController(w)
	sentVersion := int64(0)
	for {
		b.mu.Lock()
		instances, version, changed := append([]discovery.Instance(nil), b.instances...), b.version, b.changed
		if b.silenced {
			version = sentVersion
		}
		b.mu.Unlock()
		if version != sentVersion {
			text, err := json.Marshal(discovery.List{Generation: version, Reset: true, Instances: instances})
			if err != nil {
				return
			}
			n, err := w.Write(append(text, '\n'))
			if b.bytesSent.Add(uint64(n)); err != nil {
				return
			}
			sentVersion = version
		} else if r.FormValue("watch") != "" {
			n, err := io.WriteString(w, "\n")
			if b.bytesSent.Add(uint64(n)); err != nil {
				return
			}
		}
		if r.FormValue("watch") == "" || controller.Flush() != nil {
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
