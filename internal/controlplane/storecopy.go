package controlplane

import (
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/follower"
)

// What a daemon starts with, as it is shown to operators.
const (
	startedFromDisk    = "own disk"
	startedFromNothing = "nothing"
)

// firstViewTimeout is the time for a replica that was just opened to show its own copy.
const firstViewTimeout = time.Second

// engineConfig returns the configuration of a replica. It reads the keys and listens for other replicas.
func engineConfig(c *Config) (engine.Config, error) {
	s := c.File.Store
	limits := store.DefaultLimits
	limits.TotalBytes = s.MaxTotalMB << 20
	cfg := engine.Config{
		Name:             s.Name,
		Dir:              s.Dir,
		Address:          s.Address,
		Join:             s.Join,
		Limits:           limits,
		TickInterval:     time.Duration(s.Tick),
		ElectionTicks:    s.ElectionTicks,
		Log:              c.Log,
		Usage:            adminapi.NewUsageRecorder(),
		AddressOverrides: peerRoutes(s.PeerRoutes),
	}
	cfg.DiskOptions.OnOpen = c.Defects.WrapStoreFile
	if c.Defects.Clock.Rate != 0 {
		cfg.TickInterval = c.Defects.Clock.TimerDuration(int64(cfg.TickInterval))
	}
	var err error
	if s.Keys != "" {
		cfg.Keys, err = keys.Open(s.Keys, s.Name)
		if err != nil {
			return engine.Config{}, err
		}
	}
	if s.Listen != "" {
		cfg.Listener, err = net.Listen("tcp", s.Listen)
		if err != nil {
			return engine.Config{}, fmt.Errorf("store: %w", err)
		}
	}
	return cfg, nil
}

// peerRoutes returns the addresses of NAME=ADDRESS texts by name, or nil if there are none.
func peerRoutes(texts []string) map[string]string {
	if len(texts) == 0 {
		return nil
	}
	routes := map[string]string{}
	for _, text := range texts {
		name, address, _ := strings.Cut(text, "=")
		routes[name] = address
	}
	return routes
}

// openReplica opens a replica, and records what its daemon starts with.
func (p *Components) openReplica(s *operatorconfig.Store, d *daemon.Daemon, cfg engine.Config) (Store, error) {
	d.InstallHooks(&cfg)
	startedFrom := startedFromNothing
	var written time.Time
	if info, err := os.Stat(filepath.Join(s.Dir, disk.FileName)); err == nil {
		startedFrom = startedFromDisk
		written = info.ModTime()
	}
	replica, err := engine.Open(cfg)
	if err != nil {
		if cfg.Listener != nil {
			err = errors.Join(err, cfg.Listener.Close())
		}
		return nil, err
	}
	d.Attach(replica)
	ctx, cancel := context.WithTimeout(context.Background(), firstViewTimeout)
	defer cancel()
	age, err := replica.View(ctx, true, func(*store.State) {})
	if err != nil {
		return nil, errors.Join(err, replica.Close())
	}
	p.Servers.RecordStartup(startedFrom, age.Revision, written, p.Settings.Current() != nil)
	return replica, nil
}

// openFollower opens a copy of others' replicas, and records what its daemon starts with.
func (p *Components) openFollower(
	s *operatorconfig.Store, d *daemon.Daemon, replicaConfig engine.Config,
) (Store, error) {
	cfg := follower.Config{
		Name:             s.Name,
		Dir:              s.Dir,
		Keys:             replicaConfig.Keys,
		Usage:            replicaConfig.Usage,
		FirstCopyTimeout: time.Duration(s.FirstCopyTimeout),
		Log:              p.log,
		OnSnapshotAge:    p.Servers.ReportSnapshotAge,
	}
	for _, text := range s.Follow {
		name, address, _ := strings.Cut(text, "=")
		cfg.Replicas = append(cfg.Replicas, follower.Replica{Name: name, Addr: address})
	}
	cfg.OnEvent, cfg.OnReset = d.Hooks()
	cfg.OnCaughtUp = d.CaughtUp
	cfg.OnConfirmed = d.Confirmed
	if s.Interest != operatorconfig.InterestAll {
		cfg.Subscription = d.Subscription
		cfg.OnPrefixSize = d.ObservePrefixSize
	}
	f, err := follower.Open(cfg)
	if err != nil {
		return nil, err
	}
	d.Attach(f)
	startedFrom, written := f.StartedFrom()
	age, err := f.View(context.Background(), true, func(*store.State) {})
	if err != nil {
		startedFrom = startedFromNothing
	}
	p.Servers.RecordStartup(startedFrom, age.Revision, written, p.Settings.Current() != nil)
	return f, nil
}
