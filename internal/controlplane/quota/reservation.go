package quota

// Reservation is what a request has taken of quotas until it is cancelled or complete.
type Reservation struct {
	session   uint64
	startedAt int64
	charged   []chargedLimiter
	inline    [4]chargedLimiter // backs charged where it is large enough, to save an allocation
}

type chargedLimiter struct {
	limiter *limiter
	amount  Amount
	slot    int64 // of a window
}

// Rejection says why a request is not admitted, and after how long it may be.
type Rejection struct {
	Limit            string
	Node             string // path of the node
	RetryAfter       int64  // nanoseconds
	StoreUnreachable bool
}

// Reserve takes all charges of a request, or rejects it and takes none. The priority weight is that of the request,
// from 0 to 1: a part of each quota is reserved for heavier ones.
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

// reserveQuota adds a charge to a reservation if the process's quota has it.
func (c *Consumer) reserveQuota(now int64, r *Reservation, charge *Charge, lim *limiter, weight float64) *Rejection {
	l := charge.Limit
	ok, retryAfter := c.available(now, lim, charge.Amount, l.ReserveFraction*(1-weight))
	if !ok {
		return &Rejection{Limit: l.Name, Node: l.Nodes[charge.Node].Path, RetryAfter: retryAfter}
	}
	r.charged = append(r.charged, chargedLimiter{limiter: lim, amount: charge.Amount})
	return nil
}

// reserveFallback adds a charge to a reservation by the limit's fallback. It takes it of the node and of all above it,
// since no allocator keeps the sum of the parts within the whole.
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

// available reports whether a limiter has an amount beside a fraction that is reserved for heavier requests, and if not
// after how many nanoseconds it may.
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

// reallocationDelay returns the nanoseconds until a quota that is too small may be larger: two reports and two
// allocations. Rejected requests are spread over a time as long again.
func (c *Consumer) reallocationDelay(lim *limiter) int64 { return c.delayAfter(lim.rejected) }

// nextReallocationDelay is reallocationDelay for a rejection that is not counted yet.
func (c *Consumer) nextReallocationDelay(lim *limiter) int64 { return c.delayAfter(lim.rejected + 1) }

func (c *Consumer) delayAfter(rejected uint64) int64 {
	const spread = 16
	delay := 2 * c.rules.reportInterval(c.processCount)
	return delay + delay*int64(rejected%spread)/spread
}

// Cancel gives back what a request took that never ran. A reservation is cancelled or completed once; more is ignored.
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

// Complete ends a request that may have run.
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
