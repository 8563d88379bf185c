package quota

import "time"

const (
	// slotsPerWindow is how many parts of a window are counted and expire each by itself.
	slotsPerWindow = 64

	// minRetryAfter is the shortest time after which a rejected request is told to retry.
	minRetryAfter = int64(time.Millisecond)

	// maxPromisedFactor bounds, in multiples of the quota, what is promised to requests that retry.
	maxPromisedFactor = 60
)

// limiter spends a process's quota of one node: a token bucket for a rate, a sliding window of slots, or a count of the
// requests in flight.
type limiter struct {
	limit    *Limit
	amount   Amount // the quota
	burst    float64
	session  uint64 // reservations of another session refund nothing
	fallback bool   // for the time without a valid session, whichever it is

	tokens     float64 // Rate: what may be spent at refilledAt
	refilledAt int64
	used       Amount   // Concurrency: in flight; Window: the sum of slots
	slots      []Amount // Window: a ring
	newestSlot int64    // Window: by number since the clock's start

	demandMeter

	promised        float64 // amount that rejected requests were told to retry for
	promisedAt      int64
	averageDuration float64 // Concurrency: nanoseconds that a request lasts
}

func newLimiter(now int64, l *Limit) *limiter {
	lim := &limiter{limit: l, refilledAt: now, demandMeter: demandMeter{measuredAt: now}}
	if l.Kind == Window {
		lim.slots = make([]Amount, slotsPerWindow)
	}
	return lim
}

// reset drops the quota, for a new session.
func (l *limiter) reset(now int64, session uint64) {
	l.amount = 0
	l.burst = 0
	l.tokens = 0
	l.used = 0
	l.refilledAt = now
	clear(l.slots)
	l.session = session
}

// belongsTo reports whether a reservation of a session is still counted by the limiter.
func (l *limiter) belongsTo(session uint64) bool { return l.fallback || l.session == session }

// setAmount changes the quota. Tokens beyond the new burst are gone.
func (l *limiter) setAmount(now int64, amount Amount, defect Defect) {
	l.refill(now)
	burst := float64(l.limit.burstOf(amount))
	if l.amount == 0 && defect == StartFull {
		l.tokens = burst
	}
	l.amount = amount
	l.burst = burst
	if defect != KeepTokens {
		l.tokens = min(l.tokens, l.burst)
	}
}

// refill adds the tokens of a rate up to now.
func (l *limiter) refill(now int64) {
	if now <= l.refilledAt {
		return
	}
	if l.limit.Kind == Rate {
		earned := float64(l.amount) * float64(now-l.refilledAt) / nanosPerSecond
		l.tokens = max(l.tokens, min(l.burst, l.tokens+earned))
	}
	l.refilledAt = now
}

// windowNanos returns the length of a window by the slowest clock.
func (l *limiter) windowNanos(skew float64) float64 { return float64(l.limit.Window) * (1 + skew) }

// slotNanos returns the length of a slot: one slot more than a window's worth is counted, so that a slot counts until a
// whole window after its end.
func (l *limiter) slotNanos(skew float64) float64 { return l.windowNanos(skew) / (slotsPerWindow - 1) }

// expireSlots drops the slots that have left the window.
func (l *limiter) expireSlots(now int64, skew float64, defect Defect) {
	if l.limit.Kind != Window {
		return
	}
	newest := int64(float64(now) / l.slotNanos(skew))
	if defect == AlignedWindow {
		newest = now / l.limit.Window * slotsPerWindow
		if newest != l.newestSlot {
			clear(l.slots)
			l.used = 0
		}
	}
	if newest-l.newestSlot > slotsPerWindow {
		clear(l.slots)
		l.used = 0
		l.newestSlot = newest
		return
	}
	for l.newestSlot < newest {
		l.newestSlot++
		slot := l.slot(l.newestSlot)
		l.used -= *slot
		*slot = 0
	}
}

// slot returns the slot of a number.
func (l *limiter) slot(number int64) *Amount { return &l.slots[number%slotsPerWindow] }

