package quota

import (
	"testing"

	"pgregory.net/rapid"
)

const sec = int64(1e9)

func newLimit(name string, kind Kind, capacity float64, window int64) *Limit {
	return &Limit{
		Name:       name,
		Generation: 1,
		Kind:       kind,
		Unit:       Requests,
		Window:     window,
		Fallback:   Strict,
		Nodes:      []Node{{Capacity: Amount(capacity * float64(AmountUnit)), Weight: 1}},
	}
}

func newRateLimit(capacity float64, window int64) *Limit {
	return newLimit("r", Rate, capacity, window)
}

// admitUpTo returns how many of n requests of one unit are admitted at now, before the first rejection.
func admitUpTo(n int, c *Consumer, now int64, l *Limit) (admitted int) {
	for ; admitted < n; admitted++ {
		if _, rejection := reserveOne(c, now, l); rejection != nil {
			break
		}
	}
	return admitted
}

// reserveOne reserves one unit of a limit's root.
func reserveOne(c *Consumer, now int64, l *Limit) (*Reservation, *Rejection) {
	return c.Reserve(now, []Charge{{Limit: l, Node: 0, Amount: AmountUnit}}, 1)
}

// Under a rate, a consumer admits exactly what its quota and its saved tokens allow, whatever it is granted, and a
// refund never returns more than was charged.
func TestConsumerAdmitsNoMoreThanQuota(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newRateLimit(1000, sec/2)
		c := NewConsumer(Rules{MaxClockSkew: 0.1, ReportInterval: 50e6}, NoDefect)
		c.SetConfig(0, &Config{Version: 1, Limits: []*Limit{l}})
		c.SetSession(0, 1, 1<<60)
		now, revision := int64(0), uint64(0)
		quota, tokens := Amount(0), 0.0
		var reservations []*Reservation
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			step := rapid.Int64Range(0, sec/4).Draw(t, "later")
			now += step
			tokens = min(float64(l.burstOf(quota)), tokens+float64(quota)*float64(step)/1e9)
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0:
				quota = Amount(rapid.IntRange(0, 50).Draw(t, "share")) * AmountUnit
				revision++
				c.ApplyGrant(now, 1, revision, Grant{Quotas: map[string]Quota{l.Key(0): {Amount: quota}}})
				tokens = min(tokens, float64(l.burstOf(quota)))
			case 1:
				if len(reservations) > 0 {
					c.Cancel(now, reservations[0])
					c.Cancel(now, reservations[0]) // has no effect
					reservations = reservations[1:]
					tokens = min(float64(l.burstOf(quota)), tokens+float64(AmountUnit))
				}
			default:
				const unit, tolerance = float64(AmountUnit), 1e-3
				reservation, rejection := reserveOne(c, now, l)
				admitted, expected := rejection == nil, tokens >= unit-tolerance
				if admitted != expected && (admitted || tokens > unit+tolerance) {
					t.Fatalf("at %d ns with %.3f tokens and a quota of %s: rejection is %v",
						now, tokens/unit, FormatAmount(quota), rejection)
				}
				if admitted {
					tokens -= unit
					reservations = append(reservations, reservation)
				} else if rejection.RetryAfter <= 0 {
					t.Fatal(rejection)
				}
			}
		}
	})
}

