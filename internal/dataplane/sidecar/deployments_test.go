package sidecar

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// deployment is a deployment in which nothing has its usual name, size or place.
type deployment struct {
	name     string
	settings string
	safe     string // classes by their effect
	keyed    string
	unsafe   string
	giveUpMs map[string]int
	tries    int // attempts of a request
	advice   bool
}

var deployments = []deployment{
	{name: "keyed first, long deadlines, one try, no tenants, no reports", safe: "views", keyed: "permits", unsafe: "erasures",
		giveUpMs: map[string]int{"views": 41_000, "permits": 52_000, "erasures": 63_000}, tries: 1,
		settings: `{"peers-total":77,"position":3,"areas":["x9"],"skus":["q","r","s"],"discovery":"subscribe","zone":0,
	"classes":[
	{"name":"permits","repeat":"token","group":"all","window":30000000,"target":9000000,"give-up":52000000,"credit":0.25},
	{"name":"erasures","repeat":"side_effect","target":8000000,"give-up":63000000,"credit":40.0},
	{"name":"views","repeat":"pure","target":7000000,"give-up":41000000,"credit":3.0}],
	"contract":{"drain-grace":9000000,"cold-from":0.9,"ramp-time":1000,"fall-multiple":9,"overload-for":100000,"ask-within":70000000},
	"limits":{"cancel":false,"probes":false,"second-copies":false,"retry-after":false,"most-tries":1,
	"most-held":5,"max-retry-after":0,"dial-timeout":8000000,"keepalive":3000000},
	"reporting":{"how":"none"},"tenants":[]}`},
	{name: "unsafe first, four tries, other tenants and reports", safe: "zz", keyed: "look2", unsafe: "a",
		giveUpMs: map[string]int{"zz": 30_000, "look2": 31_000, "a": 32_000}, tries: 4, advice: true,
		settings: `{"peers-total":1,"areas":["n","m","l","k"],"skus":["z"],"discovery":"automatic",
	"classes":[
	{"name":"a","repeat":"side_effect","target":5000000,"give-up":32000000,"credit":1.0},
	{"name":"zz","repeat":"pure","target":5000000,"give-up":30000000,"credit":1.0},
	{"name":"look2","repeat":"token","group":"all","window":25000000,"target":5000000,"give-up":31000000,"credit":1.0}],
	"contract":{"drain-grace":100000,"cold-from":0.9,"ramp-time":1000,"fall-multiple":9,"overload-for":100000,"ask-within":1000000},
	"limits":{"cancel":true,"probes":false,"second-copies":true,"retry-after":true,"most-tries":4,
	"most-held":5,"max-retry-after":77000,"dial-timeout":4000000,"keepalive":70000000},
	"reporting":{"how":"answers","fields":["pending"]},
	"tenants":[{"name":"t-9","allowance-per-s":1.0,"share":0.1},{"name":"t-8","allowance-per-s":9.0,"share":0.9}]}`},
}

