package tasklab

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"birchmoor/internal/lab/fleetlab"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"

	"github.com/anishathalye/porcupine"
)

// While faults are injected, clients write and read registers at all daemons through the operators' sockets. Package
// porcupine checks that the history of all operations is linearizable. A write is sent again with the same request id
// until it is answered, so only the end of the run leaves writes open.
const (
	registerCount            = 3
	clientsPerRegister       = 4
	maxOperationsPerRegister = 600
	operationInterval        = 30 * time.Millisecond // mean time between two attempts of a client
	operationTimeout         = 2 * time.Second
)

// operation is the input of a read or write of a register.
type operation struct {
	register int
	write    string // value to write; empty: a read
}

// registerModel models each register as an atomic one.
var registerModel = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, registerCount)
		for _, o := range all {
			n := o.Input.(operation).register
			parts[n] = append(parts[n], o)
		}
		return parts
	},
	Init: func() any { return "" },
	Step: func(state, in, out any) (bool, any) {
		if w := in.(operation).write; w != "" {
			return true, w
		}
		return out == state, state
	},
}

// history runs the clients of the registers and records their operations.
type history struct {
	fleet     *fleetlab.Fleet
	startedAt time.Time
	seed      uint64
	seq       atomic.Uint64
	wg        sync.WaitGroup
	stop      context.CancelFunc

	mu         sync.Mutex
	operations []porcupine.Operation
}

// startHistory starts the clients, which run until check is called.
func startHistory(ctx context.Context, f *fleetlab.Fleet, seed uint64) *history {
	h := &history{fleet: f, startedAt: time.Now(), seed: seed}
	ctx, h.stop = context.WithCancel(ctx)
	for i := range registerCount * clientsPerRegister {
		h.wg.Go(func() { h.runClient(ctx, i) })
	}
	return h
}

// runClient runs the nth client.
func (h *history) runClient(ctx context.Context, number int) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(number)))
	key := fmt.Sprintf("bench/%d", number%registerCount)
	for count := 0; ctx.Err() == nil && count < maxOperationsPerRegister/clientsPerRegister; count++ {
		o := operation{register: number % registerCount}
		if rng.IntN(2) == 0 {
			o.write = fmt.Sprintf("%d.%d", number, count)
		}
		id := store.RequestID{Client: 1<<42 + uint64(number), Seq: h.seq.Add(1)}
		calledAt, out, known := time.Since(h.startedAt), "", false
		for !known && ctx.Err() == nil {
			d := h.fleet.Daemons[rng.IntN(len(h.fleet.Daemons))]
			out, known = h.attempt(ctx, d, id, key, o.write)
			if !known && o.write == "" {
				calledAt = time.Since(h.startedAt) // the next attempt of a read is a new read
			}
			pause(ctx, operationInterval/2+time.Duration(rng.Int64N(int64(operationInterval))))
		}
		returnedAt := time.Since(h.startedAt)
		if !known {
			if o.write == "" {
				return
			}
			returnedAt = 1 << 62 // the write may be applied at any later time
		}
		h.mu.Lock()
		h.operations = append(h.operations, porcupine.Operation{ClientId: number, Input: o, Output: out,
			Call: int64(calledAt), Return: int64(returnedAt)})
		h.mu.Unlock()
	}
}

// pause waits until the time has passed or the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// attempt makes an attempt of an operation at one daemon; known is false if its outcome is unknown.
func (h *history) attempt(ctx context.Context, d *fleetlab.Daemon, id store.RequestID,
	key, write string) (value string, known bool) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	if write != "" {
		if d.Follower() { // operators cannot change arbitrary keys at a follower
			return "", false
		}
		_, err := d.Client.Change(ctx, admin.ChangeRequest{ID: id, Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(write)}}}})
		return "", err == nil
	}
	response, err := d.Client.Range(ctx, url.Values{"key": {key}})
	if err != nil {
		return "", false
	}
	if len(response.Items) == 1 {
		value = string(response.Items[0].Value)
	}
	return value, true
}

// check stops the clients, and returns the number of operations and the violations among them.
func (h *history) check() (n int, broken []string) {
	h.stop()
	h.wg.Wait()
	switch porcupine.CheckOperationsTimeout(registerModel, h.operations, 30*time.Second) {
	case porcupine.Illegal:
		broken = append(broken, fmt.Sprintf("not linearizable: %d operations on %d registers", len(h.operations),
			registerCount))
	case porcupine.Unknown:
		broken = append(broken, fmt.Sprintf("not judged: the history of %d operations is too hard", len(h.operations)))
	}
	return len(h.operations), broken
}
