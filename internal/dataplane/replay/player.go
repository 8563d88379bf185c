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

// player is the state of a replay. It is for one goroutine.
type player struct {
	options  Options
	report   Report
	digest   *xxhash.Digest
	balancer *balancer.Balancer // the module; nil from a gap or an unreadable record until the next snapshot
	names    map[uint32]string  // names of endpoints by ID, in the current segment

	event         capture.Record   // the latest event
	replayed      []capture.Record // the module's actions on event
	recorded      []capture.Record // the recorded actions on event
	complete      bool             // no record is missing since the latest snapshot
	runID         uint64           // of the process that recorded the current segment
	ignoreActions bool             // actions are not collected: they respond to the settings of this replay

	explainedOpen bool               // the request to explain is open
	stateBefore   *balancer.Snapshot // the module's state before event; nil unless a decision may have to be explained

	startedAt    time.Time       // when the first event was played, if the replay is paced
	firstEventAt balancer.Micros // recorded instant of that event
	nextSampleAt balancer.Micros // no sample is taken before this instant
}

// playRecord plays one record: it collects a recorded action, compares the actions on the previous event before any
// other record, resumes from a snapshot, and passes an event to the module.
func (p *player) playRecord(rec *capture.Record) error {
	if rec.Kind.IsAction() {
		if p.balancer != nil {
			p.recorded = append(p.recorded, *rec)
		}
		return nil
	}
	p.compareActions()
	if p.options.To > 0 && rec.At > p.options.To {
		return errEndOfRange
	}
	switch rec.Kind {
	case capture.KindGap:
		p.report.Gaps++
		p.report.Lost += rec.Count
		p.balancer = nil
		p.complete = false
		return nil
	case capture.KindSnapshot:
		return p.resume(rec)
	}
	if p.balancer == nil {
		return nil
	}
	p.pace(rec.At)
	p.event = *rec
	p.countEvent(rec.At)
	p.keepStateBefore(rec)
	return p.feed(rec)
}

// countEvent counts an event in the report, and takes a sample if one is due. It ignores events before the range.
func (p *player) countEvent(now balancer.Micros) {
	if !p.inRange(now) {
		return
	}
	p.report.Inputs++
	if p.report.From == 0 {
		p.report.From = now
	}
	p.report.To = now
	if p.options.Sample != nil && now >= p.nextSampleAt {
		p.options.Sample(now, p.balancer, p.endpointID)
		p.nextSampleAt = now + max(1, p.options.SampleInterval)
	}
}

func (p *player) inRange(at balancer.Micros) bool { return at >= p.options.From }

// resume replaces the module by one with the state of a recorded snapshot. If no record is missing between the previous
// segment and this one, the replayed module must have the same state; otherwise a difference is reported.
func (p *player) resume(rec *capture.Record) error {
	var saved snapshot.Saved
	if err := snapshot.Unmarshal(rec.Blob, &saved); err != nil || saved.State == nil {
		p.balancer = nil
		p.addFault("decoding the snapshot at %d: %v", rec.At, err)
		return nil
	}
	if p.balancer != nil && p.complete && rec.Flag && saved.RunID == p.runID && p.options.Settings == nil {
		if err := p.compareState(rec.At, saved.State); err != nil {
			return err
		}
	}
	resumed, err := balancer.Resume(saved.State, actions{p})
	if err != nil {
		p.balancer = nil
		p.addFault("resuming from the snapshot at %d: %v", rec.At, err)
		return nil
	}
	p.balancer = resumed
	p.complete = true
	p.runID = saved.RunID
	p.report.Segments++
	clear(p.names)
	for i, e := range saved.State.Endpoints {
		if i < len(saved.Names) {
			p.names[e.ID] = saved.Names[i]
		}
	}
	return p.applySettings()
}

// compareState compares the module's state with that of a recorded snapshot, and reports a difference.
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

// applySettings reloads the module with the settings of this replay, if there are any. Its actions on that are ignored.
func (p *player) applySettings() error {
	if p.options.Settings == nil {
		return nil
	}
	p.ignoreActions = true
	defer func() { p.ignoreActions = false }()
	_, err := p.balancer.Reload(*p.options.Settings)
	return err
}

// compareActions compares the module's actions on the latest event with the recorded ones, and logs and explains them.
// It is called once all recorded actions on the event have been read.
func (p *player) compareActions() {
	defer func() {
		p.replayed = p.replayed[:0]
		p.recorded = p.recorded[:0]
		p.stateBefore = nil
	}()
	if p.balancer == nil || !p.inRange(p.event.At) {
		return
	}
	equal := func(recorded, replayed capture.Record) bool { return bytes.Equal(recorded.Bytes(), replayed.Bytes()) }
	if !slices.EqualFunc(p.replayed, p.recorded, equal) {
		p.addDifference(p.event.At, p.event.String(), p.lines(p.recorded), p.lines(p.replayed))
	}
	for i := range p.replayed {
		p.report.Decisions++
		line := fmt.Sprintf("%d %s\n", p.event.At, p.replayed[i].String())
		_, _ = p.digest.WriteString(line) // a digest never returns an error
		if p.options.Log != nil {
			_, _ = io.WriteString(p.options.Log, line) // a reader of the log sees that it is truncated
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

// lines describes records in a line each, followed by the endpoint's name if it is known.
func (p *player) lines(records []capture.Record) []string {
	lines := make([]string, len(records))
	for i := range records {
		lines[i] = records[i].String()
		if e := records[i].Endpoint; p.names[e] != "" {
			lines[i] += " (" + p.names[e] + ")"
		}
	}
	return lines
}

// endpointID returns the ID of a named endpoint in the current segment, and whether it is known.
func (p *player) endpointID(name string) (uint32, bool) {
	for id, n := range p.names {
		if n == name {
			return id, true
		}
	}
	return 0, false
}

// pace sleeps until as much time has passed since the first event as between the recorded events, if the replay is
// paced.
func (p *player) pace(at balancer.Micros) {
	if !p.options.Pace {
		return
	}
	if p.startedAt.IsZero() {
		p.startedAt = time.Now()
		p.firstEventAt = at
	}
	time.Sleep(time.Duration(at-p.firstEventAt)*time.Microsecond - time.Since(p.startedAt))
}
