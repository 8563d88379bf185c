package watchdog

import (
	"bytes"
	"errors"
	"testing"
)

func TestReadControlsReturnsDeadlinesAndEnds(t *testing.T) {
	var pipe bytes.Buffer
	for _, err := range []error{ExtendDeadline(&pipe, 5), ExtendDeadline(&pipe, 9), RequestEnd(&pipe)} {
		if err != nil {
			t.Fatal(err)
		}
	}
	if want := "5\n9\nend\n"; pipe.String() != want {
		t.Errorf("the pipe contains %q, want %q", pipe.String(), want)
	}
	stop := make(chan struct{})
	defer close(stop)
	deadline, controls, err := readControls(&pipe, stop)
	if err != nil || deadline != 5 {
		t.Fatalf("first deadline %d, error %v, want 5", deadline, err)
	}
	for _, want := range []control{{deadline: 9}, {endReason: ErrEndRequested}, {endReason: ErrControllerExited}} {
		if got := <-controls; got != want {
			t.Errorf("control %+v, want %+v", got, want)
		}
	}
	if _, _, err := readControls(&pipe, stop); !errors.Is(err, ErrControllerExited) {
		t.Errorf("reading from an empty pipe: error %v, want %v", err, ErrControllerExited)
	}
}

func TestParseStatSkipsDeadProcesses(t *testing.T) {
	tests := []struct {
		stat        string
		pid, parent int
		ok          bool
	}{
		{"12 (sh) S 3 12 12 0", 12, 3, true},
		{"13 (a (b) c) d) R 12 13", 13, 12, true},
		{"14 (sh) Z 3 12 12 0", 14, 3, false},
		{"15 (sh) X 3 12 12 0", 15, 3, false},
		{"16 (sh) S", 16, 0, false},
		{"", 0, 0, false},
	}
	for _, tc := range tests {
		pid, parent, ok := parseStat(tc.stat)
		if ok != tc.ok || ok && (pid != tc.pid || parent != tc.parent) {
			t.Errorf("parseStat(%q) = %d, %d, %v, want %d, %d, %v", tc.stat, pid, parent, ok, tc.pid, tc.parent, tc.ok)
		}
	}
}
