package balancer

// Every retry spends one attempt of a budget that new requests refill. Retries of attempts that never ran spend it as
// well: when most endpoints reject, retries outside the budget would cause a retry storm.
const (
	maxRetryBudget    = 10.0 // attempts
	retriesPerRequest = 0.2  // attempts added to the budget by each new request
)

// retry makes another attempt at a request and reports whether it did. It needs one attempt in the retry budget and an
// endpoint that may get the request.
func (b *Balancer) retry(now Micros, r *request) bool {
	if b.retryBudget < 1 || !b.tryAttempt(now, r, false) {
		return false
	}
	b.retryBudget--
	return true
}
