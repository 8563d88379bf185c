package sidecar

import (
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

const (
	// connectGrace is the time after the stop signal during which clients may still open connections.
	connectGrace = 400 * time.Millisecond
	// acceptGrace is the time from the stop signal until connections are no longer accepted. It is longer than
	// connectGrace because a client whose idle connection is closed just as it sends a request may connect once more.
	acceptGrace = 700 * time.Millisecond
	// killDelay is the time from the stop signal to the kill, in addition to the longest timeout of a class, of which
	// at most maxKillTimeout counts.
	killDelay      = 700 * time.Millisecond
	maxKillTimeout = 3 * time.Second
	// lastAnswerMargin is the time before the kill that is left for sending the last answers.
	lastAnswerMargin = 150 * time.Millisecond

	// connectionCheckInterval is the time between two checks for connections that are still open.
	connectionCheckInterval = 100 * time.Millisecond
)

// closeDelay returns the time after the stop signal by which all requests must be answered, according to the settings.
func closeDelay(settings *balancer.Settings) time.Duration {
	longest := balancer.Micros(0)
	for i := range settings.Classes {
		longest = max(longest, settings.Classes[i].Timeout)
	}
	return min(time.Duration(longest)*time.Microsecond, maxKillTimeout) + killDelay - lastAnswerMargin
}

// drain stops the sidecar for good. It serves while clients may still connect, closing each connection after its
// answer, and then finishes open requests. Rejecting clients that connect in the meantime would fail their requests
// needlessly.
func (n *instance) drain() {
	n.log.Info("stopping")
	closeAfter := time.Duration(0)
	for _, stack := range n.stacks {
		closeAfter = max(closeAfter, closeDelay(&stack.loop.ConfigSnapshot().Settings))
	}
	for _, stack := range n.stacks {
		stack.loop.CloseAfter(closeAfter)
	}
	n.beginStop()
	n.closeIdle()
	start := time.Now()
	time.Sleep(connectGrace)
	for time.Since(start) < acceptGrace-connectionCheckInterval {
		n.countOpen(func(f core.Frontend) int { return f.CloseUnused(false) })
		time.Sleep(connectionCheckInterval)
	}
	time.Sleep(acceptGrace - time.Since(start))
	n.closeListeners()
	// Wait for clients that are still sending a request, for as long as the request could be answered in time.
	closeUnused := func(f core.Frontend) int { return f.CloseUnused(time.Since(start) > closeAfter) }
	for n.countOpen(closeUnused) > 0 {
		time.Sleep(connectionCheckInterval)
	}
	n.closeIdle()
	for _, stack := range n.stacks {
		stack.frontend.Wait()
	}
}

// beginStop makes the stop final. Afterwards accepting does not resume, and each connection is closed after its next
// answer.
func (n *instance) beginStop() {
	n.acceptMu.Lock()
	defer n.acceptMu.Unlock()
	n.stopping = true
	n.setClosing(true)
}

func (n *instance) closeIdle() {
	for _, stack := range n.stacks {
		stack.frontend.CloseIdle()
	}
}
