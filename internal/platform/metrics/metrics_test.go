package metrics

import (
	"errors"
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
	r.AllEndpointsRefused.Inc()
	r.AllEndpointsRefused.Inc()
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

type broken struct{}

var errBroken = errors.New("broken")

func (broken) Write([]byte) (int, error) { return 0, errBroken }

func TestWriteTextFails(t *testing.T) {
	if err := New().WriteText(broken{}); !errors.Is(err, errBroken) {
		t.Error("got", err)
	}
}

// Counting and reading go on side by side, and a class is made once however many ask for it at the same time.
func TestSideBySide(t *testing.T) {
	r := New()
	var all sync.WaitGroup
	for range 8 {
		all.Go(func() {
			for range 100 {
				r.Class("look").Answered.Inc()
				r.WriteText(&strings.Builder{})
			}
		})
	}
	all.Wait()
	if n := r.Class("look").Answered.Value(); n != 800 {
		t.Errorf("counted %d, want 800", n)
	}
}
