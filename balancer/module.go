package balancer

// Module is a balancer as hosts meet it, or something that stands before one. Every call that may change something
// has its instant.
type Module interface {
	Start(now Micros)
	Members(now Micros, kind ListKind, entries []Endpoint)
	Request(now Micros, in Request)
	Headers(now Micros, id uint64, attempt int, latency Micros)
	Uploaded(now Micros, id uint64, deadline Micros)
	Outcome(now Micros, o Outcome)
	ClientGone(now Micros, id uint64)
	Timer(now Micros, token uint32)
	Probed(now Micros, id uint32, s Status, latency Micros, load []float32)
	TakeOut(now Micros, id uint32, at Micros)
	CallBack(now Micros, id uint32, at Micros)
	Share(now Micros, part float64)
	Reload(now Micros, s Settings) (*Rules, error)
	Heard(now Micros, id uint32, left Micros)
	Recall(now Micros, s *Snapshot, age Micros) (int, error)

	Rules() *Rules
	Avoided(now Micros) int
	Ejections(now Micros, f func(id uint32, left Micros))
	Snapshot(now Micros, ledger bool) *Snapshot
}

// Plain is a balancer with nothing before it, as a Module.
type Plain struct{ *Balancer }

// TakeOut passes on.
func (p Plain) TakeOut(_ Micros, id uint32, at Micros) { p.Balancer.TakeOut(id, at) }

// Share passes on.
func (p Plain) Share(_ Micros, part float64) { p.Balancer.Share(part) }

// Reload passes on.
func (p Plain) Reload(_ Micros, s Settings) (*Rules, error) {
	return p.Balancer.Reload(s)
}

// Silent is a host that does nothing of what it is asked: for balancers that are only looked at.
type Silent struct{}

func (Silent) Send(uint64, uint32, Micros) {}
func (Silent) Refuse(uint64, Micros)       {}
func (Silent) Fail(uint64)                 {}
func (Silent) Cancel(uint64, int)          {}
func (Silent) Timer(Micros, uint32)        {}
func (Silent) Probe(uint32)                {}
func (Silent) Watch(bool)                  {}
func (Silent) Log(string)                  {}
