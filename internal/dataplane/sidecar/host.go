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

// Host holds the services that the program provides to a sidecar, in addition to the configuration.
type Host struct {
	Socket         handover.Socket            // HTTP clients connect here
	Management     net.Listener               // operators connect here; nil for no management service
	Overrides      maintenance.Store          // operators' overrides, kept across restarts
	FleetOverrides maintenance.FleetOverrides // operators' overrides that all daemons share; nil for none
	Fleet          Fleet                      // exchange with other daemons; nil for none
	SnapshotFile   snapshot.File              // state of HTTP's decision module for the next process; no path for none
	Protocols      []core.Protocol            // protocols other than HTTP
	Limiter        core.Limiter               // limits HTTP requests; nil admits all
	Tap            core.Tap                   // between HTTP's event loop and its decision module; nil for none
	HandoverPath   string                     // Unix socket for finding the old process; empty for no handovers
	Reload         <-chan os.Signal           // each signal makes the sidecar call ReadConfig and apply the result
	ReadConfig     func() (*config.Config, error)
	OnConfig       func(*config.Config) // called with each configuration that takes effect; may be nil
	Log            *slog.Logger
}

// Names of a sidecar's files in the directory TMPDIR.
const (
	overridesFileName  = "bans.json"
	snapshotFileName   = "known.snapshot"
	handoverSocketName = "handover.sock"
)

// HostFromEnv returns a Host according to the environment variables that getenv returns: the socket for clients, which
// ROUTER_FD may pass on as a file descriptor, and files in TMPDIR if that is set. It listens for operators at the
// configured address.
func HostFromEnv(cfg *config.Config, getenv func(string) string, reload <-chan os.Signal, log *slog.Logger) (
	Host, error) {
	host := Host{
		Overrides:  maintenance.Discard{},
		Reload:     reload,
		ReadConfig: func() (*config.Config, error) { return config.Read(getenv) },
		Log:        log,
	}
	if dir := getenv("TMPDIR"); dir != "" {
		host.Overrides = maintenance.File{Path: filepath.Join(dir, overridesFileName)}
		host.SnapshotFile = snapshot.File{Path: filepath.Join(dir, snapshotFileName)}
		host.HandoverPath = filepath.Join(dir, handoverSocketName)
	}
	if cfg.Management != "" {
		ln, err := net.Listen("tcp", cfg.Management)
		if err != nil {
			return Host{}, fmt.Errorf("listen for the management service: %w", err)
		}
		host.Management = ln
	}
	host.Socket = handover.ExclusiveAddress(cfg.Listen)
	if descriptor := getenv("ROUTER_FD"); descriptor != "" {
		inherited, err := handover.Inherit(descriptor)
		if err != nil {
			return Host{}, err
		}
		host.Socket = inherited
	}
	return host, nil
}
