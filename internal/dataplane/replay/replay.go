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
	From, To balancer.Micros    // what is counted and shown; 0 for from the beginning, and to the end
	Pace     bool               // as fast as it happened, not as fast as it can
	Settings *balancer.Settings // told to the module at each snapshot and reload, in place of the recorded ones
	Log      io.Writer          // of decisions, a line each; nil for none
	Explain  uint64             // a request
	Sample   func(now balancer.Micros, b *balancer.Balancer, number func(name string) (uint32, bool))
	Every    balancer.Micros // between two samples
}

// Report is what a replay found.
type Report struct {
	From        balancer.Micros `json:"from_us"`
	To          balancer.Micros `json:"to_us"`
	Segments    int             `json:"segments"`
	Inputs      int             `json:"inputs"`
	Decisions   int             `json:"decisions"`
	Digest      string          `json:"digest"` // of the decisions, xxHash64
	Gaps        int             `json:"gaps"`
	Lost        uint64          `json:"lost"` // records in the gaps
	Differences int             `json:"differences"`
	First       *Difference     `json:"first,omitempty"`
	Faults      []string        `json:"faults,omitempty"` // what was not readable
	Weighed     []Weighed       `json:"explain,omitempty"`
}

// Difference is where the module did not answer as recorded.
type Difference struct {
	At       balancer.Micros `json:"at_us"`
	Input    string          `json:"input"`
	Recorded []string        `json:"recorded"`
	Replayed []string        `json:"replayed"`
}

// Weighed is a moment at which a request was decided upon.
type Weighed struct {
	At         balancer.Micros `json:"at_us"`
	Input      string          `json:"input"`
	Decisions  []string        `json:"decisions"`
	Candidates []Named         `json:"candidates"`
}

// Named is a candidate with its server's name.
type Named struct {
	Server string `json:"server"`
	balancer.Candidate
}

const weighedMost = 64

// player holds a replay.
type player struct {
	o      Options
	r      Report
	digest *xxhash.Digest
	b      *balancer.Balancer
	names  map[uint32]string

	input    capture.Record // the latest
	got      []capture.Record
	expected []capture.Record
	before   *balancer.Snapshot // the state that the latest input met, if the request to explain is open
	open     bool               // that request is
	whole    bool               // nothing is missing since the latest snapshot
	run      uint64             // the process that recorded it
	muted    bool               // what the module answers to our own settings does not count

	began  time.Time
	origin balancer.Micros
	sample balancer.Micros
}

