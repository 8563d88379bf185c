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

// runWithSnapshot runs a sidecar with the given snapshot file, and returns its log lines once it was ready.
func runWithSnapshot(t *testing.T, c *config.Config, data []byte) string {
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
		ended <- Run(ctx, c, Host{
			Socket:       singleListener{ln},
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

type logWriter func(p []byte)

func (w logWriter) Write(p []byte) (int, error) {
	w(p)
	return len(p), nil
}

// A sidecar restores its state from the file, and starts whatever the file contains.
func TestStartRestoresSnapshotFile(t *testing.T) {
	c := configure(t, []string{"127.0.0.1:1", "127.0.0.1:2"})
	clock, registry := core.NewClock(), metrics.New()
	upstream := httpfront.NewUpstream(c, clock, &registry.AttemptsSent, sidecartest.DiscardLog)
	old, err := core.New(c, clock, upstream, func(bool) {}, registry, nil, sidecartest.DiscardLog)
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
		if logged := runWithSnapshot(t, c, tc.data); !strings.Contains(logged, tc.want) {
			t.Errorf("want %q in:\n%s", tc.want, logged)
		}
	}
}
