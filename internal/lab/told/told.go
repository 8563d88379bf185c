// Package told derives the settings of a scenario's sidecars, in the form of their configuration files and of the
// simulator's wire, and parsed for the decision module.
package told

import (
	"encoding/json"
	"fmt"
	"math"
	"sort"

	"birchmoor/balancer"
	"birchmoor/internal/lab/scenario"
	"birchmoor/internal/platform/wire"
)

// reportFields are the names of the fields of a load report, in order.
var reportFields = []string{"busy_reqs", "cpu_share", "served_ps"}

// Settings returns the settings object of a sidecar, which is identified by its number, with the scenario's overlay.
func Settings(s *scenario.Scenario, sidecar int) map[string]any {
	var classes []map[string]any
	for i := range s.Classes {
		class := &s.Classes[i]
		repeat := "pure"
		if class.NotIdempotent {
			repeat = "side_effect"
		}
		classes = append(classes, map[string]any{"name": class.Name, "repeat": repeat,
			"target":  class.LatencyObjective.Micros(),
			"give-up": class.Timeout.Micros(), "credit": class.PriorityWeight, "late-value": 0.0, "stream": false})
	}
	var kinds []string
	var minIdle int64
	for i := range s.Servers {
		kinds = append(kinds, s.Servers[i].Kind)
		if d := s.Servers[i].IdleTimeout.Micros(); minIdle == 0 || d < minIdle {
			minIdle = d
		}
	}
	mode := "subscribe"
	if s.Discovery.Mode == "push" {
		mode = "automatic"
	}
	rules, limits := &s.Rules, &s.Limits
	base := map[string]any{
		"peers-total": max(1, int(math.Round(s.Fleet.BelievedSizeFactor*float64(s.Fleet.Sidecars)))),
		"position":    sidecar, "zone": sidecar % len(s.Fleet.Zones), "areas": s.Fleet.Zones, "skus": kinds,
		"discovery": mode, "tick": 0, "classes": classes,
		"callers": map[string]any{"marks-retry": s.Clients.MarksRetries}, "value-by": "work",
		"contract": map[string]any{"drain-grace": rules.DrainGrace.Micros(), "cold-from": rules.InitialCapacity,
			"ramp-time": rules.SlowStartDuration.Micros(), "fall-multiple": rules.OverloadMultiple,
			"overload-for": rules.OverloadWindow.Micros(), "ask-within": rules.PollInterval.Micros(),
			"answer-slack": 20000},
		"limits": map[string]any{"cancel": true, "probes": limits.Probes, "second-copies": limits.HedgedRequests,
			"retry-after": limits.RetryAfter, "most-tries": limits.MaxAttempts, "most-held": limits.MaxOpen,
			"max-retry-after": limits.MaxRetryAfter.Micros(), "dial-timeout": limits.DialTimeout.Micros(),
			"keepalive": minIdle},
		"reporting": map[string]any{"how": limits.Reports, "fields": reportFields},
		"goal":      map[string]any{"whole": 0.75, "worst-window": 0.15, "worst-class": 0.1},
		"prices":    map[string]any{"cross-zone": 0.03, "probe": 0.0029, "waste": 0.047, "late-fail": 0.025},
	}
	applyOverlay(base, s.Overlay)
	return base
}

// applyOverlay replaces the values of base that overrides has. Tables in both are merged.
func applyOverlay(base, overrides map[string]any) {
	for key, value := range overrides {
		if baseTable, ok := base[key].(map[string]any); ok {
			if overrideTable, ok := value.(map[string]any); ok {
				applyOverlay(baseTable, overrideTable)
				continue
			}
		}
		base[key] = value
	}
}

// UnknownKeys returns the keys of overrides that the scenario's settings lack, as sorted paths.
func UnknownKeys(s *scenario.Scenario, overrides map[string]any) []string {
	withoutOverlay := *s
	withoutOverlay.Overlay = nil
	var find func(base, overrides map[string]any, path string) []string
	find = func(base, overrides map[string]any, path string) (unknown []string) {
		for key, value := range overrides {
			baseValue, ok := base[key]
			if !ok {
				unknown = append(unknown, path+key)
				continue
			}
			baseTable, isTable := baseValue.(map[string]any)
			if overrideTable, ok := value.(map[string]any); ok && isTable {
				unknown = append(unknown, find(baseTable, overrideTable, path+key+".")...)
			}
		}
		return unknown
	}
	unknown := find(Settings(&withoutOverlay, 0), overrides, "")
	sort.Strings(unknown)
	return unknown
}

// ModuleSettings returns a sidecar's settings parsed and validated for the decision module.
func ModuleSettings(s *scenario.Scenario, sidecar int) (balancer.Settings, error) {
	raw, err := json.Marshal(Settings(s, sidecar))
	if err != nil {
		return balancer.Settings{}, err
	}
	text, err := wire.SettingsText(raw)
	if err != nil {
		return balancer.Settings{}, err
	}
	settings, err := wire.ParseSettings(text)
	if err == nil {
		err = settings.Validate()
	}
	if err != nil {
		return settings, fmt.Errorf("settings derived from the scenario: %w", err)
	}
	return settings, nil
}
