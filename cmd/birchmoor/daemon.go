package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"

	"birchmoor/internal/controlplane"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/lab/tasklab"
	"birchmoor/internal/platform/bootclock"
)

type daemonCommand struct {
	Config string `type:"existingfile" required:"" help:"Operator file, such as deploy/operator.toml." placeholder:"FILE"`
}

func (k *daemonCommand) Help() string {
	return `Runs the store that the file's [store] tells of, and the sidecar where ROUTER_CONFIG tells of one.
Without a sidecar it is a replica that votes.

Examples:
  birchmoor check deploy/operator.toml
  ROUTER_CONFIG=config.json birchmoor run --config deploy/operator.toml`
}

func (k *daemonCommand) Run(ctx context.Context, c *console) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first of all: by default the signal ends the program
	log := slog.New(slog.NewTextHandler(c.err, nil))
	f, err := operatorconfig.Read(k.Config)
	if err != nil {
		return err
	}
	hasSidecar := os.Getenv("ROUTER_CONFIG") != ""
	if f.Store == nil && !hasSidecar {
		return fmt.Errorf("%s has no [store], and ROUTER_CONFIG names no sidecar: there is nothing to run", k.Config)
	}
	if f.Store == nil {
		return serve(ctx, f, &fleetServices{reload: reload}, log)
	}
	services, stop, err := openControlPlane(f, hasSidecar, reload, log)
	if err != nil {
		return err
	}
	defer stop()
	if hasSidecar {
		return serve(ctx, f, services, log)
	}
	<-ctx.Done()
	return nil
}

// processFaults are the faults that torture runs inject into this process; only builds with defects and tests set
// them.
var processFaults tasklab.ProcessFaults

// openControlPlane starts the daemon's components, with a replica or a follower of the store and the daemon's
// socket. stop ends them.
func openControlPlane(
	f *operatorconfig.File, hasSidecar bool, reload chan os.Signal, log *slog.Logger,
) (services *fleetServices, stop func(), err error) {
	cfg := controlplane.Config{
		File:   f,
		Reload: reload,
		Log:    log,
		Defects: controlplane.Defects{
			Clock:         bootclock.Clock{Rate: processFaults.ClockRate},
			WrapStoreFile: processFaults.File,
			WrapStore:     storeWithDefect,
			LeaseSession:  leaseSessionDefect(),
			LeaseTable:    leaseTableDefect(),
			Quota:         processFaults.QuotaDefect,
		},
	}
	var inEffect atomic.Pointer[config.Config]
	if hasSidecar {
		c, err := config.Read(os.Getenv)
		if err == nil { // the sidecar reports an error when it starts
			cfg.Sidecar = c.Name
		}
		cfg.SettingsCheck = func(settings json.RawMessage) error {
			return checkSettings(settings, inEffect.Load())
		}
	}
	p, err := controlplane.Open(cfg)
	if err != nil {
		return nil, nil, err
	}
	services = &fleetServices{
		reload:           p.Settings.Reload(),
		overrides:        p.Servers,
		fleet:            p.Servers,
		currentSettings:  p.Settings.Current,
		setAnswerCounter: p.Settings.SetAnswerCounter,
		onConfig:         inEffect.Store,
	}
	if p.Limits != nil {
		services.limiter = p.Limits
	}
	return services, p.Close, nil
}

// checkSettings checks settings the way the sidecar does before it applies them. The configuration that it runs is nil
// before its start.
func checkSettings(settings json.RawMessage, inEffect *config.Config) error {
	next, err := config.ReadWithSettings(os.Getenv, settings)
	if err != nil || inEffect == nil {
		return err
	}
	return next.CheckReload(inEffect)
}
