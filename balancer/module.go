package balancer

// Module is a balancer as hosts call it, or something that stands in front of one, such as a recorder. Every call
// that may change something has its instant.
type Module interface {
	Start(now Micros)
	UpdateEndpoints(now Micros, kind ListKind, entries []Endpoint)
	Request(now Micros, in Request)
	ResponseStarted(now Micros, id uint64, attempt int, latency Micros)
	UploadComplete(now Micros, id uint64, deadline Micros)
	Outcome(now Micros, o Outcome)
	ClientDisconnected(now Micros, id uint64)
	Timer(now Micros, token uint32)
	ProbeCompleted(now Micros, id uint32, s Status, latency Micros, load []float32)
	DrainEndpoint(now Micros, id uint32, at Micros)
	UndrainEndpoint(now Micros, id uint32, at Micros)
	SetCapacityShare(now Micros, part float64)
	Reload(now Micros, s Settings) (*Rules, error)
	PeerEjected(now Micros, id uint32, left Micros)
	Restore(now Micros, s *Snapshot, age Micros) (int, error)

	Rules() *Rules
	ExcludedCount(now Micros) int
	Ejections(now Micros, f func(id uint32, left Micros))
	Snapshot(now Micros, requests bool) *Snapshot
}

// Direct is a Balancer as a Module, with nothing in front of it.
type Direct struct{ *Balancer }

// DrainEndpoint calls the balancer's.
func (d Direct) DrainEndpoint(_ Micros, id uint32, at Micros) { d.Balancer.DrainEndpoint(id, at) }

// SetCapacityShare calls the balancer's.
func (d Direct) SetCapacityShare(_ Micros, part float64) { d.Balancer.SetCapacityShare(part) }

// Reload calls the balancer's.
func (d Direct) Reload(_ Micros, s Settings) (*Rules, error) { return d.Balancer.Reload(s) }

// NoActions ignores all actions, for balancers that are only inspected.
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
