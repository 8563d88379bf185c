package replica

import (
	"log/slog"
	"math/rand/v2"

	"birchmoor/internal/store"

	"go.etcd.io/raft/v3/raftpb"
)

// Config configures a replica. A field with the zero value gets the default that its comment names. Ticks are calls of
// Node.Tick.
type Config struct {
	Rand                *rand.Rand   // source of the election timeouts; required
	Log                 *slog.Logger // default: nothing is logged
	ElectionTicks       int          // minimum election timeout; each one is drawn up to twice as long; default 10
	TickMillis          int          // duration of a tick, in which the TTL of leases is counted; default 100
	RequestTimeoutTicks int          // time after which a pending request is completed with an error; default 50
	MaxPending          int          // maximum of pending proposals, and of queued reads; default 8192
	SnapshotLogBytes    int          // size of the log since the last snapshot at which one is taken; default 16 MiB
	RetainedEntries     int          // log entries kept before a snapshot, for followers that lag; default 4096
	MaxMessageBytes     int          // maximum size of the entries in one message; default 1 MiB
	KnownLevel          uint64       // highest level of commands; lower in tests of earlier builds; default store.Level
	Defects             Defects      // injected defects; none in production

	// OnEntry, unless nil, is called with every entry before it is applied.
	OnEntry func(*raftpb.Entry)
	// OnProposed, unless nil, is called with every command that raft accepts from this replica.
	OnProposed func(*store.Command)
	// OnApplied, unless nil, is called with every command before it is applied, and with its encoded size in bytes.
	OnApplied func(command *store.Command, encodedBytes int)
}

// Defects is a set of defects that are injected so that tests prove that they detect them. It is empty in production.
type Defects uint32

// The defects that can be injected. Each makes a replica violate one guarantee.
const (
	AckBeforeSync         Defects = 1 << iota // messages are sent before what they promise is on disk
	ForgetVote                                // the vote is not written to disk
	StaleRead                                 // a read is completed without asking a quorum
	ApplyTwice                                // after a start, the last entries in the snapshot are applied again
	ForgetResults                             // a retried request is applied again
	RevokeRenewedLease                        // an expired lease is revoked although it was renewed in the meantime
	CompactBeyondSnapshot                     // the log is compacted beyond the snapshot
	SkipAdmission                             // a replica with an empty disk is admitted under its old name
	EagerReturn                               // a daemon readmits a server before a quorum has committed that
	IgnoreLevel                               // a command is proposed although a voter may not know its level
	// a new leader assumes that leases were last renewed long before its term
	ShortenInheritedLeases
	LeadAfterFailure  // a leader whose disk failed continues to send heartbeats
	SettleUnconfirmed // a change of the members counts as finished before a majority knows that it is committed
)

// has reports whether a defect, or any of several, is injected.
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

func setDefault[T comparable](target *T, defaultValue T) {
	var zero T
	if *target == zero {
		*target = defaultValue
	}
}
