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

// reloader applies new configurations while the sidecar runs. Of a file, `settings` and `discovery` take effect at
// once, and all else at the next start. ROUTER_DISCOVERY takes precedence over the file only at the start; otherwise no
// new file could name another discovery. An invalid file changes nothing.
type reloader struct {
	config        *config.Config // in effect
	read          func() (*config.Config, error)
	apply         func(context.Context, *config.Config) error
	moveDiscovery func(addr string)
	onApplied     func(*config.Config) // nil for none
	metrics       *metrics.Registry
	log           *slog.Logger
}

// run reloads at each signal until ctx ends.
func (r *reloader) run(ctx context.Context, signals <-chan os.Signal) {
	for {
		select {
		case <-signals:
		case <-ctx.Done():
			return
		}
		if err := r.reload(ctx); err != nil {
			r.metrics.ConfigsRejected.Inc()
			r.log.Error("configuration rejected, the previous one stays in effect",
				"key", rejectedKey(err), "error", err)
		}
	}
}

// rejectedKey returns the key of the file that an error of reload is about.
func rejectedKey(err error) string {
	key := "file"
	var configErr *config.Error
	if errors.As(err, &configErr) {
		key = configErr.Key
	}
	var settingErr *balancer.SettingError
	if errors.As(err, &settingErr) {
		key += "." + settingErr.Key
	}
	return key
}

// reload reads the file, validates all of it, and only then applies it.
func (r *reloader) reload(ctx context.Context) error {
	next, err := r.read()
	if err != nil {
		return err
	}
	if err := next.CheckReload(r.config); err != nil {
		return err
	}
	if err := r.apply(ctx, next); err != nil {
		return &config.Error{Key: "settings", Err: err}
	}
	moved := next.DiscoveryInFile != "" && next.DiscoveryInFile != r.config.DiscoveryInFile
	r.setConfig(next)
	r.metrics.ConfigsLoaded.Inc()
	r.log.Info("configuration applied", "moved", moved, "discovery", next.DiscoveryInFile, "classes", next.Classes)
	if moved {
		r.moveDiscovery(next.DiscoveryInFile)
	}
	return nil
}

// setConfig sets the configuration in effect.
func (r *reloader) setConfig(c *config.Config) {
	r.config = c
	if r.onApplied != nil {
		r.onApplied(c)
	}
}
