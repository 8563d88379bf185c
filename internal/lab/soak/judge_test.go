package soak

import (
	"reflect"
	"testing"
	"time"
)

// Each rule finds its breach, and excuses what the pages allow.
func TestJudge(t *testing.T) {
	start := time.Now()
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	between := func(from, to int) []period { return []period{{at(from), at(to)}} }
	ask := func(change func(*request)) *request {
		r := &request{id: "1", sentAt: at(10_000), endedAt: at(10_100), dialledAt: at(9_000), outcome: answered}
		change(r)
		return r
	}
	isClosed := func(r *request) { r.outcome = closed }
	isLate := func(r *request) { r.outcome = timedOut }
	hasLeft := func(r *request) { r.outcome = abandoned }
	arrivals := func(ms ...int) map[string][]arrival {
		var all []arrival
		for _, m := range ms {
			all = append(all, arrival{at: at(m)})
		}
		return map[string][]arrival{"1": all}
	}
	drained := []drain{{server: 0, period: period{at(9_000), at(12_000)}}}
	seconds := func(n int, d time.Duration) (all []time.Duration) {
		for range n {
			all = append(all, d)
		}
		return all
	}
	for name, x := range map[string]struct {
		request  *request
		arrivals map[string][]arrival
		daemon   daemonHistory
		drains   []drain
		restarts []time.Duration
		busy     bool // the lab was late
		want     map[Rule]int
	}{
		"answered": {request: ask(func(*request) {}), arrivals: arrivals(10_010)},
		"bytes after the answer": {
			request: ask(func(r *request) { r.surplus = 3 }),
			want:    map[Rule]int{OneAnswer: 1},
		},
		"unsafe, twice": {
			request:  ask(func(r *request) { r.unsafe = true }),
			arrivals: arrivals(10_010, 10_020),
			want:     map[Rule]int{NoRepeat: 1},
		},
		"safe, twice": {request: ask(func(*request) {}), arrivals: arrivals(10_010, 10_020)},
		"read and closed": {
			request:  ask(isClosed),
			arrivals: arrivals(10_010),
			want:     map[Rule]int{OneAnswer: 1},
		},
		"read and closed, killed": {
			request:  ask(isClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{killed: between(10_050, 10_500)},
		},
		"read and closed, terminated": {
			request:  ask(isClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{terminated: between(9_950, 10_500)},
			want:     map[Rule]int{OneAnswer: 1},
		},
		"open at the kill, busy": {
			request:  ask(isClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{endedByKill: []time.Time{at(10_090)}},
			busy:     true,
		},
		"open at the kill": {
			request:  ask(isClosed),
			arrivals: arrivals(10_010),
			daemon:   daemonHistory{endedByKill: []time.Time{at(10_090)}},
			want:     map[Rule]int{OneAnswer: 1},
		},
		"closed as it came": {request: ask(isClosed)},
		"closed, new connection": {
			request: ask(func(r *request) { isClosed(r); r.newConn = true }),
			want:    map[Rule]int{OneAnswer: 1},
		},
		"no answer":       {request: ask(isLate), want: map[Rule]int{OneAnswer: 1}},
		"no answer, busy": {request: ask(isLate), busy: true},
		"no answer, stopped": {
			request: ask(isLate),
			daemon:  daemonHistory{stopped: between(10_050, 11_000)},
		},
		"begun for one who had gone": {
			request:  ask(hasLeft),
			arrivals: arrivals(10_400),
			want:     map[Rule]int{ClientGone: 1},
		},
		"begun before the client left": {request: ask(hasLeft), arrivals: arrivals(10_050)},
		"sent after a drain": {
			request:  ask(func(*request) {}),
			arrivals: arrivals(10_010),
			drains:   drained,
			want:     map[Rule]int{AfterDrain: 1},
		},
		"sent within the grace": {
			request:  ask(func(*request) {}),
			arrivals: arrivals(9_400),
			drains:   drained,
		},
		"sent after a drain, not told": {
			request:  ask(func(*request) {}),
			arrivals: arrivals(10_010),
			drains:   drained,
			daemon:   daemonHistory{quiet: between(8_500, 11_000)},
		},
		"two of ten late": {
			request:  ask(func(*request) {}),
			restarts: append(seconds(8, time.Second), seconds(2, 11*time.Second)...),
			want:     map[Rule]int{Readiness: 1},
		},
		"one of ten late": {
			request:  ask(func(*request) {}),
			restarts: append(seconds(9, time.Second), 11*time.Second),
		},
	} {
		t.Run(name, func(t *testing.T) {
			e := &evidence{
				requests: []*request{x.request},
				arrivals: x.arrivals,
				daemons:  []daemonHistory{x.daemon},
				drains:   x.drains,
				restarts: x.restarts,
				realTime: !x.busy,
			}
			violations, counts := e.judge()
			if len(counts) != len(x.want) || len(x.want) > 0 && !reflect.DeepEqual(counts, x.want) {
				t.Errorf("found %v, %+v", counts, violations)
			}
		})
	}
}

// A seed draws the same schedule again, and the drawn ones have what a soak is for.
func TestDraw(t *testing.T) {
	actions := map[Action]int{}
	crowds, series := 0, 0
	for seed := range uint64(40) {
		s := Draw(seed, 20*time.Second, Daemons, Servers)
		if !reflect.DeepEqual(s, Draw(seed, 20*time.Second, Daemons, Servers)) {
			t.Fatalf("seed %d draws another schedule", seed)
		}
		if s.Crowd {
			crowds++
		}
		for _, e := range s.Events {
			actions[e.Action]++
			if e.Times > 1 {
				series++
			}
		}
	}
	if len(actions) != len(actionWeights) || crowds != 10 || series == 0 {
		t.Errorf("%v, %d crowds, %d series", actions, crowds, series)
	}
}
