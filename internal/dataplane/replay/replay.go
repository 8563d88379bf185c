// Package replay plays captures again: it feeds a decision module what was told to one, and holds its answers
// against those recorded. The module, given the same, must answer the same, byte for byte.
package replay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cespare/xxhash/v2"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/platform/snapshot"
)

// Options say what to play, and what to look at.
type Options struct {
	From, To       balancer.Micros    // what is counted and shown; 0 for from the beginning, and to the end
	Pace           bool               // as fast as it happened, not as fast as it can
	Settings       *balancer.Settings // told to the module at each snapshot and reload, in place of the recorded ones
	Log            io.Writer          // of decisions, a line each; nil for none
	Explain        uint64             // a request
	Sample         func(now balancer.Micros, b *balancer.Balancer, number func(name string) (uint32, bool))
	SampleInterval balancer.Micros // between two samples
}

// Report is what a replay found.
type Report struct {
	From         balancer.Micros `json:"from_us"`
	To           balancer.Micros `json:"to_us"`
	Segments     int             `json:"segments"`
	Inputs       int             `json:"inputs"`
	Decisions    int             `json:"decisions"`
	Digest       string          `json:"digest"` // of the decisions, xxHash64
	Gaps         int             `json:"gaps"`
	Lost         uint64          `json:"lost"` // records in the gaps
	Differences  int             `json:"differences"`
	First        *Difference     `json:"first,omitempty"`
	Faults       []string        `json:"faults,omitempty"` // what was not readable
	Explanations []Explanation   `json:"explain,omitempty"`
}

// Difference is where the module did not answer as recorded.
type Difference struct {
	At       balancer.Micros `json:"at_us"`
	Input    string          `json:"input"`
	Recorded []string        `json:"recorded"`
	Replayed []string        `json:"replayed"`
}

// Explanation is a moment at which a request was decided upon.
type Explanation struct {
	At         balancer.Micros  `json:"at_us"`
	Input      string           `json:"input"`
	Decisions  []string         `json:"decisions"`
	Candidates []NamedCandidate `json:"candidates"`
}

// NamedCandidate is a candidate with its server's name.
type NamedCandidate struct {
	Server string `json:"server"`
	balancer.Candidate
}

const maxExplanations = 64

// player holds a replay.
type player struct {
	options  Options
	report   Report
	digest   *xxhash.Digest
	balancer *balancer.Balancer
	names    map[uint32]string

	input           capture.Record // the latest
	replayed        []capture.Record
	recorded        []capture.Record
	stateBefore     *balancer.Snapshot // the state that the latest input met, if the request to explain is open
	explainedIsOpen bool               // that request is
	complete        bool               // nothing is missing since the latest snapshot
	runID           uint64             // the process that recorded it
	muted           bool               // what the module answers to our own settings does not count

	startedAt    time.Time
	origin       balancer.Micros
	nextSampleAt balancer.Micros
}

// Files plays the files of a capture, in their order. What is not readable is in the report, and ends its file.
// The error is for what keeps the replay from being one at all.
func Files(ctx context.Context, paths []string, o Options) (*Report, error) {
	p := &player{options: o, digest: xxhash.New(), names: map[uint32]string{}}
	start, err := lastSnapshotBefore(paths, o.From)
	if err != nil {
		return nil, err
	}
	seen := 0
	for _, path := range paths {
		over, err := p.playFile(ctx, path, func(x *capture.Record) bool {
			if x.Kind == capture.KindSnapshot {
				seen++
			}
			return seen >= start // what stands before the last snapshot is not needed
		})
		if err != nil {
			return nil, err
		}
		if over {
			break
		}
	}
	p.compareActions()
	p.report.Digest = fmt.Sprintf("%016x", p.digest.Sum64())
	if p.report.Segments == 0 && len(p.report.Faults) == 0 {
		return nil, errors.New("replay: nothing is recorded there")
	}
	return &p.report, nil
}

