package balancer

import (
	"errors"
	"fmt"
	"testing"
)

// A request keeps the rules that it arrived under. A new class has its own rules, and the state of a class that remains
// is kept.
func TestReloadKeepsOldRulesAndStateOfRemainingClasses(t *testing.T) {
	s := testSettings()
	b, out := startBalancer(t, s, readyEndpoints(3))
	work := b.classes[4].meanWork.value * 3
	b.classes[4].meanWork.value = work
	b.byID[1].partFailures[4].streak = 7
	old := b.Rules()
	b.Request(0, testRequest(1, 0, 0)) // of class "read", which allows three attempts

	s.Limits.MaxAttempts = 1
	s.Classes = []Class{{Name: "new", Idempotency: NotIdempotent, LatencyObjective: 300_000, Timeout: second,
		PriorityWeight: 2}, s.Classes[4]}
	rules, err := b.Reload(s)
	if err != nil {
		t.Fatal(err)
	}
	// "write" has another index in the settings, but must keep its state.
	if slot := rules.classSlots[1]; b.classes[slot].meanWork.value != work ||
		b.byID[1].partFailures[slot].streak != 7 {
		t.Error("the state of a remaining class was lost")
	}
	failAttempt := func(id uint64, attempt int) {
		b.Outcome(1000, Outcome{ID: id, Attempt: attempt, Endpoint: out.sends[len(out.sends)-1].endpoint,
			Status: Error})
	}
	failAttempt(1, 0)
	if len(out.sends) != 2 {
		t.Errorf("an open request of a removed idempotent class was sent %d times, want 2", len(out.sends))
	}
	// A request that the host read under the old rules and passes on after the reload.
	late := testRequest(2, 0, 0)
	late.Rules = old
	b.Request(1000, late)
	failAttempt(2, 0)
	if len(out.sends) != 4 {
		t.Errorf("after a late request under the old rules: %d sends in all, want 4", len(out.sends))
	}
	b.Request(1000, testRequest(3, 0, 1000)) // of class "new", not idempotent
	failAttempt(3, 0)
	if len(out.sends) != 5 || len(out.failed) != 1 {
		t.Errorf("after a request of the new class: %d sends in all, want 5; %d failed, want 1",
			len(out.sends), len(out.failed))
	}
}

func TestReloadRejectsInvalidSettings(t *testing.T) {
	s := testSettings()
	b, _ := startBalancer(t, s, readyEndpoints(1))
	before := b.Rules()
	s.Classes = append([]Class(nil), s.Classes...)
	s.Classes[0].Timeout = 0
	var settingErr *SettingError
	if _, err := b.Reload(s); !errors.As(err, &settingErr) || b.Rules() != before {
		t.Errorf("Reload with invalid settings: got error %v, want a SettingError and unchanged rules", err)
	}
}

// The slots of removed classes must be used again, or memory would grow with each reload.
func TestManyReloadsReuseClassSlots(t *testing.T) {
	s := testSettings()
	s.Tenants = []Tenant{{Name: "a", Allowance: 1}, {Name: "b", Allowance: 1}}
	b, out := startBalancer(t, s, readyEndpoints(2))
	for i := range 50 {
		s.Classes = []Class{{Name: fmt.Sprint("class", i), Idempotency: Idempotent, LatencyObjective: 300_000,
			Timeout: second, PriorityWeight: 1}}
		s.Tenants[0], s.Tenants[1] = s.Tenants[1], s.Tenants[0]
		if _, err := b.Reload(s); err != nil {
			t.Fatal(err)
		}
		if endpointID := sendAndAnswer(b, out, Micros(i)*second, uint64(i+1)); endpointID == 0 {
			t.Fatal("refused")
		}
	}
	if n := len(b.classes); n > 6 {
		t.Errorf("%d class slots after 50 reloads, want at most 6", n)
	}
	for _, e := range b.endpoints {
		if len(e.partFailures) != len(b.classes)+2 {
			t.Errorf("%d failure runs for %d class slots and 2 tenants", len(e.partFailures), len(b.classes))
		}
	}
}
