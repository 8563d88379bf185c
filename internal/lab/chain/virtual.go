package chain

import (
	"context"
	"fmt"
	"slices"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/lab/eventqueue"
	"birchmoor/internal/lab/randstream"
	"birchmoor/internal/lab/told"
)

// Figures of a row in virtual time; times are in microseconds.
const (
	clockOrigin  = 1_000_000_000_000_000  // the modules' clock at the start of the run
	oneWayMicros = 50                     // delay of the network, one way
	leafMicros   = 100                    // service time of the leaf
	maxSent      = 20_000_000             // bound on the attempts of a run
	settleTime   = 20 * eventqueue.Second // time before the first call, in which the rate of probes settles
)

// virtual is a run in virtual time, which hosts the decision module of each sidecar. Every server has a sidecar of its
// own, while a level of a row with processes has one.
type virtual struct {
	options      Options
	queue        *eventqueue.Queue
	result       *Result
	nodes        [][]*node // by level and server
	lastID       uint64
	openRequests int // requests at all sidecars without a final answer
	sentAttempts int
	leafAttempts []uint64
	timeLeftSums []int64
	failures     randstream.Stream
}

// node is a sidecar: it hosts a decision module and implements balancer.Actions.
type node struct {
	virtual  *virtual
	level    int
	balancer *balancer.Balancer
	calls    map[uint64]*virtualCall
}

// virtualCall is a request at a sidecar.
type virtualCall struct {
	rootCall   int
	deadline   eventqueue.Micros
	callerLeft int64 // time left of the request when it arrived, in milliseconds
	attempts   []*virtualAttempt
	answer     func(code int)
	ended      bool
}

// virtualAttempt is an attempt of a request.
type virtualAttempt struct {
	done         bool
	endpoint     uint32
	sent         eventqueue.Micros
	timeoutEvent *eventqueue.Event
}

// Virtual runs a row in virtual time. Its latencies say nothing about the program, but attempts and the time left
// result from the same decisions.
func Virtual(ctx context.Context, options Options) (*Result, error) {
	if err := options.Check(); err != nil {
		return nil, err
	}
	scen, err := options.scenario(options.Servers)
	if err != nil {
		return nil, err
	}
	run := &virtual{options: options, queue: eventqueue.NewVirtual(), result: options.newResult(options.Servers),
		leafAttempts: make([]uint64, options.Calls()), timeLeftSums: make([]int64, options.Depth),
		failures: randstream.Seed(options.Seed).Stream("leaf")}
	run.result.Clock = "virtual time"
	run.result.Levels = make([]Level, options.Depth)
	for number := range options.Depth {
		run.result.Levels[number].TimeLeftMin = rootTimeoutMillis * 10
		var level []*node
		for i := range options.Servers {
			created := &node{virtual: run, level: number, calls: map[uint64]*virtualCall{}}
			settings, err := told.ModuleSettings(scen, i)
			if err != nil {
				return nil, err
			}
			if created.balancer, err = balancer.New(settings,
				randstream.Seed(options.Seed).Stream("node", uint64(number), uint64(i)).Uint64(), created); err != nil {
				return nil, err
			}
			var endpoints []balancer.Endpoint
			for endpoint := range options.Servers {
				endpoints = append(endpoints, balancer.Endpoint{ID: uint32(endpoint), Weight: 1})
			}
			created.balancer.Start(clockOrigin)
			created.balancer.UpdateEndpoints(clockOrigin, balancer.ListCached, endpoints)
			created.balancer.UpdateEndpoints(clockOrigin, balancer.ListFull, endpoints)
			level = append(level, created)
		}
		run.nodes = append(run.nodes, level)
	}
	answered := 0
	for call := range run.leafAttempts {
		run.queue.At(settleTime+int64(float64(call)/options.Rate*float64(eventqueue.Second)), func() {
			run.nodes[0][call%options.Servers].accept(call, rootTimeoutMillis, func(code int) {
				answered++
				run.result.Answers[fmt.Sprint(code)]++
			})
		})
	}
	end := settleTime + int64(options.Duration.Seconds()*float64(eventqueue.Second)) + answerGrace.Microseconds()
	err = run.queue.Run(ctx, func() bool {
		return answered == len(run.leafAttempts) && run.openRequests == 0 || run.sentAttempts > maxSent ||
			run.queue.Now() > end
	})
	if err == nil && run.sentAttempts > maxSent {
		err = fmt.Errorf(
			"over %d attempts: --depth %d, --attempts %d and %d calls are too many for a row in virtual time",
			maxSent, options.Depth, options.Attempts, options.Calls())
	}
	if err != nil {
		return nil, err
	}
	if unanswered := len(run.leafAttempts) - answered; unanswered > 0 {
		run.result.Answers["0"] = unanswered
	}
	run.result.Took = float64(run.queue.Now()-settleTime) / float64(eventqueue.Second)
	run.result.setLeafAttempts(slices.Values(run.leafAttempts))
	for number := range run.result.Levels {
		figures := &run.result.Levels[number]
		figures.Probes /= float64(run.queue.Now()) / float64(eventqueue.Second) * float64(options.Servers)
		if figures.Attempts == 0 {
			figures.TimeLeftMin = 0
			continue
		}
		figures.TimeLeftMean = float64(run.timeLeftSums[number]) / float64(figures.Attempts)
	}
	run.result.LeafTimeLeftMin = run.result.Levels[options.Depth-1].TimeLeftMin
	return run.result, nil
}

func (n *node) now() balancer.Micros { return clockOrigin + n.virtual.queue.Now() }

