package chain

import (
	"fmt"
	"reflect"
	"testing"
	"time"
)

func rowed(t *testing.T, o Options) *Result {
	t.Helper()
	o.Servers, o.Share, o.Seed = 10, 1, 1
	x, err := Virtual(t.Context(), o)
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range faults(x) {
		t.Error(f)
	}
	return x
}

// One call whose leaf fails becomes as many attempts there as the formula says, as long as no budget binds; where the class may not be
// repeated, one.
func TestAttemptsAtTheLeaf(t *testing.T) {
	for _, class := range classNames {
		for _, how := range []How{Errors, Refuses} {
			for _, depth := range []int{1, 2, 3} {
				for attempts := 1; attempts <= 3; attempts++ {
					t.Run(fmt.Sprint(class, how, depth, attempts), func(t *testing.T) {
						x := rowed(t, Options{Depth: depth, Rate: 1, For: time.Second, Attempts: attempts, Class: class, Fail: how})
						if float64(x.LeafMost) != x.Worst || x.Worst != x.Budgeted {
							t.Errorf("%d attempts, %v by the rules, %v by the budgets", x.LeafMost, x.Worst, x.Budgeted)
						}
					})
				}
			}
		}
	}
	// From here on the budgets bind, and may leave some of it to the calls that come.
	x := rowed(t, Options{Depth: 7, Rate: 1, For: time.Second, Attempts: 3, Class: "look", Fail: Errors})
	if n := float64(x.LeafMost); n > x.Budgeted || n < 300 || x.Worst != 2187 {
		t.Errorf("7 levels: %v attempts, %v by the budgets", n, x.Budgeted)
	}
}

// The same seed plays the same row.
func TestVirtualIsRepeatable(t *testing.T) {
	o := Options{Depth: 4, Rate: 50, For: time.Second, Attempts: 3, Class: "book", Fail: Errors}
	if a, b := rowed(t, o), rowed(t, o); !reflect.DeepEqual(a, b) {
		t.Errorf("%+v, then %+v", a, b)
	}
}

// Where nothing fails and nothing is repeated, each level hands on what it was told less a front's margin.
func TestTimeLeft(t *testing.T) {
	x := rowed(t, Options{Depth: 14, Rate: 1, For: 3 * time.Second, Attempts: 1, Class: "look"})
	if x.Answers["200"] != 3 {
		t.Errorf("answers: %v, want three of 200", x.Answers)
	}
	for k, l := range x.Levels {
		if want := int64(rootMs - 5*(k+1)); l.LeftMax != want || l.LeftMin != want || l.Attempts != 3 {
			t.Errorf("level %d: %d attempts were told of %d to %d ms, want 3 of %d", k+1, l.Attempts, l.LeftMin, l.LeftMax, want)
		}
	}
}

// A row of safe calls is served to its end, though each sidecar tells the next of no more than it waits for an attempt.
func TestRowsOfSafeCallsAreServed(t *testing.T) {
	x := rowed(t, Options{Depth: 14, Rate: 2250, For: time.Second, Attempts: 3, Class: "look"})
	if x.Answers["200"] != 2250 {
		t.Errorf("answers: %v, want 2250 of 200", x.Answers)
	}
}
