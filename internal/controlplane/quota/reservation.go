package quota

// Reservation holds the quota that an admitted request has been charged, until Cancel or Complete.
type Reservation struct {
	session   uint64
	startedAt int64
	charged   []chargedLimiter
	inline    [4]chargedLimiter // backs charged if it is large enough, to save a memory allocation
}

type chargedLimiter struct {
	limiter *limiter
	amount  Amount
	slot    int64 // of a window: the slot in which the amount was spent
}

// Rejection says which limit rejected a request, and when a retry may be admitted.
type Rejection struct {
	Limit            string
	Node             string // the path of the node that lacks quota
	RetryAfter       int64  // nanoseconds from now
	StoreUnreachable bool   // the limit's fallback rejected the request, since the session is not valid
}

// Reserve charges a request with all its charges, or rejects it and charges nothing. The priority weight is that of the
// request, from 0 to 1. The lower it is, the larger the part of each quota that the request must leave free, up to the
// limit's ReserveFraction. Without charges, Reserve returns nil and nil, and the request is admitted.
func (c *Consumer) Reserve(now int64, charges []Charge, priorityWeight float64) (*Reservation, *Rejection) {
	if len(charges) == 0 {
		return nil, nil
	}
	sessionValid := c.checkSession(now)
	r := &Reservation{session: c.session, startedAt: now}
	r.charged = r.inline[:0]
	for i := range charges {
		charge := &charges[i]
		if lim := c.limiter(now, charge.Limit, charge.Node); lim != nil {
			lim.recordRequest(now, charge.Amount)
		}
	}
	for i := range charges {
		charge := &charges[i]
		lim := c.limiter(now, charge.Limit, charge.Node)
		if lim == nil {
			continue // the limits were changed after the request was matched
		}
		var rejection *Rejection
		if sessionValid {
			rejection = c.reserveQuota(now, r, charge, lim, priorityWeight)
		} else {
			rejection = c.reserveFallback(now, r, charge, lim)
		}
		if rejection != nil {
			lim.recordRejection(charge.Amount)
			return nil, rejection
		}
	}
	for i := range r.charged {
		x := &r.charged[i]
		x.limiter.spend(x.amount)
		x.slot = x.limiter.newestSlot
	}
	for i := range charges {
		charge := &charges[i]
		if lim := c.limiter(now, charge.Limit, charge.Node); lim != nil {
			lim.admitted++
		}
	}
	return r, nil
}

// reserveQuota adds a charge to a reservation if the process's quota covers it. It spends nothing yet.
func (c *Consumer) reserveQuota(now int64, r *Reservation, charge *Charge, lim *limiter, weight float64) *Rejection {
	l := charge.Limit
	ok, retryAfter := c.available(now, lim, charge.Amount, l.ReserveFraction*(1-weight))
	if !ok {
		return &Rejection{Limit: l.Name, Node: l.Nodes[charge.Node].Path, RetryAfter: retryAfter}
	}
	r.charged = append(r.charged, chargedLimiter{limiter: lim, amount: charge.Amount})
	return nil
}

// reserveFallback adds a charge to a reservation as the limit's fallback allows. It charges the node and all its
// ancestors, since no allocator keeps the sum of the parts within the capacity of the whole limit.
func (c *Consumer) reserveFallback(now int64, r *Reservation, charge *Charge, lim *limiter) *Rejection {
	l := charge.Limit
	expired := c.fallbackExpired(now, l)
	if l.Fallback == Open && !expired {
		return nil
	}
	strict := expired || l.Fallback == Strict
	for node := range l.pathToRoot(charge.Node) {
		fallback := c.fallbackLimiter(now, l, node)
		ok, retryAfter := c.available(now, fallback, charge.Amount, 0)
		if strict {
			ok = false
			retryAfter = c.nextReallocationDelay(lim)
		}
		if !ok {
			return &Rejection{Limit: l.Name, Node: l.Nodes[node].Path, RetryAfter: retryAfter, StoreUnreachable: true}
		}
		r.charged = append(r.charged, chargedLimiter{limiter: fallback, amount: charge.Amount})
	}
	return nil
}

// available reports whether a limiter has an amount in addition to the fraction that is reserved for requests of higher
// priority weight. If not, it also returns the nanoseconds after which the limiter may have it.
func (c *Consumer) available(now int64, lim *limiter, amount Amount, reserveFraction float64) (bool, int64) {
	skew := c.rules.MaxClockSkew
	lim.refill(now)
	lim.expireSlots(now, skew, c.defect)
	reserved := lim.burst * reserveFraction
	if float64(amount)+reserved > lim.burst {
		reserved = max(0, lim.burst-float64(amount))
	}
	switch lim.limit.Kind {
	case Rate:
		if lim.tokens >= float64(amount)+reserved {
			return true, 0
		}
		if lim.amount <= 0 || float64(amount) > lim.burst {
			return false, c.reallocationDelay(lim)
		}
		return false, lim.rateRetryAfter(now, amount, reserved)
	case Window:
		if lim.fits(amount, reserved) {
			return true, 0
		}
		if amount > lim.amount {
			return false, c.reallocationDelay(lim)
		}
		return false, lim.windowRetryAfter(now, amount, skew)
	default:
		if lim.fits(amount, reserved) {
			return true, 0
		}
		if amount > lim.amount || lim.averageDuration == 0 {
			return false, c.reallocationDelay(lim)
		}
		return false, lim.concurrencyRetryAfter(now, amount)
	}
}

// reallocationDelay returns the nanoseconds until a quota that is too small for a request may have been raised, which
// takes two reports and two allocations. The retries of rejected requests are spread over the same time again.
func (c *Consumer) reallocationDelay(lim *limiter) int64 { return c.spreadDelay(lim.rejected) }

// nextReallocationDelay is reallocationDelay for a rejection that is not counted yet.
func (c *Consumer) nextReallocationDelay(lim *limiter) int64 { return c.spreadDelay(lim.rejected + 1) }

func (c *Consumer) spreadDelay(rejected uint64) int64 {
	const steps = 16
	delay := 2 * c.rules.reportInterval(c.processCount)
	return delay + delay*int64(rejected%steps)/steps
}

// Cancel refunds the charges of a request that never ran. Only the first call of Cancel or Complete for a reservation
// has an effect; a nil reservation is ignored.
func (c *Consumer) Cancel(now int64, r *Reservation) {
	if r == nil {
		return
	}
	c.refund(now, r)
	if c.defect == RefundTwice {
		c.refund(now, r)
	}
	r.charged = nil
}

func (c *Consumer) refund(now int64, r *Reservation) {
	for _, x := range r.charged {
		if x.limiter.belongsTo(r.session) {
			x.limiter.refund(now, x.amount, x.slot, c.rules.MaxClockSkew, c.defect)
		}
	}
}

// Complete ends a request that may have run. Its charges are kept, except that a concurrency counts it no longer.
func (c *Consumer) Complete(now int64, r *Reservation) {
	if r == nil {
		return
	}
	for _, x := range r.charged {
		if x.limiter.limit.Kind == Concurrency && x.limiter.belongsTo(r.session) {
			x.limiter.complete(x.amount, float64(now-r.startedAt))
		}
	}
	r.charged = nil
}
