package replay

import (
	"bytes"
	"context"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
)

// past are failures that were recorded in the lab, with what shows that the failure is in them.
var past = map[string][]string{
	"gray-failure":       {"ejected for"},
	"upgrade-under-load": {"send"},
	"discovery-down":     {"discovery call failed"},
}

func files(tb testing.TB, name string) []string {
	tb.Helper()
	list, err := capture.Files(filepath.Join("..", "..", "..", "lab", "captures", name), "")
	if err != nil || len(list) == 0 {
		tb.Fatal(list, err)
	}
	return list
}

func play(tb testing.TB, list []string, o Options) *Report {
	tb.Helper()
	r, err := Files(context.Background(), list, o)
	if err != nil {
		tb.Fatal(err)
	}
	return r
}

// The module decides in past failures as it did. If it is meant to decide otherwise now, record them anew:
// birchmoor lab sim lab/scenarios/NAME.toml --capture lab/captures/NAME
func TestCapturesOfPastFailuresReplay(t *testing.T) {
	for name, marks := range past {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			r := play(t, files(t, name), Options{Log: &log})
			if r.Differences > 0 || len(r.Faults) > 0 || r.Gaps > 0 || r.Decisions < 4000 {
				t.Errorf("%+v, first %+v", r, r.First)
			}
			for _, m := range marks {
				if !strings.Contains(log.String(), m) {
					t.Errorf("no %q in the decisions", m)
				}
			}
		})
	}
	if len(files(t, "upgrade-under-load")) < 3 {
		t.Error("no process took over")
	}
}

func TestReplaysAtEitherSpeedAreEqual(t *testing.T) {
	list := files(t, "discovery-down")
	first := play(t, list, Options{})
	for range 9 {
		if again := play(t, list, Options{}); again.Digest != first.Digest {
			t.Fatalf("digest %s, then %s", first.Digest, again.Digest)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		paced := play(t, list, Options{Pace: true})
		if took := time.Since(began); took < 20*time.Second {
			t.Errorf("it took %v", took)
		}
		if paced.Digest != first.Digest {
			t.Error("at its own pace it decides otherwise")
		}
	})
}

// A range is decided upon as it is within the full capture.
func TestReplayOfARangeDecidesAsTheFullReplay(t *testing.T) {
	list := files(t, "gray-failure")
	begin, err := StartOf(list)
	if err != nil {
		t.Fatal(err)
	}
	var full, part bytes.Buffer
	play(t, list, Options{Log: &full})
	r := play(t, list, Options{Log: &part, From: begin + 12_000_000, To: begin + 14_000_000})
	if r.Differences > 0 || part.Len() < 1000 || !strings.Contains(full.String(), part.String()) {
		t.Errorf("%d differences, %d bytes", r.Differences, part.Len())
	}
	if r.Segments != 1 {
		t.Errorf("%d segments were played", r.Segments)
	}
}

// tampered records a run in which something happens to the module that is not recorded.
func tampered(t *testing.T, tamper func(r *capture.Recorder, now balancer.Micros)) []string {
	t.Helper()
	dir := t.TempDir()
	w, err := capture.Create(capture.Config{Dir: dir, Name: "x", MaxBytes: 1 << 20,
		MaxFileBytes: 1 << 20, MaxFileAge: time.Hour, QueueLength: 4,
		RetryDelay: time.Second, Log: slog.New(slog.DiscardHandler), BlockWhenFull: true})
	if err != nil {
		t.Fatal(err)
	}
	s := balancer.Settings{Balancers: 1,
		Classes:  []balancer.Class{{Name: "look", LatencyObjective: 400_000, Timeout: 900_000, PriorityWeight: 1}},
		Limits:   balancer.Limits{MaxAttempts: 2, MaxOpen: 100},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2}}
	r, err := capture.New(capture.Options{SegmentInterval: 200_000, Sink: w,
		EndpointName: func(id uint32) string { return fmt.Sprint("s-", id) }},
		balancer.NoActions{}, func(out balancer.Actions) (*balancer.Balancer, error) { return balancer.New(s, 3, out) })
	if err != nil {
		t.Fatal(err)
	}
	now := balancer.Micros(1_000_000_000)
	r.Start(now)
	r.UpdateEndpoints(now, balancer.ListFull, []balancer.Endpoint{{ID: 1}, {ID: 2}, {ID: 3}})
	for id := range uint64(400) {
		now += 1000
		r.Request(now, balancer.Request{ID: id + 1, Deadline: now + 500_000})
		for e := range uint32(3) {
			r.Outcome(now+100, balancer.Outcome{ID: id + 1, Endpoint: e + 1, Latency: 900, Answered: true})
		}
		if id == 300 {
			tamper(r, now)
		}
	}
	r.Close()
	w.Close()
	list, err := capture.Files(dir, "x")
	if err != nil {
		t.Fatal(err)
	}
	return list
}

