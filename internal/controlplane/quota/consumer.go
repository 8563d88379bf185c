package quota

import "maps"

// Consumer decides for one process which requests its quotas admit, and measures the demand that the process reports. A
// Consumer is not safe for concurrent use. Instants are nanoseconds of a clock that does not step.
type Consumer struct {
	rules  Rules
	defect Defect
	config *Config

	session      uint64 // 0 if there is none
	validUntil   int64  // when the session ends; 0 if it is not valid
	invalidSince int64  // since when the session has not been valid; 0 while it is valid
	processCount int    // in the fleet
	seenRevision uint64 // of the newest grant applied, which the process enforces

	limiters         map[string]*limiter   // by Limit.Key
	limitersByNode   map[*Limit][]*limiter // the same limiters for limits in force; nil for nodes not used yet
	fallbackLimiters map[string]*limiter   // by Limit.Key, used while the session is not valid

	lastReport   Demand
	lastReportAt int64 // 0 if none was sent
	urgentReport bool  // the next report is due after urgentReportDelay, whether or not demand has changed
}

// NewConsumer returns a consumer without limits or a session.
func NewConsumer(rules Rules, defect Defect) *Consumer {
	return &Consumer{
		rules:            rules,
		defect:           defect,
		config:           &Config{},
		limiters:         map[string]*limiter{},
		limitersByNode:   map[*Limit][]*limiter{},
		fallbackLimiters: map[string]*limiter{},
	}
}

// SetConfig replaces the limits in force. Quotas of removed limits and of other generations are dropped. The config
// must not be changed afterwards.
func (c *Consumer) SetConfig(now int64, config *Config) {
	c.config = config
	currentKeys := map[string]bool{}
	clear(c.limitersByNode)
	for _, l := range config.Limits {
		c.limitersByNode[l] = make([]*limiter, len(l.Nodes))
		for node := range l.Nodes {
			key := l.Key(node)
			currentKeys[key] = true
			if lim := c.limiters[key]; lim != nil {
				lim.limit = l
				c.limitersByNode[l][node] = lim
			}
			if lim := c.fallbackLimiters[key]; lim != nil {
				lim.limit = l
				lim.setAmount(now, l.fallbackAmount(node), c.defect)
			}
		}
	}
	isStale := func(key string, _ *limiter) bool { return !currentKeys[key] }
	maps.DeleteFunc(c.limiters, isStale)
	maps.DeleteFunc(c.fallbackLimiters, isStale)
	c.urgentReport = true
}

// SetSession sets the process's session, 0 for none, and until when it is valid. A new session begins without quotas.
// Those of the previous session keep counting in the store for as long as they linger.
func (c *Consumer) SetSession(now int64, session uint64, validUntil int64) {
	if session != c.session {
		c.session = session
		c.seenRevision = 0
		c.lastReport = Demand{}
		c.urgentReport = true
		for _, lim := range c.limiters {
			lim.reset(now, session)
		}
	}
	c.validUntil = validUntil
	if session == 0 {
		c.validUntil = 0
	}
}

// ValidUntil returns when the session ends unless it is renewed, or 0 if it is not valid.
func (c *Consumer) ValidUntil() int64 { return c.validUntil }

// SetProcessCount sets how many processes share the limits. The interval between reports depends on it.
func (c *Consumer) SetProcessCount(n int) { c.processCount = n }

// checkSession reports whether the session is valid, so that quotas may be used. It updates invalidSince.
func (c *Consumer) checkSession(now int64) bool {
	if c.defect == UseAfterExpiry && c.session != 0 {
		return true
	}
	if c.session != 0 && now < c.validUntil {
		c.invalidSince = 0
		return true
	}
	if c.invalidSince == 0 {
		c.invalidSince = c.validUntil
		if c.validUntil == 0 {
			c.invalidSince = now
		}
	}
	return false
}

// fallbackExpired reports whether the session has been invalid for longer than the limit's FallbackTimeout.
func (c *Consumer) fallbackExpired(now int64, l *Limit) bool {
	if l.FallbackTimeout == 0 || c.invalidSince == 0 || c.defect == UnlimitedFallback {
		return false
	}
	return now-c.invalidSince > l.FallbackTimeout
}

// ApplyGrant replaces the process's quotas by the grant of a session that the store has at a revision. A grant that is
// older than the last one, or belongs to another session, is ignored.
func (c *Consumer) ApplyGrant(now int64, session, revision uint64, g Grant) {
	if session != c.session || session == 0 || revision < c.seenRevision {
		return
	}
	c.seenRevision = revision
	for key, lim := range c.limiters {
		amount := g.Quotas[key].Amount
		reduced := amount < lim.amount
		c.urgentReport = c.urgentReport || reduced
		if reduced && c.defect == AcknowledgeEarly {
			continue
		}
		if amount != lim.amount {
			lim.setAmount(now, amount, c.defect)
		}
	}
	for key, q := range g.Quotas {
		if c.limiters[key] != nil {
			continue
		}
		if l, node := c.findNode(key); l != nil {
			c.limiter(now, l, node).setAmount(now, q.Amount, c.defect)
		}
	}
}

// findNode returns the limit in force and the index of the node that a key of Limit.Key names, or nil if there is none.
func (c *Consumer) findNode(key string) (*Limit, int) {
	l := c.config.Find(limitNameOf(key))
	if l == nil {
		return nil, 0
	}
	for node := range l.Nodes {
		if l.Key(node) == key {
			return l, node
		}
	}
	return nil, 0
}

// limiter returns the limiter of a node, which is created if there is none, or nil if its limit is no longer in force.
func (c *Consumer) limiter(now int64, l *Limit, node int) *limiter {
	limiters, inForce := c.limitersByNode[l]
	if !inForce {
		return nil
	}
	lim := limiters[node]
	if lim == nil {
		lim = newLimiter(now, l)
		lim.session = c.session
		c.limiters[l.Key(node)] = lim
		limiters[node] = lim
	}
	return lim
}

// fallbackLimiter returns the limiter of a node that is used while the session is not valid, and creates it if needed.
func (c *Consumer) fallbackLimiter(now int64, l *Limit, node int) *limiter {
	key := l.Key(node)
	lim := c.fallbackLimiters[key]
	if lim == nil {
		lim = newLimiter(now, l)
		lim.fallback = true
		lim.setAmount(now, l.fallbackAmount(node), NoDefect)
		c.fallbackLimiters[key] = lim
	}
	return lim
}

// Usage describes one quota of this process and its use.
type Usage struct {
	Key      string // as Limit.Key returns it
	Amount   Amount // the quota
	Used     Amount // spent in the window or in flight; for a rate, the tokens that are left
	Wanted   Amount // per second; for a concurrency, in flight
	Admitted uint64 // number of requests so far
	Rejected uint64 // number of requests so far
}

// Usage returns the usage of all quotas of this process, in no particular order.
func (c *Consumer) Usage(now int64) []Usage {
	var all []Usage
	for key, lim := range c.limiters {
		lim.refill(now)
		usage := Usage{
			Key:      key,
			Amount:   lim.amount,
			Used:     lim.used,
			Wanted:   lim.wanted,
			Admitted: lim.admitted,
			Rejected: lim.rejected,
		}
		if lim.limit.Kind == Rate {
			usage.Used = Amount(lim.tokens)
		}
		all = append(all, usage)
	}
	return all
}
