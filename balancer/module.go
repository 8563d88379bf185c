package balancer

// Module is a balancer as hosts meet it, or something that stands before one. Every call that may change something
// has its instant.
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
	Snapshot(now Micros, ledger bool) *Snapshot
}

// Direct is a balancer with nothing before it, as a Module.
type Direct struct{ *Balancer }

// DrainEndpoint passes on.
func (p Direct) DrainEndpoint(_ Micros, id uint32, at Micros) { p.Balancer.DrainEndpoint(id, at) }

// SetCapacityShare passes on.
func (p Direct) SetCapacityShare(_ Micros, part float64) { p.Balancer.SetCapacityShare(part) }

// Reload passes on.
func (p Direct) Reload(_ Micros, s Settings) (*Rules, error) {
	return p.Balancer.Reload(s)
}

// NoActions is a host that does nothing of what it is asked: for balancers that are only looked at.
type NoActions struct{}

func (NoActions) Send(uint64, uint32, Micros) {}

func (NoActions) Reject(uint64, Micros) {}

func (NoActions) Fail(uint64) {}

func (NoActions) Cancel(uint64, int) {}

func (NoActions) Timer(Micros, uint32) {}

func (NoActions) Probe(uint32) {}

func (NoActions) Watch(bool) {}

func (NoActions) Log(string) {}
