package sidecar

import (
	"context"
	"errors"
	"log/slog"
	"os"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/platform/metrics"
)

// reloader takes new configurations while the sidecar runs. Of a file, `settings` and `discovery` take effect
// at once; all else does at the next start. ROUTER_DISCOVERY goes before the file at the start only, or no new
// file could ever name another. A file that makes no sense changes nothing.
type reloader struct {
	config        *config.Config // in force
	read          func() (*config.Config, error)
	apply         func(context.Context, *config.Config) error
	moveDiscovery func(discovery string)
	metrics       *metrics.Registry
	log           *slog.Logger
}

// run reads the file at each signal until ctx ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		if err := r.reload(ctx); err != nil {
			r.metrics.ConfigsRejected.Inc()
			key := "file"
			if at := (*config.Error)(nil); errors.As(err, &at) {
				key = at.Key
			}
			if in := (*balancer.SettingError)(nil); errors.As(err, &in) {
				key += "." + in.Key
			}
			r.log.Error("configuration turned down, the old one is kept", "key", key, "error", err)
		}
	}
}

// reload reads the whole file, looks at all of it, and only then takes it.
func (r *reloader) reload(ctx context.Context) error {
	next, err := r.read()
	if err != nil {
		return err
	}
	if err := next.Follows(r.config); err != nil {
		return err
	}
	if err := r.apply(ctx, next); err != nil {
		return &config.Error{Key: "settings", Err: err}
	}
	moved := next.FileDiscovery != r.config.FileDiscovery && next.FileDiscovery != ""
	r.config = next
	r.metrics.ConfigsLoaded.Inc()
	r.log.Info("configuration taken", "moved", moved, "discovery", next.FileDiscovery, "classes", next.Classes)
	if moved {
		r.moveDiscovery(next.FileDiscovery)
	}
	return nil
}
