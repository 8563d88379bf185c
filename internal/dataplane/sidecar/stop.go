package sidecar

import (
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
)

const (
	// connectGrace is the time after the order to stop in which clients still connect.
	connectGrace = 400 * time.Millisecond
	// acceptGrace is the time until connections are no more accepted. Clients whose connection is closed as their
	// request comes may connect once more.
	acceptGrace = 700 * time.Millisecond
	// killDelay is the time from the order to stop to the kill, besides the timeout of requests, of which at most
	// maxKillTimeout counts.
	killDelay      = 700 * time.Millisecond
	maxKillTimeout = 3 * time.Second
	// lastAnswerMargin is the time before the kill in which the last answers are sent.
	lastAnswerMargin = 150 * time.Millisecond

	settleInterval = 100 * time.Millisecond
)

// endDelay returns the time after the order to stop by which all requests must be answered, by the settings.
func endDelay(s *balancer.Settings) time.Duration {
	longest := balancer.Micros(0)
	for i := range s.Classes {
		longest = max(longest, s.Classes[i].Timeout)
	}
	return min(time.Duration(longest)*time.Microsecond, maxKillTimeout) + killDelay - lastAnswerMargin
}

// drain stops the sidecar for good. It serves while clients may still connect, closing each connection with its answer,
// and then finishes open requests. Rejecting the clients that come in the meantime would fail them for nothing.
func (n *instance) drain() {
	n.log.Info("stopping")
	end := time.Duration(0)
	for _, s := range n.stacks {
		end = max(end, endDelay(&s.loop.ConfigSnapshot().Settings))
	}
	for _, s := range n.stacks {
		s.loop.CloseAfter(end)
	}
	n.mu.Lock()
	n.stopping = true
	n.mu.Unlock()
	n.setClosing(true)
	n.closeIdle()
	begun := time.Now()
	time.Sleep(connectGrace)
	for time.Since(begun) < acceptGrace-settleInterval {
		n.countOpen(func(f core.Frontend) int { return f.CloseUnused(false) })
		time.Sleep(settleInterval)
	}
	time.Sleep(acceptGrace - time.Since(begun))
	n.closeListeners()
	// Clients that are still sending are waited for, until their requests could not be answered any more.
	closeUnused := func(f core.Frontend) int { return f.CloseUnused(time.Since(begun) > end) }
	for n.countOpen(closeUnused) > 0 {
		time.Sleep(settleInterval)
	}
	n.closeIdle()
	for _, s := range n.stacks {
		s.frontend.Wait()
	}
}

func (n *instance) closeIdle() {
	for _, s := range n.stacks {
		s.frontend.CloseIdle()
	}
}
