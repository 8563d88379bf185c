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

// reloader applies new configurations while the sidecar runs. The keys `settings` and `discovery` of the file take
// effect at once, all others at the next start. ROUTER_DISCOVERY takes precedence over the file only at the start,
// since otherwise no new file could name another discovery. An invalid file changes nothing.
type reloader struct {
	config          *config.Config // the configuration in effect
	readConfig      func() (*config.Config, error)
	apply           func(context.Context, *config.Config) error
	switchDiscovery func(addr string)
	onApplied       func(*config.Config) // may be nil
	metrics         *metrics.Registry
	log             *slog.Logger
}

// run reloads the configuration at each signal until ctx ends.
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

// rejectedKey returns the key of the file to which an error of reload refers.
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

// reload reads and validates the whole file before it applies any of it.
func (r *reloader) reload(ctx context.Context) error {
	next, err := r.readConfig()
	if err != nil {
		return err
	}
	if err := next.CheckReload(r.config); err != nil {
		return err
	}
	if err := r.apply(ctx, next); err != nil {
		return &config.Error{Key: "settings", Err: err}
	}
	discoveryChanged := next.DiscoveryInFile != "" && next.DiscoveryInFile != r.config.DiscoveryInFile
	r.setConfig(next)
	r.metrics.ConfigsLoaded.Inc()
	r.log.Info("configuration applied",
		"moved", discoveryChanged, "discovery", next.DiscoveryInFile, "classes", next.Classes)
	if discoveryChanged {
		r.switchDiscovery(next.DiscoveryInFile)
	}
	return nil
}

// setConfig sets the configuration in effect and notifies the host.
func (r *reloader) setConfig(cfg *config.Config) {
	r.config = cfg
	if r.onApplied != nil {
		r.onApplied(cfg)
	}
}
