package main

import (
	"net"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"birchmoor/internal/testutil/processtest"
)

// Guards against a process that ignores SIGTERM until another client connects, since the platform has passed the
// clients' socket on, as it does when it starts the next process, and thereby put it into blocking mode for a moment.
func TestSIGTERMEndsProcessWhoseSocketWasPassedOn(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	socket, err := listener.(*net.TCPListener).File()
	if err != nil {
		t.Fatal(err)
	}
	defer socket.Close()
	file, log := filepath.Join(t.TempDir(), "config.json"), &processtest.Log{}
	if err := os.WriteFile(file, []byte(validConfig), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := processtest.Self(t, []string{"ROUTER_CONFIG=" + file, "ROUTER_FD=3", "TMPDIR="})
	cmd.ExtraFiles = []*os.File{socket}
	p := processtest.Start(t, cmd, log)
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	isReady := func() bool {
		resp, err := client.Get("http://" + listener.Addr().String() + "/-/ready")
		if err == nil {
			resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	}
	processtest.Until(t, "readiness", isReady, log.String)
	if err := syscall.SetNonblock(int(socket.Fd()), false); err != nil {
		t.Fatal(err)
	}
	if !isReady() {
		t.Error("a process whose socket is in blocking mode is not ready")
	}
	if err := syscall.SetNonblock(int(socket.Fd()), true); err != nil {
		t.Fatal(err)
	}
	p.Signal(syscall.SIGTERM)
	if code := p.ExitCode(); code != 0 {
		t.Errorf("exit code %d:\n%s", code, p.Log())
	}
}
