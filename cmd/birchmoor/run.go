package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"birchmoor/internal/keys"
	"birchmoor/internal/operator"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
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
	signal.Notify(reload, syscall.SIGHUP) // before anything else: unheard it ends the program
	log := slog.New(slog.NewTextHandler(c.err, nil))
	f, err := operator.Read(k.Config)
	if err != nil {
		return err
	}
	sidecar := os.Getenv("ROUTER_CONFIG") != ""
	if f.Store == nil && !sidecar {
		return fmt.Errorf("%s has no [store], and ROUTER_CONFIG names no sidecar: there is nothing to run", k.Config)
	}
	if f.Store != nil {
		e, a, err := openStore(f.Store, log)
		if err != nil {
			return err
		}
		defer func() {
			if err := errors.Join(a.Close(), e.Close()); err != nil {
				log.Warn("the store did not close well", "error", err)
			}
		}()
	}
	if sidecar {
		return serve(ctx, f, reload, log)
	}
	<-ctx.Done()
	return nil
}

// openStore starts a replica and its socket.
func openStore(s *operator.Store, log *slog.Logger) (*engine.Engine, *admin.Server, error) {
	limits := store.DefaultLimits
	limits.Total = s.TotalMB << 20
	cfg := engine.Config{Name: s.Name, Dir: s.Dir, Address: s.Address, Join: s.Join, Limits: limits, Tick: time.Duration(s.Tick),
		Elect: s.Elect, Log: log}
	var err error
	if s.Keys != "" {
		if cfg.Keys, err = keys.Open(s.Keys, s.Name); err != nil {
			return nil, nil, err
		}
	}
	if s.Listen != "" {
		if cfg.Listen, err = net.Listen("tcp", s.Listen); err != nil {
			return nil, nil, fmt.Errorf("store: %w", err)
		}
	}
	e, err := engine.Open(cfg)
	if err != nil {
		if cfg.Listen != nil {
			err = errors.Join(err, cfg.Listen.Close())
		}
		return nil, nil, err
	}
	if err := os.MkdirAll(filepath.Dir(s.Socket), 0o700); err != nil {
		return nil, nil, errors.Join(err, e.Close())
	}
	a, err := admin.Listen(s.Socket, e)
	if err != nil {
		return nil, nil, errors.Join(err, e.Close())
	}
	log.Info("the store runs", "replica", s.Name, "listen", s.Listen, "socket", s.Socket)
	return e, a, nil
}

type checkCommand struct {
	File string `arg:"" type:"existingfile" help:"Operator file."`
}

func (k *checkCommand) Run(c *console) error {
	if _, err := operator.Read(k.File); err != nil {
		return err
	}
	fmt.Fprintf(c.out, "%s: no faults\n", k.File)
	return nil
}
