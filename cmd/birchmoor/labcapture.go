package main

import (
	"fmt"
	"log/slog"
	"strings"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/lab/sim"
)

// Limits of the capture of a simulated sidecar. They are so high that the capture loses no record.
const (
	captureSegmentMicros = 10_000_000
	captureMaxBytes      = 1 << 30
	captureMaxFileBytes  = 64 << 20
)

// simTap returns a tap that records one simulated sidecar in captures in dir. Each process of the sidecar has its own
// decision module, so it gets its own capture files.
func simTap(dir string, s *scenario.Scenario, sidecar int) sim.Tap {
	return func(
		startNumber int, out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error),
	) (balancer.Module, func(), error) {
		writer, err := capture.Create(capture.Config{
			Dir:           dir,
			Name:          fmt.Sprintf("sidecar-%d.%d", sidecar, startNumber),
			MaxBytes:      captureMaxBytes,
			MaxFileBytes:  captureMaxFileBytes,
			MaxFileAge:    time.Hour,
			QueueLength:   16,
			RetryDelay:    time.Second,
			Log:           slog.New(slog.DiscardHandler),
			BlockWhenFull: true,
		})
		if err != nil {
			return nil, nil, err
		}
		recorder, err := capture.New(capture.Options{
			Sidecar:         fmt.Sprintf("n%d", sidecar),
			SegmentInterval: captureSegmentMicros,
			Sink:            writer,
			EndpointName:    func(id uint32) string { return serverName(s, int(id)-1) },
		}, out, begin)
		if err != nil {
			writer.Close()
			return nil, nil, err
		}
		end := func() {
			recorder.Close()
			writer.Close()
		}
		return recorder, end, nil
	}
}

// serverName returns the name of the server with this number, which is its kind and the number, or "" if the scenario
// has no such server.
func serverName(s *scenario.Scenario, number int) string {
	n := number
	for _, k := range s.Servers {
		if n < k.Count {
			return fmt.Sprintf("%s.%d", strings.ToLower(k.Kind), number)
		}
		n -= k.Count
	}
	return ""
}
