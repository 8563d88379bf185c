// Package controlplane runs the components by which a daemon works with other daemons: its copy of the store, the
// reports on servers, the settings in effect, tasks, the quotas of limits, and the socket for operators. The shipped
// program runs them beside a sidecar or alone; the lab runs those of many daemons in one process, without sidecars.
// The package may import all of the control plane, the store and the platform.
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
	File          *operatorconfig.File // must have a [store] section
	SettingsCheck daemon.SettingsCheck // of the sidecar beside this daemon; nil: there is no sidecar
	Sidecar       string               // its name; empty: there is no sidecar, or its name is not known
	Reload        <-chan os.Signal     // signals to read the settings again; nil: there are none
	Log           *slog.Logger
	Defects       Defects
}

// Defects are injected by tests. The zero value injects none.
type Defects struct {
	Clock         bootclock.Clock               // runs at another rate than the host's
	WrapStoreFile func(*os.File)                // called with the store's file when it is opened; nil: not called
	WrapStore     func(admin.Store) admin.Store // wraps the copy that serves operators; nil: not wrapped
	LeaseSession  lease.Defect
	LeaseTable    lease.TableDefect
	Quota         quota.Defect
}

// Components are the running components of a daemon. They are safe for concurrent use until Close.
type Components struct {
	Servers  *daemon.Servers
	Settings *daemon.Settings
	Tasks    *leasetask.Runner
	Limits   *quotasync.Manager // nil: the file has no [limits] section
	Store    Store
	Usage    *usage.Recorder // of the store's messages, commands and writes

	clock          bootclock.Clock
	log            *slog.Logger
	cancel         context.CancelFunc
	workers        sync.WaitGroup
	closeListeners func() error
}

// Store is the daemon's copy of the store: a replica's or a follower's.
type Store interface {
	admin.Store
	Close() error
}

// Open starts the components that the operator file configures. The caller must close them. After an error nothing runs
// and no address stays in use.
func Open(c Config) (*Components, error) {
	storeSection := c.File.Store
	storeConfig, err := engineConfig(&c)
	if err != nil {
		return nil, err
	}
	p := newComponents(&c, storeConfig.Usage)
	d := daemon.New(c.Log, p.daemonComponents()...)
	d.DelegateSweep()
	if err := p.Servers.OpenDrainLog(storeSection.Dir); err != nil {
		if storeConfig.Listener != nil {
			err = errors.Join(err, storeConfig.Listener.Close())
		}
		return nil, err
	}
	if isFollower(storeSection) {
		p.Store, err = p.openFollower(storeSection, d, storeConfig)
	} else {
		p.Store, err = p.openReplica(storeSection, d, storeConfig)
	}
	if err != nil {
		return nil, err
	}
	if err := p.serve(storeSection, c.Defects.WrapStore, storeConfig.Keys); err != nil {
		return nil, errors.Join(err, p.Store.Close())
	}
	p.start(&c, d)
	c.Log.Info("the store is running",
		"replica", storeSection.Name, "listen", storeSection.Listen, "serve", storeSection.FollowerListen,
		"follows", storeSection.Follow, "socket", storeSection.Socket)
	return p, nil
}

func isFollower(storeSection *operatorconfig.Store) bool { return len(storeSection.Follow) > 0 }

// newComponents returns components that are not running yet, without a copy of the store.
func newComponents(c *Config, recorder *usage.Recorder) *Components {
	storeSection := c.File.Store
	p := &Components{
		Servers:  daemon.NewServers(storeSection.Name, c.Log),
		Settings: daemon.NewSettings(storeSection.Name, c.SettingsCheck, c.Log),
		Tasks: leasetask.New(leasetask.Config{
			Host:          storeSection.Name,
			MaxClockSkew:  storeSection.MaxClockSkew,
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
	if limits := c.File.Limits; limits != nil {
		p.Limits = quotasync.New(quotasync.Config{
			Host:                     storeSection.Name,
			TTL:                      time.Duration(limits.SessionTTL),
			ReportInterval:           time.Duration(limits.ReportInterval),
			ReportIntervalPerProcess: time.Duration(limits.ReportIntervalPerProcess),
			MaxClockSkew:             storeSection.MaxClockSkew,
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

// start starts the goroutines of the components and of the fleet's tasks, which run until Close.
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

// Close stops the components. It first releases the leases of tasks, for which the store must still be running.
func (p *Components) Close() {
	p.Tasks.Close()
	p.cancel()
	p.workers.Wait()
	if err := errors.Join(p.closeListeners(), p.Store.Close()); err != nil {
		p.log.Warn("cannot close the store cleanly", "error", err)
	}
}
