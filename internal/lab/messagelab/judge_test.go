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

// The requests of this test start a second after testStart, and their clients have a second for the answer.
var testStart = time.Now()

func at(ms int) time.Time { return testStart.Add(time.Duration(ms) * time.Millisecond) }

// servedRecord returns a request that was served as it is to be.
func servedRecord() *record {
	return &record{
		plan:      &plan{id: "1", class: classes[1], wait: time.Second, form: steady, serverReads: -1, answerBytes: 10},
		startedAt: at(1000), writtenAt: at(1000), firstAt: at(1100), endedAt: at(1100),
		outcome: answered, status: http.StatusOK, received: 10, intact: true,
	}
}

// goodAttempt returns an attempt whose answer was complete soon.
func goodAttempt() *attempt {
	return &attempt{began: at(1010), deadlineMillis: 990, complete: at(1010), intact: true,
		headAt: at(1050), given: 10, answeredAt: at(1050)}
}

// cutAttempt returns an attempt whose connection the sidecar closed before the answer was complete.
func cutAttempt() *attempt {
	a := goodAttempt()
	a.answeredAt = time.Time{}
	a.cutAt = at(1300)
	return a
}

// changes applies changes to a request one after the other.
func changes(all ...func(*record)) func(*record) {
	return func(r *record) {
		for _, change := range all {
			change(r)
		}
	}
}

func endsAs(o outcome) func(*record) {
	return func(r *record) {
		r.outcome = o
		if o != broken {
			r.status = 0
		}
	}
}

func endsAt(ms int) func(*record) { return func(r *record) { r.endedAt = at(ms) } }

// rejected gives a request a refusal after a time, in milliseconds.
func rejected(ms int) func(*record) {
	return func(r *record) {
		r.status = http.StatusServiceUnavailable
		r.firstAt, r.endedAt = at(ms), at(ms)
	}
}

func idempotent(r *record)  { r.plan.class = classes[0] }
func comesAgain(r *record)  { r.plan.comesAgain = true }
func readsSlowly(r *record) { r.plan.readRate = 9 }
func hasLongAnswer(r *record) {
	r.plan.answerBytes = 2 * longMessageBytes
	r.received = r.plan.answerBytes
}

// Each rule must report its violation, and excuse requests that an injected fault explains.
func TestJudgeReportsViolationsAndExcusesFaults(t *testing.T) {
	one, two, cut := []*attempt{goodAttempt()}, []*attempt{goodAttempt(), goodAttempt()}, []*attempt{cutAttempt()}
	changed := goodAttempt()
	changed.intact = false
	late := goodAttempt()
	late.began = at(1500)
	afterRestart := goodAttempt()
	afterRestart.began, afterRestart.complete = at(3000), at(3000)
	kill := &period{from: at(900), to: at(5000)}
	killAtEnd := &period{from: at(900), to: at(2000), cutsOpen: true}
	restart := &period{from: at(2000), to: at(2500), restart: true}
	unread := func(r *record) { r.firstAt = time.Time{} }
	for name, c := range map[string]struct {
		change   func(r *record)
		attempts []*attempt
		excuse   *period
		busy     bool // the lab was late, so that bounds in real time are not judged
		want     Rule // violated; empty for none
	}{
		"served":                    {changes(), one, nil, false, ""},
		"closed after an attempt":   {endsAs(closed), one, nil, false, Answered},
		"closed while idle":         {endsAs(closed), nil, nil, false, ""},
		"closed by a kill":          {endsAs(closed), one, kill, false, ""},
		"killed on another sidecar": {endsAs(closed), one, &period{sidecar: 1, from: at(900), to: at(5000)}, false, Answered},
		"unanswered at the kill":    {changes(endsAs(closed), endsAt(2000), unread), one, killAtEnd, false, Answered},
		"answer cut by the kill":    {changes(endsAs(broken), endsAt(2000)), one, killAtEnd, false, ""},
		"no answer":                 {endsAs(timedOut), nil, nil, false, Answered},
		"answer broke off":          {endsAs(broken), one, nil, false, Cut},
		"late":                      {endsAt(2700), one, nil, false, Late},
		"late, lab busy":            {endsAt(2700), one, nil, true, ""},
		"late by less":              {endsAt(2400), one, nil, false, ""},
		"rejected late":             {rejected(2700), nil, nil, false, Late},
		"long and slow":             {changes(hasLongAnswer, endsAt(3000)), one, nil, false, ""},
		"rest delayed":              {changes(hasLongAnswer, endsAt(3300)), one, nil, false, Delayed},
		"read slowly":               {changes(hasLongAnswer, readsSlowly, endsAt(9000)), one, nil, false, ""},
		"another's answer":          {func(r *record) { r.intact = false }, one, nil, false, Foreign},
		"a part of the answer":      {func(r *record) { r.received = 5 }, one, nil, false, Foreign},
		"body changed":              {changes(), []*attempt{changed}, nil, false, Foreign},
		"ran twice":                 {changes(), two, nil, false, NoRepeat},
		"idempotent, ran twice":     {idempotent, two, nil, false, ""},
		"again":                     {comesAgain, two, nil, false, NoRepeat},
		"again after a restart":     {comesAgain, []*attempt{goodAttempt(), afterRestart}, restart, false, ""},
		"again, never ran":          {changes(comesAgain, rejected(1100)), nil, restart, false, ""},
		"cut off, long":             {changes(hasLongAnswer, rejected(1300)), cut, nil, false, Cut},
		"cut off, short":            {rejected(1300), cut, nil, false, Cut},
		"cut off, other served":     {idempotent, []*attempt{cutAttempt(), goodAttempt()}, nil, false, ""},
		"cut off, client left":      {endsAs(abandoned), cut, nil, false, ""},
		"begun after client left":   {changes(endsAs(abandoned), endsAt(700)), one, nil, false, Gone},
		"deadline too long":         {changes(), []*attempt{late}, nil, false, PassedDeadline},
	} {
		rec := servedRecord()
		c.change(rec)
		r := &run{result: Result{Counts: map[Rule]int{}}}
		r.servers = &servers{attempts: map[string][]*attempt{rec.plan.id: c.attempts}}
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

// The server gets its part of each plan by the request's query, and a plan's content has its length and no other's
// bytes.
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
	options := Options{Program: "/does/not/exist", Dir: t.TempDir(), Seed: 1, Duration: time.Second}
	if _, err := Run(context.Background(), options); err == nil {
		t.Error("no error")
	}
}
