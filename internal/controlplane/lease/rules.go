package lease

// Rules are the timing rules of a session. Durations are in nanoseconds.
type Rules struct {
	TTL    int64   // after which the store expires a session that is not renewed, by its leader's clock
	Skew   float64 // largest relative difference between the rates of two clocks: 0.1 is a tenth
	Margin int64   // subtracted from the validity, for the time between reading the clock and acting
}

// DefaultSkew is far above the drift of hosts' clocks: NTP corrects at most 500 ppm.
const DefaultSkew = 0.02

// Validity is how long, in nanoseconds, a lease is valid after a renewal was sent that the store acknowledged.
//
// A renewal sent at s by true time is applied at a >= s. The session expires at e >= a + TTL/(1+x) if the leader's
// clock runs fast by x; the holder's Validity takes Validity/(1-y) of true time if its clock runs slow by y. With
// (1+x)/(1-y) <= 1+Skew, s + Validity/(1-y) <= s + TTL/(1+x) - Margin < e.
func (r Rules) Validity() int64 { return int64(float64(r.TTL)/(1+r.Skew)) - r.Margin }
