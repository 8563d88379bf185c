package store

// RequestID identifies a request, so that a retry with the same ID is applied once.
type RequestID struct {
	Client uint64 `cbor:"1,keyasint"` // drawn at random by each client
	Seq    uint64 `cbor:"2,keyasint"` // counts up in one client
}

// Command is one change of the state. Exactly one of its pointers is set.
type Command struct {
	ID            RequestID      `cbor:"1,keyasint"`
	SinceIndex    uint64         `cbor:"2,keyasint,omitempty"` // index applied when the request was first made
	Txn           *Txn           `cbor:"3,keyasint,omitempty"`
	GrantLease    *GrantLease    `cbor:"4,keyasint,omitempty"`
	RevokeLease   *RevokeLease   `cbor:"5,keyasint,omitempty"`
	AddMember     *AddMember     `cbor:"6,keyasint,omitempty"`
	RegisterStart *RegisterStart `cbor:"7,keyasint,omitempty"`
	RemoveMember  *RemoveMember  `cbor:"8,keyasint,omitempty"`
	RaiseLevel    *RaiseLevel    `cbor:"9,keyasint,omitempty"`
	RenewLease    *RenewLease    `cbor:"11,keyasint,omitempty"`

	// Newer is set in a command of a later level, which a replica of this build must not skip.
	Newer any `cbor:"10,keyasint,omitempty"`
}

// Txn evaluates its comparisons and then applies either Then or Else, atomically.
type Txn struct {
	If   []Compare `cbor:"1,keyasint,omitempty" json:"if,omitempty"`
	Then []Op      `cbor:"2,keyasint,omitempty" json:"then,omitempty"`
	Else []Op      `cbor:"3,keyasint,omitempty" json:"else,omitempty"`

	// KeyLimits are checked against the outcome of the operations that are applied. A limit that would be exceeded is
	// ErrFull, and the transaction changes nothing. Since level 2.
	KeyLimits []KeyLimit `cbor:"4,keyasint,omitempty" json:"bounds,omitempty"`

	// Owner, if not empty, may attach keys only to leases that it owns; any other lease is ErrLeaseNotFound. Since
	// level 3.
	Owner string `cbor:"5,keyasint,omitempty" json:"owner,omitempty"`
}

// KeyLimit bounds the number of keys with a prefix.
type KeyLimit struct {
	Prefix  string `cbor:"1,keyasint" json:"prefix"`
	MaxKeys int    `cbor:"2,keyasint" json:"most"`
}

// Compare is true if the key was last put at ModRevision; 0 means that the key does not exist.
type Compare struct {
	Key         string `cbor:"1,keyasint" json:"key"`
	ModRevision uint64 `cbor:"2,keyasint" json:"modified"`
}

// Op puts a key, or deletes a key or a range of keys.
type Op struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Value    []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
	LeaseID  uint64 `cbor:"3,keyasint,omitempty" json:"lease,omitempty"`
	Delete   bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
	RangeEnd string `cbor:"5,keyasint,omitempty" json:"end,omitempty"` // exclusive end of the range to delete
}

// Limits of the TTL of owned leases, in milliseconds. Daemons enforce them; a state accepts any TTL.
const (
	MinOwnedTTLMillis = 300
	MaxOwnedTTLMillis = 60_000
)

// GrantLease creates a lease.
type GrantLease struct {
	TTLMillis uint64 `cbor:"1,keyasint"`
	Owner     string `cbor:"2,keyasint,omitempty"` // who alone may renew and revoke it; empty: anyone. Since level 3
}

// RenewLease extends a lease by its TTL from now, by the leader's clock. A lease of another owner is ErrLeaseNotFound.
type RenewLease struct {
	LeaseID uint64 `cbor:"1,keyasint"`
	Owner   string `cbor:"2,keyasint,omitempty"` // since level 3
}

// RevokeLease ends a lease and deletes its keys. The leader sets Expired for a lease whose TTL has passed; such a
// command has no effect if the lease was renewed in the meantime, so that an acknowledged renewal holds across
// changes of leader.
type RevokeLease struct {
	LeaseID  uint64 `cbor:"1,keyasint"`
	Expired  bool   `cbor:"2,keyasint,omitempty"`
	Renewals uint64 `cbor:"3,keyasint,omitempty"` // with Expired: revoke only if the lease was renewed this many times
	Owner    string `cbor:"4,keyasint,omitempty"` // as in RenewLease; not checked with Expired. Since level 3
}

// AddMember adds a member as a learner, which is promoted to a voter later. A name that is in use is rejected.
type AddMember struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// RegisterStart is the first command of each start of a member. It reports the member's disk, the number of starts
// from that disk and the level of commands that the build knows. It is rejected if the member is registered with
// another disk, or with a later start of the same disk.
type RegisterStart struct {
	MemberID uint64 `cbor:"1,keyasint"`
	DiskID   uint64 `cbor:"2,keyasint"`
	Boot     uint64 `cbor:"3,keyasint"`
	Level    uint64 `cbor:"4,keyasint"`
}

// RemoveMember ends a membership. The ID is never reused.
type RemoveMember struct {
	MemberID uint64 `cbor:"1,keyasint"`
}

// RaiseLevel enables the commands of a level, once every member knows it.
type RaiseLevel struct {
	Level uint64 `cbor:"1,keyasint"`
}

// Result is the outcome of a command.
type Result struct {
	Index     uint64 // of the command
	Revision  uint64 // after it
	Succeeded bool   // of a Txn: all comparisons were true
	LeaseID   uint64 // of a command on a lease
	MemberID  uint64 // of a command on a member
	Duplicate bool   // the request was applied before, and this is the result it had then
	Err       error  // one of this package's
}

// Level is the highest level of commands that this build knows. A newer build keeps to the cluster's level until every
// member knows a higher one.
const Level = 3

// Levels of commands.
const (
	levelInitial   = 1
	levelKeyLimits = 2 // Txn.KeyLimits
	LevelOwners    = 3 // owned leases, and with them tasks
)

// RequiredLevel is the lowest level at which the command can be read. It is rejected until the cluster uses that level.
func (c *Command) RequiredLevel() uint64 {
	switch {
	case c.hasOwner():
		return LevelOwners
	case c.Txn != nil && len(c.Txn.KeyLimits) > 0:
		return levelKeyLimits
	}
	return levelInitial
}

func (c *Command) hasOwner() bool {
	switch {
	case c.Txn != nil && c.Txn.Owner != "":
	case c.GrantLease != nil && c.GrantLease.Owner != "":
	case c.RenewLease != nil && c.RenewLease.Owner != "":
	case c.RevokeLease != nil && c.RevokeLease.Owner != "":
	default:
		return false
	}
	return true
}
