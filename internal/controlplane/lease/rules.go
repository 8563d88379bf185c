package lease

// Rules are the timing parameters of a session. Durations are in nanoseconds.
type Rules struct {
	TTL          int64   // the store expires a session after this time without a renewal, by the leader's clock
	MaxClockSkew float64 // maximum relative difference between the rates of two clocks; 0.1 means 10 %
	Margin       int64   // subtracted from the validity, to cover the time between reading the clock and acting
}

// DefaultMaxClockSkew is the default of Rules.MaxClockSkew. It is far above the drift of hosts' clocks, which NTP
// corrects by at most 500 ppm.
const DefaultMaxClockSkew = 0.02

// Validity returns how long a lease is valid, in nanoseconds of the holder's clock, after the sending of a grant or
// renewal that the store acknowledged.
//
// A renewal that is sent at s, in true time, is applied at a >= s. If the leader's clock runs fast by x, the session
// expires at e >= a + TTL/(1+x). If the holder's clock runs slow by y, Validity lasts Validity/(1-y) of true time. With
// (1+x)/(1-y) <= 1+MaxClockSkew, s + Validity/(1-y) <= s + TTL/(1+x) - Margin < e.
func (r Rules) Validity() int64 { return int64(float64(r.TTL)/(1+r.MaxClockSkew)) - r.Margin }
