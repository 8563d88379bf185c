package main

// settings returns the settings of a small deployment, in the form and with the figures of the users' pages: two data
// centres, a few sidecars, one class that is safe to repeat and three that are not.
func settings() map[string]any {
	class := func(name, repeat string, target, giveUp int) map[string]any {
		return map[string]any{"name": name, "repeat": repeat, "target": target, "give-up": giveUp, "credit": 5.0,
			"group": "all", "late-value": 0.0, "stream": false, "window": 5000000}
	}
	return map[string]any{
		"areas":   []string{"petrzalka", "trnava"},
		"callers": map[string]any{"marks-retry": false},
		"classes": []any{class("slot-search", "pure", 400000, 1200000), class("confirm", "side_effect", 600000, 1500000),
			class("reschedule", "side_effect", 500000, 1000000), class("cancel", "side_effect", 600000, 1500000)},
		"contract": map[string]any{"answer-slack": 20000, "ask-within": 10000000, "cold-from": 0.13,
			"drain-grace": 500000, "fall-multiple": 3.0, "overload-for": 3000000, "ramp-time": 24000000},
		"discovery":       "subscribe",
		"family-info":     map[string]any{"warm-keys": false},
		"goal":            map[string]any{"whole": 0.75, "worst-class": 0.1, "worst-tenant": 0.0, "worst-window": 0.15},
		"kind-of-service": "mesh",
		"limits": map[string]any{"cancel": true, "cpu-us-per-request": 0.0, "cpu-us-per-s": 12000, "dial-timeout": 200000,
			"keepalive": 60000000, "max-retry-after": 750000, "may-tell": false, "most-held": 30000, "most-tries": 4,
			"multiplex": 1, "probes": true, "retry-after": true, "second-copies": true},
		"over-share-worth": 0.1,
		"peers-total":      2,
		"position":         0,
		"prices": map[string]any{"connection": 0.04, "cross-zone": 0.03, "discovery": 0.0, "handshake": 0.04,
			"late-fail": 0.025, "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.0029, "waste": 0.047},
		"reporting":   map[string]any{"fields": []string{"busy_reqs", "cpu_share", "served_ps"}, "how": "probe"},
		"skus":        []string{"fast-2", "mid-3", "slow-3"},
		"stages":      []string{"slot-servers"},
		"tenants":     []any{},
		"tick":        5000,
		"tier":        0,
		"value-by":    "work",
		"weight-kind": "rough",
		"zone":        0,
	}
}
