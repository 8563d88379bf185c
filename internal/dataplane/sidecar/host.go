package sidecar

import (
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/handover"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/snapshot"
)

// HostFromEnv makes of the environment what a program gives a sidecar: the sockets, and files in TMPDIR if that is set.
func HostFromEnv(c *config.Config, getenv func(string) string, reload <-chan os.Signal, log *slog.Logger) (Host, error) {
	h := Host{Overrides: maintenance.Discard{}, Reload: reload, Log: log,
		ReadConfig: func() (*config.Config, error) { return config.Read(getenv) }}
	if dir := getenv("TMPDIR"); dir != "" {
		h.Overrides = maintenance.File{Path: filepath.Join(dir, "bans.json")}
		h.SnapshotFile = snapshot.File{Path: filepath.Join(dir, "known.snapshot")}
		h.HandoverPath = filepath.Join(dir, "handover.sock")
	}
	var err error
	if c.Mgmt != "" {
		if h.Management, err = net.Listen("tcp", c.Mgmt); err != nil {
			return Host{}, fmt.Errorf("listen for operators: %w", err)
		}
	}
	h.Socket = handover.ExclusiveAddress(c.Listen)
	if fd := getenv("ROUTER_FD"); fd != "" {
		if h.Socket, err = handover.Inherit(fd); err != nil {
			return Host{}, err
		}
	}
	return h, nil
}
