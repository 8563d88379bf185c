package follower

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// backoff returns random delays between attempts, which double on average from minBackoff to maxBackoff. It is not safe
// for concurrent use.
type backoff struct{ delay time.Duration }

func newBackoff() *backoff { return &backoff{delay: minBackoff} }

// next returns the delay before the next attempt, drawn from 0.5 to 1.5 times the current mean, and doubles the mean.
func (b *backoff) next() time.Duration {
	delay := b.delay/2 + rand.N(b.delay)
	b.delay = min(2*b.delay, maxBackoff)
	return delay
}

func (b *backoff) reset() { b.delay = minBackoff }
