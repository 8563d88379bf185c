package balancer

// Retries draw on a budget that requests fill. Retries of attempts that never ran draw on it, too: where most
// endpoints are full, free retries would be a storm.
const (
	maxRetryBudget    = 10.0 // attempts
	retriesPerRequest = 0.2
)

// retry makes another attempt at a request, if the retry budget has one and an endpoint is found.
func (b *Balancer) retry(now Micros, r *request) bool {
	if b.retryBudget < 1 || !b.tryAttempt(now, r, false) {
		return false
	}
	b.retryBudget--
	return true
}
