package httpfront

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"
)

// A flood of events takes ten lines a second, and the next line says how many were left out.
func TestEventLogBoundsLinesPerSecond(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		events := newEventLog(slog.New(slog.NewTextHandler(&out, nil)), "event")
		for range 1000 {
			events.add()
		}
		if lines := strings.Count(out.String(), "\n"); lines != maxEventsPerSecond {
			t.Errorf("%d lines in the first second, want %d", lines, maxEventsPerSecond)
		}
		time.Sleep(time.Second)
		out.Reset()
		events.add(slog.String("id", "x"))
		if line := out.String(); !strings.HasSuffix(line, "msg=event id=x suppressed=990\n") {
			t.Errorf("line after the flood: %q", line)
		}
	})
}
