package serverstate

import (
	"errors"
	"fmt"
	"strings"

	"birchmoor/internal/store"

	"github.com/fxamacker/cbor/v2"
)

// StartPrefix is that of the keys that tell of processes of servers that began a while ago: start/PROCESS.
const StartPrefix = "start/"

// MaxStarts bounds those in the store. One more is refused, and said to be.
const MaxStarts = 16384

// Format is that of the records of starts and pictures. A reader passes over what has a later one.
const Format = 1

// ErrFormat says that a record is of a later version.
var ErrFormat = errors.New("of a later format than this build reads")

// StartReport is the word that a process of a server began. It matters while the process is cold, and says so itself: which
// configuration a reader has does not matter.
type StartReport struct {
	Format       uint64 `cbor:"1,keyasint" json:"-"`
	ReportedBy   string `cbor:"2,keyasint" json:"by"`
	AgoMillis    int64  `cbor:"3,keyasint" json:"ago_ms"` // it had begun, when this was written, milliseconds before
	WarmupMillis int64  `cbor:"4,keyasint" json:"for_ms"` // it is cold for so many milliseconds, by its contract
}

const maxStartMillis = 24 * 3600 * 1000 // milliseconds; beyond it a figure makes no sense

// Encode writes it.
func (s StartReport) Encode() []byte {
	s.Format = Format
	b, err := cbor.Marshal(s)
	if err != nil {
		panic(err) // strings and numbers always can be written
	}
	return b
}

// DecodeStartReport reads one. What is of a later format is ErrFormat.
func DecodeStartReport(b []byte) (s StartReport, err error) {
	if err := recordDecoder.Unmarshal(b, &s); err != nil {
		return StartReport{}, fmt.Errorf("start: %w", err)
	}
	if s.Format > Format {
		return StartReport{}, fmt.Errorf("start: %w: %d", ErrFormat, s.Format)
	}
	if s.Format == 0 || s.AgoMillis < 0 || s.AgoMillis > maxStartMillis || s.WarmupMillis <= 0 || s.WarmupMillis > maxStartMillis {
		return StartReport{}, errors.New("start: a figure is out of range")
	}
	return s, nil
}

// recordDecoder reads values that other builds wrote: keys that it does not know are theirs.
var recordDecoder = func() cbor.DecMode {
	m, err := cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxNestedLevels: 8, MaxArrayElements: 1 << 16, MaxMapPairs: 64}.DecMode()
	if err != nil {
		panic(err)
	}
	return m
}()

// StartKey is that of a process.
func StartKey(p Process) string { return StartPrefix + p.ServerName() }

// ParseStart reads such a key.
func ParseStart(key string) (Process, bool) {
	server, ok := strings.CutPrefix(key, StartPrefix)
	if !ok {
		return Process{}, false
	}
	return ParseProcess(server)
}

// startState is what is known of a process that began.
type startState struct {
	startedAt         int64  // by this daemon's clock
	warmUntil         int64  // it matters
	observed          bool   // seen here
	committedRevision uint64 // revision of the store's word, or 0
	reportedBy        string
}

// Starts holds which processes of servers began a while ago, as this daemon saw and as the store says. A process begins once:
// while the first word of it matters, a later one comes of a late list and changes nothing; so a daemon's own sight is never
// put back. It is for one goroutine; times are nanoseconds of the daemon's own clock.
type Starts struct {
	daemon    string
	starts    map[string]*startState
	maxStarts int
}

// NewStarts returns one that knows nothing. It holds no more than most.
func NewStarts(by string, most int) *Starts {
	return &Starts{daemon: by, starts: map[string]*startState{}, maxStarts: most}
}

// Observe takes a beginning that this daemon saw: so long ago, and cold for so long. It says whether that is news here.
func (s *Starts) Observe(now int64, p Process, ago, cold int64) bool {
	if ago < 0 || cold <= ago {
		return false
	}
	key := StartKey(p)
	w := s.starts[key]
	if w != nil && now < w.warmUntil {
		return false
	}
	if w == nil {
		if len(s.starts) >= s.maxStarts {
			return false
		}
		w = &startState{}
		s.starts[key] = w
	}
	w.startedAt, w.warmUntil, w.observed, w.reportedBy = now-ago, now-ago+cold, true, s.daemon
	return true
}

