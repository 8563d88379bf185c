package balancer_test

import (
	"fmt"

	"birchmoor/balancer"
)

// host prints the actions of a balancer, which a sidecar would carry out.
type host struct{ sent []uint32 }

func (h *host) Send(id uint64, endpoint uint32, _ balancer.Micros) {
	h.sent = append(h.sent, endpoint)
	fmt.Printf("send request %d to endpoint %d\n", id, endpoint)
}
func (h *host) Reject(id uint64, _ balancer.Micros) { fmt.Printf("reject request %d\n", id) }
func (h *host) Fail(id uint64)                      { fmt.Printf("fail request %d\n", id) }
func (h *host) Cancel(uint64, int)                  {}
func (h *host) Timer(balancer.Micros, uint32)       {}
func (h *host) Probe(uint32)                        {}
func (h *host) Watch(bool)                          {}
func (h *host) Log(line string)                     { fmt.Println(line) }

func Example() {
	settings := balancer.Settings{
		Balancers: 1,
		Classes: []balancer.Class{{Name: "read", Idempotency: balancer.Idempotent, LatencyObjective: 200_000,
			Timeout: 800_000, PriorityWeight: 1}},
		Fields:   []balancer.Field{balancer.FieldInflight},
		Limits:   balancer.Limits{Probes: true, MaxAttempts: 2, MaxOpen: 1000},
		Contract: balancer.Contract{InitialCapacity: 0.2, SlowStartDuration: 10_000_000, OverloadMultiple: 2.5},
		Goal:     balancer.Goal{Total: 1},
	}
	h := &host{}
	b, err := balancer.New(settings, 1, h)
	if err != nil {
		fmt.Println(err)
		return
	}
	b.Start(0)
	b.UpdateEndpoints(0, balancer.ListCached, []balancer.Endpoint{{ID: 7}, {ID: 8}})
	b.ProbeCompleted(1_000, 7, balancer.OK, 500, []float32{2}) // endpoint 7 has two requests in flight,
	b.ProbeCompleted(1_000, 8, balancer.OK, 500, []float32{0}) // endpoint 8 none

	b.Request(2_000, balancer.Request{ID: 1, Deadline: 802_000})
	b.Outcome(3_000, balancer.Outcome{ID: 1, Endpoint: 8, Status: balancer.Error, Latency: 1_000})
	b.Outcome(40_000, balancer.Outcome{ID: 1, Attempt: 1, Endpoint: 7, Status: balancer.OK, Latency: 37_000,
		Answered: true})

	b.UpdateEndpoints(50_000, balancer.ListDelta, []balancer.Endpoint{{ID: 7, State: balancer.Removed},
		{ID: 8, State: balancer.Draining}})
	b.Request(60_000, balancer.Request{ID: 2, Deadline: 860_000})
	// Output:
	// send request 1 to endpoint 8
	// send request 1 to endpoint 7
	// reject request 2
}
