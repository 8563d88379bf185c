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

// Registers are written and read at all daemons, through operators' sockets, while blows come; whether the history of all is one that a
// single copy could have given is decided by porcupine. A write is asked again, under its own number, until it is answered, so that
// none is left open but by the end of the run.
const (
	registers     = 3
	historyOf     = 4 // clients of each register
	historyMost   = 600
	historyEvery  = 30 * time.Millisecond
	historyAnswer = 2 * time.Second
)

type operation struct {
	register int
	write    string // or a read
}

// register is one as a single copy has it.
var register = porcupine.Model{
	Partition: func(all []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, registers)
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

// history is what clients of the store asked and were answered.
type history struct {
	fleet *fleetlab.Fleet
	begun time.Time
	seed  uint64
	seq   atomic.Uint64
	wg    sync.WaitGroup
	stop  context.CancelFunc

	mu  sync.Mutex
	all []porcupine.Operation
}

func beginHistory(ctx context.Context, f *fleetlab.Fleet, seed uint64) *history {
	h := &history{fleet: f, begun: time.Now(), seed: seed}
	ctx, h.stop = context.WithCancel(ctx)
	for i := range registers * historyOf {
		h.wg.Go(func() { h.client(ctx, i) })
	}
	return h
}

func (h *history) client(ctx context.Context, n int) {
	rng := rand.New(rand.NewPCG(h.seed, uint64(n)))
	key := fmt.Sprintf("bench/%d", n%registers)
	for count := 0; ctx.Err() == nil && count < historyMost/historyOf; count++ {
		o := operation{register: n % registers}
		if rng.IntN(2) == 0 {
			o.write = fmt.Sprintf("%d.%d", n, count)
		}
		id := store.RequestID{Client: 1<<42 + uint64(n), Seq: h.seq.Add(1)}
		call, out, done := time.Since(h.begun), "", false
		for !done && ctx.Err() == nil {
			d := h.fleet.Daemons[rng.IntN(len(h.fleet.Daemons))]
			out, done = h.ask(ctx, d, id, key, o.write)
			if !done && o.write == "" {
				call = time.Since(h.begun) // a read that was not answered is another read
			}
			pause(ctx, historyEvery/2+time.Duration(rng.Int64N(int64(historyEvery))))
		}
		back := time.Since(h.begun)
		if !done {
			if o.write == "" {
				return
			}
			back = 1 << 62 // it may be done at any time
		}
		h.mu.Lock()
		h.all = append(h.all, porcupine.Operation{ClientId: n, Input: o, Output: out, Call: int64(call), Return: int64(back)})
		h.mu.Unlock()
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// ask asks one daemon once.
func (h *history) ask(ctx context.Context, d *fleetlab.Daemon, id store.RequestID, key, write string) (out string, done bool) {
	ctx, cancel := context.WithTimeout(ctx, historyAnswer)
	defer cancel()
	if write != "" {
		if d.Follower() { // its operators may change nothing but by its own parts
			return "", false
		}
		_, err := d.Client.Change(ctx, admin.ChangeRequest{ID: id, Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(write)}}}})
		return "", err == nil
	}
	i, err := d.Client.Range(ctx, url.Values{"key": {key}})
	if err != nil {
		return "", false
	}
	if len(i.Items) == 1 {
		out = string(i.Items[0].Value)
	}
	return out, true
}

// judge ends the clients, and says what was broken, of how many operations.
func (h *history) judge() (n int, broken []string) {
	h.stop()
	h.wg.Wait()
	switch porcupine.CheckOperationsTimeout(register, h.all, 30*time.Second) {
	case porcupine.Illegal:
		broken = append(broken, fmt.Sprintf("not linearizable: %d operations on %d registers", len(h.all), registers))
	case porcupine.Unknown:
		broken = append(broken, fmt.Sprintf("not judged: the history of %d operations is too hard", len(h.all)))
	}
	return len(h.all), broken
}
