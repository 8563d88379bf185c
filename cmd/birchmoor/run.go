package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"birchmoor/internal/boot"
	"birchmoor/internal/config"
	"birchmoor/internal/daemon"
	"birchmoor/internal/keys"
	"birchmoor/internal/lab/tasklab"
	"birchmoor/internal/limits"
	"birchmoor/internal/operate"
	"birchmoor/internal/operator"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/follow"
	"birchmoor/internal/tasks"
)

type daemonCommand struct {
	Config string `type:"existingfile" required:"" help:"Operator file, such as deploy/operator.toml." placeholder:"FILE"`
}

func (k *daemonCommand) Help() string {
	return `Runs the store that the file's [store] tells of, and the sidecar where ROUTER_CONFIG tells of one.
Without a sidecar it is a replica that votes.

Examples:
  birchmoor check deploy/operator.toml
  ROUTER_CONFIG=config.json birchmoor run --config deploy/operator.toml`
}

func (k *daemonCommand) Run(ctx context.Context, c *console) error {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: unheard it ends the program
	log := slog.New(slog.NewTextHandler(c.err, nil))
	f, err := operator.Read(k.Config)
	if err != nil {
		return err
	}
	runs := os.Getenv("ROUTER_CONFIG") != ""
	if f.Store == nil && !runs {
		return fmt.Errorf("%s has no [store], and ROUTER_CONFIG names no sidecar: there is nothing to run", k.Config)
	}
	if f.Store == nil {
		return serve(ctx, f, &extras{reload: hup}, log)
	}
	x, end, err := openStore(f, runs, hup, log)
	if err != nil {
		return err
	}
	defer end()
	if runs {
		return serve(ctx, f, x, log)
	}
	<-ctx.Done()
	return nil
}

// inside is what the bench between processes does within this process: builds for tests alone set it.
var inside tasklab.Inside

// openStore starts a replica, what joins it to a sidecar, and its socket. end stops them.
func openStore(f *operator.File, runs bool, hup chan os.Signal, log *slog.Logger) (x *extras, end func(), err error) {
	s, bounds := f.Store, store.DefaultLimits
	bounds.Total = s.TotalMB << 20
	cfg := engine.Config{Name: s.Name, Dir: s.Dir, Address: s.Address, Join: s.Join, Limits: bounds, Tick: time.Duration(s.Tick),
		Elect: s.Elect, Log: log}
	for _, text := range s.Via {
		if cfg.Via == nil {
			cfg.Via = map[string]string{}
		}
		name, addr, _ := strings.Cut(text, "=")
		cfg.Via[name] = addr
	}
	if s.Keys != "" {
		if cfg.Keys, err = keys.Open(s.Keys, s.Name); err != nil {
			return nil, nil, err
		}
	}
	if s.Listen != "" {
		if cfg.Listen, err = net.Listen("tcp", s.Listen); err != nil {
			return nil, nil, fmt.Errorf("store: %w", err)
		}
	}
	var check daemon.Check
	if runs {
		check = func(settings json.RawMessage) error {
			_, err := config.ReadWith(os.Getenv, settings)
			return err
		}
	}
	clock := boot.Clock{Pace: inside.Pace}
	if cfg.Disk.File = inside.File; inside.Pace != 0 {
		cfg.Tick = clock.Span(int64(cfg.Tick))
	}
	settings, runner := daemon.NewSettings(s.Name, check, log), tasks.New(tasks.Config{Host: s.Name, Skew: s.Skew, Log: log, Clock: clock, Table: plantedTable(), Plant: plantedSession()})
	servers := daemon.NewServers(s.Name, log)
	parts := append(servers.Parts(), settings, runner)
	var shared *limits.Limits
	if l := f.Limits; l != nil {
		shared = limits.New(limits.Config{Host: s.Name, TTL: time.Duration(l.Lease), Tell: time.Duration(l.Tell), Each: time.Duration(l.Each), Skew: s.Skew, Clock: clock, Log: log,
			Plant: inside.Limit}, runner)
		parts = append(parts, shared)
	}
	d := daemon.New(log, parts...)
	d.SweepByOne()
	if err := servers.Journal(s.Dir); err != nil {
		return nil, nil, err
	}
	var e closer
	if len(s.Follow) > 0 {
		e, err = openFollower(s, d, servers, settings, cfg.Keys, log)
	} else {
		e, err = openReplica(s, d, servers, settings, cfg)
	}
	if err != nil {
		return nil, nil, err
	}
	if err := os.MkdirAll(filepath.Dir(s.Socket), 0o700); err != nil {
		return nil, nil, errors.Join(err, e.Close())
	}
	answers := operate.Parts{Servers: servers, Settings: settings, Tasks: runner, Limits: shared, Clock: clock}
	a, err := operate.Listen(s.Socket, plantedStore(e), answers)
	if err != nil {
		return nil, nil, errors.Join(err, e.Close())
	}
	shut := a.Close
	if s.Serve != "" {
		ln, err := net.Listen("tcp", s.Serve)
		if err != nil {
			return nil, nil, errors.Join(fmt.Errorf("store: %w", err), a.Close(), e.Close())
		}
		o, err := admin.ServeFollowers(ln, e.(*engine.Engine), answers.Followers(), cfg.Keys)
		if err != nil {
			return nil, nil, errors.Join(err, ln.Close(), a.Close(), e.Close())
		}
		shut = func() error { return errors.Join(o.Close(), a.Close()) }
	}
	ctx, cancel := context.WithCancel(context.Background())
	var working sync.WaitGroup
	working.Go(func() { d.Run(ctx) })
	working.Go(func() { _ = runner.Take(ctx, sweep(d, time.Duration(s.Lease))) }) // which has no fault to tell
	working.Go(func() {                                                           // a signal of the system's counts as one of the store's
		for {
			select {
			case <-ctx.Done():
				return
			case <-hup:
				select {
				case settings.Reload() <- syscall.SIGHUP:
				default:
				}
			}
		}
	})
	working.Go(func() { _ = runner.Take(ctx, drive(settings, time.Duration(s.Lease))) })
	if shared != nil && len(s.Follow) == 0 {
		working.Go(func() { _ = runner.Take(ctx, shared.Divide()) })
	}
	log.Info("the store runs", "replica", s.Name, "listen", s.Listen, "serve", s.Serve, "follows", s.Follow, "socket", s.Socket)
	x = &extras{reload: settings.Reload(), shared: servers, fleet: servers, settings: settings.Current, figure: settings.Figure}
	if shared != nil {
		x.limits = shared
	}
	return x, func() {
		runner.Close() // while the store still takes what is given up
		cancel()
		working.Wait()
		if err := errors.Join(shut(), e.Close()); err != nil {
			log.Warn("the store did not close well", "error", err)
		}
	}, nil
}