// lastSnapshotBefore returns the number, from 1, of the last snapshot before an instant; 0 to play all.
func lastSnapshotBefore(paths []string, from balancer.Micros) (int, error) {
	seen, last := 0, 0
	if from == 0 {
		return 0, nil
	}
	for _, path := range paths {
		err := forEachRecord(path, func(x *capture.Record) error {
			if x.Kind == capture.KindSnapshot {
				if seen++; x.At <= from {
					last = seen
				}
			}
			return nil
		})
		if bad := (*capture.Error)(nil); err != nil && !errors.As(err, &bad) {
			return 0, err
		}
	}
	return last, nil
}

func forEachRecord(path string, do func(*capture.Record) error) error {
	f, err := os.Open(path)
	if err != nil {
		return fmt.Errorf("replay: %w", err)
	}
	defer f.Close()
	in, err := capture.NewReader(f)
	for err == nil {
		var x capture.Record
		if x, err = in.Next(); err == nil {
			err = do(&x)
		}
	}
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

var errEndOfRange = errors.New("over")

// playFile plays one file, and says whether the end of what is to be played was reached.
func (p *player) playFile(ctx context.Context, path string, wanted func(*capture.Record) bool) (over bool, err error) {
	err = forEachRecord(path, func(x *capture.Record) error {
		if !wanted(x) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		return p.record(x)
	})
	if errors.Is(err, errEndOfRange) {
		return true, nil
	}
	if bad := (*capture.Error)(nil); errors.As(err, &bad) {
		p.compareActions()
		p.balancer, p.complete = nil, false // what follows does not follow from what was read
		p.report.Faults = append(p.report.Faults, path+": "+err.Error())
		return false, nil
	}
	return false, err
}

// record takes one record.
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
		p.balancer, p.complete = nil, false
		return nil
	case capture.KindSnapshot:
		return p.resume(x)
	}
	if p.balancer == nil {
		return nil // of a segment whose beginning was not readable
	}
	p.pace(x.At)
	p.input = *x
	if p.inRange(x.At) {
		p.report.Inputs++
		if p.report.From == 0 {
			p.report.From = x.At
		}
		p.report.To = x.At
		if p.options.Sample != nil && x.At >= p.nextSampleAt {
			p.options.Sample(x.At, p.balancer, p.endpointID)
			p.nextSampleAt = x.At + max(1, p.options.SampleInterval)
		}
	}
	p.keepStateBefore(x)
	return p.feed(x)
}

func (p *player) inRange(at balancer.Micros) bool { return at >= p.options.From }

// resume goes on from a snapshot. What was played up to it must have come to the same state.
func (p *player) resume(x *capture.Record) error {
	var k snapshot.Saved
	if err := snapshot.Unmarshal(x.Blob, &k); err != nil || k.State == nil {
		p.balancer = nil
		p.report.Faults = append(p.report.Faults, fmt.Sprintf("the snapshot at %d is not readable: %v", x.At, err))
		return nil
	}
	if p.balancer != nil && p.complete && x.Flag && k.RunID == p.runID && p.options.Settings == nil {
		mine, err := snapshot.Marshal(p.balancer.Snapshot(x.At, true))
		if err != nil {
			return err
		}
		theirs, err := snapshot.Marshal(k.State)
		if err != nil {
			return err
		}
		if !bytes.Equal(mine, theirs) {
			p.addDifference(x.At, "the state at a snapshot", []string{fmt.Sprintf("%08x", snapshot.Checksum(theirs))},
				[]string{fmt.Sprintf("%08x", snapshot.Checksum(mine))})
		}
	}
	b, err := balancer.Resume(k.State, actions{p})
	if err != nil {
		p.balancer = nil
		p.report.Faults = append(p.report.Faults, fmt.Sprintf("at %d: %v", x.At, err))
		return nil
	}
	p.balancer, p.complete, p.runID = b, true, k.RunID
	p.report.Segments++
	clear(p.names)
	for i, e := range k.State.Endpoints {
		if i < len(k.Names) {
			p.names[e.ID] = k.Names[i]
		}
	}
	return p.applySettings()
}