// spend takes an amount that is available.
func (l *limiter) spend(amount Amount) {
	switch l.limit.Kind {
	case Rate:
		l.tokens -= float64(amount)
	case Window:
		l.used += amount
		*l.slot(l.newestSlot) += amount
	default:
		l.used += amount
	}
}

// refund gives back what a request that never ran has spent in a slot.
func (l *limiter) refund(now int64, amount Amount, slot int64, skew float64, defect Defect) {
	switch l.limit.Kind {
	case Rate:
		l.refill(now)
		l.tokens = min(l.burst, l.tokens+float64(amount))
		if defect == RefundTwice {
			l.tokens += float64(amount)
		}
	case Window:
		l.expireSlots(now, skew, defect)
		if l.newestSlot-slot < slotsPerWindow {
			*l.slot(slot) -= amount
			l.used -= amount
		}
	default:
		l.used -= amount
	}
}

// complete ends a request of a concurrency after a duration in nanoseconds.
func (l *limiter) complete(amount Amount, duration float64) {
	const smoothing = 16 // requests over which the duration is averaged
	l.used -= amount
	if l.averageDuration == 0 {
		l.averageDuration = duration
		return
	}
	l.averageDuration += (duration - l.averageDuration) / smoothing
}

// fits reports whether an amount fits beside what is used and reserved, of a window or a concurrency.
func (l *limiter) fits(amount Amount, reserved float64) bool {
	return float64(l.used)+float64(amount)+reserved <= float64(l.amount)
}

// decayPromised drops from what is promised what the quota has covered since: its amount in each period of nanoseconds.
func (l *limiter) decayPromised(now int64, period float64) {
	l.promised = max(0, l.promised-float64(l.amount)*float64(now-l.promisedAt)/period)
	l.promisedAt = now
}

// promise adds the amount of a rejected request to what is promised.
func (l *limiter) promise(amount Amount) {
	l.promised = min(l.promised+float64(amount), maxPromisedFactor*float64(l.amount))
}

// rateRetryAfter returns the nanoseconds until a rate has an amount beside what is reserved and what is promised to
// requests rejected before.
func (l *limiter) rateRetryAfter(now int64, amount Amount, reserved float64) int64 {
	l.decayPromised(now, nanosPerSecond)
	missing := float64(amount) + reserved - l.tokens + l.promised
	after := missing / float64(l.amount) * nanosPerSecond
	l.promise(amount)
	return max(minRetryAfter, int64(after))
}

// concurrencyRetryAfter returns the nanoseconds until requests in flight have probably made way for an amount.
func (l *limiter) concurrencyRetryAfter(now int64, amount Amount) int64 {
	l.decayPromised(now, l.averageDuration)
	after := (float64(amount) + l.promised) / float64(l.amount) * l.averageDuration
	l.promise(amount)
	return max(minRetryAfter, int64(after))
}

// windowRetryAfter returns the nanoseconds until enough slots have left the window. Requests that are rejected one
// after the other are sent to later slots.
func (l *limiter) windowRetryAfter(now int64, amount Amount, skew float64) int64 {
	l.decayPromised(now, l.windowNanos(skew))
	missing := float64(l.used) + float64(amount) + l.promised - float64(l.amount)
	l.promised = min(l.promised+float64(amount), float64(l.amount))
	slotNanos := l.slotNanos(skew)
	freed := 0.0
	last := l.newestSlot + slotsPerWindow
	for number := l.newestSlot + 1; number < last; number++ {
		freed += float64(*l.slot(number))
		if freed >= missing {
			return retryAfterSlot(now, number, slotNanos)
		}
	}
	return retryAfterSlot(now, last, slotNanos)
}

// retryAfterSlot returns the nanoseconds until a slot begins.
func retryAfterSlot(now, number int64, slotNanos float64) int64 {
	return max(minRetryAfter, int64(slotNanos*float64(number)-float64(now)))
}
