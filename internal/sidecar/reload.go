package sidecar

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"

	"birchmoor/balancer"
	"birchmoor/internal/metrics"
)

// reloader takes new configurations while the sidecar runs. Of a file, `settings` and `discovery` take effect
// at once; all else does at the next start. ROUTER_DISCOVERY goes before the file at the start only, or no new
// file could ever name another. A file that makes no sense changes nothing.
type reloader struct {
	config  *Config // in force
	read    func() (*Config, error)
	take    func(context.Context, *Config) error
	move    func(discovery string)
	figures *metrics.Registry
	log     *slog.Logger
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
			r.figures.Invalid.Inc()
			key := "file"
			if at := (*ConfigError)(nil); errors.As(err, &at) {
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
	if err := follows("", r.config.file, next.file); err != nil {
		return err
	}
	if err := r.take(ctx, next); err != nil {
		return &ConfigError{"settings", err}
	}
	moved := next.fileDiscovery != r.config.fileDiscovery && next.fileDiscovery != ""
	r.config = next
	r.figures.Loaded.Inc()
	r.log.Info("configuration taken", "moved", moved, "discovery", next.fileDiscovery, "classes", next.Classes)
	if moved {
		r.move(next.fileDiscovery)
	}
	return nil
}

// optional are the keys that a file may leave out though the one before had them.
var optional = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true}

// follows says what a file lacks that the one in force has, or where it has something of another kind. At the
// start what is missing has a default; a file that loses a key while we run has been cut or mistyped. Every
// item of a list must have the keys that all items had.
func follows(at string, old, next any) error {
	wrong := func(reason string) error {
		if at == "" {
			at = ".file"
		}
		return &ConfigError{at[1:], errors.New(reason)}
	}
	switch old := old.(type) {
	case nil:
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return wrong("is no object")
		}
		for key, value := range old {
			item, ok := next[key]
			if !ok && !optional[key] {
				return &ConfigError{(at + "." + key)[1:], errors.New("is missing")}
			}
			if ok {
				if err := follows(at+"."+key, value, item); err != nil {
					return err
				}
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok && at != ".known.instances" { // which may be empty, written as null
			return wrong("is no list")
		}
		if len(old) == 0 {
			return nil
		}
		common := shared(old)
		for i, item := range next {
			if err := follows(fmt.Sprintf("%s.%d", at, i), common, item); err != nil {
				return err
			}
		}
	default:
		if fmt.Sprintf("%T", old) != fmt.Sprintf("%T", next) {
			return wrong(fmt.Sprintf("is %v, of another kind than before", next))
		}
	}
	return nil
}

// shared returns an item with the keys that all items of a list have.
func shared(list []any) any {
	first, ok := list[0].(map[string]any)
	if !ok {
		return list[0]
	}
	common := map[string]any{}
	for key, value := range first {
		common[key] = value
		for _, item := range list[1:] {
			if other, ok := item.(map[string]any); !ok || other[key] == nil {
				delete(common, key)
			}
		}
	}
	return common
}
