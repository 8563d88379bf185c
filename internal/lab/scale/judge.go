package scale

import (
	"fmt"
	"slices"
	"time"
)

// A daemon renews its session three times in its length and puts a picture every ten seconds, at most. A busy machine does less.
const (
	renewals   = 3
	sessionFor = 5 * time.Second
	pictureGap = 10 * time.Second
	slack      = 1.3
	growth     = 2.5 // of what is counted for each sidecar, from the smallest size to the largest

	sharesHeard = 5   // messages of shares to a sidecar for each that it sends: the answer, its need, and grants as others' needs move them too
	eventHead   = 512 // bytes of an event besides what its writer sent, at most,
	answer      = 512 // and of an answer
)

// Judge says what is more than a fleet's design has it, by counts alone. What a slow machine leaves out breaks nothing; who costs
// more for each sidecar the more there are does, and so does a hollow sidecar that leaves out what a real one does.
func Judge(all ...*Result) (broken []string) {
	over := func(x *Result, what string, is, most float64) {
		if is > most {
			broken = append(broken, fmt.Sprintf("%d sidecars: %s are over %.0f: %.0f", x.Sidecars, what, most, is))
		}
	}
	for _, x := range all {
		c, daemons, hollow := &x.Counts, float64(x.Sidecars+x.Replicas), float64(x.Sidecars-x.Real)
		over(x, "entries of sessions", float64(c.Applied["sessions"]), slack*daemons*(1+renewals*c.Seconds/sessionFor.Seconds()))
		over(x, "entries of pictures", float64(c.Applied["pictures"]), slack*float64(x.Sidecars)*(1+c.Seconds/pictureGap.Seconds()))
		// A sidecar hears of its own picture, need and grant, and is answered. One at a time holds the task that ends others' pictures, and
		// hears of all. A picture, or a share, that was put before the count may be told within it.
		puts := float64(c.Out["pictures"]) + hollow
		over(x, "messages of pictures to sidecars", float64(c.In["pictures"]), slack*(2*puts+float64(c.Applied["pictures"])))
		if n := float64(c.Out["pictures"]); n > 0 {
			over(x, "bytes of pictures to sidecars", float64(c.Read["pictures"]), slack*(puts+float64(c.Applied["pictures"]))*(float64(c.Sent["pictures"])/n+eventHead)+puts*answer)
		}
		over(x, "messages of shares to sidecars", float64(c.In["shares"]), sharesHeard*(float64(c.Out["shares"])+hollow))
		for _, p := range []string{"sessions", "pictures", "shares"} {
			if c.RealOut[p] >= 3 && c.Out[p] == 0 {
				broken = append(broken, fmt.Sprintf("%d sidecars: real ones sent %d messages of %s, and hollow ones none", x.Sidecars, c.RealOut[p], p))
			}
		}
	}
	if len(all) < 2 {
		return broken
	}
	bySize := slices.SortedFunc(slices.Values(all), func(a, b *Result) int { return a.Sidecars - b.Sidecars })
	few, many := bySize[0], bySize[len(bySize)-1]
	for _, p := range []string{"sessions", "pictures", "tasks"} {
		each := func(x *Result) float64 {
			return float64(x.Counts.Applied[p]) / float64(x.Sidecars+x.Replicas) / max(1, x.Counts.Seconds)
		}
		if a, b := each(few), each(many); a > 0 && b > growth*a && float64(many.Counts.Applied[p]) > float64(many.Sidecars) {
			broken = append(broken, fmt.Sprintf("entries of %s for each daemon and second grow from %.3f with %d sidecars to %.3f with %d", p, a, few.Sidecars, b, many.Sidecars))
		}
	}
	for what, counts := range map[string]func(x *Result) float64{
		"messages of shares":   func(x *Result) float64 { return float64(x.Counts.In["shares"]) },
		"bytes of shares":      func(x *Result) float64 { return float64(x.Counts.Read["shares"]) },
		"messages of pictures": func(x *Result) float64 { return float64(x.Counts.In["pictures"]) },
	} {
		each := func(x *Result) float64 { return counts(x) / float64(x.Sidecars-x.Real) / max(1, x.Counts.Seconds) }
		if a, b := each(few), each(many); a > 0 && b > growth*a {
			broken = append(broken, fmt.Sprintf("%s to each sidecar and second grow from %.3f with %d sidecars to %.3f with %d", what, a, few.Sidecars, b, many.Sidecars))
		}
	}
	return broken
}
