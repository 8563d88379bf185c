package replica

import (
	"log/slog"
	"math/rand/v2"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3/raftpb"
)

// Config configures a replica. Zero values are replaced by the defaults named here. Ticks are calls of Node.Tick.
type Config struct {
	Rand                *rand.Rand   // required
	Log                 *slog.Logger // nothing is logged
	ElectionTicks       int          // minimum election timeout, which is drawn up to twice as long; 10
	TickMillis          int          // of a tick, for leases; 100
	RequestTimeoutTicks int          // 50
	MaxPending          int          // requests; 8192
	SnapshotLogBytes    int          // of log, after which a snapshot is taken; 16 MiB
	RetainedEntries     int          // of log before a snapshot, for followers that lag; 4096
	MaxMessageBytes     int          // of entries in one message; 1 MiB
	KnownLevel          uint64       // of commands, for tests of earlier builds; store.Level
	Defects             Defects

	OnEntry    func(*raftpb.Entry)                 // is called with every entry before it is applied, unless nil
	OnProposed func(*store.Command)                // is called with every command that raft accepts here, unless nil
	OnApplied  func(c *store.Command, encoded int) // is called with every command before it is applied, unless nil
}

// Defects are injected so that a test can show that it detects them. None is set in production.
type Defects uint32

// The defects.
const (
	AckBeforeSync          Defects = 1 << iota // messages are sent before the disk has what they promise
	ForgetVote                                 // the vote is not written
	StaleRead                                  // a read is answered without a quorum
	ApplyTwice                                 // after a start the snapshot's last entries are applied again
	ForgetResults                              // a retried request is applied again
	RevokeRenewedLease                         // an expired lease ends although it was renewed in the meantime
	CompactBeyondSnapshot                      // the log is compacted beyond what the snapshot contains
	SkipAdmission                              // an empty disk is admitted under an old name
	EagerReturn                                // a server may serve again by the state of a single replica
	IgnoreLevel                                // a command is proposed although a voter does not know its level
	ShortenInheritedLeases                     // a new leader assumes that leases were renewed long before it led
	LeadAfterFailure                           // a leader whose disk failed continues to send heartbeats
)

// has reports whether a defect is injected.
func (d Defects) has(defect Defects) bool { return d&defect != 0 }

func (c *Config) setDefaults() {
	setDefault(&c.ElectionTicks, 10)
	setDefault(&c.TickMillis, 100)
	setDefault(&c.RequestTimeoutTicks, 50)
	setDefault(&c.MaxPending, 8192)
	setDefault(&c.SnapshotLogBytes, 16<<20)
	setDefault(&c.RetainedEntries, 4096)
	setDefault(&c.MaxMessageBytes, 1<<20)
	setDefault(&c.KnownLevel, store.Level)
	if c.Log == nil {
		c.Log = slog.New(slog.DiscardHandler)
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}
