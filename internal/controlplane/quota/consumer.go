package quota

import "maps"

// Consumer is a process's side of the limits: it decides which requests its quotas admit. It is for one goroutine at a
// time. Instants are nanoseconds of a clock that does not step.
type Consumer struct {
	rules  Rules
	defect Defect
	config *Config

	session      uint64 // 0: none
	validUntil   int64  // of the session; 0: not valid
	invalidSince int64  // 0: valid
	processCount int    // in the fleet
	seenRevision uint64 // of the grant that it keeps to

	limiters         map[string]*limiter   // by Limit.Key
	limitersByNode   map[*Limit][]*limiter // the same, of the limits in force; nil for nodes that were not used yet
	fallbackLimiters map[string]*limiter   // by Limit.Key, used while the session is not valid

	lastReport   Demand
	lastReportAt int64 // 0: never
	reportDue    bool  // something is to be reported soon
}

// NewConsumer returns a consumer without limits.
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

// SetConfig replaces the limits in force. Quotas of limits of another generation are dropped.
func (c *Consumer) SetConfig(now int64, config *Config) {
	c.config = config
	current := map[string]bool{}
	clear(c.limitersByNode)
	for _, l := range config.Limits {
		c.limitersByNode[l] = make([]*limiter, len(l.Nodes))
		for node := range l.Nodes {
			key := l.Key(node)
			current[key] = true
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
	isGone := func(key string, _ *limiter) bool { return !current[key] }
	maps.DeleteFunc(c.limiters, isGone)
	maps.DeleteFunc(c.fallbackLimiters, isGone)
	c.reportDue = true
}

// SetSession sets the process's session, 0 for none, and until when it is valid. Another session begins without quotas:
// those of the previous one count for it until nobody can use them.
func (c *Consumer) SetSession(now int64, session uint64, validUntil int64) {
	if session != c.session {
		c.session = session
		c.seenRevision = 0
		c.lastReport = Demand{}
		c.reportDue = true
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

// SetProcessCount sets how many processes share the limits.
func (c *Consumer) SetProcessCount(n int) { c.processCount = n }

// checkSession reports whether quotas may be used, and notes since when they may not.
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

// fallbackExpired reports whether a limit's fallback has lasted for longer than it may.
func (c *Consumer) fallbackExpired(now int64, l *Limit) bool {
	if l.FallbackTimeout == 0 || c.invalidSince == 0 || c.defect == UnlimitedFallback {
		return false
	}
	return now-c.invalidSince > l.FallbackTimeout
}

// ApplyGrant takes the grant of a session as the store has it at a revision. An older one, or another session's, is
// ignored.
func (c *Consumer) ApplyGrant(now int64, session, revision uint64, g Grant) {
	if session != c.session || session == 0 || revision < c.seenRevision {
		return
	}
	c.seenRevision = revision
	for key, lim := range c.limiters {
		amount := g.Quotas[key].Amount
		reduced := amount < lim.amount
		c.reportDue = c.reportDue || reduced
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

// findNode returns the limit in force and the node of a key, or nil.
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

// limiter returns the limiter of a node, or nil if its limit is no longer in force.
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

// fallbackLimiter returns the limiter of a node for the time that the store is unreachable.
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

// Usage is how a quota of this process stands.
type Usage struct {
	Key      string // Limit.Key
	Amount   Amount
	Used     Amount // of a rate: what may be spent now
	Wanted   Amount
	Admitted uint64
	Rejected uint64
}

// Usage returns this process's quotas in no particular order.
func (c *Consumer) Usage(now int64) []Usage {
	var all []Usage
	for key, lim := range c.limiters {
		lim.refill(now)
		status := Usage{
			Key:      key,
			Amount:   lim.amount,
			Used:     lim.used,
			Wanted:   lim.wanted,
			Admitted: lim.admitted,
			Rejected: lim.rejected,
		}
		if lim.limit.Kind == Rate {
			status.Used = Amount(lim.tokens)
		}
		all = append(all, status)
	}
	return all
}