// Under settings in which nothing is as in the deployment that the sidecar was first made for, nothing of that one shows on
// the wire: classes, methods, keys, times, attempts, limits and advice are those of the settings.
func TestSettingsOfOtherDeployments(t *testing.T) {
	for _, cu := range deployments {
		t.Run(cu.name, func(t *testing.T) {
			got := make(chan *http.Request, 64)
			breaks := make(chan struct{}, 64) // one for each attempt that is to break
			hold := make(chan struct{})       // what "hold" waits for
			defer close(hold)
			addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
				for {
					req, err := sidecartest.ReadRequest(r)
					if err != nil {
						return
					}
					got <- req
					if req.URL.Query().Has("hold") {
						<-hold
					}
					select {
					case <-breaks:
						return
					default:
						io.WriteString(c, sidecartest.OKAnswer)
					}
				}
			})
			var known []discovery.Instance
			for i := range 5 {
				in := sidecartest.ReadyInstance(fmt.Sprint("i-", i), addr)
				in.StartedMs, in.Zone, in.Kind = 1, "nowhere", "nothing"
				known = append(known, in)
			}
			text, err := json.Marshal(map[string]any{"name": "n7", "listen": "127.0.0.1:0", "discovery": sidecartest.ClosedAddress(t), "seed": "1",
				"limits": map[string]int{"memory_mb": 33, "sockets": 99}, "known": discovery.List{Reset: true, Instances: known},
				"settings": json.RawMessage(cu.settings)})
			if err != nil {
				t.Fatal(err)
			}
			c, err := config.Parse(text, func(string) string { return "" })
			if err != nil {
				t.Fatal(err)
			}
			s := startSidecar(t, c)
			request := func(class, path string, ms int) *http.Request {
				method := "POST"
				if class == cu.safe {
					method = "GET"
				}
				r := sidecartest.Request(method, path, class, ms, "")
				r.Header.Set("X-Customer", "t-8")
				if class == cu.keyed {
					r.Header.Set("Idempotency-Key", "k")
				}
				return r
			}
			for class, most := range cu.giveUpMs {
				// A client may wait longer than its class allows: what it is given is the settings' time.
				resp, body := s.do(t, request(class, "/"+class+"/7", 3*most))
				if resp.StatusCode != 200 || body != "ok" {
					t.Fatalf("%s: %s %q", class, resp.Status, body)
				}
				at := <-got
				ms, _ := strconv.Atoi(at.Header.Get("X-Expires-In-Ms"))
				if ms > most || ms < most-busyMs {
					t.Errorf("%s: %d ms are told, want the class's %d", class, ms, most)
				}
				wrong := request(class, "/"+class, most)
				if wrong.Method = "GET"; class == cu.safe {
					wrong.Method = "POST"
				}
				if resp, _ := s.do(t, wrong); resp.StatusCode != http.StatusMethodNotAllowed {
					t.Errorf("%s by %s: %s", class, wrong.Method, resp.Status)
				}
			}
			for _, usual := range []string{"look", "book", "pay", "slot-search", "confirm"} {
				if resp, _ := s.do(t, sidecartest.Request("GET", "/"+usual, usual, 900, "")); resp.StatusCode != 404 {
					t.Errorf("class %q of another customer: %s", usual, resp.Status)
				}
			}
			if resp, _ := s.do(t, func() *http.Request {
				r := request(cu.keyed, "/"+cu.keyed, 900)
				r.Header.Del("Idempotency-Key")
				return r
			}()); resp.StatusCode != 400 {
				t.Errorf("a keyed class without a key: %s", resp.Status)
			}
			// All attempts break once they are written: a safe request has the settings' number of them, an unsafe one a
			// single one.
			for class, want := range map[string]int{cu.safe: cu.tries, cu.unsafe: 1} {
				for range want {
					breaks <- struct{}{}
				}
				resp, _ := s.do(t, request(class, "/"+class, 20_000))
				n := 0
				for ; len(got) > 0; n++ {
					<-got
				}
				if n != want || resp.StatusCode == 200 {
					t.Errorf("%s: %d attempts, answered %s, want %d", class, n, resp.Status, want)
				}
			}
			// One more than may be held is refused, with the advice that the settings allow.
			for range 5 {
				r := request(cu.unsafe, "/"+cu.unsafe+"?hold", 20_000)
				go s.tryDo(r)
				<-got
			}
			resp, _ := s.do(t, request(cu.safe, "/"+cu.safe, 20_000))
			after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			if resp.StatusCode != 503 || (err == nil) != cu.advice || after > 0.077 {
				t.Errorf("the sixth: %s, come again after %q", resp.Status, resp.Header.Get("Retry-After"))
			}
			for ; len(got) > 0; <-got {
				t.Error("a probe, or a request more")
			}
		})
	}
}

// busyMs is the time in milliseconds that a busy machine may take between a request's last byte and its attempt.
const busyMs = 25_000
