package follower

import (
	"math/rand/v2"
	"time"
)

const (
	minBackoff = 50 * time.Millisecond
	maxBackoff = time.Second
)

// backoff draws the delays between attempts, which double on average from minBackoff to maxBackoff.
type backoff struct{ delay time.Duration }

func newBackoff() *backoff { return &backoff{delay: minBackoff} }

// next returns the delay before the next attempt: from half to one and a half times the current one.
func (b *backoff) next() time.Duration {
	delay := b.delay/2 + rand.N(b.delay)
	b.delay = min(2*b.delay, maxBackoff)
	return delay
}

func (b *backoff) reset() { b.delay = minBackoff }
