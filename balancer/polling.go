package balancer

// A call of discovery that fails is made again with exponential backoff and jitter. The interval counts from the
// call's
// beginning, so that the time that a call hung is no wait on top; it is bounded whatever the settings give for
// asking.
const (
	MinPollInterval = second / 10    // the shortest interval, about: half of it to one and a half times
	MaxPollInterval = 3 * second / 2 // the longest, about
	PollJitter      = second / 4     // at most, behind a call that took its whole interval: others' may have as well
)

func (b *Balancer) schedulePoll(now, delay Micros) {
	b.nextPollAt = now + delay
	b.out.Timer(delay, tokenDiscovery)
}

func (b *Balancer) poll(now Micros) {
	if b.settings.Subscribe && !b.subscribed && now >= b.nextPollAt {
		b.out.Watch(true)
		b.lastPollAt = now
		// The answer may be lost, and without one we would never hear again.
		b.schedulePoll(now, max(MinPollInterval,
			b.settings.Contract.PollInterval/2)+b.rng.below(b.settings.Contract.PollInterval/4))
	}
}

// retryPoll asks discovery again: exponential backoff with jitter, bounded, counted from the last call.
func (b *Balancer) retryPoll(now Micros) {
	if b.settings.Subscribe {
		most := max(min(b.settings.Contract.PollInterval/4, MaxPollInterval), MinPollInterval)
		b.pollBackoff = min(max(2*b.pollBackoff, b.settings.Contract.PollInterval/20, MinPollInterval), most)
		pause := b.pollBackoff/2 + b.rng.below(b.pollBackoff) - (now - b.lastPollAt)
		b.schedulePoll(now, 1+max(pause, b.rng.below(min(b.pollBackoff, PollJitter))))
	}
}
