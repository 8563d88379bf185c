package daemon

import (
	"context"
	"errors"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/recovery"
	"birchmoor/internal/snapshot"
	"birchmoor/internal/store"
	"birchmoor/internal/store/policy"
)

// What the decision modules know is kept in the store, so that a host that lost its disk, or a new one, does not start blind.
// Each sidecar puts its own picture, as often as the bytes of all allow (policy.PictureWait); one that nobody has put for
// picturesKept is ended by whoever finds it.
const picturesKept = 10 * time.Minute

// pictures are those of the store as this daemon knows them. The daemon's lock guards it.
type pictures struct {
	turns *policy.Turns // for their ends alone
	all   map[string]picture
	bytes int
}

type picture struct {
	value  []byte
	at     int64 // when it was put at the earliest, by this daemon's clock; 0: not known
	agreed uint64
}

func newPictures(by string) pictures {
	return pictures{all: map[string]picture{}, turns: policy.NewTurns(by, policy.TurnRules{Spread: 1, Keep: int64(picturesKept)})}
}

func (k *pictures) set(key string, p picture, gone bool) {
	if was, ok := k.all[key]; ok {
		k.bytes -= len(was.value)
		delete(k.all, key)
	}
	if !gone {
		k.all[key] = p
		k.bytes += len(p.value)
	}
}

// event takes a change; proved is when a quorum last confirmed the copy before it.
func (k *pictures) event(now, proved int64, e store.Event) {
	k.set(e.Item.Key, picture{e.Item.Value, proved, e.Revision}, e.Deleted)
	k.turns.Told(now, e.Item.Key, e.Revision, e.Deleted)
}

func (k *pictures) reset(now int64, s *store.State) {
	for key := range k.all {
		if _, ok := s.Get(key); !ok {
			k.set(key, picture{}, true)
		}
	}
	s.Range(policy.PicturePrefix, store.PrefixEnd(policy.PicturePrefix), func(i store.Item) bool {
		if k.all[i.Key].agreed != i.Modified {
			k.set(i.Key, picture{i.Value, 0, i.Modified}, false)
		}
		return true
	})
	k.turns.Found(now, wordsOf(s, policy.PicturePrefix))
}

// over ends those that nobody has put for long.
func (k *pictures) over(now int64) (ends []*store.Txn) {
	_, over := k.turns.Due(now)
	for _, key := range over {
		ends = append(ends, &store.Txn{If: []store.Compare{{Key: key, Modified: k.all[key].agreed}}, Then: []store.Op{{Key: key, Delete: true}}})
	}
	return ends
}

// Pictures are those of a protocol that a sidecar may believe at its start.
func (d *Daemon) Pictures(sidecar, protocol string) (all []recovery.Candidate) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.now(time.Now())
	for key, p := range d.kept.all {
		of, its, ok := policy.ParsePicture(key)
		if !ok || its != protocol {
			continue
		}
		v, err := policy.DecodePicture(p.value)
		var k *snapshot.Kept
		if err == nil {
			k, err = snapshot.Decode(v.Known)
		}
		if err != nil {
			d.log.Warn("a picture in the store is passed over", "key", key, "error", err)
			continue
		}
		c := recovery.Candidate{From: "the store: " + of, Kept: k, Own: of == sidecar}
		here := snapshot.Now()
		switch {
		case p.at != 0:
			c.Age, c.Sure = balancer.Micros(now-p.at)/1000, true
		default:
			c.Age, c.Sure = here.Since(k.Clock), here.Boot != "" && here.Boot == k.Clock.Boot
		}
		all = append(all, c)
	}
	return all
}

// PictureAges are those that this daemon saw come: how long ago.
func (d *Daemon) PictureAges() map[string]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, all := d.now(time.Now()), map[string]time.Duration{}
	for key, p := range d.kept.all {
		if p.at != 0 {
			all[key] = time.Duration(now - p.at)
		}
	}
	return all
}

// PictureAge takes the word of another daemon's clock on how long ago a picture was put, where this one did not see it come.
func (d *Daemon) PictureAge(key string, age time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p, ok := d.kept.all[key]; ok && p.at == 0 && age >= 0 {
		p.at = d.now(time.Now()) - int64(age)
		d.kept.all[key] = p
	}
}

// Keep puts a sidecar's pictures in the store until ctx ends.
func (d *Daemon) Keep(ctx context.Context, sidecar, protocol string, take func(context.Context) ([]byte, error), paused func() bool) {
	key := policy.PictureKey(sidecar, protocol)
	failing := false
	for {
		d.mu.Lock()
		wait := time.Duration(policy.PictureWait(d.kept.bytes))
		d.mu.Unlock()
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		if paused() {
			continue
		}
		err := d.keep(ctx, key, take)
		if err != nil && ctx.Err() == nil && !failing && !errors.Is(err, store.ErrLevel) {
			d.log.Warn("the store does not keep what is known here", "key", key, "error", err)
		}
		failing = err != nil
	}
}

// keep puts one.
func (d *Daemon) keep(ctx context.Context, key string, take func(context.Context) ([]byte, error)) error {
	known, err := take(ctx)
	if err != nil {
		return err
	}
	c, cancel := context.WithTimeout(ctx, writeWait)
	defer cancel()
	_, err = d.engine.Do(c, store.Command{Txn: policy.Picture{By: d.name, Known: known}.Put(key)})
	return err
}