// sweep is the task of ending what nobody has told for long.
func sweep(d *daemon.Daemon, ttl time.Duration) tasks.Task {
	return tasks.Task{Want: tasks.Want{Task: daemon.FleetTask, TTL: ttl, Note: "ends drains, starts and pictures that nobody tells any more"},
		Every: sweepEvery, Most: ttl / 2, Progress: 6 * sweepEvery, HoldDown: 6 * sweepEvery,
		Do: func(ctx context.Context, _ *tasks.Hold) error { return d.Sweep(ctx) }}
}

const (
	sweepEvery = 10 * time.Second
	driveEvery = 250 * time.Millisecond
)

// drive is the task of taking settings that come in force in steps further, or back.
func drive(settings *daemon.Settings, ttl time.Duration) tasks.Task {
	return tasks.Task{Want: tasks.Want{Task: daemon.RolloutTask, TTL: ttl, Note: "drives settings that come in force in steps"}, Every: driveEvery, Most: ttl / 2,
		Progress: time.Minute, HoldDown: time.Minute,
		Do: func(ctx context.Context, h *tasks.Hold) error { return settings.Drive(ctx, h.Token(), h.Txn) }}
}

// closer is a copy of the store, a replica's or a follower's.
type closer interface {
	admin.Store
	Close() error
}

// openReplica starts a replica, and notes what its daemon starts with.
func openReplica(s *operator.Store, d *daemon.Daemon, servers *daemon.Servers, settings *daemon.Settings, cfg engine.Config) (closer, error) {
	d.Hook(&cfg)
	var written time.Time
	if info, err := os.Stat(filepath.Join(s.Dir, disk.Name)); err == nil {
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
	servers.Opened(from, a.Revision, written, settings.Current() != nil)
	return e, nil
}

// openFollower starts a copy of others' replicas.
func openFollower(s *operator.Store, d *daemon.Daemon, servers *daemon.Servers, settings *daemon.Settings, pair *keys.Pair, log *slog.Logger) (closer, error) {
	cfg := follow.Config{Name: s.Name, Dir: s.Dir, Keys: pair, Wait: time.Duration(s.Wait), Log: log, Age: servers.PictureAge}
	for _, text := range s.Follow {
		name, addr, _ := strings.Cut(text, "=")
		cfg.Replicas = append(cfg.Replicas, follow.Replica{Name: name, Addr: addr})
	}
	cfg.Event, cfg.Reset = d.Hooks()
	cfg.Settled, cfg.Proved = d.Settled, d.Proved
	f, err := follow.Open(cfg)
	if err != nil {
		return nil, err
	}
	d.Attach(f)
	from, written := f.Found()
	a, err := f.View(context.Background(), true, func(*store.State) {})
	if err != nil {
		from = "nothing"
	}
	servers.Opened(from, a.Revision, written, settings.Current() != nil)
	return f, nil
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Operator file."`
}

func (k *checkCommand) Run(c *console) error {
	f, err := operator.Read(k.File)
	if err != nil {
		return err
	}
	if f.DNS != nil {
		if _, err := dnsSettings(f.DNS); err != nil {
			return fmt.Errorf("%s: %w", k.File, err)
		}
	}
	fmt.Fprintf(c.out, "%s: no faults\n", k.File)
	return nil
}
