package limitsim

import (
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/quota"
)

// Fault is one that can be planted.
type Fault struct {
	Name  string
	Plant Plant
	About string
}

// Faults are all of them but two, which unit tests of package limit hold: savings that a share made smaller keeps, and divisions that are
// not one on the last. Hundreds of seeds did not show them beside the other half that guards against each.
var Faults = []Fault{
	{"entitled-from-answer", Plant{Session: lease.ValidFromResponse}, "a process counts its time from the answer's arrival"},
	{"no-rate-margin", Plant{Session: lease.IgnoreSkew}, "clocks are taken to run at one rate"},
	{"use-after-end", Plant{Limit: quota.UseAfterExpiry}, "shares are used after the session's end"},
	{"full-at-start", Plant{Limit: quota.StartFull}, "what was spent is forgotten by a start: a new process's shares begin full"},
	{"refund-twice", Plant{Limit: quota.RefundTwice}, "what never ran is given back twice"},
	{"aligned-window", Plant{Limit: quota.AlignedWindow}, "windows begin at multiples of their length"},
	{"open-without-end", Plant{Limit: quota.UnlimitedFallback}, "a process out of reach goes on for as long as it likes"},
	{"seen-early", Plant{Limit: quota.AcknowledgeEarly}, "a smaller share is told as seen before it is gone by"},
	{"given-unseen", Plant{Limit: quota.IgnoreUnacknowledged}, "a share made smaller counts as small at once"},
	{"given-before-end", Plant{Limit: quota.ForgetSilent}, "a process that says nothing for a while counts as gone"},
	{"nothing-lingers", Plant{Limit: quota.NoLinger}, "what the gone have begun does not count"},
	{"one-level", Plant{Limit: quota.IgnoreParts}, "the whole is looked at, and its parts are not"},
	{"not-taken-over", Plant{Limit: quota.IgnorePredecessor}, "who divides next does not count what others gave"},
	{"age-twice", Plant{Limit: quota.CountAgeTwice}, "an age that is written to the grant of a process that is gone counts twice"},
	{"rounded-up", Plant{Limit: quota.RoundUp}, "shares are rounded up"},
}
