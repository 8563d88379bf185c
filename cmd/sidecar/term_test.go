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

// Sidecar processes are ended while each has an attempt in flight: one by SIGTERM, one by SIGTERM while it is paused,
// after which it resumes, and one by SIGKILL. After SIGTERM, a sidecar answers the requests that it has accepted,
// closes their connections with the response, and exits with 0. A client of the killed sidecar gets an error and no
// response.
func TestTerminationWithRequestsInFlight(t *testing.T) {
	received, release := make(chan struct{}, 8), make(chan struct{})
	endpoint := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		received <- struct{}{}
		<-release
	}))
	defer endpoint.Close()
	type result struct {
		resp *http.Response
		err  error
	}
	procs, results, addrs := map[string]*processtest.Process{}, map[string]chan result{}, map[string]string{}
	for _, termination := range []string{"SIGTERM", "SIGTERM while paused", "killed"} {
		text := strings.NewReplacer(`"127.0.0.1:1","lifecycle"`, `"`+endpoint.Listener.Addr().String()+`","lifecycle"`,
			`"give-up":1000000`, `"give-up":60000000`, `"repeat":"pure"`, `"repeat":"side_effect"`).Replace(validConfig)
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
		resultChan := make(chan result, 1)
		procs[termination], results[termination], addrs[termination] = p, resultChan, addr
		go func() {
			r, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/look", nil)
			r.Header.Set("X-Trace-Id", "1")
			r.Header.Set("X-Qos", "look")
			resp, err := new(http.Transport).RoundTrip(r)
			if err == nil {
				resp.Body.Close()
			}
			resultChan <- result{resp, err}
		}()
		<-received
	}
	procs["SIGTERM while paused"].Pause()
	for _, termination := range []string{"SIGTERM", "SIGTERM while paused"} {
		procs[termination].Signal(syscall.SIGTERM)
	}
	procs["killed"].Kill()
	if r := <-results["killed"]; r.err == nil {
		t.Errorf("killed: the client got a response with status %s, want an error", r.resp.Status)
	}
	procs["SIGTERM while paused"].Resume()
	for _, termination := range []string{"SIGTERM", "SIGTERM while paused"} {
		p := procs[termination]
		// Once the sidecar refuses connections, it only waits for the requests that it has accepted.
		processtest.Until(t, "the listener to close", func() bool {
			c, err := net.Dial("tcp", addrs[termination])
			if err == nil {
				c.Close()
			}
			return err != nil
		}, p.Log)
	}
	close(release)
	for _, termination := range []string{"SIGTERM", "SIGTERM while paused"} {
		// If the machine is busy for seconds, the sidecar's own deadline may come first. Then it responds with 502,
		// which is a final response, too.
		r := <-results[termination]
		isFinal := r.err == nil && (r.resp.StatusCode == http.StatusOK || r.resp.StatusCode == http.StatusBadGateway)
		if !isFinal || !r.resp.Close {
			t.Errorf("%s: got %+v, want a final response that closes the connection", termination, r)
		}
		if code := procs[termination].ExitCode(); code != 0 {
			t.Errorf("%s: exit code %d:\n%s", termination, code, procs[termination].Log())
		}
	}
}
