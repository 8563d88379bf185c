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

// Several sidecars as processes, each with a request on its attempt, are told to end: one as it runs, one while it is stopped
// and goes on later; one is killed outright. Who was told answers what it had taken, says that the connection ends, and ends
// with 0; whose process was killed sees the connection break and no answer.
func TestEndWhileRequestsAreOpen(t *testing.T) {
	taken, release := make(chan struct{}, 8), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		taken <- struct{}{}
		<-release
	}))
	defer server.Close()
	type answer struct {
		resp *http.Response
		err  error
	}
	procs, answers, addrs := map[string]*processtest.Process{}, map[string]chan answer{}, map[string]string{}
	for _, how := range []string{"told", "told while stopped", "killed"} {
		text := strings.NewReplacer(`"127.0.0.1:1","lifecycle"`, `"`+server.Listener.Addr().String()+`","lifecycle"`,
			`"give-up":1000000`, `"give-up":60000000`, `"repeat":"pure"`, `"repeat":"side_effect"`).Replace(sound)
		file, addr, log := filepath.Join(t.TempDir(), "config.json"), processtest.Address(t), &processtest.Log{}
		if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		p := processtest.Start(t, processtest.Self(t, []string{"ROUTER_CONFIG=" + file, "ROUTER_LISTEN=" + addr, "TMPDIR="}), log)
		processtest.Until(t, "readiness", func() bool {
			resp, err := http.Get("http://" + addr + "/-/ready")
			if err == nil {
				resp.Body.Close()
			}
			return err == nil && resp.StatusCode == 200
		}, log.String)
		ch := make(chan answer, 1)
		procs[how], answers[how], addrs[how] = p, ch, addr
		go func() {
			r, _ := http.NewRequest("POST", "http://"+addr+"/look", nil)
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
	procs["told while stopped"].Pause()
	for _, how := range []string{"told", "told while stopped"} {
		procs[how].Signal(syscall.SIGTERM)
	}
	procs["killed"].Kill()
	if a := <-answers["killed"]; a.err == nil {
		t.Errorf("killed: answered %s", a.resp.Status)
	}
	procs["told while stopped"].Resume()
	for _, how := range []string{"told", "told while stopped"} {
		p := procs[how]
		// Only what it has taken is left to wait for, once it accepts no more.
		processtest.Until(t, "the end of accepting", func() bool {
			c, err := net.Dial("tcp", addrs[how])
			if err == nil {
				c.Close()
			}
			return err != nil
		}, p.Log)
	}
	close(release)
	for _, how := range []string{"told", "told while stopped"} {
		// A machine that is busy for seconds may let the process's own end come first: that is a final answer, too.
		if a := <-answers[how]; a.err != nil || a.resp.StatusCode != 200 && a.resp.StatusCode != 502 || !a.resp.Close {
			t.Errorf("%s: %+v", how, a)
		}
		if code := procs[how].ExitCode(); code != 0 {
			t.Errorf("%s: exit code %d:\n%s", how, code, procs[how].Log())
		}
	}
}
