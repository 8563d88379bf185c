package quota

// Defect is an injected defect, by which tests show that the simulation's checks find such a fault.
type Defect int

// The defects of a Consumer, and then those of an Allocator.
const (
	NoDefect          Defect = iota
	StartFull                // a limiter of a new session starts with a full burst of tokens
	RefundTwice              // the charge of a cancelled request is refunded twice
	KeepTokens               // tokens beyond the burst of a reduced quota are kept
	AlignedWindow            // windows are fixed and begin at multiples of their length, instead of sliding
	UnlimitedFallback        // the fallback of a process that cannot reach the store ignores its timeout
	UseAfterExpiry           // a process uses its quotas after its session has ended
	AcknowledgeEarly         // a process acknowledges a reduced quota before it enforces it

	IgnoreUnacknowledged // a reduced quota counts at its new amount before the process acknowledges it
	ForgetSilent         // a live process that has not reported for a while counts as departed
	NoLinger             // quotas of a departed process are free at once, although its requests may not have ended
	IgnoreParts          // the capacity of the root is enforced, but not the capacities of the parts
	IgnorePredecessor    // a new allocator does not count the grants of the previous one
	RoundUp              // granted quotas are rounded up
	UncheckedRevision    // an allocation is not conditional on the previous one
	CountAgeTwice        // the age stored in a departed process's grant is added to the time since its departure
)

// Rules are settings that must be the same for all processes of a fleet.
type Rules struct {
	MaxClockSkew             float64 // largest difference between the rates of two clocks, as in lease.Rules
	ReportInterval           int64   // shortest time between two reports of a process, in nanoseconds
	ReportIntervalPerProcess int64   // nanoseconds for each process of the fleet, if that makes a longer interval
}

// reportInterval returns the nanoseconds between two reports of a process in a fleet with the given number of
// processes.
func (r Rules) reportInterval(processes int) int64 {
	return max(r.ReportInterval, r.ReportIntervalPerProcess*int64(processes))
}
