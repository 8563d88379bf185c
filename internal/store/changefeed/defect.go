package changefeed

// Defect is an injected defect. The tests inject each of them to prove that they would find it.
type Defect int

// The defects.
const (
	NoDefect          Defect = iota
	ProgressEarly            // a replica announces progress before it sends the changes up to that revision
	SubscribeLate            // a replica omits the changes between the follower's revision and the start of the stream
	DeletionsLost            // a replica does not send deletions to followers with a partial copy
	ProgressRegresses        // a replica that is behind the follower announces its own revision as progress
	WidenInPlace             // a mirror adopts a wider interest without fetching the keys that it lacks
	WidenFromOlder           // a mirror adopts a wider snapshot that is older than its state
	PartialAsComplete        // a mirror treats a partial copy that it restored as complete
	NarrowRetains            // a mirror retains keys outside its interest although their changes are no longer sent
	RevisionSplit            // a mirror applies only the first change of a revision
	NotHeldAsAbsent          // a mirror reports keys that it does not hold as absent
	CompactionIgnored        // a replica skips changes that its history no longer has
)
