package store

// RequestID identifies a request: if retries send it several times under the same ID, it is applied only once.
type RequestID struct {
	Client uint64 `cbor:"1,keyasint"` // random number of the client
	Seq    uint64 `cbor:"2,keyasint"` // sequence number of the request at its client
}

// Command is an entry of the replicated log that changes the state. Exactly one of its actions, which are the pointers,
// is set.
type Command struct {
	// ID is the zero RequestID for commands of the store itself; their results are not cached.
	ID RequestID `cbor:"1,keyasint"`
	// SinceIndex is an index that was applied before the request was first sent. If the result of a later command was
	// dropped from the cache, the request may have been applied already, and Apply rejects it with ErrRequestExpired.
	SinceIndex    uint64         `cbor:"2,keyasint,omitempty"`
	Txn           *Txn           `cbor:"3,keyasint,omitempty"`
	GrantLease    *GrantLease    `cbor:"4,keyasint,omitempty"`
	RevokeLease   *RevokeLease   `cbor:"5,keyasint,omitempty"`
	AddMember     *AddMember     `cbor:"6,keyasint,omitempty"`
	RegisterStart *RegisterStart `cbor:"7,keyasint,omitempty"`
	RemoveMember  *RemoveMember  `cbor:"8,keyasint,omitempty"`
	RaiseLevel    *RaiseLevel    `cbor:"9,keyasint,omitempty"`
	RenewLease    *RenewLease    `cbor:"11,keyasint,omitempty"`

	// Newer is the key under which later builds encode commands that this build must not skip. DecodeCommand rejects a
	// command in which it is set.
	Newer any `cbor:"10,keyasint,omitempty"`
}

// Txn evaluates its comparisons and then applies either Then or Else, atomically.
type Txn struct {
	If   []Compare `cbor:"1,keyasint,omitempty" json:"if,omitempty"`
	Then []Op      `cbor:"2,keyasint,omitempty" json:"then,omitempty"`
	Else []Op      `cbor:"3,keyasint,omitempty" json:"else,omitempty"`

	// KeyLimits bound the number of keys after the operations are applied. If one would be exceeded, the transaction
	// fails with ErrFull and changes nothing. Keys that the transaction deletes count as if they remained. The limits
	// require level 2.
	KeyLimits []KeyLimit `cbor:"4,keyasint,omitempty" json:"bounds,omitempty"`

	// Owner, if not empty, restricts the transaction to the leases of that owner: if it attaches a key to any other
	// lease, it fails with ErrLeaseNotFound. It requires level 3.
	Owner string `cbor:"5,keyasint,omitempty" json:"owner,omitempty"`
}

// KeyLimit bounds the number of keys with a prefix.
type KeyLimit struct {
	Prefix  string `cbor:"1,keyasint" json:"prefix"`
	MaxKeys int    `cbor:"2,keyasint" json:"most"`
}

// Compare is a condition of a Txn: the key was last put at ModRevision or, if that is 0, does not exist.
type Compare struct {
	Key         string `cbor:"1,keyasint" json:"key"`
	ModRevision uint64 `cbor:"2,keyasint" json:"modified"`
}

// Op puts a key or, if Delete is set, deletes a key or the keys from Key up to RangeEnd.
type Op struct {
	Key      string `cbor:"1,keyasint" json:"key"`
	Value    []byte `cbor:"2,keyasint,omitempty" json:"value,omitempty"`
	LeaseID  uint64 `cbor:"3,keyasint,omitempty" json:"lease,omitempty"`
	Delete   bool   `cbor:"4,keyasint,omitempty" json:"delete,omitempty"`
	RangeEnd string `cbor:"5,keyasint,omitempty" json:"end,omitempty"` // exclusive; empty: only Key is deleted
}

// The TTL of a lease with an owner is within these bounds. Daemons enforce them; a state accepts any TTL.
const (
	MinOwnedTTLMillis = 300
	MaxOwnedTTLMillis = 60_000
)

// GrantLease creates a lease.
type GrantLease struct {
	TTLMillis uint64 `cbor:"1,keyasint"`
	// Owner is the only client that may renew and revoke the lease. If it is empty, any client may. It requires level
	// 3.
	Owner string `cbor:"2,keyasint,omitempty"`
}

// RenewLease makes a lease last for its TTL from now, by the leader's clock. It fails with ErrLeaseNotFound if the
// lease has another owner.
type RenewLease struct {
	LeaseID uint64 `cbor:"1,keyasint"`
	Owner   string `cbor:"2,keyasint,omitempty"` // requires level 3
}

// RevokeLease ends a lease and deletes its keys. The leader sets Expired for a lease whose TTL has passed; such a
// command has no effect if the lease was renewed in the meantime, so that an acknowledged renewal holds across changes
// of leader.
type RevokeLease struct {
	LeaseID uint64 `cbor:"1,keyasint"`
	Expired bool   `cbor:"2,keyasint,omitempty"`
	// Renewals is the lease's number of renewals when it expired. With Expired, the lease is revoked only if the number
	// is still the same.
	Renewals uint64 `cbor:"3,keyasint,omitempty"`
	// Owner must be the owner of the lease unless Expired is set. It requires level 3.
	Owner string `cbor:"4,keyasint,omitempty"`
}

// AddMember adds a member as a learner, which is promoted to a voter later. It fails with ErrInvalidMember if another
// member has the name.
type AddMember struct {
	Name    string `cbor:"1,keyasint"`
	Address string `cbor:"2,keyasint"`
}

// RegisterStart is the first command that a member proposes after each start. It reports the member's disk, the number
// of starts from that disk (Boot) and the highest level of commands that the member's build knows. It fails with
// ErrInvalidMember if the member is registered with another disk, or with a later start of the same disk.
type RegisterStart struct {
	MemberID uint64 `cbor:"1,keyasint"`
	DiskID   uint64 `cbor:"2,keyasint"`
	Boot     uint64 `cbor:"3,keyasint"`
	Level    uint64 `cbor:"4,keyasint"`
}

// RemoveMember removes a member from the cluster. Its ID is never reused. The last member cannot be removed.
type RemoveMember struct {
	MemberID uint64 `cbor:"1,keyasint"`
}

// RaiseLevel enables the commands up to a level. It fails with ErrUnsupportedLevel if a member does not know that
// level.
type RaiseLevel struct {
	Level uint64 `cbor:"1,keyasint"`
}

// Result is the outcome of a command.
type Result struct {
	Index     uint64 // log index of the command
	Revision  uint64 // revision of the state after the command
	Succeeded bool   // all comparisons of a Txn were true
	LeaseID   uint64 // lease that the command concerns, or 0
	MemberID  uint64 // member that the command concerns, or 0
	Duplicate bool   // the request was applied before; this is its result at that time
	Err       error  // one of the Err values of this package, or nil
}

// Level is the highest level of commands that this build knows. A replica proposes only commands up to the level that
// the cluster has enabled, so that members of earlier builds can apply them.
const Level = 3

// Levels of commands.
const (
	levelInitial   = 1
	levelKeyLimits = 2 // adds Txn.KeyLimits
	LevelOwners    = 3 // adds owners of leases, on which tasks depend
)

// RequiredLevel returns the lowest level of a build that can decode the command. The command is rejected until the
// cluster has enabled that level.
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
