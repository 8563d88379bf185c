package main

import (
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"birchmoor/internal/testutil/processtest"
)

// Several sidecars as processes, each with an attempt in flight, are ended: one with SIGTERM as it runs, one with
// SIGTERM while it is paused, which continues later; one is killed. After SIGTERM a sidecar answers what it has
// accepted, closes the connection with the answer, and exits with 0; a client of a killed one sees the connection
// break and no answer.
func TestEndWhileRequestsAreOpen(t *testing.T) {
	taken, release := make(chan struct{}, 8), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		taken <- struct{}{}
		<-release
	}))
	defer server.Close()
	type answer struct {
		resp *http.Response
		err  error
	}
	procs, answers, addrs := map[string]*processtest.Process{}, map[string]chan answer{}, map[string]string{}
	for _, how := range []string{"SIGTERM", "SIGTERM while paused", "killed"} {
		text := strings.NewReplacer(`"127.0.0.1:1","lifecycle"`, `"`+server.Listener.Addr().String()+`","lifecycle"`,
			`"give-up":1000000`, `"give-up":60000000`, `"repeat":"pure"`, `"repeat":"side_effect"`).Replace(sound)
		file, addr, log := filepath.Join(t.TempDir(), "config.json"), processtest.Address(t), &processtest.Log{}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		env := []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + addr, "TMPDIR="}
		p := processtest.Start(t, processtest.Self(t, env), log)
		processtest.Until(t, "readiness", func() bool {
			resp, err := http.Get("http://" + addr + "/-/ready")
			if err == nil {
				resp.Body.Close()
			}
			return err == nil && resp.StatusCode == http.StatusOK
		}, log.String)
		ch := make(chan answer, 1)
		procs[how], answers[how], addrs[how] = p, ch, addr
		go func() {
			r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/look", nil)
			r.Header.Set("X-Trace-Id", "1")
			r.Header.Set("X-Qos", "look")
			resp, err := new(http.Transport).RoundTrip(r)
			if err == nil {
				resp.Body.Close()
			}
			ch <- answer{resp, err}
		}()
		<-taken
	}
	procs["SIGTERM while paused"].Pause()
	for _, how := range []string{"SIGTERM", "SIGTERM while paused"} {
		procs[how].Signal(syscall.SIGTERM)
	}
	procs["killed"].Kill()
	if a := <-answers["killed"]; a.err == nil {
		t.Errorf("killed: answered %s", a.resp.Status)
	}
	procs["SIGTERM while paused"].Resume()
	for _, how := range []string{"SIGTERM", "SIGTERM while paused"} {
		p := procs[how]
		// Once it accepts no more, only what it has accepted is left to wait for.
		processtest.Until(t, "the end of accepting", func() bool {
			c, err := net.Dial("tcp", addrs[how])
			if err == nil {
				c.Close()
			}
			return err != nil
		}, p.Log)
	}
	close(release)
	for _, how := range []string{"SIGTERM", "SIGTERM while paused"} {
		// On a machine that is busy for seconds the process's own deadline may come first: 502 is a final answer,
		// too.
		a := <-answers[how]
		isFinal := a.err == nil && (a.resp.StatusCode == http.StatusOK || a.resp.StatusCode == http.StatusBadGateway)
		if !isFinal || !a.resp.Close {
			t.Errorf("%s: %+v", how, a)
		}
		if code := procs[how].ExitCode(); code != 0 {
			t.Errorf("%s: exit code %d:\n%s", how, code, procs[how].Log())
		}
	}
}
