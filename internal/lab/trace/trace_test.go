package trace

import "testing"

func TestAsideKeepsOrder(t *testing.T) {
	const n = 3*batchSize + 17
	var got []uint64
	a := Beside(Func(func(e Event) { got = append(got, e.Request) }))
	for i := range uint64(n) {
		a.Take(Event{Request: i})
	}
	a.Close()
	a.Close()
	if len(got) != n {
		t.Fatalf("%d events of %d came", len(got), n)
	}
	for i, id := range got {
		if id != uint64(i) {
			t.Fatalf("at place %d comes %d", i, id)
		}
	}
}

func TestKindsHaveNames(t *testing.T) {
	for k := Asked; k <= Gauge; k++ {
		if k.String() == "" || k.String()[:2] == "ki" && k != Killed {
			t.Errorf("kind %d is called %q", k, k)
		}
	}
	if got := Kind(200).String(); got != "kind-200" {
		t.Errorf("an unknown kind is called %q", got)
	}
}
