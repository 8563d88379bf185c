package trace

import "testing"

func TestAsideKeepsOrder(t *testing.T) {
	const n = 3*batchSize + 17
	var got []uint64
	a := NewAsyncSink(Func(func(e Event) { got = append(got, e.Request) }))
	for i := range uint64(n) {
		a.Take(Event{Request: i})
	}
	a.Close()
	a.Close()
	if len(got) != n {
		t.Fatalf("the sink received %d events, want %d", len(got), n)
	}
	for i, id := range got {
		if id != uint64(i) {
			t.Fatalf("event %d of the sink is event %d", i, id)
		}
	}
}

func TestKindsHaveNames(t *testing.T) {
	for k := RequestSent; k <= ServerGauge; k++ {
		if k.String() == "" || k.String()[:2] == "ki" && k != SidecarStateChanged {
			t.Errorf("the name of kind %d is %q", k, k)
		}
	}
	if got := Kind(200).String(); got != "kind-200" {
		t.Errorf("the name of an unknown kind is %q, want kind-200", got)
	}
}
