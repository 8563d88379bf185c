package soak

import (
	"reflect"
	"testing"
	"time"
)

// Each rule must report its violation, and excuse requests that an injected fault explains.
func TestJudgeReportsViolationsAndExcusesFaults(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	between := func(from, to int) []period { return []period{{at(from), at(to)}} }
	makeRequest := func(change func(*request)) *request {
		r := &request{id: "1", sentAt: at(10_000), endedAt: at(10_100), dialledAt: at(9_000), outcome: answered}
		change(r)
		return r
	}
	connectionClosed := func(r *request) { r.outcome = closed }
	timedOutRequest := func(r *request) { r.outcome = timedOut }
	abandonedRequest := func(r *request) { r.outcome = abandoned }
	arrivals := func(ms ...int) map[string][]arrivedAttempt {
		var all []arrivedAttempt
		for _, m := range ms {
			all = append(all, arrivedAttempt{at: at(m)})
		}
		return map[string][]arrivedAttempt{"1": all}
	}
	drains := []drain{{server: 0, period: period{at(9_000), at(12_000)}}}
	repeatDuration := func(n int, d time.Duration) (all []time.Duration) {
		for range n {
			all = append(all, d)
		}
		return all
	}
	for name, c := range map[string]struct {
		request  *request
		arrivals map[string][]arrivedAttempt
		daemon   daemonHistory
		drains   []drain
		restarts []time.Duration
		busy     bool // the lab itself was late, so bounds in real time are not judged
		want     map[Rule]int
	}{
		"answered": {request: makeRequest(func(*request) {}), arrivals: arrivals(10_010)},
		"bytes after the answer": {
			request: makeRequest(func(r *request) { r.trailingBytes = 3 }),
			want:    map[Rule]int{OneAnswer: 1},
		},
		"non-idempotent request executed twice": {
			request:  makeRequest(func(r *request) { r.nonIdempotent = true }),
			arrivals: arrivals(10_010, 10_020),
			want:     map[Rule]int{NoRepeat: 1},
		},
		"idempotent request executed twice": {
			request:  makeRequest(func(*request) {}),
			arrivals: arrivals(10_010, 10_020),
		},
		"connection closed after an attempt": {
			request:  makeRequest(connectionClosed),
			arrivals: arrivals(10_010),
			want:     map[Rule]int{OneAnswer: 1},
		},
		"connection closed after an attempt by a kill": {
			request:  makeRequest(connectionClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{killed: between(10_050, 10_500)},
		},
		"connection closed after an attempt by a termination": {
			request:  makeRequest(connectionClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{terminated: between(9_950, 10_500)},
			want:     map[Rule]int{OneAnswer: 1},
		},
		"open at SIGKILL after SIGTERM on a busy machine": {
			request:  makeRequest(connectionClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{endedByKill: []time.Time{at(10_090)}},
			busy:     true,
		},
		"open at SIGKILL after SIGTERM": {
			request:  makeRequest(connectionClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{endedByKill: []time.Time{at(10_090)}},
			want:     map[Rule]int{OneAnswer: 1},
		},
		"idle connection closed as the request was sent": {request: makeRequest(connectionClosed)},
		"new connection closed": {
			request: makeRequest(func(r *request) { connectionClosed(r); r.newConn = true }),
			want:    map[Rule]int{OneAnswer: 1},
		},
		"no answer":                   {request: makeRequest(timedOutRequest), want: map[Rule]int{OneAnswer: 1}},
		"no answer on a busy machine": {request: makeRequest(timedOutRequest), busy: true},
		"no answer from a stopped process": {
			request: makeRequest(timedOutRequest),
			daemon:  daemonHistory{stopped: between(10_050, 11_000)},
		},
		"attempt after the client left": {
			request:  makeRequest(abandonedRequest),
			arrivals: arrivals(10_400),
			want:     map[Rule]int{ClientGone: 1},
		},
		"attempt before the client left": {request: makeRequest(abandonedRequest), arrivals: arrivals(10_050)},
		"attempt after a drain": {
			request:  makeRequest(func(*request) {}),
			arrivals: arrivals(10_010),
			drains:   drains,
			want:     map[Rule]int{AfterDrain: 1},
		},
		"attempt within the drain's grace period": {
			request:  makeRequest(func(*request) {}),
			arrivals: arrivals(9_400),
			drains:   drains,
		},
		"attempt after a drain that was not reported": {
			request:  makeRequest(func(*request) {}),
			arrivals: arrivals(10_010),
			drains:   drains,
			daemon:   daemonHistory{quiet: between(8_500, 11_000)},
		},
		"two of ten restarts late": {
			request:  makeRequest(func(*request) {}),
			restarts: append(repeatDuration(8, time.Second), repeatDuration(2, 11*time.Second)...),
			want:     map[Rule]int{Readiness: 1},
		},
		"one of ten restarts late": {
			request:  makeRequest(func(*request) {}),
			restarts: append(repeatDuration(9, time.Second), 11*time.Second),
		},
	} {
		t.Run(name, func(t *testing.T) {
			collected := &evidence{
				requests: []*request{c.request},
				arrivals: c.arrivals,
				daemons:  []daemonHistory{c.daemon},
				drains:   c.drains,
				restarts: c.restarts,
				realTime: !c.busy,
			}
			violations, counts := collected.judge()
			if len(counts) != len(c.want) || len(c.want) > 0 && !reflect.DeepEqual(counts, c.want) {
				t.Errorf("judge reports %v, %+v", counts, violations)
			}
		})
	}
}

// Checks that a seed always draws the same schedule, and that the schedules of 40 seeds contain every action, signals
// in series, and idle clients in one seed of four.
func TestDrawIsDeterministicAndCoversAllActions(t *testing.T) {
	actions := map[Action]int{}
	fullDescriptors, signalSeries := 0, 0
	for seed := range uint64(40) {
		s := Draw(seed, 20*time.Second, Daemons, Servers)
		if !reflect.DeepEqual(s, Draw(seed, 20*time.Second, Daemons, Servers)) {
			t.Fatalf("seed %d draws another schedule the second time", seed)
		}
		if s.FillDescriptors {
			fullDescriptors++
		}
		for _, e := range s.Events {
			actions[e.Action]++
			if e.Times > 1 {
				signalSeries++
			}
		}
	}
	if len(actions) != len(actionWeights) || fullDescriptors != 10 || signalSeries == 0 {
		t.Errorf("drew actions %v, %d schedules that fill the descriptors and %d series of signals",
			actions, fullDescriptors, signalSeries)
	}
}
