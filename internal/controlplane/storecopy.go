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

// Sources of the copy with which a daemon starts, as operators see them. A follower may report further ones.
const (
	startedFromDisk    = "own disk"
	startedFromNothing = "nothing"
)

// firstViewTimeout bounds the first read of the copy of a replica that was just opened.
const firstViewTimeout = time.Second

// engineConfig returns the configuration of a replica. It reads the keys and opens the listener for other replicas. A
// follower uses its keys and usage recorder.
func engineConfig(c *Config) (engine.Config, error) {
	storeSection := c.File.Store
	limits := store.DefaultLimits
	limits.TotalBytes = storeSection.MaxTotalMB << 20
	cfg := engine.Config{
		Name:             storeSection.Name,
		Dir:              storeSection.Dir,
		Address:          storeSection.Address,
		Join:             storeSection.Join,
		Limits:           limits,
		TickInterval:     time.Duration(storeSection.Tick),
		ElectionTicks:    storeSection.ElectionTicks,
		Log:              c.Log,
		Usage:            adminapi.NewUsageRecorder(),
		AddressOverrides: peerRoutes(storeSection.PeerRoutes),
	}
	cfg.DiskOptions.OnOpen = c.Defects.WrapStoreFile
	if c.Defects.Clock.Rate != 0 {
		cfg.TickInterval = c.Defects.Clock.TimerDuration(int64(cfg.TickInterval))
	}
	var err error
	if storeSection.Keys != "" {
		cfg.Keys, err = keys.Open(storeSection.Keys, storeSection.Name)
		if err != nil {
			return engine.Config{}, err
		}
	}
	if storeSection.Listen != "" {
		cfg.Listener, err = net.Listen("tcp", storeSection.Listen)
		if err != nil {
			return engine.Config{}, fmt.Errorf("store: listen for other replicas: %w", err)
		}
	}
	return cfg, nil
}

// peerRoutes returns the addresses of NAME=ADDRESS entries by name, or nil if there are none.
func peerRoutes(entries []string) map[string]string {
	if len(entries) == 0 {
		return nil
	}
	routes := map[string]string{}
	for _, entry := range entries {
		name, address, _ := strings.Cut(entry, "=")
		routes[name] = address
	}
	return routes
}

// openReplica opens a replica, and records the state of its copy at the start. It closes the listener after an error of
// engine.Open.
func (p *Components) openReplica(
	storeSection *operatorconfig.Store, d *daemon.Daemon, cfg engine.Config,
) (Store, error) {
	d.InstallHooks(&cfg)
	startedFrom := startedFromNothing
	var diskWrittenAt time.Time
	if info, err := os.Stat(filepath.Join(storeSection.Dir, disk.FileName)); err == nil {
		startedFrom = startedFromDisk
		diskWrittenAt = info.ModTime()
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
	p.Servers.RecordStartup(startedFrom, age.Revision, diskWrittenAt, p.Settings.Current() != nil)
	return replica, nil
}

// openFollower opens a follower's copy of the store, and records the state of the copy at the start.
func (p *Components) openFollower(
	storeSection *operatorconfig.Store, d *daemon.Daemon, replicaConfig engine.Config,
) (Store, error) {
	cfg := follower.Config{
		Name:             storeSection.Name,
		Dir:              storeSection.Dir,
		Keys:             replicaConfig.Keys,
		Usage:            replicaConfig.Usage,
		FirstCopyTimeout: time.Duration(storeSection.FirstCopyTimeout),
		Log:              p.log,
		OnSnapshotAge:    p.Servers.ReportSnapshotAge,
	}
	for _, entry := range storeSection.Follow {
		name, address, _ := strings.Cut(entry, "=")
		cfg.Replicas = append(cfg.Replicas, follower.Replica{Name: name, Addr: address})
	}
	cfg.OnEvent, cfg.OnReset = d.Hooks()
	cfg.OnCaughtUp = d.CaughtUp
	cfg.OnConfirmed = d.Confirmed
	if storeSection.Interest != operatorconfig.InterestAll {
		cfg.Subscription = d.Subscription
		cfg.OnPrefixSize = d.ObservePrefixSize
	}
	f, err := follower.Open(cfg)
	if err != nil {
		return nil, err
	}
	d.Attach(f)
	startedFrom, diskWrittenAt := f.StartedFrom()
	age, err := f.View(context.Background(), true, func(*store.State) {})
	if err != nil {
		startedFrom = startedFromNothing
	}
	p.Servers.RecordStartup(startedFrom, age.Revision, diskWrittenAt, p.Settings.Current() != nil)
	return f, nil
}
