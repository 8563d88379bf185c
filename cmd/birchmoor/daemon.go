package main

import (
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
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
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP) // before anything else: unheard it ends the program
	log := slog.New(slog.NewTextHandler(c.err, nil))
	f, err := operatorconfig.Read(k.Config)
	if err != nil {
		return err
	}
	runs := os.Getenv("ROUTER_CONFIG") != ""
	if f.Store == nil && !runs {
		return fmt.Errorf("%s has no [store], and ROUTER_CONFIG names no sidecar: there is nothing to run", k.Config)
	}
	if f.Store == nil {
		return serve(ctx, f, &fleetServices{reload: hup}, log)
	}
	x, end, err := openControlPlane(f, runs, hup, log)
	if err != nil {
		return err
	}
	defer end()
	if runs {
		return serve(ctx, f, x, log)
	}
	<-ctx.Done()
	return nil
}

// processFaults is what the bench between processes does within this process: builds for tests alone set it.
var processFaults tasklab.Inside

// openControlPlane starts what joins a replica or a follower to a sidecar, and its socket. end stops them.
func openControlPlane(f *operatorconfig.File, runs bool, hup chan os.Signal, log *slog.Logger) (x *fleetServices, end func(), err error) {
	cfg := controlplane.Config{File: f, Reload: hup, Log: log, Defects: controlplane.Defects{Clock: bootclock.Clock{Rate: processFaults.Pace}, WrapStoreFile: processFaults.File,
		WrapStore: storeWithDefect, LeaseSession: leaseSessionDefect(), LeaseTable: leaseTableDefect(), Quota: processFaults.Limit}}
	if runs {
		if c, err := config.Read(os.Getenv); err == nil { // else the sidecar says why
			cfg.Sidecar = c.Name
		}
		cfg.SettingsCheck = func(settings json.RawMessage) error {
			_, err := config.ReadWithSettings(os.Getenv, settings)
			return err
		}
	}
	p, err := controlplane.Open(cfg)
	if err != nil {
		return nil, nil, err
	}
	x = &fleetServices{reload: p.Settings.Reload(), overrides: p.Servers, fleet: p.Servers, currentSettings: p.Settings.Current, setAnswerCounter: p.Settings.SetAnswerCounter}
	if p.Limits != nil {
		x.limiter = p.Limits
	}
	return x, p.Close, nil
}
