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

// recordedFailures are captures of failures in the lab, each with texts that the replay's log must contain if the
// failure is in the capture.
var recordedFailures = map[string][]string{
	"gray-failure":       {"ejected for"},
	"upgrade-under-load": {"send"},
	"discovery-down":     {"discovery call failed"},
}

func captureFiles(tb testing.TB, name string) []string {
	tb.Helper()
	paths, err := capture.Files(filepath.Join("..", "..", "..", "lab", "captures", name), "")
	if err != nil || len(paths) == 0 {
		tb.Fatal(paths, err)
	}
	return paths
}

func play(tb testing.TB, paths []string, options Options) *Report {
	tb.Helper()
	report, err := Play(context.Background(), paths, options)
	if err != nil {
		tb.Fatal(err)
	}
	return report
}

// TestCapturesOfPastFailuresReplay expects the module to decide in recorded failures as it did then. After an intended
// change of decisions, record them again:
//
//	birchmoor lab sim lab/scenarios/NAME.toml --capture lab/captures/NAME
func TestCapturesOfPastFailuresReplay(t *testing.T) {
	for name, expectedTexts := range recordedFailures {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			r := play(t, captureFiles(t, name), Options{Log: &log})
			if r.Differences > 0 || len(r.Faults) > 0 || r.Gaps > 0 || r.Decisions < 4000 {
				t.Errorf("replay reported %+v, first difference %+v; want none, and at least 4000 decisions", r,
					r.First)
			}
			for _, text := range expectedTexts {
				if !strings.Contains(log.String(), text) {
					t.Errorf("the log of decisions lacks %q", text)
				}
			}
		})
	}
	if len(captureFiles(t, "upgrade-under-load")) < 3 {
		t.Error("the capture of an upgrade has fewer than 3 files, so that it misses the new process")
	}
}

func TestReplaysAtEitherSpeedAreEqual(t *testing.T) {
	paths := captureFiles(t, "discovery-down")
	first := play(t, paths, Options{})
	for range 9 {
		if again := play(t, paths, Options{}); again.Digest != first.Digest {
			t.Fatalf("first replay: digest %s; a repeated one: %s", first.Digest, again.Digest)
		}
	}
	synctest.Test(t, func(t *testing.T) {
		startedAt := time.Now()
		paced := play(t, paths, Options{Pace: true})
		if took := time.Since(startedAt); took < 20*time.Second {
			t.Errorf("the paced replay took %v, want at least 20 s", took)
		}
		if paced.Digest != first.Digest {
			t.Error("the paced replay has another digest than the unpaced one")
		}
	})
}

// TestReplayOfARangeDecidesAsTheFullReplay expects a replay of a range to contain the decisions of the full replay in
// that range, and to play the segment of the range only.
func TestReplayOfARangeDecidesAsTheFullReplay(t *testing.T) {
	paths := captureFiles(t, "gray-failure")
	start, err := StartOf(paths)
	if err != nil {
		t.Fatal(err)
	}
	var full, part bytes.Buffer
	play(t, paths, Options{Log: &full})
	r := play(t, paths, Options{Log: &part, From: start + 12_000_000, To: start + 14_000_000})
	if r.Differences > 0 || part.Len() < 1000 || !strings.Contains(full.String(), part.String()) {
		t.Errorf("replay of the range: %d differences, %d bytes of log, or lines that the full log lacks",
			r.Differences, part.Len())
	}
	if r.Segments != 1 {
		t.Errorf("%d segments were played, want 1", r.Segments)
	}
}

// recordRun records a run of 400 requests, and returns the files. It calls tamper once, after three quarters of them;
// what that does to the embedded Balancer of r is not recorded.
func recordRun(t *testing.T, tamper func(r *capture.Recorder, now balancer.Micros)) []string {
	t.Helper()
	dir := t.TempDir()
	writer, err := capture.Create(capture.Config{Dir: dir, Name: "x", MaxBytes: 1 << 20,
		MaxFileBytes: 1 << 20, MaxFileAge: time.Hour, QueueLength: 4,
		RetryDelay: time.Second, Log: slog.New(slog.DiscardHandler), BlockWhenFull: true})
	if err != nil {
		t.Fatal(err)
	}
	settings := balancer.Settings{Balancers: 1,
		Classes:  []balancer.Class{{Name: "look", LatencyObjective: 400_000, Timeout: 900_000, PriorityWeight: 1}},
		Limits:   balancer.Limits{MaxAttempts: 2, MaxOpen: 100},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2}}
	r, err := capture.New(capture.Options{SegmentInterval: 200_000, Sink: writer,
		EndpointName: func(id uint32) string { return fmt.Sprint("s-", id) }},
		balancer.NoActions{},
		func(out balancer.Actions) (*balancer.Balancer, error) { return balancer.New(settings, 3, out) })
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
	writer.Close()
	paths, err := capture.Files(dir, "x")
	if err != nil {
		t.Fatal(err)
	}
	return paths
}

// TestReplayDetectsInjectedDefects changes the module during a recording in ways that are not recorded. The replay must
// report a changed state at the next snapshot, and different decisions.
func TestReplayDetectsInjectedDefects(t *testing.T) {
	if r := play(t, recordRun(t, func(*capture.Recorder, balancer.Micros) {}), Options{}); r.Differences != 0 {
		t.Fatalf("replay without an injected defect: difference %+v", r.First)
	}
	r := play(t, recordRun(t, func(r *capture.Recorder, _ balancer.Micros) {
		r.Balancer.SetCapacityShare(0.25)
	}), Options{})
	if r.Differences == 0 || r.First.Input != "the state at a snapshot" {
		t.Errorf("changed capacity share: first difference %+v, want the state at a snapshot", r.First)
	}
	r = play(t, recordRun(t, func(r *capture.Recorder, _ balancer.Micros) {
		r.Balancer.DrainEndpoint(1, 0)
		r.Balancer.DrainEndpoint(2, 0)
	}), Options{})
	if r.Differences == 0 || !strings.HasPrefix(r.First.Input, "request") {
		t.Fatalf("drained endpoints: first difference %+v, want one on a request", r.First)
	}
	if !strings.Contains(r.First.Recorded[0], "to 3") || !strings.Contains(r.First.Replayed[0], "(s-") {
		t.Errorf("first difference %+v; want a send to endpoint 3, replayed to another one with its name", r.First)
	}
}

