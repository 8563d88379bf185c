// Package told makes, from a scenario, what a sidecar is told at its start: the settings as the sockets and the
// simulator's wire have them.
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

// fields of a load report.
var fields = []string{"busy_reqs", "cpu_share", "served_ps"}

// Settings returns the settings object of the sidecar of this number.
func Settings(s *scenario.Scenario, sidecar int) map[string]any {
	var classes []map[string]any
	for i := range s.Classes {
		c := &s.Classes[i]
		repeat := "pure"
		if c.Unsafe {
			repeat = "side_effect"
		}
		classes = append(classes, map[string]any{"name": c.Name, "repeat": repeat, "target": c.Aim.Micros(),
			"give-up": c.GiveUp.Micros(), "credit": c.Worth, "late-value": 0.0, "stream": false})
	}
	var kinds []string
	var idle int64
	for i := range s.Servers {
		kinds = append(kinds, s.Servers[i].Kind)
		if d := s.Servers[i].Idle.Micros(); idle == 0 || d < idle {
			idle = d
		}
	}
	mode := "subscribe"
	if s.Discovery.Mode == "push" {
		mode = "automatic"
	}
	r, l := &s.Rules, &s.Limits
	base := map[string]any{
		"peers-total": max(1, int(math.Round(s.Fleet.Told*float64(s.Fleet.Sidecars)))), "position": sidecar, "zone": sidecar % len(s.Fleet.Zones),
		"areas": s.Fleet.Zones, "skus": kinds, "discovery": mode, "tick": 0, "classes": classes,
		"callers":  map[string]any{"marks-retry": s.Clients.Marks},
		"value-by": "work",
		"contract": map[string]any{"drain-grace": r.DrainGrace.Micros(), "cold-from": r.ColdFrom,
			"ramp-time": r.RampTime.Micros(), "fall-multiple": r.FallMultiple, "overload-for": r.OverloadFor.Micros(),
			"ask-within": r.AskWithin.Micros(), "answer-slack": 20000},
		"limits": map[string]any{"cancel": true, "probes": l.Probes, "second-copies": l.SecondCopies,
			"retry-after": l.RetryAfter, "most-tries": l.Attempts, "most-held": l.Held,
			"max-retry-after": l.MaxRetryAfter.Micros(), "dial-timeout": l.Dial.Micros(), "keepalive": idle},
		"reporting": map[string]any{"how": l.Reports, "fields": fields},
		"goal":      map[string]any{"whole": 0.75, "worst-window": 0.15, "worst-class": 0.1},
		"prices":    map[string]any{"cross-zone": 0.03, "probe": 0.0029, "waste": 0.047, "late-fail": 0.025},
	}
	overlay(base, s.Overlay)
	return base
}

// overlay puts what an experiment tells otherwise in the place of the scenario's.
func overlay(base, over map[string]any) {
	for k, v := range over {
		if to, ok := base[k].(map[string]any); ok {
			if from, ok := v.(map[string]any); ok {
				overlay(to, from)
				continue
			}
		}
		base[k] = v
	}
}

// Foreign returns the keys of an overlay that the settings do not have, as paths.
func Foreign(s *scenario.Scenario, over map[string]any) []string {
	plain := *s
	plain.Overlay = nil
	var find func(base, over map[string]any, path string) []string
	find = func(base, over map[string]any, path string) (names []string) {
		for k, v := range over {
			has, ok := base[k]
			if !ok {
				names = append(names, path+k)
				continue
			}
			to, inner := has.(map[string]any)
			if from, ok := v.(map[string]any); ok && inner {
				names = append(names, find(to, from, path+k+".")...)
			}
		}
		return names
	}
	names := find(Settings(&plain, 0), over, "")
	sort.Strings(names)
	return names
}

// Parsed returns the same as the decision module takes it.
func Parsed(s *scenario.Scenario, sidecar int) (balancer.Settings, error) {
	raw, err := json.Marshal(Settings(s, sidecar))
	if err != nil {
		return balancer.Settings{}, err
	}
	text, err := wire.SettingsText(raw)
	if err != nil {
		return balancer.Settings{}, err
	}
	out, err := wire.ParseSettings(text)
	if err == nil {
		err = out.Validate()
	}
	if err != nil {
		return out, fmt.Errorf("settings made from the scenario: %w", err)
	}
	return out, nil
}
