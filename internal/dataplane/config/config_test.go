package config_test

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/platform/management"
	"birchmoor/internal/testutil/sidecartest"
)

// The error for an invalid value names its key. The environment overrides values of a valid file.
func TestParseErrorNamesKey(t *testing.T) {
	validFile := func() map[string]any {
		return map[string]any{"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
			"limits": map[string]any{}, "settings": json.RawMessage(sidecartest.Settings)}
	}
	noEnv := func(string) string { return "" }
	for _, tc := range []struct {
		key   string
		value any
		want  string
	}{
		{"listen", "nowhere", "listen"},
		{"discovery", 7, "discovery"},
		{"seed", "xyz", "seed"},
		{"limits", map[string]any{"memory_mb": -1}, "limits.memory_mb"},
		{"limits", map[string]any{"sockets": 3}, "limits.sockets"},
		{"limits", map[string]any{"sockets": "many"}, "limits.sockets"},
		{"known", map[string]any{"instances": 3}, "known.instances"},
		{"settings", map[string]any{"classes": []any{}}, "settings"},
		{"settings", map[string]any{"classes": []any{map[string]any{"name": "a", "target": "x", "give-up": 1,
			"repeat": "pure"}}}, "classes.0.target"},
		{"settings", map[string]any{"areas": "a"}, "settings.areas"},
	} {
		file := validFile()
		file[tc.key] = tc.value
		text, err := json.Marshal(file)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := config.Parse(text, noEnv); err == nil || !strings.Contains(err.Error(), tc.want) {
			t.Errorf("%s = %v: error %v, want one that names %s", tc.key, tc.value, err, tc.want)
		}
	}
	text, err := json.Marshal(validFile())
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(text, func(name string) string {
		return map[string]string{"ROUTER_NAME": "n9", "ROUTER_LISTEN": "127.0.0.9:1"}[name]
	})
	if err != nil {
		t.Fatal(err)
	}
	got := fmt.Sprint(c.Name, c.Listen, c.Discovery, c.Seed, c.Classes, c.Settings.Contract.DrainGrace)
	if want := "n9127.0.0.9:1127.0.0.1:131 [look book pay] 250000"; got != want {
		t.Errorf("valid file with overrides read as %s, want %s", got, want)
	}
}

// When all connections that clients and endpoints may have are open, there are still descriptors for discovery,
// operators and the process itself.
func TestConnectionLimitsLeaveReservedDescriptors(t *testing.T) {
	for maxDescriptors := config.MinDescriptors; maxDescriptors < 70_000; maxDescriptors += 1 + maxDescriptors/50 {
		c := &config.Config{MaxDescriptors: maxDescriptors}
		// Three standard streams, two listeners, three of the runtime, two calls of discovery, and ten for a handover
		// and files.
		const ownDescriptors = 3 + 2 + 3 + 2 + 10
		remaining := maxDescriptors - c.MaxClientConns(1) - c.MaxUpstreamConns(1)
		if remaining < ownDescriptors+management.MaxConns || c.MaxClientConns(1) < 1 {
			t.Errorf("of %d descriptors, connections of clients and to endpoints leave %d", maxDescriptors, remaining)
		}
	}
}
