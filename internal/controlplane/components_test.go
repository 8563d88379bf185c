package controlplane

import (
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"testing"

	"birchmoor/internal/controlplane/operatorconfig"
	"birchmoor/internal/lab/address"
)

// Guards against a listener that stays open after a daemon failed to start, so that a retry cannot listen on its
// address. Here the start fails because the drain log is a folder and cannot be read.
func TestFailedOpenReleasesAddress(t *testing.T) {
	dir := t.TempDir()
	addr := address.Next()
	file := filepath.Join(dir, "operator.toml")
	text := "[store]\nname = \"a\"\ndir = \"a\"\nsocket = \"a.sock\"\nplain = true\nlisten = \"" + addr + "\"\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	drainLog := filepath.Join(dir, "a", "words")
	if err := os.MkdirAll(drainLog, 0o700); err != nil { // a folder in place of the file
		t.Fatal(err)
	}
	operatorFile, err := operatorconfig.Read(file)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Open(Config{File: operatorFile, Log: slog.New(slog.DiscardHandler)}); err == nil {
		t.Fatal("Open succeeded with a folder in place of the drain log")
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	_ = ln.Close()
}
