package messagelab

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"
)

// Each rule must report its violation, and excuse requests that an injected fault explains.
func TestJudgeReportsViolationsAndExcusesFaults(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	// The client writes its last byte 1 s after the start, and has 1 s for the answer.
	usual := func() *record {
		return &record{
			plan:      &plan{id: "1", class: classes[1], wait: time.Second, form: steady, serverReads: -1, answerBytes: 10},
			startedAt: at(1000), writtenAt: at(1000), firstAt: at(1100), endedAt: at(1100),
			outcome: answered, status: http.StatusOK, received: 10, intact: true,
		}
	}
	ran := func() *attempt {
		return &attempt{began: at(1010), toldMillis: 990, complete: at(1010), intact: true, headAt: at(1050), given: 10,
			wholeAt: at(1050)}
	}
	cutOff := func() *attempt {
		a := ran()
		a.wholeAt = time.Time{}
		a.cutAt = at(1300)
		return a
	}
	long := func(r *record) { r.plan.answerBytes = 2 * longMessageBytes }
	unserved := func(r *record) { r.status = http.StatusBadGateway }
	for name, c := range map[string]struct {
		change   func(r *record)
		attempts []*attempt
		excuse   *period
		busy     bool // the lab was late, so that bounds in real time are not judged
		want     Rule // violated; empty for none
	}{
		"served":                  {attempts: []*attempt{ran()}},
		"closed after an attempt": {change: func(r *record) { r.outcome = closed; r.status = 0 }, attempts: []*attempt{ran()}, want: Answered},
		"closed while idle":       {change: func(r *record) { r.outcome = closed; r.status = 0 }},
		"closed by a kill": {change: func(r *record) { r.outcome = closed; r.status = 0 }, attempts: []*attempt{ran()},
			excuse: &period{from: at(900), to: at(5000)}},
		"killed on another sidecar": {change: func(r *record) { r.outcome = closed; r.status = 0 }, attempts: []*attempt{ran()},
			excuse: &period{sidecar: 1, from: at(900), to: at(5000)}, want: Answered},
		"read, and unanswered at the kill": {change: func(r *record) { r.outcome = closed; r.status = 0; r.firstAt = time.Time{}; r.endedAt = at(2000) },
			attempts: []*attempt{ran()}, excuse: &period{from: at(900), to: at(2000), cutsOpen: true}, want: Answered},
		"answer cut by the kill": {change: func(r *record) { r.outcome = broken; r.endedAt = at(2000) }, attempts: []*attempt{ran()},
			excuse: &period{from: at(900), to: at(2000), cutsOpen: true}},
		"no answer":          {change: func(r *record) { r.outcome = timedOut; r.status = 0 }, want: Answered},
		"answer broke off":   {change: func(r *record) { r.outcome = broken }, attempts: []*attempt{ran()}, want: Cut},
		"late":               {change: func(r *record) { r.endedAt = at(2700) }, attempts: []*attempt{ran()}, want: Late},
		"late, lab busy":     {change: func(r *record) { r.endedAt = at(2700) }, attempts: []*attempt{ran()}, busy: true},
		"late by less":       {change: func(r *record) { r.endedAt = at(2400) }, attempts: []*attempt{ran()}},
		"refused late":       {change: func(r *record) { unserved(r); r.firstAt = at(2700); r.endedAt = at(2700) }, want: Late},
		"long and slow":      {change: func(r *record) { long(r); r.received = r.plan.answerBytes; r.endedAt = at(3000) }, attempts: []*attempt{ran()}},
		"held back":          {change: func(r *record) { long(r); r.received = r.plan.answerBytes; r.endedAt = at(3300) }, attempts: []*attempt{ran()}, want: HeldBack},
		"read slowly":        {change: func(r *record) { long(r); r.received = r.plan.answerBytes; r.endedAt = at(9000); r.plan.readRate = 9 }, attempts: []*attempt{ran()}},
		"another's answer":   {change: func(r *record) { r.intact = false }, attempts: []*attempt{ran()}, want: Foreign},
		"a part of it":       {change: func(r *record) { r.received = 5 }, attempts: []*attempt{ran()}, want: Foreign},
		"ran twice":          {attempts: []*attempt{ran(), ran()}, want: NoRepeat},
		"idempotent, twice":  {change: func(r *record) { r.plan.class = classes[0] }, attempts: []*attempt{ran(), ran()}},
		"again at a restart": {change: func(r *record) { r.plan.comesAgain = true }, attempts: []*attempt{ran(), {began: at(3000), complete: at(3000), intact: true}}, excuse: &period{from: at(2000), to: at(2500), restart: true}},
		"again, none ran":    {change: func(r *record) { r.plan.comesAgain = true; unserved(r) }, excuse: &period{from: at(2000), to: at(2500), restart: true}},
		"again elsewhere":    {change: func(r *record) { r.plan.comesAgain = true }, attempts: []*attempt{ran(), ran()}, want: NoRepeat},
		"cut":                {change: func(r *record) { long(r); unserved(r) }, attempts: []*attempt{cutOff()}, want: Cut},
		"cut, short":         {change: unserved, attempts: []*attempt{cutOff()}, want: Cut},
		"cut, other served":  {change: func(r *record) { r.plan.class = classes[0] }, attempts: []*attempt{cutOff(), ran()}},
		"cut for a client that left": {change: func(r *record) { r.outcome = abandoned; r.status = 0; r.plan.leaveAfter = 1 },
			attempts: []*attempt{cutOff()}},
		"begun after it left": {change: func(r *record) { r.outcome = abandoned; r.status = 0; r.endedAt = at(700) },
			attempts: []*attempt{{began: at(1010)}}, want: Gone},
		"told too much": {attempts: []*attempt{{began: at(1500), toldMillis: 990, complete: at(1500), intact: true}}, want: Told},
		"body changed":  {attempts: []*attempt{{began: at(1010), toldMillis: 990, complete: at(1010)}}, want: Foreign},
	} {
		rec := usual()
		if c.change != nil {
			c.change(rec)
		}
		r := &run{servers: &servers{attempts: map[string][]*attempt{"1": c.attempts}}, result: Result{Counts: map[Rule]int{}}}
		r.Seed = 1 // no crowd
		if c.excuse != nil {
			r.excuses = []period{*c.excuse}
		}
		r.judge(rec, !c.busy)
		want := map[Rule]int{}
		if c.want != "" {
			want[c.want] = 1
		}
		if !maps.Equal(r.result.Counts, want) {
			t.Errorf("%s: broken rules %v, want %v; %v", name, r.result.Counts, want, r.result.Violations)
		}
	}
}

// The server gets its part of each plan by the request's query, and a plan's content has its length and no other's bytes.
func TestPlanReachesServerUnchanged(t *testing.T) {
	rng := rand.New(rand.NewPCG(1, 1))
	for range 1000 {
		p := drawPlan(rng, "0a")
		target, err := url.Parse(p.target())
		if err != nil {
			t.Fatal(err)
		}
		got, err := serverPlan(p.id, target.Query())
		if err != nil {
			t.Fatal(err)
		}
		if got.target() != strings.Replace(p.target(), "/"+p.class.name+"/", "//", 1) {
			t.Fatalf("the server's plan is %s, want that of %s", got.target(), p.target())
		}
	}
	if string(content("0a", 7)) != "0a\n0a\n0" {
		t.Errorf("content %q", content("0a", 7))
	}
}

// A run without a program to start fails and leaves nothing behind.
func TestRunReportsProgramThatDoesNotStart(t *testing.T) {
	if _, err := Run(context.Background(), Options{Program: "/does/not/exist", Dir: t.TempDir(), Seed: 1, Duration: time.Second}); err == nil {
		t.Error("no error")
	}
}
