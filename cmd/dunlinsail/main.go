// Command dunlinsail is a sidecar that balances its application's requests over endpoints.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"syscall"

	"birchmoor/internal/handover"
	"birchmoor/internal/maintenance"
	"birchmoor/internal/sidecar"
	"birchmoor/internal/snapshot"
)

func main() {
	// First of all, since a SIGHUP that nobody waits for ends the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// One core is ours, and other sidecars may share it.
	runtime.GOMAXPROCS(1)
	if err := run(reload, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM.
func run(reload <-chan os.Signal, log *slog.Logger) error {
	read := func() (*sidecar.Config, error) { return sidecar.ReadConfig(os.Getenv) }
	config, err := read()
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	h := sidecar.Host{Bans: maintenance.Nowhere{}, Reload: reload, Read: read, Log: log}
	if dir := os.Getenv("TMPDIR"); dir != "" {
		h.Bans = maintenance.File{Path: filepath.Join(dir, "bans.json")}
		h.Kept = snapshot.File{Path: filepath.Join(dir, "known.snapshot")}
		h.Handover = filepath.Join(dir, "handover.sock")
	}
	if config.Mgmt != "" {
		if h.Mgmt, err = net.Listen("tcp", config.Mgmt); err != nil {
			return fmt.Errorf("listen for operators: %w", err)
		}
	}
	h.Socket = handover.Own(config.Listen)
	if fd := os.Getenv("ROUTER_FD"); fd != "" {
		if h.Socket, err = handover.Inherit(fd); err != nil {
			return err
		}
	}
	return sidecar.Run(stop, config, h)
}