func TestOtherSettingsReportTheFirstDifference(t *testing.T) {
	paths := recordRun(t, func(*capture.Recorder, balancer.Micros) {})
	settings := balancer.Settings{Balancers: 1,
		Classes:  []balancer.Class{{Name: "look", LatencyObjective: 400_000, Timeout: 900_000, PriorityWeight: 1}},
		Limits:   balancer.Limits{MaxAttempts: 2, MaxOpen: 100, RetryAfter: true, Cancel: true},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2}}
	if r := play(t, paths, Options{Settings: &settings}); r.Differences != 0 {
		t.Errorf("settings that do not matter in this run: first difference %+v, want none", r.First)
	}
	settings.Classes[0].LatencyObjective = 100
	if r := play(t, paths, Options{Settings: &settings}); r.Differences == 0 || r.First == nil {
		t.Error("a latency objective that no endpoint meets: no difference was reported")
	}
}

func TestDamageIsReportedAndTheRestPlayed(t *testing.T) {
	paths := captureFiles(t, "upgrade-under-load")
	data, err := os.ReadFile(paths[0])
	if err != nil {
		t.Fatal(err)
	}
	truncated := filepath.Join(t.TempDir(), "cut.capture")
	if err := os.WriteFile(truncated, data[:len(data)-7], 0o600); err != nil {
		t.Fatal(err)
	}
	complete := play(t, paths, Options{})
	r := play(t, append([]string{truncated}, paths[1:]...), Options{})
	if len(r.Faults) != 1 || !strings.Contains(r.Faults[0], "cut") || r.Differences > 0 ||
		r.Decisions >= complete.Decisions || r.Decisions < complete.Decisions*3/4 {
		t.Errorf("replay of the truncated capture reported %+v, the complete one has %d decisions", r,
			complete.Decisions)
	}
}

func TestExplainListsCandidates(t *testing.T) {
	r := play(t, captureFiles(t, "gray-failure"), Options{Explain: 700})
	if len(r.Explanations) == 0 || len(r.Explanations[0].Candidates) != 8 || r.Differences > 0 {
		t.Fatalf("replay reported %+v, want explanations with 8 candidates and no difference", r)
	}
	explanation := r.Explanations[0]
	best := explanation.Candidates[0]
	for _, c := range explanation.Candidates {
		if c.Server == "" || c.Predicted <= 0 || c.Cost <= 0 {
			t.Errorf("candidate without a name, a predicted latency or a cost: %+v", c)
		}
		if c.Pooled && len(c.Exclusions) == 0 && c.Cost < best.Cost {
			best = c
		}
	}
	if !strings.Contains(explanation.Decisions[0], "("+best.Server+")") {
		t.Errorf("decisions %v, want one for the candidate of the lowest cost, %s", explanation.Decisions, best.Server)
	}
}

func TestTimelineIsDrawn(t *testing.T) {
	paths := captureFiles(t, "gray-failure")
	timeline := NewTimeline("mid-3.2", 0)
	play(t, paths, Options{Sample: timeline.Sample, SampleInterval: SampleIntervalMicros})
	var svg bytes.Buffer
	if err := timeline.Write(&svg); err != nil || !strings.Contains(svg.String(), "mid-3.2") ||
		len(timeline.rows[0]) < 200 {
		t.Errorf("Write: error %v, %d bytes from %d samples; want the endpoint's name, from at least 200 samples",
			err, svg.Len(), len(timeline.rows[0]))
	}
	if err := NewTimeline("mid-3.2", 0).Write(&svg); err == nil {
		t.Error("Write of a timeline without samples returned no error")
	}
}

// TestReloadThatRemovesAClass removes a class by a reload while a request of it is open, and another one that was read
// under the old rules is submitted after the reload. The capture must replay without a difference.
func TestReloadThatRemovesAClass(t *testing.T) {
	paths := recordRun(t, func(r *capture.Recorder, now balancer.Micros) {
		old := r.Rules()
		r.Request(now+1, balancer.Request{ID: 9001, Deadline: now + 400_000})
		settings := balancer.Settings{Balancers: 1,
			Classes:  []balancer.Class{{Name: "other", LatencyObjective: 300_000, Timeout: 900_000, PriorityWeight: 2}},
			Limits:   balancer.Limits{MaxAttempts: 1, MaxOpen: 100, RetryAfter: true},
			Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 1_000_000, OverloadMultiple: 2}}
		if _, err := r.Reload(now+2, settings); err != nil {
			t.Fatal(err)
		}
		r.Request(now+3, balancer.Request{ID: 9002, Deadline: now + 400_000, Rules: old})
		for e := range uint32(3) {
			r.Outcome(now+4, balancer.Outcome{ID: 9002, Endpoint: e + 1, Status: balancer.Error})
		}
	})
	if r := play(t, paths, Options{}); r.Differences != 0 || len(r.Faults) > 0 || r.Segments < 3 {
		t.Errorf("%+v, first %+v", r, r.First)
	}
}
