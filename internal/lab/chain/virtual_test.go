package chain

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

// runVirtual runs a row of ten sidecars per level in virtual time, and fails the test if a bound is violated.
func runVirtual(t *testing.T, options Options) *Result {
	t.Helper()
	options.Servers, options.FailureShare, options.Seed = 10, 1, 1
	result, err := Virtual(t.Context(), options)
	if err != nil {
		t.Fatal(err)
	}
	for _, violation := range violations(result) {
		t.Error(violation)
	}
	return result
}

// One call whose leaf fails becomes as many attempts there as MaxLeafAttempts says, as long as no retry budget limits
// it; if sidecars may not retry, one.
func TestLeafAttemptsMatchFormula(t *testing.T) {
	for _, class := range classNames {
		for _, failure := range []LeafFailure{LeafErrors, LeafRejects} {
			for _, depth := range []int{1, 2, 3} {
				for attempts := 1; attempts <= 3; attempts++ {
					t.Run(fmt.Sprint(class, failure, depth, attempts), func(t *testing.T) {
						result := runVirtual(t, Options{Depth: depth, Rate: 1, Duration: time.Second,
							Attempts: attempts, Class: class, LeafFailure: failure})
						if float64(result.MaxLeafAttempts) != result.LeafAttemptsBound ||
							result.LeafAttemptsBound != result.BudgetedLeafAttempts {
							t.Errorf("%d attempts, want %v by MaxLeafAttempts and %v by BudgetedLeafAttempts",
								result.MaxLeafAttempts, result.LeafAttemptsBound, result.BudgetedLeafAttempts)
						}
					})
				}
			}
		}
	}
	// With more levels the budgets limit the attempts, and part of a budget may be left over.
	result := runVirtual(t, Options{Depth: 7, Rate: 1, Duration: time.Second, Attempts: 3, Class: "look",
		LeafFailure: LeafErrors})
	if leafMost := float64(result.MaxLeafAttempts); leafMost > result.BudgetedLeafAttempts || leafMost < 300 ||
		result.LeafAttemptsBound != 2187 {
		t.Errorf("7 levels: %v attempts, want 300 to %v by the budgets", leafMost, result.BudgetedLeafAttempts)
	}
}

// Two runs with the same seed give the same result.
func TestVirtualIsRepeatable(t *testing.T) {
	options := Options{Depth: 4, Rate: 50, Duration: time.Second, Attempts: 3, Class: "book", LeafFailure: LeafErrors}
	if a, b := runVirtual(t, options), runVirtual(t, options); !reflect.DeepEqual(a, b) {
		t.Errorf("the first run gives %+v, the second %+v", a, b)
	}
}

// Without failures and retries, each level passes on its time left less the margin of the HTTP front.
func TestTimeLeftFallsByMarginPerLevel(t *testing.T) {
	result := runVirtual(t, Options{Depth: 14, Rate: 1, Duration: 3 * time.Second, Attempts: 1, Class: "look"})
	if result.Answers["200"] != 3 {
		t.Errorf("answers: %v, want 3 of 200", result.Answers)
	}
	for number, figures := range result.Levels {
		if want := int64(rootTimeoutMillis - 5*(number+1)); figures.TimeLeftMax != want ||
			figures.TimeLeftMin != want ||
			figures.Attempts != 3 {
			t.Errorf("level %d: %d attempts with %d to %d ms left, want 3 with %d ms", number+1, figures.Attempts,
				figures.TimeLeftMin,
				figures.TimeLeftMax, want)
		}
	}
}

// A row serves all idempotent calls, though each sidecar passes on no more time than its own timeout of an attempt.
func TestRowsOfSafeCallsAreServed(t *testing.T) {
	result := runVirtual(t, Options{Depth: 14, Rate: 2250, Duration: time.Second, Attempts: 3, Class: "look"})
	if result.Answers["200"] != 2250 {
		t.Errorf("answers: %v, want 2250 of 200", result.Answers)
	}
}
