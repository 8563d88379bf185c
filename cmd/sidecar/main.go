// Command sidecar balances its application's requests over endpoints. It is configured by the environment
// (README.md).
package main

import (
	"context"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"syscall"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/sidecar"
)

func main() {
	// First of all, since an unhandled SIGHUP would end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// The platform gives one core, which other sidecars may share.
	runtime.GOMAXPROCS(1)
	if err := run(reload, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM.
func run(reload <-chan os.Signal, log *slog.Logger) error {
	config, err := config.Read(os.Getenv)
	if err != nil {
		return err
	}
	stop, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	h, err := sidecar.HostFromEnv(config, os.Getenv, reload, log)
	if err != nil {
		return err
	}
	return sidecar.Run(stop, config, h)
}
