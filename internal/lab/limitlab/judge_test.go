package limitlab

import (
	"context"
	"fmt"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/controlplane/quota"
)

// The judge finds an exceeded limit, of the root or of a part. A retried request counts once, and a cancelled one not
// at all.
func TestJudgeFindsExceededLimits(t *testing.T) {
	config, err := quota.ParseFile("limits.toml", []byte(Limits))
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		path, org               string
		requests                int
		interval                time.Duration
		isRetried, hasCancelled bool
		violation               string
	}{
		"concurrency at the limit":                             {"held", "a", 16, 0, false, false, ""},
		"concurrency above the limit":                          {"held", "a", 17, 0, false, false, "held"},
		"concurrency above the limit, with retries":            {"held", "a", 17, 0, true, false, "held"},
		"concurrency above the limit, with cancelled requests": {"held", "a", 24, 0, false, true, ""},
		"window at the limit":                                  {"quota", "a", 300, time.Millisecond, false, false, ""},
		"window above the limit":                               {"quota", "a", 301, time.Millisecond, false, false, "quota"},
		"window at the limit, with retries":                    {"quota", "a", 300, time.Millisecond, true, false, ""},
		"rate above the limit of a part":                       {"orders", "a", 600, time.Second / 150, false, false, `orders, part "a"`},
		"same rate without a part":                             {"orders", "c", 600, time.Second / 150, false, false, ""},
		"rate above the limit of the root":                     {"orders", "c", 1000, time.Second / 250, false, false, `orders, part ""`},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := NewJudge(config, 8)
				var attempts sync.WaitGroup
				for i := range x.requests {
					attemptsPerRequest := 1
					if x.isRetried {
						attemptsPerRequest = 2
					}
					for range attemptsPerRequest {
						attempts.Go(func() {
							ctx, cancel := context.WithCancel(t.Context())
							defer cancel()
							if x.hasCancelled && i%3 == 0 {
								time.AfterFunc(10*time.Millisecond, cancel)
							}
							r := httptest.NewRequestWithContext(ctx, "GET", "/look/"+x.path, nil)
							r.Header.Set("X-Trace-Id", fmt.Sprint(i))
							r.Header.Set("X-Org", x.org)
							j.ServeHTTP(httptest.NewRecorder(), r)
						})
					}
					time.Sleep(x.interval)
				}
				attempts.Wait()
				if _, broken := j.Result(); (x.violation == "") != (len(broken) == 0) ||
					x.violation != "" && !strings.Contains(strings.Join(broken, "; "), x.violation) {
					t.Errorf("unexpected exceeded limits: %q", broken)
				}
			})
		})
	}
}

// A request is admitted between its sending and its arrival. It counts in a window that contains both times, and not in
// one that begins after it was sent.
func TestWindowCountsBySendingAndArrivalTimes(t *testing.T) {
	config, err := quota.ParseFile("limits.toml", []byte(Limits))
	if err != nil {
		t.Fatal(err)
	}
	for name, x := range map[string]struct {
		sentBefore time.Duration // the first request arrives
		isBroken   bool
	}{
		"sent and arrived within the window": {500 * time.Millisecond, true},
		"sent before the window":             {3 * time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := NewJudge(config, 8)
				time.Sleep(10 * time.Second)
				for i := range 301 {
					sentAt := j.Now()
					if i == 0 {
						sentAt -= x.sentBefore
					}
					r := httptest.NewRequest("GET", "/look/quota", nil)
					r.Header.Set("X-Trace-Id", fmt.Sprint(i))
					r.Header.Set(DaemonHeader, "4")
					r.Header.Set(SentHeader, fmt.Sprint(int64(sentAt)))
					j.ServeHTTP(httptest.NewRecorder(), r)
					time.Sleep(time.Millisecond)
				}
				_, broken := j.Result()
				if _, _, exceeded := j.firstExcess(); exceeded != x.isBroken || len(broken) > 0 != x.isBroken {
					t.Errorf("unexpected exceeded limits: %q", broken)
				}
				if x.isBroken && !strings.Contains(broken[0], "d4 301 from 10s to 10.3s, 500ms old at most") {
					t.Errorf("message = %q, want the daemon's requests with their times", broken[0])
				}
			})
		})
	}
}

// Guards against missing an excess of requests that were sent before the interval in which they arrive, as by a sidecar
// that was stopped and continues.
func TestArrivalsAreCheckedWithAssumedLateness(t *testing.T) {
	config, err := quota.ParseFile("limits.toml", []byte(Limits))
	if err != nil {
		t.Fatal(err)
	}
	for _, lateness := range []time.Duration{0, maxLateness} {
		synctest.Test(t, func(t *testing.T) {
			j := NewJudge(config, 8)
			j.maxLateness = lateness
			time.Sleep(10 * time.Second)
			sentAt := j.Now() - 4*time.Second
			for i := range 301 {
				r := httptest.NewRequest("GET", "/look/quota", nil)
				r.Header.Set("X-Trace-Id", fmt.Sprint(i))
				r.Header.Set(SentHeader, fmt.Sprint(int64(sentAt)))
				j.ServeHTTP(httptest.NewRecorder(), r)
			}
			if _, broken := j.Result(); len(broken) > 0 != (lateness > 0) {
				t.Errorf("exceeded limits with an assumed lateness of %v: %q", lateness, broken)
			}
		})
	}
}
