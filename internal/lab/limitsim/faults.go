package limitsim

import (
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/quota"
)

// InjectedDefect is a defect of the quota or the session code that a run can inject.
type InjectedDefect struct {
	Name    string
	Defects Defects
	About   string
}

// InjectedDefects lists the injectable defects. quota.KeepTokens and quota.UncheckedRevision are missing: hundreds of
// seeds did not find them, because a second safeguard covers each, so the unit tests of package quota check them.
var InjectedDefects = []InjectedDefect{
	{"entitled-from-answer", Defects{Session: lease.ValidFromResponse},
		"a session counts its TTL from the arrival of the response, not from the request"},
	{"no-rate-margin", Defects{Session: lease.IgnoreSkew},
		"a session makes no allowance for clocks that run at different rates"},
	{"use-after-end", Defects{Limit: quota.UseAfterExpiry}, "a process uses its quotas after its session has ended"},
	{"full-at-start", Defects{Limit: quota.StartFull},
		"a restart forgets what was spent: the limiters of a new process start with a full burst"},
	{"refund-twice", Defects{Limit: quota.RefundTwice}, "the charge of a cancelled request is refunded twice"},
	{"aligned-window", Defects{Limit: quota.AlignedWindow},
		"windows are fixed and begin at multiples of their length, instead of sliding"},
	{"open-without-end", Defects{Limit: quota.UnlimitedFallback},
		"the fallback of a process that cannot reach the store has no timeout"},
	{"seen-early", Defects{Limit: quota.AcknowledgeEarly},
		"a process acknowledges a reduced quota before it enforces it"},
	{"given-unseen", Defects{Limit: quota.IgnoreUnacknowledged},
		"a reduced quota counts at its new amount before the process acknowledges it"},
	{"given-before-end", Defects{Limit: quota.ForgetSilent},
		"a live process that has not reported for a while counts as departed"},
	{"nothing-lingers", Defects{Limit: quota.NoLinger},
		"requests that departed processes still have in flight do not count"},
	{"one-level", Defects{Limit: quota.IgnoreParts},
		"the capacity of the root is enforced, but not the capacities of the parts"},
	{"not-taken-over", Defects{Limit: quota.IgnorePredecessor},
		"a new allocator does not count the grants of the previous one"},
	{"age-twice", Defects{Limit: quota.CountAgeTwice},
		"the age stored in the grant of a departed process counts twice"},
	{"rounded-up", Defects{Limit: quota.RoundUp}, "granted quotas are rounded up"},
}