// accept takes a request with this time left, in milliseconds, and sets its deadline as the HTTP front does. It calls
// answer with the status code.
func (n *node) accept(rootCall int, timeLeft int64, answer func(code int)) {
	run := n.virtual
	run.lastID++
	run.openRequests++
	id, now, timeout := run.lastID, run.queue.Now(), min(timeLeft, rootTimeoutMillis)*1000
	request := &virtualCall{rootCall: rootCall, callerLeft: timeLeft,
		deadline: now + timeout - httpfront.AnswerMargin(timeout), answer: answer}
	n.calls[id] = request
	n.balancer.Request(n.now(), balancer.Request{ID: id, Class: classIndex(run.options.Class),
		Deadline: clockOrigin + request.deadline})
}

// answer sends a request's final answer.
func (n *node) answer(id uint64, code int) {
	request := n.calls[id]
	if request == nil || request.ended {
		return
	}
	request.ended = true
	n.virtual.openRequests--
	n.virtual.queue.After(oneWayMicros, func() { request.answer(code) })
	n.release(id, request)
}

// release removes a request that has ended, once none of its attempts is open.
func (n *node) release(id uint64, request *virtualCall) {
	for _, attempt := range request.attempts {
		if !attempt.done {
			return
		}
	}
	if request.ended {
		delete(n.calls, id)
	}
}

// reportOutcome reports the end of an attempt to the module, once.
func (n *node) reportOutcome(id uint64, number int, status balancer.Status) {
	request := n.calls[id]
	if request == nil || request.attempts[number].done {
		return
	}
	attempt := request.attempts[number]
	attempt.done = true
	n.virtual.queue.Cancel(attempt.timeoutEvent)
	answered := status == balancer.OK && !request.ended
	if answered {
		n.answer(id, 200)
	}
	n.balancer.Outcome(n.now(), balancer.Outcome{ID: id, Attempt: number, Endpoint: attempt.endpoint, Status: status,
		Latency: n.virtual.queue.Now() - attempt.sent, Answered: answered})
	n.release(id, request)
}

// Send starts an attempt.
func (n *node) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	request, run := n.calls[id], n.virtual
	now := run.queue.Now()
	number, attempt := len(request.attempts), &virtualAttempt{endpoint: endpoint, sent: now}
	request.attempts = append(request.attempts, attempt)
	deadline := request.deadline
	if timeout > 0 {
		deadline = min(deadline, now+timeout)
	}
	if now >= deadline {
		run.queue.After(0, func() { n.reportOutcome(id, number, balancer.NotSent) })
		return
	}
	attempt.timeoutEvent = run.queue.At(deadline, func() { n.reportOutcome(id, number, balancer.Timeout) })
	run.sentAttempts++
	timeLeft := (deadline - now + 999) / 1000
	run.queue.After(oneWayMicros, func() {
		if attempt.done {
			return // its connection has been closed
		}
		run.serve(n.level, endpoint, request, timeLeft, func(status balancer.Status) {
			run.queue.After(oneWayMicros, func() { n.reportOutcome(id, number, status) })
		})
	})
}

// serve handles a call as the application of a level: it calls the next level, or at the leaf it answers or fails.
func (v *virtual) serve(level int, server uint32, caller *virtualCall, timeLeft int64, answer func(balancer.Status)) {
	figures := &v.result.Levels[level]
	figures.Attempts++
	v.timeLeftSums[level] += timeLeft
	figures.TimeLeftMin, figures.TimeLeftMax = min(figures.TimeLeftMin, timeLeft), max(figures.TimeLeftMax, timeLeft)
	if timeLeft >= caller.callerLeft {
		figures.NotReduced++
	}
	if level < v.options.Depth-1 {
		v.nodes[level+1][server].accept(caller.rootCall, timeLeft, func(code int) {
			switch {
			case code == 200:
				answer(balancer.OK)
			case code == 503 && v.options.Class != "look":
				answer(balancer.Rejected)
			default:
				answer(balancer.Error)
			}
		})
		return
	}
	v.leafAttempts[caller.rootCall]++
	status := balancer.OK
	if v.options.LeafFailure != "" && v.failures.Float64() < v.options.FailureShare {
		switch v.options.LeafFailure {
		case LeafErrors:
			status = balancer.Error
		case LeafRejects:
			status = balancer.Rejected
		case LeafSilent:
			return
		}
	}
	v.queue.After(leafMicros, func() { answer(status) })
}

// Reject answers a request with 503.
func (n *node) Reject(id uint64, _ balancer.Micros) { n.answer(id, 503) }

// Fail answers a request with 502.
func (n *node) Fail(id uint64) { n.answer(id, 502) }

// Cancel ends an attempt by closing its connection.
func (n *node) Cancel(id uint64, number int) {
	n.virtual.queue.After(0, func() { n.reportOutcome(id, number, balancer.Cancelled) })
}

// Timer calls the module's Timer with the token after a delay.
func (n *node) Timer(delay balancer.Micros, token uint32) {
	n.virtual.queue.After(delay, func() { n.balancer.Timer(n.now(), token) })
}

// Probe answers with the load report of an idle server.
func (n *node) Probe(endpoint uint32) {
	n.virtual.result.Levels[n.level].Probes++ // a number, which Virtual divides at the end
	n.virtual.queue.After(2*oneWayMicros, func() {
		n.balancer.ProbeCompleted(n.now(), endpoint, balancer.OK, 2*oneWayMicros, []float32{0, 0.1, 100})
	})
}

// Watch does nothing, because the endpoint list does not change.
func (n *node) Watch(bool) {}

// Log discards the module's log.
func (n *node) Log(string) {}