// The amount admitted in any interval of the window's length never exceeds the quota.
func TestWindowAdmitsNoMoreThanQuotaInAnyTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLimit("w", Window, 100, sec)
		c := NewConsumer(Rules{MaxClockSkew: 0.1}, NoDefect)
		c.SetConfig(0, &Config{Version: 1, Limits: []*Limit{l}})
		c.SetSession(0, 1, 1<<60)
		quota := rapid.IntRange(1, 20).Draw(t, "share")
		c.ApplyGrant(0, 1, 1, Grant{Quotas: map[string]Quota{l.Key(0): {Amount: Amount(quota) * AmountUnit}}})
		now := int64(0)
		var inWindow []int64
		admitted := 0
		for range 400 {
			now += rapid.Int64Range(0, sec/20).Draw(t, "later")
			if _, rejection := reserveOne(c, now, l); rejection == nil {
				inWindow = append(inWindow, now)
				admitted++
			}
			for len(inWindow) > 0 && inWindow[0] <= now-sec {
				inWindow = inWindow[1:]
			}
			if len(inWindow) > quota {
				t.Fatalf("%d requests admitted in a window, the quota is %d", len(inWindow), quota)
			}
		}
		if possible := int64(quota) * (now/sec + 1); int64(admitted) < min(possible/3, 100) && admitted < 100 {
			t.Fatalf("%d requests admitted, want at least a third of %d or 100", admitted, possible)
		}
	})
}

// While its session is invalid, a process admits nothing (Strict), its fraction of the limit (Fair), or everything
// (Open). Fair and Open become Strict after FallbackTimeout.
func TestFallbackByMode(t *testing.T) {
	for _, test := range []struct {
		mode                    FallbackMode
		timeout                 int64
		admitted, admittedLater int
	}{{Strict, 0, 0, 0}, {Fair, 0, 5, 5}, {Fair, sec, 5, 0}, {Open, 0, 50, 50}, {Open, sec, 50, 0}} {
		l := newRateLimit(100, sec)
		l.Fallback, l.FallbackFraction, l.MinProcesses, l.FallbackTimeout = test.mode, 0.5, 10, test.timeout
		c := NewConsumer(Rules{ReportInterval: 50e6}, NoDefect)
		c.SetConfig(0, &Config{Version: 1, Limits: []*Limit{l}})
		c.SetSession(0, 1, sec)
		c.ApplyGrant(0, 1, 1, Grant{Quotas: map[string]Quota{l.Key(0): {Amount: 80 * AmountUnit}}})
		reserveOne(c, sec, l) // the session has ended: the fallback begins
		for _, step := range []struct {
			now  int64
			want int
		}{{2 * sec, test.admitted}, {5 * sec, test.admittedLater}} {
			admitted := 0
			for ; admitted < 50; admitted++ {
				_, rejection := reserveOne(c, step.now, l)
				if rejection == nil {
					continue
				}
				if !rejection.StoreUnreachable || rejection.RetryAfter <= 0 {
					t.Errorf("rejection %+v, want one for an unreachable store with a positive RetryAfter", rejection)
				}
				break
			}
			if admitted != step.want {
				t.Errorf("fallback %s with a timeout of %d ns: admitted %d requests at %d ns, want %d",
					test.mode, test.timeout, admitted, step.now, step.want)
			}
		}
	}
}

// Guards against a leak of the limiters of parent nodes when their limit gets another generation.
func TestLimitersOfOldGenerationsAreDropped(t *testing.T) {
	c := NewConsumer(Rules{}, NoDefect)
	for generation := range uint64(10) {
		l := newRateLimit(10, sec)
		l.Generation = generation + 1
		l.Fallback, l.FallbackFraction, l.MinProcesses = Fair, 0.5, 1
		l.PartitionBy = []string{"header:org"}
		l.Nodes = append(l.Nodes, Node{Path: "a", Capacity: 10 * AmountUnit, Weight: 1})
		c.SetConfig(0, &Config{Version: generation + 1, Limits: []*Limit{l}})
		// Without a session, the fallback limiters of the part and of the root are used.
		for now := sec; now < 5*sec; now += 2 * sec {
			_, _ = c.Reserve(now, []Charge{{Limit: l, Node: 1, Amount: AmountUnit}}, 1)
		}
	}
	if len(c.limiters) > 2 || len(c.fallbackLimiters) != 2 {
		t.Errorf("%d limiters and %d fallback limiters after ten generations, want at most 2 and exactly 2",
			len(c.limiters), len(c.fallbackLimiters))
	}
}
