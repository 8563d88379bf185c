package sidecar

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/snapshot"
)

// Host is what the program provides to a sidecar besides its configuration.
type Host struct {
	Socket         handover.Socket            // where clients connect
	Management     net.Listener               // where operators call; nil for nowhere
	Overrides      maintenance.Store          // of operators, kept across restarts
	FleetOverrides maintenance.FleetOverrides // of all daemons; nil for none
	Fleet          Fleet                      // nil for none
	SnapshotFile   snapshot.File              // state of the decision module, for the next process
	Protocols      []core.Protocol            // besides HTTP
	Limiter        core.Limiter               // of HTTP requests; nil admits all
	Tap            core.Tap                   // between the loop and the decision module; nil for none
	HandoverPath   string                     // where old and new processes meet; empty for nowhere
	Reload         <-chan os.Signal           // ReadConfig is called for each
	ReadConfig     func() (*config.Config, error)
	OnConfig       func(*config.Config) // is called with each configuration that takes effect; nil for none
	Log            *slog.Logger
}

// Files of a sidecar in its directory.
const (
	overridesFileName  = "bans.json"
	snapshotFileName   = "known.snapshot"
	handoverSocketName = "handover.sock"
)

// HostFromEnv returns what a program provides to a sidecar by its environment: sockets and, if TMPDIR is set, files
// there.
func HostFromEnv(c *config.Config, getenv func(string) string, reload <-chan os.Signal, log *slog.Logger) (
	Host, error) {
	h := Host{
		Overrides:  maintenance.Discard{},
		Reload:     reload,
		ReadConfig: func() (*config.Config, error) { return config.Read(getenv) },
		Log:        log,
	}
	if dir := getenv("TMPDIR"); dir != "" {
		h.Overrides = maintenance.File{Path: filepath.Join(dir, overridesFileName)}
		h.SnapshotFile = snapshot.File{Path: filepath.Join(dir, snapshotFileName)}
		h.HandoverPath = filepath.Join(dir, handoverSocketName)
	}
	if c.Management != "" {
		ln, err := net.Listen("tcp", c.Management)
		if err != nil {
			return Host{}, fmt.Errorf("listen for operators: %w", err)
		}
		h.Management = ln
	}
	h.Socket = handover.ExclusiveAddress(c.Listen)
	if descriptor := getenv("ROUTER_FD"); descriptor != "" {
		inherited, err := handover.Inherit(descriptor)
		if err != nil {
			return Host{}, err
		}
		h.Socket = inherited
	}
	return h, nil
}
