package checker

import "birchmoor/internal/lab/trace"

// requestRetention is how long a request is remembered after its end, to recognize a late second answer.
const requestRetention Micros = 40e6

// unreadNote marks a request that the sidecar never read.
const unreadNote = "unheard"

// trackedRequest is one request of a client; a client's retry is another, with the same task.
type trackedRequest struct {
	task       uint64
	class      uint8
	sidecar    int32
	answers    int
	ended      bool
	executions int  // attempts that a server accepted
	excused    bool // the lab stopped or killed its sidecar
}

type endedRequest struct {
	id uint64
	at Micros
}

func (c *Checker) handleRequest(e *trace.Event) {
	c.verdict.Counts.Requests++
	c.requests[e.Request] = &trackedRequest{
		task:    e.Task,
		class:   e.Class,
		sidecar: e.Sidecar,
		excused: c.stoppedSidecars[e.Sidecar],
	}
	samples := min(c.verdict.Counts.Requests, meanWorkSampleWindow)
	c.meanWork += (float64(e.Work) - c.meanWork) / float64(samples)
	c.forgetOldRequests(e.At)
}

func (c *Checker) handleAnswer(e *trace.Event) {
	request := c.requests[e.Request]
	if request == nil {
		c.addViolation(DuplicateAnswers, e, "an answer to a request that nobody has open")
		return
	}
	request.answers++
	if request.answers > 1 {
		c.addViolation(DuplicateAnswers, e, "answer number %d", request.answers)
		return
	}
	if request.ended {
		return // the answer crossed the client's departure
	}
	c.endRequest(e, request)
	counts := &c.verdict.Counts
	switch e.Verdict {
	case trace.Served:
		counts.Served++
		if request.executions == 0 {
			c.addViolation(ForeignAnswers, e, "served, and no server had it")
		}
	case trace.Rejected:
		counts.Rejected++
		if c.isNonIdempotent(request) && request.executions > 0 {
			c.addViolation(FalseRejections, e, "refused after %d of its attempts had been taken", request.executions)
		}
	case trace.Foreign:
		counts.Served++
		c.addViolation(ForeignAnswers, e, "its answer is another request's")
	default:
		counts.Failed++
	}
}

// handleUnanswered handles a request that ended without an answer.
func (c *Checker) handleUnanswered(e *trace.Event) {
	request := c.requests[e.Request]
	if request == nil || request.ended {
		c.addViolation(UnbalancedCounts, e, "%v of a request that nobody has open", e.Kind)
		return
	}
	c.endRequest(e, request)
	counts := &c.verdict.Counts
	if e.Kind == trace.ClientCutOff {
		counts.Failed++
	} else {
		counts.Abandoned++
	}
	switch {
	case e.Note == unreadNote:
		counts.Unread++
	case request.excused:
		counts.Excused++
	default:
		c.addViolation(LostRequests, e, "no final answer by its time (%v)", e.Kind)
	}
}

func (c *Checker) endRequest(e *trace.Event, request *trackedRequest) {
	request.ended = true
	c.ended = append(c.ended, endedRequest{e.Request, e.At})
}

func (c *Checker) isNonIdempotent(request *trackedRequest) bool {
	class := int(request.class)
	return class < len(c.settings.NonIdempotent) && c.settings.NonIdempotent[class]
}

// countExecution counts an execution for its request and, if that is not idempotent, for the task of its client.
func (c *Checker) countExecution(e *trace.Event) {
	request := c.requests[e.Request]
	if request == nil {
		c.addViolation(ForeignAnswers, e, "a server was sent a request that no client has sent")
		return
	}
	request.executions++
	if !c.isNonIdempotent(request) {
		return
	}
	c.executionsByTask[request.task]++
	if executions := c.executionsByTask[request.task]; executions > 1 {
		c.addViolation(DuplicateExecutions, e, "taken by servers %d times", executions)
	}
}

// handleSidecarState records that the lab started, stopped or killed a sidecar. Requests that arrive while it is down
// are excused, and so are those that were open when it was killed (trace.Gone). A sidecar that was asked to shut down
// (trace.Draining) has to answer everything it had accepted.
func (c *Checker) handleSidecarState(e *trace.Event) {
	c.stoppedSidecars[e.Sidecar] = e.State != trace.Up
	if e.State != trace.Removed {
		return
	}
	for _, request := range c.requests {
		if request.sidecar == e.Sidecar && !request.ended {
			request.excused = true
		}
	}
}

// forgetOldRequests drops requests that ended more than requestRetention ago.
func (c *Checker) forgetOldRequests(now Micros) {
	expired := 0
	for expired < len(c.ended) && c.ended[expired].at < now-requestRetention {
		id := c.ended[expired].id
		if request := c.requests[id]; request != nil {
			delete(c.requests, id)
			delete(c.executionsByTask, request.task)
		}
		expired++
	}
	c.ended = c.ended[expired:]
}

func (c *Checker) openRequests() int {
	open := 0
	for _, request := range c.requests {
		if !request.ended {
			open++
		}
	}
	return open
}
