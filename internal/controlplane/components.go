// Package controlplane runs the components by which a daemon works with others: its copy of the store, what it
// reports and observes of servers, the settings in force, tasks, quotas of limits, and the socket of its operators.
// The shipped program runs them beside a sidecar or alone; the lab runs many in one process, without sidecars. The
// package may import all of the control plane, the store and the platform.
package controlplane

import (
	"context"
	"errors"
	"log/slog"
	"os"
	"sync"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/controlplane/quotasync"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/usage"
)

// Config configures the components of a daemon.
type Config struct {
	File          *operatorconfig.File // must have a [store]
	SettingsCheck daemon.SettingsCheck // of the sidecar that runs beside; nil: none does
	Sidecar       string               // name of the sidecar that runs beside; "": none does, or it is not known
	Reload        <-chan os.Signal     // signals to read the settings again; nil: none come
	Log           *slog.Logger
	Defects       Defects
}

// Defects are what tests inject.
type Defects struct {
	Clock         bootclock.Clock // at another pace
	WrapStoreFile func(*os.File)
	WrapStore     func(admin.Store) admin.Store // of the copy by which operators are answered
	LeaseSession  lease.Defect
	LeaseTable    lease.TableDefect
	Quota         quota.Defect
}

// Components are running. They are safe for concurrent use until Close.
type Components struct {
	Servers  *daemon.Servers
	Settings *daemon.Settings
	Tasks    *leasetask.Runner
	Limits   *quotasync.Manager // nil: no limits are shared
	Store    Store
	Usage    *usage.Recorder

	clock        bootclock.Clock
	log          *slog.Logger
	cancel       context.CancelFunc
	workers      sync.WaitGroup
	closeServers func() error
}

// Store is a copy of the store, a replica's or a follower's.
type Store interface {
	admin.Store
	Close() error
}

// Open starts the components that the operator file configures. They must be closed.
func Open(c Config) (*Components, error) {
	s := c.File.Store
	storeConfig, err := engineConfig(&c)
	if err != nil {
		return nil, err
	}
	p := newComponents(&c, storeConfig.Usage)
	d := daemon.New(c.Log, p.daemonComponents()...)
	d.DelegateSweep()
	if err := p.Servers.OpenDrainLog(s.Dir); err != nil {
		if storeConfig.Listener != nil {
			err = errors.Join(err, storeConfig.Listener.Close())
		}
		return nil, err
	}
	if isFollower(s) {
		p.Store, err = p.openFollower(s, d, storeConfig)
	} else {
		p.Store, err = p.openReplica(s, d, storeConfig)
	}
	if err != nil {
		return nil, err
	}
	if err := p.serve(s, c.Defects.WrapStore, storeConfig.Keys); err != nil {
		return nil, errors.Join(err, p.Store.Close())
	}
	p.start(&c, d)
	c.Log.Info("store is running",
		"replica", s.Name, "listen", s.Listen, "serve", s.FollowerListen, "follows", s.Follow, "socket", s.Socket)
	return p, nil
}

func isFollower(s *operatorconfig.Store) bool { return len(s.Follow) > 0 }

// newComponents returns components that are not running yet.
func newComponents(c *Config, recorder *usage.Recorder) *Components {
	s := c.File.Store
	p := &Components{
		Servers:  daemon.NewServers(s.Name, c.Log),
		Settings: daemon.NewSettings(s.Name, c.SettingsCheck, c.Log),
		Tasks: leasetask.New(leasetask.Config{
			Host:          s.Name,
			MaxClockSkew:  s.MaxClockSkew,
			Log:           c.Log,
			Clock:         c.Defects.Clock,
			TableDefect:   c.Defects.LeaseTable,
			SessionDefect: c.Defects.LeaseSession,
		}),
		Usage: recorder,
		clock: c.Defects.Clock,
		log:   c.Log,
	}
	if c.Sidecar != "" {
		p.Servers.AddSidecar(c.Sidecar)
	}
	if l := c.File.Limits; l != nil {
		p.Limits = quotasync.New(quotasync.Config{
			Host:                     s.Name,
			TTL:                      time.Duration(l.SessionTTL),
			ReportInterval:           time.Duration(l.ReportInterval),
			ReportIntervalPerProcess: time.Duration(l.ReportIntervalPerProcess),
			MaxClockSkew:             s.MaxClockSkew,
			Clock:                    c.Defects.Clock,
			Log:                      c.Log,
			Defect:                   c.Defects.Quota,
		}, p.Tasks)
	}
	return p
}

func (p *Components) daemonComponents() []daemon.Component {
	all := append(p.Servers.Components(), p.Settings, p.Tasks)
	if p.Limits != nil {
		all = append(all, p.Limits)
	}
	return all
}

// start starts the workers, which run until Close.
func (p *Components) start(c *Config, d *daemon.Daemon) {
	ctx, cancel := context.WithCancel(context.Background())
	p.cancel = cancel
	ttl := time.Duration(c.File.Store.TaskTTL)
	p.workers.Go(func() { d.Run(ctx) })
	p.workers.Go(func() { p.forwardReloads(ctx, c.Reload) })
	p.runTask(ctx, sweepTask(d, p.Servers, ttl))
	p.runTask(ctx, rolloutTask(p.Settings, ttl))
	if p.Limits != nil && !isFollower(c.File.Store) {
		p.runTask(ctx, p.Limits.AllocatorTask())
	}
}

// Close stops the components. Leases are released while the store still accepts that.
func (p *Components) Close() {
	p.Tasks.Close()
	p.cancel()
	p.workers.Wait()
	if err := errors.Join(p.closeServers(), p.Store.Close()); err != nil {
		p.log.Warn("closing the store failed", "error", err)
	}
}
