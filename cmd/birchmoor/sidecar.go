package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/dataplane/sidecar"
	"birchmoor/internal/platform/snapshot"
)

type sidecarCommand struct {
	Operator string `type:"existingfile" help:"Operator file, such as deploy/operator.toml." placeholder:"FILE"`
}

func (k *sidecarCommand) Help() string {
	return `Serves as the sidecar program does, and is told where by the same ROUTER_ variables; the operator
file turns on what the platform does not give: a state that outlives the process, captures, DNS.

Example:
  ROUTER_CONFIG=config.json birchmoor sidecar --operator deploy/operator.toml`
}

func (k *sidecarCommand) Run(ctx context.Context, c *console) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // first of all: by default the signal ends the program
	log := slog.New(slog.NewTextHandler(c.err, nil))
	f := &operatorconfig.File{}
	if k.Operator != "" {
		var err error
		f, err = operatorconfig.Read(k.Operator)
		if err != nil {
			return err
		}
	}
	return serve(ctx, f, &fleetServices{reload: reload}, log)
}

// statsTimeout bounds reading the sidecar's own metrics, which happens on the same host.
const statsTimeout = time.Second

// fleetServices are what a sidecar gets from the control plane of its daemon. All but reload may be nil.
type fleetServices struct {
	reload           <-chan os.Signal
	overrides        maintenance.FleetOverrides
	fleet            sidecar.Fleet
	currentSettings  func() json.RawMessage // replace those of the configuration file
	limiter          core.Limiter
	setAnswerCounter func(daemon.AnswerCounter) // gets the function that returns how clients were answered
	onConfig         func(*config.Config)       // is called with each configuration that takes effect
}

// readConfig reads the sidecar's configuration, with the settings that the store has.
func (x *fleetServices) readConfig() (*config.Config, error) {
	if x.currentSettings == nil {
		return config.Read(os.Getenv)
	}
	return config.ReadWithSettings(os.Getenv, x.currentSettings())
}

// serve runs a sidecar until ctx ends.
func serve(ctx context.Context, f *operatorconfig.File, x *fleetServices, log *slog.Logger) error {
	config, err := x.readConfig()
	if err != nil {
		return err
	}
	h, err := sidecar.HostFromEnv(config, os.Getenv, x.reload, log)
	if err != nil {
		return err
	}
	h.FleetOverrides, h.Fleet, h.Limiter, h.ReadConfig = x.overrides, x.fleet, x.limiter, x.readConfig
	h.OnConfig = x.onConfig
	if x.setAnswerCounter != nil && h.Management != nil {
		at := h.Management.Addr().String()
		x.setAnswerCounter(func() (uint64, uint64, error) { return answerCounts(at) })
	}
	if f.StateSnapshot != nil {
		if err := os.MkdirAll(f.StateSnapshot.Dir, 0o755); err != nil {
			return err
		}
		h.SnapshotFile = snapshot.File{Path: filepath.Join(f.StateSnapshot.Dir, config.Name+".snapshot")}
	}
	if f.Capture != nil {
		tap, end, err := captureTap(f.Capture, config.Name, log)
		if err != nil {
			return err
		}
		defer end()
		h.Tap = tap
	}
	if f.DNS != nil {
		p, err := dnsProtocol(f.DNS, os.Getenv)
		if err != nil {
			return err
		}
		h.Protocols = append(h.Protocols, p)
	}
	return sidecar.Run(ctx, config, h)
}

// captureTap records the inputs and decisions of the sidecar's module. end is called when the event loop has ended.
func captureTap(c *operatorconfig.Capture, name string, log *slog.Logger) (tap core.Tap, end func(), err error) {
	w, err := capture.Create(capture.Config{
		Dir:          c.Dir,
		Name:         name,
		MaxBytes:     int64(c.BudgetMB) << 20,
		MaxFileBytes: int64(c.MaxFileMB) << 20,
		MaxFileAge:   time.Duration(c.MaxFileAge),
		QueueLength:  c.MaxQueuedBatches,
		RetryDelay:   time.Duration(c.RetryDelay),
		Log:          log,
	})
	if err != nil {
		return nil, nil, err
	}
	var r *capture.Recorder
	tap = func(
		out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error), names func(uint32) string,
	) (balancer.Module, error) {
		options := capture.Options{
			Sidecar:         name,
			RunID:           uint64(time.Now().UnixMicro()),
			SegmentInterval: time.Duration(c.SnapshotInterval).Microseconds(),
			EndpointName:    names,
			Sink:            w,
		}
		var err error
		r, err = capture.New(options, out, begin)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		return r, nil
	}
	end = func() {
		if r != nil {
			r.Close()
		}
		w.Close()
		n := &w.Counts
		log.Info("capture ended", "records", n.Records.Load(), "bytes", n.Bytes.Load(), "files", n.Files.Load(),
			"segments", n.Segments.Load(), "lost", n.Lost.Load())
	}
	return tap, end, nil
}

// answerCounts returns how a sidecar's clients were answered, by the metrics at its management address: served, or
// not, which is rejected and failed together.
func answerCounts(address string) (served, notServed uint64, err error) {
	c, err := net.DialTimeout("tcp", address, statsTimeout)
	if err != nil {
		return 0, 0, err
	}
	defer c.Close()
	if err := c.SetDeadline(time.Now().Add(statsTimeout)); err != nil {
		return 0, 0, err
	}
	if _, err := io.WriteString(c, "stats\n"); err != nil {
		return 0, 0, err
	}
	lines := bufio.NewScanner(c)
	for lines.Scan() {
		if lines.Text() == "END" {
			return served, notServed, nil
		}
		series, text, ok := strings.Cut(lines.Text(), "} ")
		value, err := strconv.ParseUint(text, 10, 64)
		if !ok || err != nil {
			continue
		}
		metric, _, _ := strings.Cut(series, "{")
		switch metric {
		case "app_answered_total":
			served += value
		case "app_deferred_total", "app_errored_total":
			notServed += value
		}
	}
	return 0, 0, errors.Join(errors.New("the figures are not whole"), lines.Err())
}
