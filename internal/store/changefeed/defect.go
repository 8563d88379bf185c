package changefeed

// Defect is an injected fault by which a test shows that it finds such faults.
type Defect int

// The defects.
const (
	NoDefect          Defect = iota
	ProgressEarly            // a replica announces its progress before it has sent the changes up to there
	SubscribeLate            // changes between the end of the history and the beginning of the stream are left out
	DeletionsLost            // deletions are not sent to followers that hold a part
	ProgressRegresses        // a replica that is behind the follower announces its own revision as progress
	WidenInPlace             // a mirror takes a wider interest without fetching the range that it lacks
	WidenFromOlder           // a mirror takes a wider snapshot that is older than its own state
	PartialAsComplete        // a part that was restored counts as everything
	NarrowRetains            // what is no longer of interest stays, and its changes are no longer sent
	RevisionSplit            // the changes of one revision are applied one by one
	NotHeldAsAbsent          // what a mirror does not hold is read as absent
	CompactionIgnored        // changes that the history has no more are skipped
)
