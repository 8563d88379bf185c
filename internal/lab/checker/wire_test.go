package checker

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"birchmoor/internal/lab/trace"
)

// traceBreakingEveryRule returns a trace that breaks each rule and changes each count.
func traceBreakingEveryRule() *traceBuilder {
	b := &traceBuilder{now: 1000 * millisecond}
	b.request(1, 1, 0).wait(2000 * millisecond).add(trace.Event{Kind: trace.RequestAbandoned, Request: 1})
	b.request(2, 2, 0).execute(2, 0).answer(2, trace.Served).answer(2, trace.Served)
	b.request(3, 3, 0).answer(3, trace.Served)
	b.request(4, 4, 0).execute(4, 0).answer(4, trace.Foreign)
	b.execute(99, 0).answer(98, trace.Served)
	b.request(5, 5, 1).execute(5, 0).execute(5, 2).answer(5, trace.Rejected)
	b.notify(3, trace.Draining).wait(551*millisecond).request(6, 6, 0).execute(6, 3).answer(6, trace.Served)
	b.notify(4, trace.DrainedByOperator).wait(600*millisecond).request(7, 7, 0).execute(7, 4).answer(7, trace.Served)
	b.add(trace.Event{Kind: trace.ServerStarted, Server: 5, Capacity: 1e6, ColdFrom: 0.2,
		ColdFor: 20_000 * millisecond})
	for id := uint64(100); id < 160; id++ {
		b.request(id, id, 0).execute(id, 5).wait(10*millisecond).answer(id, trace.Served)
	}
	b.request(8, 8, 0).add(trace.Event{Kind: trace.SidecarStateChanged, State: trace.Removed})
	b.add(trace.Event{Kind: trace.ClientCutOff, Request: 8}).add(trace.Event{Kind: trace.SidecarStateChanged,
		State: trace.Up})
	b.request(9, 9, 0).add(trace.Event{Kind: trace.RequestAbandoned, Request: 9, Note: "unheard"})
	b.request(10, 10, 0).answer(10, trace.Failed).request(11, 11, 0).execute(11, 0)
	return b.add(trace.Event{Kind: trace.ClientCutOff, Request: 97})
}

// Verdicts are part of stored results, so their keys, the values of Rule and the details must not change.
// testdata/verdict.json was written by commit 7105f7a.
func TestVerdictJSONIsUnchanged(t *testing.T) {
	want, err := os.ReadFile("testdata/verdict.json")
	if err != nil {
		t.Fatal(err)
	}
	verdict := traceBreakingEveryRule().check()
	got, err := json.MarshalIndent(verdict, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(got, '\n'), want) {
		t.Errorf("the verdict is encoded as\n%s\nwant\n%s", got, want)
	}

	var decoded Verdict
	if err := json.Unmarshal(want, &decoded); err != nil {
		t.Fatal(err)
	}
	again, err := json.MarshalIndent(&decoded, "", "\t")
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(append(again, '\n'), want) {
		t.Errorf("the decoded verdict is encoded as\n%s\nwant\n%s", again, want)
	}
	const wantLine = "rules broken: cold servers pushed over 1, double answers 2, duplicates 1, false refusals 1, " +
		"foreign answers 3, late drains 2, lost requests 1, unbalanced counts 2"
	if line := decoded.String(); line != wantLine {
		t.Errorf("the line is %q, want %q", line, wantLine)
	}
}