// applySettings tells the module the settings that it is to be tried with.
func (p *player) applySettings() error {
	if p.options.Settings == nil {
		return nil
	}
	p.muted = true
	defer func() { p.muted = false }()
	_, err := p.balancer.Reload(*p.options.Settings)
	return err
}

// feed tells the module what was told.
func (p *player) feed(x *capture.Record) error {
	b, at := p.balancer, x.At
	switch x.Kind {
	case capture.KindUpdateEndpoints:
		for i, e := range x.Entries {
			if x.Names[i] != "" {
				p.names[e.ID] = x.Names[i]
			}
		}
		b.UpdateEndpoints(at, x.List, x.Entries)
	case capture.KindRequest:
		in := x.Request
		if x.Rules != nil && p.options.Settings == nil {
			var s balancer.RulesState
			if err := snapshot.Unmarshal(x.Rules, &s); err != nil {
				return fmt.Errorf("replay: rules of request %d: %w", in.ID, err)
			}
			var err error
			if in.Rules, err = b.RestoreRules(s); err != nil {
				return fmt.Errorf("replay: rules of request %d: %w", in.ID, err)
			}
		}
		b.Request(at, in)
	case capture.KindResponseStarted:
		b.ResponseStarted(at, x.ID, x.Attempt, x.Time)
	case capture.KindUploadComplete:
		b.UploadComplete(at, x.ID, at+x.Time)
	case capture.KindOutcome:
		b.Outcome(at, balancer.Outcome{ID: x.ID, Attempt: x.Attempt, Endpoint: x.Endpoint, Status: x.Status, Latency: x.Time,
			Answered: x.Flag, NotReplayable: x.NotReplayable, Load: x.Load})
	case capture.KindClientDisconnected:
		b.ClientDisconnected(at, x.ID)
	case capture.KindTimer:
		b.Timer(at, x.Token)
	case capture.KindProbeCompleted:
		b.ProbeCompleted(at, x.Endpoint, x.Status, x.Time, x.Load)
	case capture.KindDrainEndpoint:
		b.DrainEndpoint(x.Endpoint, at-x.Time)
	case capture.KindUndrainEndpoint:
		b.UndrainEndpoint(at, x.Endpoint, at-x.Time)
	case capture.KindSetCapacityShare:
		b.SetCapacityShare(x.Part)
	case capture.KindPeerEjected:
		b.PeerEjected(at, x.Endpoint, x.Time)
	case capture.KindReload:
		if p.options.Settings != nil {
			return nil // it would take back those that are tried
		}
		var s balancer.Settings
		if err := snapshot.Unmarshal(x.Blob, &s); err != nil {
			return fmt.Errorf("replay: settings of a reload: %w", err)
		}
		b.Reload(s) // those that it turned down it turns down again
	case capture.KindRestore:
		var s balancer.Snapshot
		if err := snapshot.Unmarshal(x.Blob, &s); err != nil {
			return fmt.Errorf("replay: a recalled snapshot: %w", err)
		}
		b.Restore(at, &s, x.Time)
	}
	return nil
}

// compareActions holds the answers to the latest input against those recorded.
func (p *player) compareActions() {
	defer func() { p.replayed, p.recorded, p.stateBefore = p.replayed[:0], p.recorded[:0], nil }()
	if p.balancer == nil || !p.inRange(p.input.At) {
		return
	}
	same := len(p.replayed) == len(p.recorded)
	for i := 0; same && i < len(p.replayed); i++ {
		same = bytes.Equal(p.replayed[i].Bytes(), p.recorded[i].Bytes())
	}
	if !same {
		p.addDifference(p.input.At, p.input.String(), p.lines(p.recorded), p.lines(p.replayed))
	}
	for i := range p.replayed {
		p.report.Decisions++
		line := fmt.Sprintf("%d %s\n", p.input.At, p.replayed[i].String())
		p.digest.WriteString(line)
		if p.options.Log != nil {
			io.WriteString(p.options.Log, line)
		}
	}
	p.explain()
}

