package scale

import (
	"fmt"
	"slices"
	"time"
)

// Rates and limits of the control plane's design. A daemon renews its session three times within its TTL and saves a
// module snapshot at most every ten seconds; on a busy machine both happen less often.
const (
	renewalsPerSession = 3
	sessionTTL         = 5 * time.Second
	snapshotInterval   = 10 * time.Second
	tolerance          = 1.3
	// largest ratio of a count per sidecar and second between the largest and the smallest size
	maxGrowth = 2.5

	// quota messages to a sidecar for each that it sends: the answer, its need, and grants, which others' needs change,
	// too
	maxQuotaMessages   = 5
	eventOverheadBytes = 512 // most bytes of a watch event in addition to those that its writer sent
	answerBytes        = 512 // most bytes of an answer
)

// Judge returns a description of each count of the quiet phase that exceeds what the design allows, of each cost per
// sidecar that grows with the size of the fleet, and of each purpose for which only real sidecars send messages. It
// uses counts alone, and upper limits, so that a slow machine that does less breaks none of them.
func Judge(results ...*Result) (broken []string) {
	checkMax := func(x *Result, name string, got, limit float64) {
		if got > limit {
			broken = append(broken, fmt.Sprintf("%d sidecars: %s are over %.0f: %.0f", x.Sidecars, name, limit, got))
		}
	}
	for _, x := range results {
		c, daemons, stubs := &x.Counts, float64(x.Sidecars+x.Replicas), float64(x.Sidecars-x.Real)
		checkMax(x, "entries of sessions", float64(c.Applied["sessions"]),
			tolerance*daemons*(1+renewalsPerSession*c.Seconds/sessionTTL.Seconds()))
		checkMax(x, "entries of pictures", float64(c.Applied["pictures"]),
			tolerance*float64(x.Sidecars)*(1+c.Seconds/snapshotInterval.Seconds()))
		// A sidecar receives the changes of its own module snapshot, need and grant, and the answers to its changes.
		// The one sidecar at a time that holds the task of removing others' snapshots receives all changes. A snapshot
		// or a need that was written before the count began may be delivered during it.
		saved := float64(c.Out["pictures"]) + stubs
		checkMax(x, "messages of pictures to sidecars", float64(c.In["pictures"]),
			tolerance*(2*saved+float64(c.Applied["pictures"])))
		if n := float64(c.Out["pictures"]); n > 0 {
			checkMax(x, "bytes of pictures to sidecars", float64(c.Read["pictures"]),
				tolerance*(saved+float64(c.Applied["pictures"]))*(float64(c.Sent["pictures"])/n+eventOverheadBytes)+
					saved*answerBytes)
		}
		checkMax(x, "messages of shares to sidecars", float64(c.In["shares"]),
			maxQuotaMessages*(float64(c.Out["shares"])+stubs))
		for _, purpose := range []string{"sessions", "pictures", "shares"} {
			if c.RealOut[purpose] >= 3 && c.Out[purpose] == 0 {
				broken = append(broken,
					fmt.Sprintf("%d sidecars: real ones sent %d messages of %s, and hollow ones none",
						x.Sidecars, c.RealOut[purpose], purpose))
			}
		}
	}
	if len(results) < 2 {
		return broken
	}
	bySize := slices.SortedFunc(slices.Values(results), func(a, b *Result) int { return a.Sidecars - b.Sidecars })
	smallest, largest := bySize[0], bySize[len(bySize)-1]
	for _, purpose := range []string{"sessions", "pictures", "tasks"} {
		perSidecar := func(x *Result) float64 {
			return float64(x.Counts.Applied[purpose]) / float64(x.Sidecars+x.Replicas) / max(1, x.Counts.Seconds)
		}
		if small, large := perSidecar(smallest), perSidecar(largest); small > 0 && large > maxGrowth*small &&
			float64(largest.Counts.Applied[purpose]) > float64(largest.Sidecars) {
			broken = append(broken, fmt.Sprintf(
				"entries of %s for each daemon and second grow from %.3f with %d sidecars to %.3f with %d",
				purpose, small, smallest.Sidecars, large, largest.Sidecars))
		}
	}
	for name, counts := range map[string]func(x *Result) float64{
		"messages of shares":   func(x *Result) float64 { return float64(x.Counts.In["shares"]) },
		"bytes of shares":      func(x *Result) float64 { return float64(x.Counts.Read["shares"]) },
		"messages of pictures": func(x *Result) float64 { return float64(x.Counts.In["pictures"]) },
	} {
		perSidecar := func(x *Result) float64 {
			return counts(x) / float64(x.Sidecars-x.Real) / max(1, x.Counts.Seconds)
		}
		if small, large := perSidecar(smallest), perSidecar(largest); small > 0 && large > maxGrowth*small {
			broken = append(broken,
				fmt.Sprintf("%s to each sidecar and second grow from %.3f with %d sidecars to %.3f with %d",
					name, small, smallest.Sidecars, large, largest.Sidecars))
		}
	}
	return broken
}
