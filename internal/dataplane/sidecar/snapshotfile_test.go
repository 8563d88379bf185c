package sidecar

import (
	"bytes"
	"context"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/platform/snapshot"
	"birchmoor/internal/testutil/sidecartest"
)

// runWithSnapshot runs a sidecar with a snapshot file of the given content until it serves, and returns its log.
func runWithSnapshot(t *testing.T, cfg *config.Config, data []byte) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "known")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var logged bytes.Buffer
	ctx, stop := context.WithCancel(t.Context())
	serving := make(chan struct{}, 1)
	log := slog.New(slog.NewTextHandler(logWriter(func(p []byte) {
		logged.Write(p)
		if bytes.Contains(p, []byte("msg=serving")) {
			serving <- struct{}{}
		}
	}), nil))
	ended := make(chan error, 1)
	go func() {
		ended <- Run(ctx, cfg, Host{
			Socket:       listenerSocket{ln},
			Overrides:    maintenance.Discard{},
			SnapshotFile: snapshot.File{Path: path},
			Log:          log,
		})
	}()
	sidecartest.Receive(t, serving, "start")
	stop()
	if err := sidecartest.Receive(t, ended, "end"); err != nil {
		t.Error(err)
	}
	return logged.String()
}

// logWriter is an io.Writer that passes each log line to a function.
type logWriter func(p []byte)

func (w logWriter) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}

// A sidecar must restore its state from a valid snapshot file, and must log the fault and start if the file is invalid.
func TestStartRestoresSnapshotFile(t *testing.T) {
	cfg := configure(t, []string{"127.0.0.1:1", "127.0.0.1:2"})
	clock, registry := core.NewClock(), metrics.New()
	upstream := httpfront.NewUpstream(cfg, clock, registry, sidecartest.DiscardLog)
	old, err := core.New(cfg, clock, upstream, func(bool) {}, registry, nil, sidecartest.DiscardLog)
	if err != nil {
		t.Fatal(err)
	}
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go old.Run(ctx)
	data, err := old.Snapshot(ctx)
	if err != nil {
		t.Fatal(err)
	}
	newer := bytes.Clone(data)
	newer[7]++
	for _, tc := range []struct {
		data []byte
		want string
	}{
		{data, "endpoints=2 of=2"},
		{data[:len(data)/2], "cut"},
		{newer, "newer"},
		{[]byte(strings.Repeat("x", 99)), "foreign"},
	} {
		if logged := runWithSnapshot(t, cfg, tc.data); !strings.Contains(logged, tc.want) {
			t.Errorf("the log lacks %q:\n%s", tc.want, logged)
		}
	}
}
