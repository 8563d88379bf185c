package rollout

import (
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// Guards against changes of the stored form of plans and reports. Revision 7105f7a wrote the files in testdata.
func TestPlansAndReportsKeepStoredForm(t *testing.T) {
	tests := []struct {
		file string
		want any // a pointer to the expected value
	}{
		{"plan.json", &Plan{
			ID: 9, State: RolledBack, Steps: []Step{{Count: 1}, {Fraction: 0.1}, {Fraction: 1}},
			SettleMillis: 30000, Step: 1, Hosts: []string{"host-a", "host-b"}, Reason: "host-b: no disk",
			Operator: "ops", Note: "larger pool", Token: 77,
		}},
		{"plan-new.json", &Plan{ID: 10, State: Running, Steps: []Step{{Fraction: 1}}, SettleMillis: 100, Step: -1}},
		{"plan-done.json", &Plan{
			ID: 11, State: Completed, Steps: []Step{{Fraction: 1}}, SettleMillis: 100, Hosts: []string{"host-a"},
			Operator: "ops",
		}},
		{"report.json", &Report{PlanID: 9, Step: 1, Served: 1000, Unserved: 3, Error: "settings.x: is bad"}},
		{"report-good.json", &Report{PlanID: 9, Step: 2, Served: 5}},
	}
	for _, tc := range tests {
		fixture, err := os.ReadFile("testdata/" + tc.file)
		if err != nil {
			t.Fatal(err)
		}
		stored := strings.TrimSuffix(string(fixture), "\n")
		decoded := reflect.New(reflect.TypeOf(tc.want).Elem()).Interface()
		if err := json.Unmarshal(fixture, decoded); err != nil || !reflect.DeepEqual(decoded, tc.want) {
			t.Errorf("%s: decoded as %+v, error %v, want %+v", tc.file, decoded, err, tc.want)
		}
		if encoded, err := json.Marshal(tc.want); err != nil || string(encoded) != stored {
			t.Errorf("%s: encoded as %s, error %v, want %s", tc.file, encoded, err, stored)
		}
	}
}