func (p *player) addDifference(at balancer.Micros, input string, recorded, replayed []string) {
	p.report.Differences++
	if p.report.First == nil {
		p.report.First = &Difference{at, input, recorded, replayed}
	}
}

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

// ---- Explaining ---------------------------------------------------------------

// keepStateBefore keeps the state that an input meets, if the request to explain may be decided upon by it.
func (p *player) keepStateBefore(x *capture.Record) {
	p.stateBefore = nil
	if p.options.Explain == 0 || len(p.report.Explanations) >= maxExplanations {
		return
	}
	if x.Kind == capture.KindRequest && x.Request.ID == p.options.Explain {
		p.explainedIsOpen = true
	}
	if p.explainedIsOpen {
		p.stateBefore = p.balancer.Snapshot(x.At, true)
	}
}

// explain tells what was weighed, if the latest input decided upon the request.
func (p *player) explain() {
	if p.stateBefore == nil {
		return
	}
	var mine []string
	for i, x := range p.replayed {
		if x.ID == p.options.Explain && x.Kind != capture.KindSetTimer {
			mine = append(mine, p.lines(p.replayed[i:i+1])...)
			p.explainedIsOpen = p.explainedIsOpen && x.Kind != capture.KindReject && x.Kind != capture.KindFail
		}
	}
	ended := p.input.Kind == capture.KindOutcome && p.input.ID == p.options.Explain && p.input.Flag
	p.explainedIsOpen = p.explainedIsOpen && !ended
	if len(mine) == 0 {
		return
	}
	copied, err := balancer.Resume(p.stateBefore, balancer.NoActions{})
	if err != nil {
		return // it was one a moment ago
	}
	in := balancer.Request{ID: p.options.Explain}
	if p.input.Kind == capture.KindRequest {
		in = p.input.Request
	}
	w := Explanation{At: p.input.At, Input: p.input.String(), Decisions: mine}
	for _, c := range copied.Explain(p.input.At, in) {
		w.Candidates = append(w.Candidates, NamedCandidate{p.names[c.Endpoint], c})
	}
	p.report.Explanations = append(p.report.Explanations, w)
}

func (p *player) endpointID(name string) (uint32, bool) {
	for id, n := range p.names {
		if n == name {
			return id, true
		}
	}
	return 0, false
}

// pace lets as much time pass as did.
func (p *player) pace(at balancer.Micros) {
	if !p.options.Pace {
		return
	}
	if p.startedAt.IsZero() {
		p.startedAt, p.origin = time.Now(), at
	}
	time.Sleep(time.Duration(at-p.origin)*time.Microsecond - time.Since(p.startedAt))
}

// actions takes the module's answers.
type actions struct{ p *player }

func (h actions) record(x capture.Record) {
	if h.p.muted {
		return
	}
	x.At = h.p.input.At
	h.p.replayed = append(h.p.replayed, x)
}

func (h actions) Send(id uint64, e uint32, t balancer.Micros) {
	h.record(capture.Record{Kind: capture.KindSend, ID: id, Endpoint: e, Time: t})
}
func (h actions) Reject(id uint64, t balancer.Micros) {
	h.record(capture.Record{Kind: capture.KindReject, ID: id, Time: t})
}
func (h actions) Fail(id uint64) { h.record(capture.Record{Kind: capture.KindFail, ID: id}) }
func (h actions) Cancel(id uint64, attempt int) {
	h.record(capture.Record{Kind: capture.KindCancel, ID: id, Attempt: attempt})
}
func (h actions) Timer(t balancer.Micros, token uint32) {
	h.record(capture.Record{Kind: capture.KindSetTimer, Time: t, Token: token})
}
func (h actions) Probe(e uint32)  { h.record(capture.Record{Kind: capture.KindProbe, Endpoint: e}) }
func (h actions) Watch(on bool)   { h.record(capture.Record{Kind: capture.KindWatch, Flag: on}) }
func (h actions) Log(line string) { h.record(capture.Record{Kind: capture.KindLog, Line: line}) }