// ReportTxn is the transaction that tells the store of a process, or nil if there is nothing to tell.
func (s *Starts) ReportTxn(now int64, p Process) *store.Txn {
	key := StartKey(p)
	w := s.starts[key]
	if w == nil || !w.observed || now >= w.warmUntil {
		return nil
	}
	v := StartReport{ReportedBy: s.daemon, AgoMillis: (now - w.startedAt) / 1e6, WarmupMillis: (w.warmUntil - w.startedAt) / 1e6}
	return &store.Txn{If: []store.Compare{{Key: key, ModRevision: w.committedRevision}}, Then: []store.Op{{Key: key, Value: v.Encode()}},
		KeyLimits: []store.KeyLimit{{Prefix: StartPrefix, MaxKeys: MaxStarts}}}
}

// DeleteTxn is the transaction that ends the store's word of a process, or nil if it has none.
func (s *Starts) DeleteTxn(p Process) *store.Txn {
	key := StartKey(p)
	w := s.starts[key]
	if w == nil || w.committedRevision == 0 {
		return nil
	}
	return &store.Txn{If: []store.Compare{{Key: key, ModRevision: w.committedRevision}}, Then: []store.Op{{Key: key, Delete: true}}}
}

// Apply takes a change of the store. late is how long ago it was made, as far as that is known: 0 as it comes. It returns
// the process if what is known of it has changed.
func (s *Starts) Apply(now int64, e store.Event, late int64) (Process, bool) {
	p, ok := ParseStart(e.Item.Key)
	if !ok {
		return p, false
	}
	w := s.starts[e.Item.Key]
	if e.Deleted {
		if w != nil {
			if w.committedRevision = 0; !w.observed {
				delete(s.starts, e.Item.Key)
			}
		}
		return p, false // it had ended, or who saw it goes on by what it saw
	}
	v, err := DecodeStartReport(e.Item.Value)
	if err != nil {
		return p, false
	}
	at, cold := now-late-v.AgoMillis*1e6, v.WarmupMillis*1e6
	if w == nil {
		if len(s.starts) >= s.maxStarts {
			return p, false
		}
		w = &startState{}
		s.starts[e.Item.Key] = w
	}
	w.committedRevision = e.Revision
	if now < w.warmUntil {
		return p, false
	}
	w.startedAt, w.warmUntil, w.observed, w.reportedBy = at, at+cold, false, v.ReportedBy
	return p, now < w.warmUntil
}

// WarmingUp lists the processes that began and are cold yet, with how long ago each did and for how long it is cold.
func (s *Starts) WarmingUp(now int64, f func(p Process, ago, left int64, by string, agreed bool)) {
	for key, w := range s.starts {
		if p, ok := ParseStart(key); ok && now < w.warmUntil {
			f(p, now-w.startedAt, w.warmUntil-now, w.reportedBy, w.committedRevision > 0)
		}
	}
}

// Lookup tells of one process.
func (s *Starts) Lookup(now int64, p Process) (ago, left int64, ok bool) {
	w := s.starts[StartKey(p)]
	if w == nil || now >= w.warmUntil {
		return 0, 0, false
	}
	return now - w.startedAt, w.warmUntil - now, true
}

// Expired returns the processes whose beginning matters no more and that the store still tells of, and forgets those that
// it does not.
func (s *Starts) Expired(now int64) (over []Process) {
	for key, w := range s.starts {
		if now < w.warmUntil {
			continue
		}
		if p, ok := ParseStart(key); ok && w.committedRevision > 0 {
			over = append(over, p)
		} else {
			delete(s.starts, key)
		}
	}
	return over
}

// Len is how many are held.
func (s *Starts) Len() int { return len(s.starts) }
