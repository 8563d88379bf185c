package httpfront

import (
	"bytes"
	"log/slog"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/platform/metrics"
)

// A request without an answer half a second after its deadline is counted once, while it is open or when it ends,
// and logged, at most once a second. One that is answered by then is not counted, nor one whose answer has begun.
func TestUnansweredRequestsAreCountedAndLogged(t *testing.T) {
	const left = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		ends time.Duration // after it was whole
		how  func(k *clients, c *client)
		want uint64
	}{
		{"never", time.Minute, (*clients).endRequest, 1},
		{"late", left + unansweredGrace, (*clients).endRequest, 1},
		{"late, its client gone", left + unansweredGrace, func(*clients, *client) {}, 1},
		{"in time", left + unansweredGrace - 1, (*clients).endRequest, 0},
		{"begun in time", left + unansweredGrace - 1, func(k *clients, c *client) {
			k.answerStarted(c)
			time.Sleep(time.Minute)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				count := new(metrics.Counter)
				k := newClients(100, nil, count, slog.New(slog.NewTextHandler(&log, nil)))
				var seen atomic.Uint64
				k.serve = func(c *client) {
					k.beginRequest(c)
					k.expect(c, left)
					time.Sleep(tc.ends)
					seen.Store(count.Value())
					tc.how(k, c)
				}
				for range 20 {
					here, there := net.Pipe()
					defer here.Close()
					k.add(there)
				}
				k.serving.Wait()
				time.Sleep(2 * overdueInterval)
				synctest.Wait()
				lines := strings.Count(log.String(), "requests had no answer")
				if n := count.Value(); n != 20*tc.want || lines != int(tc.want) {
					t.Errorf("counted %d, %d lines, want %d and %d", n, lines, 20*tc.want, tc.want)
				}
				if tc.ends == time.Minute && seen.Load() != 20 {
					t.Errorf("counted %d while they had no answer yet", seen.Load())
				}
				if k.timerRunning {
					t.Error("it looks on, though nothing is open")
				}
			})
		})
	}
}

// If all requests are rejected with no attempt in between, that is counted and logged once, until an attempt is made.
func TestRejectionOfAllRequestsIsCountedAndLogged(t *testing.T) {
	for _, tc := range []struct {
		name     string
		requests int           // that are refused
		every    time.Duration // one of them
		sends    int           // an attempt behind so many; 0: none
		want     uint64
	}{
		{"all, for four seconds", 17, allRejectedAfter / 15, 0, 1},
		{"for long", 1000, allRejectedAfter / 15, 0, 1},
		{"not for so long", 17, allRejectedAfter / 17, 0, 0},
		{"not so many", minAllRejected - 1, allRejectedAfter / 10, 0, 0},
		{"an attempt in between", 40, allRejectedAfter / 15, 10, 0},
		{"twice", 40, allRejectedAfter / 15, 20, 2},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				s := &Server{figures: metrics.New("look"), log: slog.New(slog.NewTextHandler(&log, nil))}
				for i := range tc.requests {
					if tc.sends > 0 && i > 0 && i%tc.sends == 0 {
						s.figures.AttemptsSent.Inc()
						s.countEnd(&core.Request{Class: "look"}, core.Served)
					}
					s.countEnd(&core.Request{Class: "look"}, core.Rejected)
					time.Sleep(tc.every)
				}
				lines := strings.Count(log.String(), "all requests are rejected")
				if n := s.figures.AllRequestsRejected.Value(); n != tc.want || lines != int(tc.want) {
					t.Errorf("counted %d, %d lines, want %d", n, lines, tc.want)
				}
			})
		})
	}
}
