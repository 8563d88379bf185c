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

// TestUnansweredRequestsAreCountedAndLogged leaves requests without an answer until half a second after their
// deadlines. Each must be counted once, while it is open or when it ends, and they are logged at most once a second. A
// request that was answered by then, or whose answer has begun, must not be counted.
func TestUnansweredRequestsAreCountedAndLogged(t *testing.T) {
	const timeLeft = 300 * time.Millisecond
	for _, tc := range []struct {
		name string
		ends time.Duration // from the end of the request to that of its exchange
		how  func(k *clients, c *client)
		want uint64 // times that each request is counted
	}{
		{"never", time.Minute, (*clients).endRequest, 1},
		{"late", timeLeft + unansweredGrace, (*clients).endRequest, 1},
		{"late, client left", timeLeft + unansweredGrace, func(*clients, *client) {}, 1},
		{"in time", timeLeft + unansweredGrace - 1, (*clients).endRequest, 0},
		{"answer begun in time", timeLeft + unansweredGrace - 1, func(k *clients, c *client) {
			k.answerStarted(c)
			time.Sleep(time.Minute)
		}, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				var log bytes.Buffer
				unanswered := new(metrics.Counter)
				k := newClients(100, nil, unanswered, slog.New(slog.NewTextHandler(&log, nil)))
				var countedWhileOpen atomic.Uint64
				k.serve = func(c *client) {
					k.beginRequest(c)
					k.expect(c, "1", timeLeft)
					time.Sleep(tc.ends)
					countedWhileOpen.Store(unanswered.Value())
					tc.how(k, c)
				}
				for range 20 {
					clientEnd, serverEnd := net.Pipe()
					defer clientEnd.Close()
					k.add(serverEnd)
				}
				k.serving.Wait()
				time.Sleep(2 * overdueInterval)
				synctest.Wait()
				lines := strings.Count(log.String(), "requests had no answer")
				if n := unanswered.Value(); n != 20*tc.want || lines != int(tc.want) {
					t.Errorf("counted %d requests and logged %d lines, want %d and %d", n, lines, 20*tc.want, tc.want)
				}
				if tc.ends == time.Minute && countedWhileOpen.Load() != 20 {
					t.Errorf("counted %d requests while they were open, want 20", countedWhileOpen.Load())
				}
				if k.timerRunning {
					t.Error("the timer for overdue requests is armed with no request open")
				}
			})
		})
	}
}

// TestRejectionOfAllRequestsIsCountedAndLogged rejects all requests without an attempt in between. That must be counted
// and logged once, and again only after an attempt was made.
func TestRejectionOfAllRequestsIsCountedAndLogged(t *testing.T) {
	for _, tc := range []struct {
		name     string
		requests int           // number of rejected requests
		every    time.Duration // time between two of them
		sends    int           // number of rejections between two attempts; 0: no attempts
		want     uint64        // number of episodes
	}{
		{"all for four seconds", 17, minAllRejectedTime / 15, 0, 1},
		{"all for minutes", 1000, minAllRejectedTime / 15, 0, 1},
		{"all for less than four seconds", 17, minAllRejectedTime / 17, 0, 0},
		{"fewer than the minimum", minAllRejectedRequests - 1, minAllRejectedTime / 10, 0, 0},
		{"attempts in between", 40, minAllRejectedTime / 15, 10, 0},
		{"twice", 40, minAllRejectedTime / 15, 20, 2},
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
					t.Errorf("counted %d episodes and logged %d lines, want %d of each", n, lines, tc.want)
				}
			})
		})
	}
}
