// Command sidecar balances the requests of its application over endpoints. Environment variables configure it; see
// README.md.
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
	// This comes first, because a SIGHUP without a handler would end the program.
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	log := slog.New(slog.NewTextHandler(os.Stderr, nil))
	// The platform provides one core, which other sidecars may share.
	runtime.GOMAXPROCS(1)
	if err := run(reload, log); err != nil {
		log.Error("ended", "error", err)
		os.Exit(1)
	}
}

// run serves until SIGTERM or SIGINT.
func run(reload <-chan os.Signal, log *slog.Logger) error {
	config, err := config.Read(os.Getenv)
	if err != nil {
		return err
	}
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer cancel()
	host, err := sidecar.HostFromEnv(config, os.Getenv, reload, log)
	if err != nil {
		return err
	}
	return sidecar.Run(ctx, config, host)
}
