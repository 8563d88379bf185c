package daemon

import (
	"context"
	"time"

	"birchmoor/internal/core"
	"birchmoor/internal/discovery"
	"birchmoor/internal/store"
	"birchmoor/internal/store/policy"
)

// That a process of a server began is told like a drain: all hear it, one writes it. It is never told again, for it says
// itself until when it matters, and then any daemon ends it. Until all voters know level 2 of commands nothing is written.
const (
	startSpread = 200 * time.Millisecond
	startsMost  = policy.StartsMost
)

// starts is a daemon's part in them. The daemon's lock guards it.
type starts struct {
	words *policy.Starts
	turns *policy.Turns
	bind  func(ctx context.Context, s core.Start) error
	dirty map[policy.Process]bool
	full  bool // and said so
}

func newStarts(by string) starts {
	return starts{words: policy.NewStarts(by, startsMost), dirty: map[policy.Process]bool{},
		turns: policy.NewTurns(by, policy.TurnRules{Spread: int64(startSpread), Keep: 1 << 62, Most: startsMost})}
}

// Began takes what this daemon's sidecar saw begin, so long ago, and cold for so long. It does not wait.
func (d *Daemon) Began(p discovery.Process, ago, cold time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now(time.Now())
	if !d.starts.words.See(now, policy.Process(p), int64(ago), int64(cold)) {
		return
	}
	due, _ := d.starts.turns.Hear(now, policy.StartKey(policy.Process(p)))
	d.wakeAt(due, now)
}

// Begun lists the processes that are cold yet, as far as is known here.
func (d *Daemon) Begun() []core.Start {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []core.Start
	d.starts.words.Cold(d.now(time.Now()), func(p policy.Process, ago, _ int64, _ string, _ bool) {
		all = append(all, core.Start{Process: discovery.Process(p), Ago: time.Duration(ago)})
	})
	return all
}

// Warm gives the way in which others' word that a process began counts in the sidecar.
func (d *Daemon) Warm(begun func(ctx context.Context, s core.Start) error) {
	d.mu.Lock()
	d.starts.bind = begun
	d.mu.Unlock()
}

func (d *Daemon) startEvent(now int64, e store.Event) {
	if _, ok := policy.ParseStart(e.Item.Key); !ok {
		return
	}
	if p, news := d.starts.words.Applied(now, e, 0); news {
		d.starts.dirty[p] = true
		d.poke()
	}
	d.starts.turns.Told(now, e.Item.Key, e.Revision, e.Deleted)
}

// resetStarts takes a whole copy. How long ago its words were written is not known: each counts as new, so that a process is
// held to be colder than it is and never warmer.
func (d *Daemon) resetStarts(now int64, s *store.State) {
	s.Range(policy.StartPrefix, store.PrefixEnd(policy.StartPrefix), func(i store.Item) bool {
		if p, news := d.starts.words.Applied(now, store.Event{Revision: i.Modified, Item: i}, 0); news {
			d.starts.dirty[p] = true
		}
		return true
	})
	d.starts.turns.Found(now, wordsOf(s, policy.StartPrefix))
}

func (d *Daemon) speakStarts(now int64) {
	d.mu.Lock()
	keys, _ := d.starts.turns.Due(now)
	var txns []*store.Txn
	for _, key := range keys {
		p, _ := policy.ParseStart(key)
		if t := d.starts.words.Write(now, p); t != nil {
			txns = append(txns, t)
		} else {
			d.starts.turns.Unhear(key) // it is over
		}
	}
	d.mu.Unlock()
	for _, t := range txns {
		d.owe(write{key: t.Then[0].Key, do: func(ctx context.Context) error {
			_, err := d.engine.Do(ctx, store.Command{Txn: t})
			return err
		}, wrote: func(ok bool) {
			if ok { // by this daemon or, if the comparison did not hold, by another
				d.starts.turns.Unhear(t.Then[0].Key)
				return
			}
			now := d.now(time.Now())
			d.wakeAt(d.starts.turns.Again(now, int64(owedEvery), t.Then[0].Key), now)
		}})
	}
}

// tellStarts has what others said count in the sidecar.
func (d *Daemon) tellStarts(ctx context.Context) {
	d.mu.Lock()
	bind, now := d.starts.bind, d.now(time.Now())
	var news []core.Start
	for p := range d.starts.dirty {
		if ago, _, ok := d.starts.words.Of(now, p); ok && bind != nil {
			news = append(news, core.Start{Process: discovery.Process(p), Ago: time.Duration(ago)})
		}
	}
	if bind != nil {
		clear(d.starts.dirty)
	}
	d.mu.Unlock()
	for _, s := range news {
		if err := bind(ctx, s); err != nil && ctx.Err() == nil {
			d.log.Error("what daemons saw begin does not count here", "id", s.Process.ID, "error", err)
		}
	}
}

// startsOver ends what matters no more. The daemon's lock is held.
func (d *Daemon) startsOver(now int64) (ends []*store.Txn) {
	for _, p := range d.starts.words.Over(now) {
		d.starts.turns.Unhear(policy.StartKey(p))
		if t := d.starts.words.End(p); t != nil {
			ends = append(ends, t)
		}
	}
	return ends
}
