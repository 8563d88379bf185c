// Command simadapter runs balancers for the simulator: it reads batches of events from standard input, and for each
// batch writes a reply with the balancers' actions to standard output.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"runtime/debug"

	"birchmoor/balancer"
	"birchmoor/internal/platform/wire"
)

// gcPercent is higher than Go's default because the steady state allocates nothing.
const gcPercent = 400

func main() {
	debug.SetGCPercent(gcPercent)
	if err := run(bufio.NewReaderSize(os.Stdin, 1<<18), os.Stdout, os.Stderr); err != nil {
		fmt.Fprintln(os.Stderr, "simadapter:", err)
		os.Exit(1)
	}
}

// host runs the instances of the process. They share only its decoder and its reply.
type host struct {
	decoder       wire.Decoder
	reply         wire.Reply
	instances     map[uint32]*instance // by the simulator's number
	reportedCodes [256]bool            // unknown event codes that were reported
	stderr        io.Writer
}

// instance is one balancer with its number. It is the balancer's balancer.Actions.
type instance struct {
	*host
	number   uint32
	balancer *balancer.Balancer // nil after a stop, invalid settings or a panic
}

// run answers batches until the input ends. It returns an error if a batch is malformed or the reply cannot be written.
func run(in io.Reader, out, stderr io.Writer) error {
	h := &host{instances: map[uint32]*instance{}, stderr: stderr}
	var frame []byte
	for {
		grown, err := wire.ReadFrame(in, frame)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		frame = grown
		if err := h.handleBatch(frame); err != nil {
			return err
		}
		if _, err := out.Write(h.reply.Bytes()); err != nil {
			return fmt.Errorf("standard output: %w", err)
		}
	}
}

// handleBatch passes the events of a frame to their instances and builds the reply. An event with an unknown code is
// skipped, and reported once per code.
func (h *host) handleBatch(frame []byte) error {
	batchNumber, now, err := h.decoder.Reset(frame)
	if err != nil {
		return err
	}
	h.reply.Reset(batchNumber)
	var e wire.Event
	var current uint32
	instanceSelected := false
	for {
		err := h.decoder.Next(&e)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		switch e.Code {
		case wire.EventEndpointList:
			continue
		case wire.EventSelectInstance:
			current = e.Instance
			instanceSelected = true
			h.reply.SelectInstance(current)
			continue
		}
		if e.Code < wire.EventStart || e.Code > wire.EventSelectInstance {
			if !h.reportedCodes[e.Code] {
				h.reportedCodes[e.Code] = true
				fmt.Fprintf(h.stderr, "simadapter: %v at byte %d: unknown code, skipped\n", e.Code, e.Offset)
			}
			continue
		}
		if !instanceSelected {
			return &wire.FrameError{Record: e.Code.String(), Offset: e.Offset, Reason: "comes before any instance"}
		}
		i := h.instances[current]
		if i == nil {
			if e.Code != wire.EventStart {
				return &wire.FrameError{Record: e.Code.String(), Offset: e.Offset,
					Reason: fmt.Sprintf("instance %d has not begun", current)}
			}
			i = &instance{host: h, number: current}
			h.instances[current] = i
		}
		i.handle(now, &e)
	}
}

// handle passes an event to the balancer. A panic is reported to the simulator and ends the balancer. Events without a
// running balancer are ignored.
func (i *instance) handle(now balancer.Micros, e *wire.Event) {
	defer func() {
		if p := recover(); p != nil {
			i.balancer = nil
			i.reply.ReportError(fmt.Sprintf("panic in %v: %v", e.Code, p))
		}
	}()
	switch e.Code {
	case wire.EventStart:
		i.start(now, e)
		return
	case wire.EventStop:
		i.balancer = nil
	}
	b := i.balancer
	if b == nil {
		return
	}
	switch e.Code {
	case wire.EventEndpointUpdate:
		b.UpdateEndpoints(now, e.Kind, e.Entries)
	case wire.EventRequest:
		b.Request(now, e.Request)
	case wire.EventResponseStarted:
		b.ResponseStarted(now, e.Outcome.ID, e.Outcome.Attempt, e.Outcome.Latency)
	case wire.EventOutcome:
		b.Outcome(now, e.Outcome)
	case wire.EventClientDisconnected:
		b.ClientDisconnected(now, e.Outcome.ID)
	case wire.EventTimer:
		b.Timer(now, e.Token)
	case wire.EventProbeResult:
		b.ProbeCompleted(now, e.Endpoint, e.Status, e.Latency, e.Load)
	}
}

// start creates and starts the balancer of an instance. It reports invalid settings to the simulator.
func (i *instance) start(now balancer.Micros, e *wire.Event) {
	i.balancer = nil
	s, err := wire.ParseSettings(e.Config)
	if err == nil {
		i.balancer, err = balancer.New(s, e.Seed, i)
	}
	if err != nil {
		i.reply.ReportError(err.Error())
		return
	}
	i.balancer.Start(now)
}

// Send implements balancer.Actions.
func (i *instance) Send(id uint64, endpoint uint32, timeout balancer.Micros) {
	i.reply.Send(id, endpoint, timeout)
}

// Reject implements balancer.Actions.
func (i *instance) Reject(id uint64, retryAfter balancer.Micros) { i.reply.Reject(id, retryAfter) }

// Fail implements balancer.Actions.
func (i *instance) Fail(id uint64) { i.reply.Fail(id) }

// Cancel implements balancer.Actions.
func (i *instance) Cancel(id uint64, attempt int) { i.reply.Cancel(id, attempt) }

// Timer implements balancer.Actions.
func (i *instance) Timer(delay balancer.Micros, token uint32) { i.reply.SetTimer(delay, token) }

// Probe implements balancer.Actions.
func (i *instance) Probe(endpoint uint32) { i.reply.Probe(endpoint) }

// Watch implements balancer.Actions.
func (i *instance) Watch(enabled bool) { i.reply.Watch(enabled) }

// Log implements balancer.Actions.
func (i *instance) Log(line string) { i.reply.Log(line) }
