package balancer

import (
	"errors"
	"fmt"
	"testing"
)

// A request keeps the rules that it came with; a new class has its own, and what stays is not forgotten.
func TestReloadKeepsWhatStays(t *testing.T) {
	s := testSettings()
	b, out := start(t, s, ready(3))
	work := b.classes[4].meanWork.value * 3
	b.classes[4].meanWork.value = work
	b.byID[1].partFailures[4].streak = 7
	old := b.Rules()
	b.Request(0, request0(1, 0, 0)) // of "read", three attempts

	s.Limits.MaxAttempts = 1
	s.Classes = []Class{{Name: "new", Idempotency: NotIdempotent, LatencyObjective: 300_000, Timeout: second,
		PriorityWeight: 2}, s.Classes[4]}
	rules, err := b.Reload(s)
	if err != nil {
		t.Fatal(err)
	}
	// "write" has another place, and all that was known of it.
	if slot := rules.slots[1]; b.classes[slot].meanWork.value != work ||
		b.byID[1].partFailures[slot].streak != 7 {
		t.Error("what was known of a class that stays is gone")
	}
	fails := func(id uint64, attempt int) {
		b.Outcome(1000, Outcome{ID: id, Attempt: attempt, Endpoint: out.sends[len(out.sends)-1].endpoint,
			Status: Error})
	}
	fails(1, 0)
	if len(out.sends) != 2 {
		t.Errorf("an open request of a dropped class, safe to repeat, was sent %d times", len(out.sends))
	}
	// One that was read under the old rules and comes late.
	late := request0(2, 0, 0)
	late.Rules = old
	b.Request(1000, late)
	fails(2, 0)
	if len(out.sends) != 4 {
		t.Errorf("a late request under the old rules: %d sends in all, want 4", len(out.sends))
	}
	b.Request(1000, request0(3, 0, 1000)) // of "new", unsafe
	fails(3, 0)
	if len(out.sends) != 5 || len(out.failed) != 1 {
		t.Errorf("a request of the new class: %d sends in all, %d failed", len(out.sends), len(out.failed))
	}
}

func TestReloadRejectsInvalidSettings(t *testing.T) {
	s := testSettings()
	b, _ := start(t, s, ready(1))
	before := b.Rules()
	s.Classes = append([]Class(nil), s.Classes...)
	s.Classes[0].Timeout = 0
	var bad *SettingError
	if _, err := b.Reload(s); !errors.As(err, &bad) || b.Rules() != before {
		t.Errorf("got %v", err)
	}
}

// Places of classes that are gone are used again, so that reloads without end take no room without end.
func TestManyReloadsReuseSlots(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", Allowance: 1}, {Name: "b", Allowance: 1}}
	b, out := start(t, s, ready(2))
	for i := range 50 {
		s.Classes = []Class{{Name: fmt.Sprint("class", i), Idempotency: Idempotent, LatencyObjective: 300_000,
			Timeout: second, PriorityWeight: 1}}
		s.Tenants[0], s.Tenants[1] = s.Tenants[1], s.Tenants[0]
		if _, err := b.Reload(s); err != nil {
			t.Fatal(err)
		}
		if at := requestEndpoint(b, out, Micros(i)*second, uint64(i+1)); at == 0 {
			t.Fatal("refused")
		}
	}
	if n := len(b.classes); n > 6 {
		t.Errorf("%d places for classes", n)
	}
	for _, e := range b.endpoints {
		if len(e.partFailures) != len(b.classes)+2 {
			t.Errorf("%d ills for %d classes and 2 tenants", len(e.partFailures), len(b.classes))
		}
	}
}
