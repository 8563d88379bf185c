package balancer

// Module is the interface that hosts call: a Balancer, or a wrapper around one such as a recorder. Every method that
// may change state takes the current instant.
type Module interface {
	Start(now Micros)
	UpdateEndpoints(now Micros, kind ListKind, entries []Endpoint)
	Request(now Micros, in Request)
	ResponseStarted(now Micros, id uint64, attempt int, latency Micros)
	UploadComplete(now Micros, id uint64, deadline Micros)
	Outcome(now Micros, outcome Outcome)
	ClientDisconnected(now Micros, id uint64)
	Timer(now Micros, token uint32)
	ProbeCompleted(now Micros, id uint32, status Status, latency Micros, load []float32)
	DrainEndpoint(now Micros, id uint32, orderedAt Micros)
	UndrainEndpoint(now Micros, id uint32, orderedAt Micros)
	SetCapacityShare(now Micros, share float64)
	Reload(now Micros, s Settings) (*Rules, error)
	PeerEjected(now Micros, id uint32, remaining Micros)
	Restore(now Micros, s *Snapshot, age Micros) (int, error)

	Rules() *Rules
	ExcludedCount(now Micros) int
	Ejections(now Micros, f func(id uint32, remaining Micros))
	Snapshot(now Micros, withRequests bool) *Snapshot
}

// Direct adapts a Balancer to Module by dropping the instants that Balancer's own methods do not need.
type Direct struct{ *Balancer }

// DrainEndpoint calls Balancer.DrainEndpoint.
func (d Direct) DrainEndpoint(_ Micros, id uint32, orderedAt Micros) {
	d.Balancer.DrainEndpoint(id, orderedAt)
}

// SetCapacityShare calls Balancer.SetCapacityShare.
func (d Direct) SetCapacityShare(_ Micros, share float64) { d.Balancer.SetCapacityShare(share) }

// Reload calls Balancer.Reload.
func (d Direct) Reload(_ Micros, s Settings) (*Rules, error) { return d.Balancer.Reload(s) }

// NoActions ignores all actions. It is for balancers that are only inspected.
type NoActions struct{}

// Send does nothing.
func (NoActions) Send(uint64, uint32, Micros) {}

// Reject does nothing.
func (NoActions) Reject(uint64, Micros) {}

// Fail does nothing.
func (NoActions) Fail(uint64) {}

// Cancel does nothing.
func (NoActions) Cancel(uint64, int) {}

// Timer does nothing.
func (NoActions) Timer(Micros, uint32) {}

// Probe does nothing.
func (NoActions) Probe(uint32) {}

// Watch does nothing.
func (NoActions) Watch(bool) {}

// Log does nothing.
func (NoActions) Log(string) {}
