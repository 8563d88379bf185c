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
	return `Runs the store that the file's [store] section configures, and the sidecar that ROUTER_CONFIG configures.
Without ROUTER_CONFIG the daemon runs without a sidecar, as a voting replica does.

Examples:
  birchmoor check deploy/operator.toml
  ROUTER_CONFIG=config.json birchmoor run --config deploy/operator.toml`
}

func (k *daemonCommand) Run(ctx context.Context, c *console) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything else: by default the signal ends the program
	log := slog.New(slog.NewTextHandler(c.errOut, nil))
	file, err := operatorconfig.Read(k.Config)
	if err != nil {
		return err
	}
	hasSidecar := os.Getenv("ROUTER_CONFIG") != ""
	if file.Store == nil && !hasSidecar {
		return fmt.Errorf("%s has no [store] section and ROUTER_CONFIG is not set: there is nothing to run", k.Config)
	}
	if file.Store == nil {
		return serve(ctx, file, &fleetServices{reload: reload}, log)
	}
	services, stop, err := openControlPlane(file, hasSidecar, reload, log)
	if err != nil {
		return err
	}
	defer stop()
	if hasSidecar {
		return serve(ctx, file, services, log)
	}
	<-ctx.Done()
	return nil
}

// processFaults are the faults that torture runs inject into this process. Only tests and builds with the tag planted
// set them.
var processFaults tasklab.ProcessFaults

// openControlPlane starts the daemon's control plane: a replica or a follower of the store, the components that use it,
// and the daemon's socket. It returns what the daemon's sidecar uses of it. stop shuts all of it down.
func openControlPlane(
	file *operatorconfig.File, hasSidecar bool, reload chan os.Signal, log *slog.Logger,
) (services *fleetServices, stop func(), err error) {
	cfg := controlplane.Config{
		File:   file,
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
		sidecarConfig, err := config.Read(os.Getenv)
		if err == nil { // serve reads the configuration again and returns the error
			cfg.Sidecar = sidecarConfig.Name
		}
		cfg.SettingsCheck = func(settings json.RawMessage) error {
			return checkSettings(settings, inEffect.Load())
		}
	}
	plane, err := controlplane.Open(cfg)
	if err != nil {
		return nil, nil, err
	}
	services = &fleetServices{
		reload:           plane.Settings.Reload(),
		overrides:        plane.Servers,
		fleet:            plane.Servers,
		currentSettings:  plane.Settings.Current,
		setAnswerCounter: plane.Settings.SetAnswerCounter,
		onConfig:         inEffect.Store,
	}
	if plane.Limits != nil {
		services.limiter = plane.Limits
	}
	return services, plane.Close, nil
}

// checkSettings checks settings the way the sidecar does before it applies them. inEffect is the configuration that
// the sidecar runs with, or nil before it has started.
func checkSettings(settings json.RawMessage, inEffect *config.Config) error {
	next, err := config.ReadWithSettings(os.Getenv, settings)
	if err != nil || inEffect == nil {
		return err
	}
	return next.CheckReload(inEffect)
}
