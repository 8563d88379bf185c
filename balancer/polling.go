package balancer

// Discovery is polled again after a failed call, with exponential backoff and jitter. The interval counts from the
// beginning of the call, so that the time for which a call hung adds nothing to it.
const (
	MinPollInterval = second / 10    // a pause is half of its interval to one and a half times as long
	MaxPollInterval = 3 * second / 2 // whatever Contract.PollInterval is
	PollJitter      = second / 4     // at most, after a call that took its whole interval
)

// schedulePoll polls discovery after a delay, unless subscribed by then.
func (b *Balancer) schedulePoll(now, delay Micros) {
	b.nextPollAt = now + delay
	b.out.Timer(delay, tokenDiscovery)
}

// poll subscribes to discovery if that is due.
func (b *Balancer) poll(now Micros) {
	if !b.settings.Subscribe || b.subscribed || now < b.nextPollAt {
		return
	}
	b.out.Watch(true)
	b.lastPollAt = now
	// The answer may be lost: without another poll no list would ever come.
	interval := b.settings.Contract.PollInterval
	b.schedulePoll(now, max(MinPollInterval, interval/2)+b.rng.below(interval/4))
}

// retryPoll schedules another poll after a failed one.
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
