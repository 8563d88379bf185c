package quota

// Defect is a fault that a test injects, to show that the checks of the simulation find it.
type Defect int

// The defects of a Consumer, and then those of an Allocator.
const (
	NoDefect          Defect = iota
	StartFull                // a new session's limiters begin with a full burst
	RefundTwice              // what a cancelled request took is given back twice
	KeepTokens               // a reduced quota keeps the tokens that it had saved
	AlignedWindow            // windows begin at multiples of their length
	UnlimitedFallback        // a process that cannot reach the store goes on without end
	UseAfterExpiry           // quotas are used after the session's end
	AcknowledgeEarly         // a reduced quota is acknowledged before it is enforced

	IgnoreUnacknowledged // a reduced quota counts as reduced at once
	ForgetSilent         // a process that does not report for a while counts as gone
	NoLinger             // what processes that are gone may have begun does not count
	IgnoreParts          // the capacity of the root is enforced, and that of parts is not
	IgnorePredecessor    // a new allocator does not count what others granted
	RoundUp              // quotas are rounded up
	UncheckedRevision    // allocations are not conditional on the previous one
	CountAgeTwice        // the age in a departed process's grant is added to the time since its departure
)

// Rules are the same for all processes of a fleet.
type Rules struct {
	MaxClockSkew             float64 // as in lease.Rules
	ReportInterval           int64   // nanoseconds between two reports of a process, at least
	ReportIntervalPerProcess int64   // nanoseconds for each process of the fleet, if that makes a longer interval
}

// reportInterval returns the nanoseconds between two reports of a process in a fleet of a size.
func (r Rules) reportInterval(processes int) int64 {
	return max(r.ReportInterval, r.ReportIntervalPerProcess*int64(processes))
}
