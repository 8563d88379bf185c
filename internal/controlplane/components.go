// Package controlplane starts the parts by which a daemon works with others: its copy of the store, what it tells and hears of servers, the
// settings in force, tasks, shares of limits, and the socket of its operators. The program that is shipped runs them beside a sidecar
// or alone; the lab runs many in one process, without sidecars, by the same function.
package controlplane

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/controlplane/quotasync"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/follower"
	"birchmoor/internal/store/usage"
)

// Config says what is started.
type Config struct {
	File          *operatorconfig.File // with a [store]
	SettingsCheck daemon.SettingsCheck // of settings, for the sidecar that runs beside; nil where none does
	// Sidecar is the name of the one that runs beside, whose picture a follower's copy holds; "" where none does, or it is not known.
	Sidecar string
	Reload  <-chan os.Signal // a signal of the system's to read the settings anew; nil: none comes
	Log     *slog.Logger
	Defects Defects
}

// Defects is what builds for tests do within; no other sets it.
type Defects struct {
	Clock         bootclock.Clock // at another pace
	WrapStoreFile func(*os.File)
	WrapStore     func(admin.Store) admin.Store // the copy that the operators' socket answers by
	LeaseSession  lease.Defect
	LeaseTable    lease.TableDefect
	Quota         quota.Defect
}

// Components are those that run. Any goroutine may use them until End.
type Components struct {
	Servers  *daemon.Servers
	Settings *daemon.Settings
	Tasks    *leasetask.Runner
	Limits   *quotasync.Manager // nil where none are shared
	Store    Store
	Meter    *usage.Recorder

	closeServers func() error
	cancel       context.CancelFunc
	workers      sync.WaitGroup
	log          *slog.Logger
}

// Store is a copy of the store, a replica's or a follower's.
type Store interface {
	admin.Store
	Close() error
}

const (
	sweepInterval   = 10 * time.Second
	rolloutInterval = 250 * time.Millisecond
)

// Open starts the parts that the file tells of. End stops them.
func Open(c Config) (*Components, error) {
	s, bounds, log := c.File.Store, store.DefaultLimits, c.Log
	bounds.TotalBytes = s.MaxTotalMB << 20
	cfg := engine.Config{Name: s.Name, Dir: s.Dir, Address: s.Address, Join: s.Join, Limits: bounds, Tick: time.Duration(s.Tick),
		Elect: s.ElectionTicks, Log: log, Meter: adminapi.NewMeter()}
	for _, text := range s.PeerRoutes {
		if cfg.Via == nil {
			cfg.Via = map[string]string{}
		}
		name, addr, _ := strings.Cut(text, "=")
		cfg.Via[name] = addr
	}
	var err error
	if s.Keys != "" {
		if cfg.Keys, err = keys.Open(s.Keys, s.Name); err != nil {
			return nil, err
		}
	}
	if s.Listen != "" {
		if cfg.Listen, err = net.Listen("tcp", s.Listen); err != nil {
			return nil, fmt.Errorf("store: %w", err)
		}
	}
	clock := c.Defects.Clock
	if cfg.Disk.File = c.Defects.WrapStoreFile; clock.Pace != 0 {
		cfg.Tick = clock.Span(int64(cfg.Tick))
	}
	p := &Components{log: log, Meter: cfg.Meter, Servers: daemon.NewServers(s.Name, log), Settings: daemon.NewSettings(s.Name, c.SettingsCheck, log),
		Tasks: leasetask.New(leasetask.Config{Host: s.Name, Skew: s.MaxClockSkew, Log: log, Clock: clock, TableDefect: c.Defects.LeaseTable, SessionDefect: c.Defects.LeaseSession})}
	if c.Sidecar != "" {
		p.Servers.AddSidecar(c.Sidecar)
	}
	parts := append(p.Servers.Components(), p.Settings, p.Tasks)
	if l := c.File.Limits; l != nil {
		p.Limits = quotasync.New(quotasync.Config{Host: s.Name, TTL: time.Duration(l.SessionTTL), ReportInterval: time.Duration(l.ReportInterval), ReportIntervalPerProcess: time.Duration(l.ReportIntervalPerProcess), MaxClockSkew: s.MaxClockSkew,
			Clock: clock, Log: log, Defect: c.Defects.Quota}, p.Tasks)
		parts = append(parts, p.Limits)
	}
	d := daemon.New(log, parts...)
	d.DelegateSweep()
	if err := p.Servers.OpenDrainLog(s.Dir); err != nil {
		return nil, err
	}
	if len(s.Follow) > 0 {
		p.Store, err = p.openFollower(s, d, cfg)
	} else {
		p.Store, err = p.openReplica(s, d, cfg)
	}
	if err != nil {
		return nil, err
	}
	if err := p.serve(s, c.Defects.WrapStore, clock, cfg.Keys); err != nil {
		return nil, errors.Join(err, p.Store.Close())
	}
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	p.workers.Go(func() { d.Run(ctx) })
	p.workers.Go(func() { _ = p.Tasks.RunTask(ctx, sweepTask(d, p.Servers, time.Duration(s.TaskTTL))) }) // which has no fault to tell
	p.workers.Go(func() { p.forwardReloads(ctx, c.Reload) })
	p.workers.Go(func() { _ = p.Tasks.RunTask(ctx, rolloutTask(p.Settings, time.Duration(s.TaskTTL))) })
	if p.Limits != nil && len(s.Follow) == 0 {
		p.workers.Go(func() { _ = p.Tasks.RunTask(ctx, p.Limits.AllocatorTask()) })
	}
	log.Info("the store runs", "replica", s.Name, "listen", s.Listen, "serve", s.FollowerListen, "follows", s.Follow, "socket", s.Socket)
	return p, nil
}

