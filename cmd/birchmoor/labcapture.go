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

// Limits of the capture of a simulated sidecar, which is recorded without loss.
const (
	captureSegmentMicros = 10_000_000
	captureMaxBytes      = 1 << 30
	captureMaxFileBytes  = 64 << 20
)

// simTap records the processes of one simulated sidecar, each in files of its own, since each has a module of its
// own.
func simTap(dir string, s *scenario.Scenario, sidecar int) sim.Tap {
	return func(
		start int, out balancer.Actions, begin func(balancer.Actions) (*balancer.Balancer, error),
	) (balancer.Module, func(), error) {
		w, err := capture.Create(capture.Config{
			Dir:           dir,
			Name:          fmt.Sprintf("sidecar-%d.%d", sidecar, start),
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
		r, err := capture.New(capture.Options{
			Sidecar:         fmt.Sprintf("n%d", sidecar),
			SegmentInterval: captureSegmentMicros,
			Sink:            w,
			EndpointName:    func(id uint32) string { return serverName(s, int(id)-1) },
		}, out, begin)
		if err != nil {
			w.Close()
			return nil, nil, err
		}
		end := func() {
			r.Close()
			w.Close()
		}
		return r, end, nil
	}
}

// serverName is the name of the server with this number: its kind and the number. It is empty if there is none.
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
