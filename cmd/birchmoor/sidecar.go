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
	return `Runs the same sidecar as the sidecar program, configured by the same ROUTER_ environment variables. The
operator file enables features that the platform does not provide: state that outlives the process, captures, and the
DNS front.

Example:
  ROUTER_CONFIG=config.json birchmoor sidecar --operator deploy/operator.toml`
}

func (k *sidecarCommand) Run(ctx context.Context, c *console) error {
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP) // before anything else: by default the signal ends the program
	log := slog.New(slog.NewTextHandler(c.errOut, nil))
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

// statsTimeout limits a read of the sidecar's metrics at its management address, which is on the same host.
const statsTimeout = time.Second

// fleetServices connect a sidecar with the control plane of its daemon. All fields but reload may be nil, as they are
// without a daemon.
type fleetServices struct {
	reload           <-chan os.Signal
	overrides        maintenance.FleetOverrides
	fleet            sidecar.Fleet
	currentSettings  func() json.RawMessage // returns the settings that replace those of the configuration file
	limiter          core.Limiter
	setAnswerCounter func(daemon.AnswerCounter) // receives a function that counts the replies to clients
	onConfig         func(*config.Config)       // called with each configuration that takes effect
}

// readConfig reads the sidecar's configuration, with the settings of the store if there are any.
func (s *fleetServices) readConfig() (*config.Config, error) {
	if s.currentSettings == nil {
		return config.Read(os.Getenv)
	}
	return config.ReadWithSettings(os.Getenv, s.currentSettings())
}

// serve runs a sidecar with the features that the operator file enables, until ctx ends.
func serve(ctx context.Context, file *operatorconfig.File, services *fleetServices, log *slog.Logger) error {
	sidecarConfig, err := services.readConfig()
	if err != nil {
		return err
	}
	host, err := sidecar.HostFromEnv(sidecarConfig, os.Getenv, services.reload, log)
	if err != nil {
		return err
	}
	host.FleetOverrides, host.Fleet, host.Limiter, host.ReadConfig =
		services.overrides, services.fleet, services.limiter, services.readConfig
	host.OnConfig = services.onConfig
	if services.setAnswerCounter != nil && host.Management != nil {
		address := host.Management.Addr().String()
		services.setAnswerCounter(func() (uint64, uint64, error) { return answerCounts(address) })
	}
	if file.StateSnapshot != nil {
		if err := os.MkdirAll(file.StateSnapshot.Dir, 0o755); err != nil {
			return err
		}
		host.SnapshotFile = snapshot.File{Path: filepath.Join(file.StateSnapshot.Dir, sidecarConfig.Name+".snapshot")}
	}
	if file.Capture != nil {
		tap, endCapture, err := captureTap(file.Capture, sidecarConfig.Name, log)
		if err != nil {
			return err
		}
		defer endCapture()
		host.Tap = tap
	}
	if file.DNS != nil {
		protocol, err := dnsProtocol(file.DNS, os.Getenv)
		if err != nil {
			return err
		}
		host.Protocols = append(host.Protocols, protocol)
	}
	return sidecar.Run(ctx, sidecarConfig, host)
}

// captureTap returns a tap that records the inputs and decisions of the sidecar's decision module in a capture. end
// closes the capture; the caller calls it when the event loop has ended.
func captureTap(cfg *operatorconfig.Capture, name string, log *slog.Logger) (tap core.Tap, end func(), err error) {
	writer, err := capture.Create(capture.Config{
		Dir:          cfg.Dir,
		Name:         name,
		MaxBytes:     int64(cfg.BudgetMB) << 20,
		MaxFileBytes: int64(cfg.MaxFileMB) << 20,
		MaxFileAge:   time.Duration(cfg.MaxFileAge),
		QueueLength:  cfg.MaxQueuedBatches,
		RetryDelay:   time.Duration(cfg.RetryDelay),
		Log:          log,
	})
	if err != nil {
		return nil, nil, err
	}
	var recorder *capture.Recorder
	tap = func(
		out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error), names func(uint32) string,
	) (balancer.Module, error) {
		options := capture.Options{
			Sidecar:         name,
			RunID:           uint64(time.Now().UnixMicro()),
			SegmentInterval: time.Duration(cfg.SnapshotInterval).Microseconds(),
			EndpointName:    names,
			Sink:            writer,
		}
		var err error
		recorder, err = capture.New(options, out, begin)
		if err != nil {
			return nil, fmt.Errorf("capture: %w", err)
		}
		return recorder, nil
	}
	end = func() {
		if recorder != nil {
			recorder.Close()
		}
		writer.Close()
		counts := &writer.Counts
		log.Info("capture ended", "records", counts.Records.Load(), "bytes", counts.Bytes.Load(),
			"files", counts.Files.Load(), "segments", counts.Segments.Load(), "lost", counts.Lost.Load())
	}
	return tap, end, nil
}

// answerCounts reads from the metrics at a sidecar's management address how many requests of its clients were served,
// and how many were not, that is, rejected or failed.
func answerCounts(address string) (served, notServed uint64, err error) {
	conn, err := net.DialTimeout("tcp", address, statsTimeout)
	if err != nil {
		return 0, 0, err
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(statsTimeout)); err != nil {
		return 0, 0, err
	}
	if _, err := io.WriteString(conn, "stats\n"); err != nil {
		return 0, 0, err
	}
	lines := bufio.NewScanner(conn)
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
	return 0, 0, errors.Join(errors.New("the metrics end without END"), lines.Err())
}