// Close stops them, and gives up what is held while the store still takes that.
func (p *Components) Close() {
	p.Tasks.Close()
	p.cancel()
	p.workers.Wait()
	if err := errors.Join(p.closeServers(), p.Store.Close()); err != nil {
		p.log.Warn("the store did not close well", "error", err)
	}
}

// serve serves operators and followers.
func (p *Components) serve(s *operatorconfig.Store, planted func(admin.Store) admin.Store, clock bootclock.Clock, pair *keys.Pair) error {
	if err := os.MkdirAll(filepath.Dir(s.Socket), 0o700); err != nil {
		return err
	}
	answers, by := adminapi.Components{Servers: p.Servers, Settings: p.Settings, Tasks: p.Tasks, Limits: p.Limits, Clock: clock, Meter: p.Meter}, admin.Store(p.Store)
	if planted != nil {
		by = planted(by)
	}
	a, err := adminapi.Listen(s.Socket, by, answers)
	if err != nil {
		return err
	}
	p.closeServers = a.Close
	if s.FollowerListen == "" {
		return nil
	}
	ln, err := net.Listen("tcp", s.FollowerListen)
	if err != nil {
		return errors.Join(fmt.Errorf("store: %w", err), a.Close())
	}
	o, err := admin.ServeFollowers(ln, p.Store.(*engine.Engine), answers.FollowerRules(), pair)
	if err != nil {
		return errors.Join(err, ln.Close(), a.Close())
	}
	p.closeServers = func() error { return errors.Join(o.Close(), a.Close()) }
	return nil
}

// forwardReloads has a signal of the system's count as one of the store's.
func (p *Components) forwardReloads(ctx context.Context, hup <-chan os.Signal) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			select {
			case p.Settings.Reload() <- syscall.SIGHUP:
			default:
			}
		}
	}
}

// sweepTask is the task of ending what nobody has told for long.
func sweepTask(d *daemon.Daemon, servers *daemon.Servers, ttl time.Duration) leasetask.Task {
	var token uint64 // of the holding for which all is known
	return leasetask.Task{Claim: leasetask.Claim{Task: daemon.FleetTask, TTL: ttl, Note: "ends drains, starts and pictures that nobody tells any more"},
		Interval: sweepInterval, Timeout: ttl / 2, ProgressTimeout: 6 * sweepInterval, Cooldown: 6 * sweepInterval,
		Do: func(ctx context.Context, h *leasetask.Lease) error {
			if h.Token() != token {
				token = h.Token()
				servers.SubscribeAll(h.Context())
			}
			return d.Sweep(ctx)
		}}
}

// rolloutTask is the task of taking settings that come in force in steps further, or back.
func rolloutTask(settings *daemon.Settings, ttl time.Duration) leasetask.Task {
	return leasetask.Task{Claim: leasetask.Claim{Task: daemon.RolloutTask, TTL: ttl, Note: "drives settings that come in force in steps"}, Interval: rolloutInterval, Timeout: ttl / 2,
		ProgressTimeout: time.Minute, Cooldown: time.Minute,
		Do: func(ctx context.Context, h *leasetask.Lease) error {
			return settings.AdvanceRollout(ctx, h.Token(), h.Txn)
		}}
}

// openReplica starts a replica, and notes what its daemon starts with.
func (p *Components) openReplica(s *operatorconfig.Store, d *daemon.Daemon, cfg engine.Config) (Store, error) {
	d.InstallHooks(&cfg)
	var written time.Time
	if info, err := os.Stat(filepath.Join(s.Dir, disk.FileName)); err == nil {
		written = info.ModTime()
	}
	e, err := engine.Open(cfg)
	if err != nil {
		if cfg.Listen != nil {
			err = errors.Join(err, cfg.Listen.Close())
		}
		return nil, err
	}
	d.Attach(e)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	from := "own disk"
	if written.IsZero() {
		from = "nothing"
	}
	a, err := e.View(ctx, true, func(*store.State) {})
	if err != nil {
		return nil, errors.Join(err, e.Close())
	}
	p.Servers.RecordStartup(from, a.Revision, written, p.Settings.Current() != nil)
	return e, nil
}

// openFollower starts a copy of others' replicas.
func (p *Components) openFollower(s *operatorconfig.Store, d *daemon.Daemon, of engine.Config) (Store, error) {
	cfg := follower.Config{Name: s.Name, Dir: s.Dir, Keys: of.Keys, Meter: of.Meter, Wait: time.Duration(s.FirstCopyTimeout), Log: p.log, Age: p.Servers.ReportSnapshotAge}
	for _, text := range s.Follow {
		name, addr, _ := strings.Cut(text, "=")
		cfg.Replicas = append(cfg.Replicas, follower.Replica{Name: name, Addr: addr})
	}
	cfg.Event, cfg.Reset = d.Hooks()
	cfg.CaughtUp, cfg.Confirmed = d.CaughtUp, d.Confirmed
	if s.Interest != operatorconfig.InterestAll {
		cfg.Subscription, cfg.PrefixSize = d.Subscription, d.ObservePrefixSize
	}
	f, err := follower.Open(cfg)
	if err != nil {
		return nil, err
	}
	d.Attach(f)
	from, written := f.Found()
	a, err := f.View(context.Background(), true, func(*store.State) {})
	if err != nil {
		from = "nothing"
	}
	p.Servers.RecordStartup(from, a.Revision, written, p.Settings.Current() != nil)
	return f, nil
}
