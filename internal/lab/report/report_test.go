package report

import (
	"bytes"
	"strings"
	"testing"

	"birchmoor/internal/lab/checker"
	"birchmoor/internal/lab/figures"
)

// The page's template refers to fields of the result by name, which the compiler does not check: a renamed field would
// only fail when a page is rendered.
func TestWriteShowsCountsAndViolations(t *testing.T) {
	verdict := &checker.Verdict{
		Counts:          checker.Counts{Requests: 10, Served: 4, Rejected: 3, Failed: 2, Abandoned: 1},
		ViolationCounts: map[checker.Rule]int{checker.LostRequests: 1},
		Violations: []checker.Violation{
			{Rule: checker.LostRequests, At: 12, Server: 3, Sidecar: 2, Detail: "no answer"},
		},
	}
	result := &figures.Result{
		Scenario: "calm",
		Host:     "sim",
		Classes:  []figures.Class{{Name: "look", Tasks: 10}},
		Figures:  map[string]float64{"p50_ms": 1},
		Missed:   []string{"service"},
		Verdict:  verdict,
	}
	var page bytes.Buffer
	if err := Write(&page, result); err != nil {
		t.Fatal(err)
	}
	for _, want := range []string{
		"asked 10 = served 4 + refused 3 + failed 2 + gone 1",
		"<td>no answer (sidecar 2, server 3)</td>",
		"missed: service",
		"<td>look</td>",
	} {
		if !strings.Contains(page.String(), want) {
			t.Errorf("the rendered page does not contain %q", want)
		}
	}
}
