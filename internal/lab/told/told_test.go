package told

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"birchmoor/balancer"
	"birchmoor/internal/lab/scenario"
)

func TestParsedMapsScenarioToSettings(t *testing.T) {
	s, err := scenario.Read("../../../lab/scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	got, err := ModuleSettings(s, 1)
	if err != nil {
		t.Fatal(err)
	}
	if got.Balancers != 3 || got.Position != 1 || got.Zone != 1 || !got.Subscribe || len(got.Classes) != 4 ||
		got.Kinds != 3 {
		t.Errorf("settings of sidecar 1: %+v", got)
	}
	want := balancer.Class{Name: "confirm", Idempotency: balancer.NotIdempotent, DedupScope: balancer.DedupCell,
		LatencyObjective: 600_000, Timeout: 1_500_000, PriorityWeight: 10}
	if d := cmp.Diff(want, got.Classes[1]); d != "" {
		t.Errorf("class confirm (- want, + got):\n%s", d)
	}
	if d := cmp.Diff(
		[]balancer.Field{balancer.FieldInflight, balancer.FieldUtil, balancer.FieldServed}, got.Fields,
	); d != "" {
		t.Errorf("fields of a load report (- want, + got):\n%s", d)
	}
}

func TestOverlayReplacesSettingsAndUnknownKeysAreFound(t *testing.T) {
	s, err := scenario.Read("../../../lab/scenarios/calm.toml")
	if err != nil {
		t.Fatal(err)
	}
	over := map[string]any{"limits": map[string]any{"most-tries": 1.0}, "discovery": "automatic"}
	if names := UnknownKeys(s, over); len(names) != 0 {
		t.Errorf("known keys are reported as unknown: %v", names)
	}
	s.Overlay = over
	got, err := ModuleSettings(s, 0)
	if err != nil || got.Limits.MaxAttempts != 1 || got.Subscribe || !got.Limits.Probes {
		t.Errorf("settings with the overlay: error %v, limits %+v", err, got.Limits)
	}
	names := UnknownKeys(s, map[string]any{"limits": map[string]any{"x": 1}, "y": 2})
	if d := cmp.Diff([]string{"limits.x", "y"}, names); d != "" {
		t.Errorf("unknown keys (- want, + got):\n%s", d)
	}
	s.Overlay = map[string]any{"limits": map[string]any{"most-tries": 0.0}}
	if _, err := ModuleSettings(s, 0); err == nil {
		t.Error("settings with 0 attempts are accepted")
	}
}
