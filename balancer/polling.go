package balancer

// After a failed call discovery is polled again, with exponential backoff and jitter. The backoff counts from the start
// of the call, so that a call that hangs before it fails does not lengthen the interval.
const (
	MinPollInterval = second / 10    // shortest backoff; jitter makes a delay 0.5 to 1.5 times its backoff
	MaxPollInterval = 3 * second / 2 // longest backoff, whatever Contract.PollInterval is
	PollJitter      = second / 4     // longest delay after a call that took its whole backoff to fail
)

// schedulePoll schedules a poll of discovery after a delay. It is skipped if the balancer is subscribed by then.
func (b *Balancer) schedulePoll(now, delay Micros) {
	b.nextPollAt = now + delay
	b.actions.Timer(delay, tokenDiscovery)
}

// poll subscribes to discovery if a poll is due.
func (b *Balancer) poll(now Micros) {
	if !b.settings.Subscribe || b.subscribed || now < b.nextPollAt {
		return
	}
	b.actions.Watch(true)
	b.lastPollAt = now
	// The answer may be lost. Without another poll no list would ever arrive.
	interval := b.settings.Contract.PollInterval
	b.schedulePoll(now, max(MinPollInterval, interval/2)+b.rng.below(interval/4))
}

// retryPoll schedules another poll after a failed discovery call.
func (b *Balancer) retryPoll(now Micros) {
	if !b.settings.Subscribe {
		return
	}
	interval := b.settings.Contract.PollInterval
	limit := max(min(interval/4, MaxPollInterval), MinPollInterval)
	b.pollBackoff = min(max(2*b.pollBackoff, interval/20, MinPollInterval), limit)
	pause := b.pollBackoff/2 + b.rng.below(b.pollBackoff) - (now - b.lastPollAt)
	jitter := b.rng.below(min(b.pollBackoff, PollJitter))
	b.schedulePoll(now, 1+max(pause, jitter))
}