// Files plays the files of a capture, in their order. What is not readable is in the report, and ends its file.
// The error is for what keeps the replay from being one at all.
func Files(ctx context.Context, paths []string, o Options) (*Report, error) {
	p := &player{o: o, digest: xxhash.New(), names: map[uint32]string{}}
	start, err := lastBefore(paths, o.From)
	if err != nil {
		return nil, err
	}
	seen := 0
	for _, path := range paths {
		over, err := p.file(ctx, path, func(x *capture.Record) bool {
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
	p.settle()
	p.r.Digest = fmt.Sprintf("%016x", p.digest.Sum64())
	if p.r.Segments == 0 && len(p.r.Faults) == 0 {
		return nil, errors.New("replay: nothing is recorded there")
	}
	return &p.r, nil
}

// lastBefore returns the number, from 1, of the last snapshot before an instant; 0 to play all.
func lastBefore(paths []string, from balancer.Micros) (int, error) {
	seen, last := 0, 0
	if from == 0 {
		return 0, nil
	}
	for _, path := range paths {
		err := each(path, func(x *capture.Record) error {
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

func each(path string, do func(*capture.Record) error) error {
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

var errOver = errors.New("over")

// file plays one file, and says whether the end of what is to be played was reached.
func (p *player) file(ctx context.Context, path string, wanted func(*capture.Record) bool) (over bool, err error) {
	err = each(path, func(x *capture.Record) error {
		if !wanted(x) {
			return nil
		}
		if err := ctx.Err(); err != nil {
			return err
		}
		return p.record(x)
	})
	if errors.Is(err, errOver) {
		return true, nil
	}
	if bad := (*capture.Error)(nil); errors.As(err, &bad) {
		p.settle()
		p.b, p.whole = nil, false // what follows does not follow from what was read
		p.r.Faults = append(p.r.Faults, path+": "+err.Error())
		return false, nil
	}
	return false, err
}

// record takes one record.
func (p *player) record(x *capture.Record) error {
	if x.Kind.IsAction() {
		if p.b != nil {
			p.expected = append(p.expected, *x)
		}
		return nil
	}
	p.settle()
	if p.o.To > 0 && x.At > p.o.To {
		return errOver
	}
	switch x.Kind {
	case capture.KindGap:
		p.r.Gaps++
		p.r.Lost += x.Count
		p.b, p.whole = nil, false
		return nil
	case capture.KindSnapshot:
		return p.begin(x)
	}
	if p.b == nil {
		return nil // of a segment whose beginning was not readable
	}
	p.wait(x.At)
	p.input = *x
	if p.counts(x.At) {
		p.r.Inputs++
		if p.r.From == 0 {
			p.r.From = x.At
		}
		p.r.To = x.At
		if p.o.Sample != nil && x.At >= p.sample {
			p.o.Sample(x.At, p.b, p.number)
			p.sample = x.At + max(1, p.o.Every)
		}
	}
	p.look(x)
	return p.feed(x)
}

func (p *player) counts(at balancer.Micros) bool { return at >= p.o.From }

// begin goes on from a snapshot. What was played up to it must have come to the same state.
func (p *player) begin(x *capture.Record) error {
	var k snapshot.Saved
	if err := snapshot.Unmarshal(x.Blob, &k); err != nil || k.State == nil {
		p.b = nil
		p.r.Faults = append(p.r.Faults, fmt.Sprintf("the snapshot at %d is not readable: %v", x.At, err))
		return nil
	}
	if p.b != nil && p.whole && x.Flag && k.RunID == p.run && p.o.Settings == nil {
		mine, err := snapshot.Marshal(p.b.Snapshot(x.At, true))
		if err != nil {
			return err
		}
		theirs, err := snapshot.Marshal(k.State)
		if err != nil {
			return err
		}
		if !bytes.Equal(mine, theirs) {
			p.differ(x.At, "the state at a snapshot", []string{fmt.Sprintf("%08x", snapshot.Checksum(theirs))},
				[]string{fmt.Sprintf("%08x", snapshot.Checksum(mine))})
		}
	}
	b, err := balancer.Resume(k.State, hand{p})
	if err != nil {
		p.b = nil
		p.r.Faults = append(p.r.Faults, fmt.Sprintf("at %d: %v", x.At, err))
		return nil
	}
	p.b, p.whole, p.run = b, true, k.RunID
	p.r.Segments++
	clear(p.names)
	for i, e := range k.State.Endpoints {
		if i < len(k.Names) {
			p.names[e.ID] = k.Names[i]
		}
	}
	return p.against()
}

// against tells the module the settings that it is to be tried with.
func (p *player) against() error {
	if p.o.Settings == nil {
		return nil
	}
	p.muted = true
	defer func() { p.muted = false }()
	_, err := p.b.Reload(*p.o.Settings)
	return err
}

// feed tells the module what was told.
func (p *player) feed(x *capture.Record) error {
	b, at := p.b, x.At
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
		if x.Rules != nil && p.o.Settings == nil {
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
		if p.o.Settings != nil {
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

// settle holds the answers to the latest input against those recorded.
func (p *player) settle() {
	defer func() { p.got, p.expected, p.before = p.got[:0], p.expected[:0], nil }()
	if p.b == nil || !p.counts(p.input.At) {
		return
	}
	same := len(p.got) == len(p.expected)
	for i := 0; same && i < len(p.got); i++ {
		same = bytes.Equal(p.got[i].Bytes(), p.expected[i].Bytes())
	}
	if !same {
		p.differ(p.input.At, p.input.String(), p.lines(p.expected), p.lines(p.got))
	}
	for i := range p.got {
		p.r.Decisions++
		line := fmt.Sprintf("%d %s\n", p.input.At, p.got[i].String())
		p.digest.WriteString(line)
		if p.o.Log != nil {
			io.WriteString(p.o.Log, line)
		}
	}
	p.weigh()
}

func (p *player) differ(at balancer.Micros, input string, recorded, replayed []string) {
	p.r.Differences++
	if p.r.First == nil {
		p.r.First = &Difference{at, input, recorded, replayed}
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

// look keeps the state that an input meets, if the request to explain may be decided upon by it.
func (p *player) look(x *capture.Record) {
	p.before = nil
	if p.o.Explain == 0 || len(p.r.Weighed) >= weighedMost {
		return
	}
	if x.Kind == capture.KindRequest && x.Request.ID == p.o.Explain {
		p.open = true
	}
	if p.open {
		p.before = p.b.Snapshot(x.At, true)
	}
}

// weigh tells what was weighed, if the latest input decided upon the request.
func (p *player) weigh() {
	if p.before == nil {
		return
	}
	var mine []string
	for i, x := range p.got {
		if x.ID == p.o.Explain && x.Kind != capture.KindSetTimer {
			mine = append(mine, p.lines(p.got[i:i+1])...)
			p.open = p.open && x.Kind != capture.KindReject && x.Kind != capture.KindFail
		}
	}
	ended := p.input.Kind == capture.KindOutcome && p.input.ID == p.o.Explain && p.input.Flag
	p.open = p.open && !ended
	if len(mine) == 0 {
		return
	}
	copied, err := balancer.Resume(p.before, balancer.NoActions{})
	if err != nil {
		return // it was one a moment ago
	}
	in := balancer.Request{ID: p.o.Explain}
	if p.input.Kind == capture.KindRequest {
		in = p.input.Request
	}
	w := Weighed{At: p.input.At, Input: p.input.String(), Decisions: mine}
	for _, c := range copied.Explain(p.input.At, in) {
		w.Candidates = append(w.Candidates, Named{p.names[c.Endpoint], c})
	}
	p.r.Weighed = append(p.r.Weighed, w)
}

func (p *player) number(name string) (uint32, bool) {
	for id, n := range p.names {
		if n == name {
			return id, true
		}
	}
	return 0, false
}

// wait lets as much time pass as did.
func (p *player) wait(at balancer.Micros) {
	if !p.o.Pace {
		return
	}
	if p.began.IsZero() {
		p.began, p.origin = time.Now(), at
	}
	time.Sleep(time.Duration(at-p.origin)*time.Microsecond - time.Since(p.began))
}

// hand takes the module's answers.
type hand struct{ p *player }

func (h hand) add(x capture.Record) {
	if h.p.muted {
		return
	}
	x.At = h.p.input.At
	h.p.got = append(h.p.got, x)
}

func (h hand) Send(id uint64, e uint32, t balancer.Micros) {
	h.add(capture.Record{Kind: capture.KindSend, ID: id, Endpoint: e, Time: t})
}
func (h hand) Reject(id uint64, t balancer.Micros) {
	h.add(capture.Record{Kind: capture.KindReject, ID: id, Time: t})
}
func (h hand) Fail(id uint64) { h.add(capture.Record{Kind: capture.KindFail, ID: id}) }
func (h hand) Cancel(id uint64, attempt int) {
	h.add(capture.Record{Kind: capture.KindCancel, ID: id, Attempt: attempt})
}
func (h hand) Timer(t balancer.Micros, token uint32) {
	h.add(capture.Record{Kind: capture.KindSetTimer, Time: t, Token: token})
}
func (h hand) Probe(e uint32)  { h.add(capture.Record{Kind: capture.KindProbe, Endpoint: e}) }
func (h hand) Watch(on bool)   { h.add(capture.Record{Kind: capture.KindWatch, Flag: on}) }
func (h hand) Log(line string) { h.add(capture.Record{Kind: capture.KindLog, Line: line}) }
