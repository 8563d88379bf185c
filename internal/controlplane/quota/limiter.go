package quota

import "time"

const (
	// slotsPerWindow is the number of slots of a sliding window. Each slot is counted and expires by itself.
	slotsPerWindow = 64

	// minRetryAfter is the shortest Retry-After of a rejected request.
	minRetryAfter = int64(time.Millisecond)

	// maxPendingRetriesFactor bounds limiter.pendingRetries, in multiples of the quota.
	maxPendingRetriesFactor = 60
)

// limiter spends a process's quota of one node: by a token bucket for a rate, by a sliding window of slots for a
// window, and by the amount in flight for a concurrency.
type limiter struct {
	limit    *Limit
	amount   Amount // the quota
	burst    float64
	session  uint64 // reservations of another session are not refunded
	fallback bool   // it is used while no session is valid, and belongs to none

	tokens     float64 // Rate: what may be spent at refilledAt, in millionths as Amount
	refilledAt int64
	used       Amount   // Concurrency: in flight; Window: the sum of slots
	slots      []Amount // Window: a ring buffer by slot number
	newestSlot int64    // Window: the number of the slot, counted from the clock's zero

	demandMeter

	pendingRetries   float64 // the amount of rejected requests that are expected to be retried
	pendingRetriesAt int64   // when pendingRetries was last decayed
	averageDuration  float64 // Concurrency: the duration of a request in nanoseconds; 0 if none has ended yet
}

func newLimiter(now int64, l *Limit) *limiter {
	lim := &limiter{limit: l, refilledAt: now, demandMeter: demandMeter{measuredAt: now}}
	if l.Kind == Window {
		lim.slots = make([]Amount, slotsPerWindow)
	}
	return lim
}

// reset sets the quota and what is spent of it to zero, for a new session.
func (l *limiter) reset(now int64, session uint64) {
	l.amount = 0
	l.burst = 0
	l.tokens = 0
	l.used = 0
	l.refilledAt = now
	clear(l.slots)
	l.session = session
}

// belongsTo reports whether the limiter still counts the reservations that were made during the given session.
func (l *limiter) belongsTo(session uint64) bool { return l.fallback || l.session == session }

// setAmount changes the quota. Tokens beyond the new burst are dropped.
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

// refill adds the tokens that a rate has earned up to now, within the burst.
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

// windowNanos returns the window's length in nanoseconds, with a margin for clocks that gain at most the fraction skew.
func (l *limiter) windowNanos(skew float64) float64 { return float64(l.limit.Window) * (1 + skew) }

// slotNanos returns the length of a slot in nanoseconds. The window is one slot shorter than the ring, so that an
// amount counts until a whole window after the end of its slot.
func (l *limiter) slotNanos(skew float64) float64 { return l.windowNanos(skew) / (slotsPerWindow - 1) }

// expireSlots clears the slots that have left the window at now, and makes the slot of now the newest.
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

func (l *limiter) slot(number int64) *Amount { return &l.slots[number%slotsPerWindow] }

// spend charges an amount that the limiter has available.
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

// refund returns the amount that a request spent in a slot, for a request that never ran.
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

// complete ends a request under a concurrency that lasted for a duration in nanoseconds.
func (l *limiter) complete(amount Amount, duration float64) {
	const averagedRequests = 16 // over which averageDuration is smoothed exponentially
	l.used -= amount
	if l.averageDuration == 0 {
		l.averageDuration = duration
		return
	}
	l.averageDuration += (duration - l.averageDuration) / averagedRequests
}

// fits reports whether an amount fits into the quota of a window or a concurrency in addition to what is used and what
// is reserved.
func (l *limiter) fits(amount Amount, reserved float64) bool {
	return float64(l.used)+float64(amount)+reserved <= float64(l.amount)
}

// decayPendingRetries subtracts from pendingRetries what the quota has covered since the last call: its amount once per
// period, which is in nanoseconds.
func (l *limiter) decayPendingRetries(now int64, period float64) {
	l.pendingRetries = max(0, l.pendingRetries-float64(l.amount)*float64(now-l.pendingRetriesAt)/period)
	l.pendingRetriesAt = now
}

// addPendingRetry adds the amount of a rejected request, which is expected to be retried.
func (l *limiter) addPendingRetry(amount Amount) {
	l.pendingRetries = min(l.pendingRetries+float64(amount), maxPendingRetriesFactor*float64(l.amount))
}

// rateRetryAfter returns the nanoseconds until a rate has an amount available in addition to what is reserved and to
// the pending retries.
func (l *limiter) rateRetryAfter(now int64, amount Amount, reserved float64) int64 {
	l.decayPendingRetries(now, nanosPerSecond)
	missing := float64(amount) + reserved - l.tokens + l.pendingRetries
	after := missing / float64(l.amount) * nanosPerSecond
	l.addPendingRetry(amount)
	return max(minRetryAfter, int64(after))
}

// concurrencyRetryAfter returns the nanoseconds until enough requests in flight are expected to have ended for an
// amount and the pending retries.
func (l *limiter) concurrencyRetryAfter(now int64, amount Amount) int64 {
	l.decayPendingRetries(now, l.averageDuration)
	after := (float64(amount) + l.pendingRetries) / float64(l.amount) * l.averageDuration
	l.addPendingRetry(amount)
	return max(minRetryAfter, int64(after))
}

// windowRetryAfter returns the nanoseconds until enough slots have left the window for an amount and the pending
// retries. Requests that are rejected one after another thus get later times.
func (l *limiter) windowRetryAfter(now int64, amount Amount, skew float64) int64 {
	l.decayPendingRetries(now, l.windowNanos(skew))
	missing := float64(l.used) + float64(amount) + l.pendingRetries - float64(l.amount)
	l.pendingRetries = min(l.pendingRetries+float64(amount), float64(l.amount))
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

// retryAfterSlot returns the nanoseconds until the slot of the given number begins, and minRetryAfter at least.
func retryAfterSlot(now, number int64, slotNanos float64) int64 {
	return max(minRetryAfter, int64(slotNanos*float64(number)-float64(now)))
}
