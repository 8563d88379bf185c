package httpfront

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"sync/atomic"
	"testing"
	"time"
)

const (
	soakTime      = 30 * time.Second // of TestHeldBytesSoak where soakTimeEnv is not set
	soakTimeEnv   = "HELD_BYTES_SOAK"
	soakSeedEnv   = "HELD_BYTES_SEED" // the first seed; 1 where it is not set
	soakParallel  = 4                 // seeds that are played at a time
	soakMessages  = 8                 // of one connection
	maxSoakBody   = 300 << 10
	maxShortBytes = 20000
)

// randomMessage returns a message whose first part is longer than the buffer of bodies where the direction needs that.
func randomMessage(rng *rand.Rand, forms []wireForm, minAtOnce int) partedMessage {
	m := partedMessage{form: forms[rng.IntN(len(forms))], size: 1 + rng.IntN(maxShortBytes)}
	for range 1 + rng.IntN(4) {
		m.chunkSizes = append(m.chunkSizes, 1+rng.IntN([]int{10, 1000, 20000, 1 << 20}[rng.IntN(4)]))
	}
	if rng.IntN(4) > 0 {
		m.size = MaxBufferedBodyBytes + 1 + rng.IntN(maxSoakBody)
	}
	if m.size/m.chunkSizes[0] > 1000 {
		m.chunkSizes[0] += m.size / 1000
	}
	m.atOnce = 1 + rng.IntN(m.size)
	if m.size > MaxBufferedBodyBytes {
		m.atOnce = max(m.atOnce, minAtOnce)
	}
	return m
}

// TestHeldBytesSoak plays connections with messages of random forms, sizes and cuts in both directions, each from a seed.
func TestHeldBytesSoak(t *testing.T) {
	span, err := time.ParseDuration(os.Getenv(soakTimeEnv))
	if err != nil {
		span = soakTime
	}
	seed, err := strconv.ParseUint(os.Getenv(soakSeedEnv), 10, 64)
	if err != nil {
		seed = 1
	}
	// In short chunks, twice the buffer of encoded bytes has more data than the buffer.
	const minRequestBytes = 2*MaxBufferedBodyBytes + 64
	played := 0
	var longestHeld atomic.Int64
	for end := time.Now().Add(span); time.Now().Before(end) && !t.Failed(); {
		t.Run("seeds", func(t *testing.T) {
			for range soakParallel {
				playSoakSeed(t, seed, minRequestBytes, &longestHeld)
				seed++
				played++
			}
		})
	}
	t.Logf("%d seeds were played, %d messages each; bytes were held for %v at most", played, soakMessages,
		time.Duration(longestHeld.Load()))
}

// playSoakSeed plays the messages of a seed: answers if it is even, requests if it is odd. It raises longestHeld, in
// nanoseconds, to the time for which bytes were held at most.
func playSoakSeed(t *testing.T, seed uint64, minRequestBytes int, longestHeld *atomic.Int64) {
	t.Helper()
	t.Run(fmt.Sprint(seed), func(t *testing.T) {
		t.Parallel()
		rng := rand.New(rand.NewPCG(75, seed))
		var messages []partedMessage
		for range soakMessages {
			if seed%2 == 0 {
				messages = append(messages, randomMessage(rng, []wireForm{lengthForm, closeForm, chunkForm, trailerForm}, 1))
			} else {
				messages = append(messages, randomMessage(rng, []wireForm{lengthForm, chunkForm, trailerForm}, minRequestBytes))
			}
		}
		play := playRequestsInParts
		if seed%2 == 0 {
			play = playAnswersInParts
		}
		held := int64(play(t, rng, messages...))
		for longest := longestHeld.Load(); held > longest; longest = longestHeld.Load() {
			longestHeld.CompareAndSwap(longest, held)
		}
	})
}