// The replay detects injected defects: a state that was changed behind its back, a decision it would not take.
func TestReplayDetectsInjectedDefects(t *testing.T) {
	if r := play(t, tampered(t, func(*capture.Recorder, balancer.Micros) {}), Options{}); r.Differences != 0 {
		t.Fatalf("nothing is planted, and %+v", r.First)
	}
	r := play(t, tampered(t, func(r *capture.Recorder, _ balancer.Micros) {
		r.Balancer.SetCapacityShare(0.25)
	}), Options{})
	if r.Differences == 0 || r.First.Input != "the state at a snapshot" {
		t.Errorf("a changed share: %+v", r.First)
	}
	r = play(t, tampered(t, func(r *capture.Recorder, _ balancer.Micros) {
		r.Balancer.DrainEndpoint(1, 0)
		r.Balancer.DrainEndpoint(2, 0)
	}), Options{})
	if r.Differences == 0 || !strings.HasPrefix(r.First.Input, "request") {
		t.Fatalf("a ban: %+v", r.First)
	}
	if !strings.Contains(r.First.Recorded[0], "to 3") || !strings.Contains(r.First.Replayed[0], "(s-") {
		t.Errorf("%+v", r.First)
	}
}

func TestOtherSettingsReportTheFirstDifference(t *testing.T) {
	list := tampered(t, func(*capture.Recorder, balancer.Micros) {})
	s := balancer.Settings{Balancers: 1,
		Classes:  []balancer.Class{{Name: "look", LatencyObjective: 400_000, Timeout: 900_000, PriorityWeight: 1}},
		Limits:   balancer.Limits{MaxAttempts: 2, MaxOpen: 100, RetryAfter: true, Cancel: true},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2}}
	if r := play(t, list, Options{Settings: &s}); r.Differences != 0 {
		t.Errorf("settings that change nothing there: %+v", r.First)
	}
	s.Classes[0].LatencyObjective = 100
	if r := play(t, list, Options{Settings: &s}); r.Differences == 0 || r.First == nil {
		t.Error("a latency objective that nothing meets changes nothing")
	}
}

func TestDamageIsReportedAndTheRestPlayed(t *testing.T) {
	list := files(t, "upgrade-under-load")
	data, err := os.ReadFile(list[0])
	if err != nil {
		t.Fatal(err)
	}
	cut := filepath.Join(t.TempDir(), "cut.capture")
	if err := os.WriteFile(cut, data[:len(data)-7], 0o600); err != nil {
		t.Fatal(err)
	}
	whole := play(t, list, Options{})
	r := play(t, append([]string{cut}, list[1:]...), Options{})
	if len(r.Faults) != 1 || !strings.Contains(r.Faults[0], "cut") || r.Differences > 0 ||
		r.Decisions >= whole.Decisions || r.Decisions < whole.Decisions*3/4 {
		t.Errorf("%+v of %d decisions", r, whole.Decisions)
	}
}

func TestExplainListsCandidates(t *testing.T) {
	r := play(t, files(t, "gray-failure"), Options{Explain: 700})
	if len(r.Explanations) == 0 || len(r.Explanations[0].Candidates) != 8 || r.Differences > 0 {
		t.Fatalf("%+v", r)
	}
	w := r.Explanations[0]
	best := w.Candidates[0]
	for _, c := range w.Candidates {
		if c.Server == "" || c.Predicted <= 0 || c.Cost <= 0 {
			t.Errorf("%+v", c)
		}
		if c.Pooled && len(c.Exclusions) == 0 && c.Cost < best.Cost {
			best = c
		}
	}
	if !strings.Contains(w.Decisions[0], "("+best.Server+")") {
		t.Errorf("decided %v, the best is %s", w.Decisions, best.Server)
	}
}

func TestTimelineIsDrawn(t *testing.T) {
	list := files(t, "gray-failure")
	line := NewTimeline("mid-3.2", 0)
	play(t, list, Options{Sample: line.Sample, SampleInterval: SampleIntervalMicros})
	var svg bytes.Buffer
	if err := line.Write(&svg); err != nil || !strings.Contains(svg.String(), "mid-3.2") || len(line.rows[0]) < 200 {
		t.Errorf("%v, %d bytes, %d samples", err, svg.Len(), len(line.rows[0]))
	}
	if err := NewTimeline("mid-3.2", 0).Write(&svg); err == nil {
		t.Error("nothing was drawn of nothing")
	}
}

// A reload drops a class while a request of it is on its way, and another is open: both replay.
func TestReloadThatRemovesAClass(t *testing.T) {
	list := tampered(t, func(r *capture.Recorder, now balancer.Micros) {
		old := r.Rules()
		r.Request(now+1, balancer.Request{ID: 9001, Deadline: now + 400_000})
		s := balancer.Settings{Balancers: 1,
			Classes:  []balancer.Class{{Name: "other", LatencyObjective: 300_000, Timeout: 900_000, PriorityWeight: 2}},
			Limits:   balancer.Limits{MaxAttempts: 1, MaxOpen: 100, RetryAfter: true},
			Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2}}
		if _, err := r.Reload(now+2, s); err != nil {
			t.Fatal(err)
		}
		r.Request(now+3, balancer.Request{ID: 9002, Deadline: now + 400_000, Rules: old})
		for e := range uint32(3) {
			r.Outcome(now+4, balancer.Outcome{ID: 9002, Endpoint: e + 1, Status: balancer.Error})
		}
	})
	if r := play(t, list, Options{}); r.Differences != 0 || len(r.Faults) > 0 || r.Segments < 3 {
		t.Errorf("%+v, first %+v", r, r.First)
	}
}
