package replay

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/platform/snapshot"
)

// player is the state of a replay.
type player struct {
	options  Options
	report   Report
	digest   *xxhash.Digest
	balancer *balancer.Balancer // nil where the beginning of a segment could not be read
	names    map[uint32]string  // of endpoints

	input    capture.Record // the latest event
	replayed []capture.Record
	recorded []capture.Record
	complete bool   // nothing is missing since the latest snapshot
	runID    uint64 // of the process that recorded it
	muted    bool   // actions do not count: they answer settings of this replay

	explainedIsOpen bool
	stateBefore     *balancer.Snapshot // that the latest event met, if the request to explain is open

	startedAt    time.Time
	origin       balancer.Micros // instant of the first event, which startedAt is for
	nextSampleAt balancer.Micros
}

// record plays one record.
func (p *player) record(x *capture.Record) error {
	if x.Kind.IsAction() {
		if p.balancer != nil {
			p.recorded = append(p.recorded, *x)
		}
		return nil
	}
	p.compareActions()
	if p.options.To > 0 && x.At > p.options.To {
		return errEndOfRange
	}
	switch x.Kind {
	case capture.KindGap:
		p.report.Gaps++
		p.report.Lost += x.Count
		p.balancer = nil
		p.complete = false
		return nil
	case capture.KindSnapshot:
		return p.resume(x)
	}
	if p.balancer == nil {
		return nil
	}
	p.pace(x.At)
	p.input = *x
	p.countEvent(x.At)
	p.keepStateBefore(x)
	return p.feed(x)
}

// countEvent counts an event and takes a sample, if it is in the range.
func (p *player) countEvent(at balancer.Micros) {
	if !p.inRange(at) {
		return
	}
	p.report.Inputs++
	if p.report.From == 0 {
		p.report.From = at
	}
	p.report.To = at
	if p.options.Sample != nil && at >= p.nextSampleAt {
		p.options.Sample(at, p.balancer, p.endpointID)
		p.nextSampleAt = at + max(1, p.options.SampleInterval)
	}
}

func (p *player) inRange(at balancer.Micros) bool { return at >= p.options.From }

// resume continues from a snapshot. What was played before must have led to the same state.
func (p *player) resume(x *capture.Record) error {
	var k snapshot.Saved
	if err := snapshot.Unmarshal(x.Blob, &k); err != nil || k.State == nil {
		p.balancer = nil
		p.addFault("the snapshot at %d is not readable: %v", x.At, err)
		return nil
	}
	if p.balancer != nil && p.complete && x.Flag && k.RunID == p.runID && p.options.Settings == nil {
		if err := p.compareState(x.At, k.State); err != nil {
			return err
		}
	}
	b, err := balancer.Resume(k.State, actions{p})
	if err != nil {
		p.balancer = nil
		p.addFault("at %d: %v", x.At, err)
		return nil
	}
	p.balancer = b
	p.complete = true
	p.runID = k.RunID
	p.report.Segments++
	clear(p.names)
	for i, e := range k.State.Endpoints {
		if i < len(k.Names) {
			p.names[e.ID] = k.Names[i]
		}
	}
	return p.applySettings()
}

// compareState compares the module's state with a recorded one.
func (p *player) compareState(at balancer.Micros, state *balancer.Snapshot) error {
	replayed, err := snapshot.Marshal(p.balancer.Snapshot(at, true))
	if err != nil {
		return err
	}
	recorded, err := snapshot.Marshal(state)
	if err != nil {
		return err
	}
	if !bytes.Equal(replayed, recorded) {
		p.addDifference(at, "the state at a snapshot",
			[]string{fmt.Sprintf("%08x", snapshot.Checksum(recorded))},
			[]string{fmt.Sprintf("%08x", snapshot.Checksum(replayed))})
	}
	return nil
}

func (p *player) addFault(format string, args ...any) {
	p.report.Faults = append(p.report.Faults, fmt.Sprintf(format, args...))
}

// applySettings gives the module the settings of this replay, if there are any.
func (p *player) applySettings() error {
	if p.options.Settings == nil {
		return nil
	}
	p.muted = true
	defer func() { p.muted = false }()
	_, err := p.balancer.Reload(*p.options.Settings)
	return err
}

// compareActions compares the actions on the latest event with the recorded ones.
func (p *player) compareActions() {
	defer func() {
		p.replayed = p.replayed[:0]
		p.recorded = p.recorded[:0]
		p.stateBefore = nil
	}()
	if p.balancer == nil || !p.inRange(p.input.At) {
		return
	}
	equal := func(x, y capture.Record) bool { return bytes.Equal(x.Bytes(), y.Bytes()) }
	if !slices.EqualFunc(p.replayed, p.recorded, equal) {
		p.addDifference(p.input.At, p.input.String(), p.lines(p.recorded), p.lines(p.replayed))
	}
	for i := range p.replayed {
		p.report.Decisions++
		line := fmt.Sprintf("%d %s\n", p.input.At, p.replayed[i].String())
		_, _ = p.digest.WriteString(line) // it never fails
		if p.options.Log != nil {
			_, _ = io.WriteString(p.options.Log, line) // the log is for the reader, who sees that it ends
		}
	}
	p.explain()
}

func (p *player) addDifference(at balancer.Micros, input string, recorded, replayed []string) {
	p.report.Differences++
	if p.report.First == nil {
		p.report.First = &Difference{At: at, Input: input, Recorded: recorded, Replayed: replayed}
	}
}

// lines returns records as lines, with the names of endpoints.
func (p *player) lines(list []capture.Record) []string {
	out := make([]string, len(list))
	for i := range list {
		out[i] = list[i].String()
		if e := list[i].Endpoint; p.names[e] != "" {
			out[i] += " (" + p.names[e] + ")"
		}
	}
	return out
}

// endpointID returns the number of a named endpoint in the current segment.
func (p *player) endpointID(name string) (uint32, bool) {
	for id, n := range p.names {
		if n == name {
			return id, true
		}
	}
	return 0, false
}

// pace sleeps until as much time has passed as between the recorded events.
func (p *player) pace(at balancer.Micros) {
	if !p.options.Pace {
		return
	}
	if p.startedAt.IsZero() {
		p.startedAt = time.Now()
		p.origin = at
	}
	time.Sleep(time.Duration(at-p.origin)*time.Microsecond - time.Since(p.startedAt))
}
