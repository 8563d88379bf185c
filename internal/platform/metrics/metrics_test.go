package metrics

import (
	"errors"
	"os"
	"strings"
	"sync"
	"testing"
)

func TestWriteText(t *testing.T) {
	r := New("look")
	r.Class("look").Answered.Inc()
	r.Class(`odd"\` + "\n").Errored.Inc()
	r.Class("look").Deferred.Inc()
	r.AttemptsSent.Inc()
	r.InFlight.Add(3)
	r.InFlight.Add(-1)
	r.Endpoints.Set(9)
	r.UnhealthyEndpoints.Set(2)
	r.Unanswered.Inc()
	r.AllRequestsRejected.Inc()
	r.AllRequestsRejected.Inc()
	r.ConfigsLoaded.Inc()
	r.ConfigsRejected.Inc()
	var b strings.Builder
	if err := r.WriteText(&b); err != nil {
		t.Fatal(err)
	}
	const want = `app_answered_total{group="look"} 1
app_deferred_total{group="look"} 1
app_errored_total{group="look"} 0
app_answered_total{group="odd\"\\\n"} 0
app_deferred_total{group="odd\"\\\n"} 0
app_errored_total{group="odd\"\\\n"} 1
app_sends_total 1
app_current 2
app_cluster_size 9
app_cluster_unhealthy 2
app_unanswered_total 1
app_all_refused_total 2
app_conf_loaded_total 1
app_conf_invalid_total 1
`
	if b.String() != want {
		t.Errorf("got\n%swant\n%s", b.String(), want)
	}
}

type failingWriter struct{}

var errWriter = errors.New("write failed")

func (failingWriter) Write([]byte) (int, error) { return 0, errWriter }

func TestWriteTextReturnsErrorOfWriter(t *testing.T) {
	if err := New().WriteText(failingWriter{}); !errors.Is(err, errWriter) {
		t.Error("got", err)
	}
}

// Counting continues while metrics are written, and a class that several goroutines use first at the same time is
// created once.
func TestCountingIsSafeForConcurrentUse(t *testing.T) {
	r := New()
	var workers sync.WaitGroup
	for range 8 {
		workers.Go(func() {
			for range 100 {
				r.Class("look").Answered.Inc()
				if err := r.WriteText(&strings.Builder{}); err != nil {
					t.Error(err)
				}
			}
		})
	}
	workers.Wait()
	if n := r.Class("look").Answered.Value(); n != 800 {
		t.Errorf("counted %d requests, want 800", n)
	}
}

// TestNamesUnchanged compares the metrics of a protocol with those that version 7105f7a wrote.
func TestNamesUnchanged(t *testing.T) {
	fixture, err := os.ReadFile("testdata/protocol.txt")
	if err != nil {
		t.Fatal(err)
	}
	r := NewForProtocol("dns", "lookup")
	r.Class("lookup").Deferred.Inc()
	r.LimitRejections(`a"b`).Inc()
	r.LimitRejections("c").Inc()
	r.NewCounter("truncated_total").Inc()
	r.InFlight.Set(2)
	r.Endpoints.Set(3)
	r.UnhealthyEndpoints.Set(4)
	for counter, n := range map[*Counter]int{
		&r.AttemptsSent: 1, &r.Unanswered: 5, &r.AllRequestsRejected: 6, &r.ConfigsLoaded: 7, &r.ConfigsRejected: 8,
	} {
		for range n {
			counter.Inc()
		}
	}
	var b strings.Builder
	if err := r.WriteText(&b); err != nil || b.String() != string(fixture) {
		t.Errorf("got\n%swant\n%serror %v", b.String(), fixture, err)
	}
}
