// Package usage counts the resources that the control plane uses in a process: messages and bytes in each direction and
// entries of the store's log, all by purpose, and the bytes and syncs of files. It may import package store and nothing
// else of birchmoor.
//
// A message is a body, a line of a stream or a frame, as the application encodes it. Its bytes are counted before TLS
// and without HTTP's headers and chunk sizes. Those and handshakes are included in the bytes of all connections
// (Reading.Connections), which are counted below TLS. Both ends of a connection count the same messages, but when it
// breaks, only one end may have counted the messages in flight.
package usage

import (
	"sync/atomic"
	"time"

	"birchmoor/internal/store"
)

// Direction is the direction of a message as seen by this process.
type Direction uint8

// The directions.
const (
	In Direction = iota
	Out
	directionCount
)

// File identifies data that is written to a disk.
type File uint8

// The files. LogFile and SnapshotFile are the same file on the disk; each transaction counts for the one whose data it
// writes.
const (
	LogFile      File = iota // log of a replica, with its hard state
	SnapshotFile             // snapshot of a replica
	CopyFile                 // copy of a follower
	fileCount
)

// fileNames has the names of the files in readings and metrics.
var fileNames = [fileCount]string{LogFile: "log", SnapshotFile: "snapshot", CopyFile: "copy"}

// String returns the name of the file in readings and metrics.
func (f File) String() string { return fileNames[f] }

// Recorder counts from its creation on. Its methods are safe for concurrent use. A nil Recorder is valid and counts
// nothing. Counting takes no lock and allocates nothing.
type Recorder struct {
	startedAt time.Time
	prefixes  []Prefix

	messages    [purposeCount][directionCount]messageCounter
	connBytes   [directionCount]atomic.Uint64
	connections atomic.Uint64
	proposed    [purposeCount]atomic.Uint64
	applied     [purposeCount]messageCounter // entries instead of messages
	written     [fileCount]struct{ syncs, bytes atomic.Uint64 }
}

// messageCounter counts messages and their bytes.
type messageCounter struct{ messages, bytes atomic.Uint64 }

func (a *messageCounter) add(messages, bytes int) {
	a.messages.Add(uint64(messages))
	a.bytes.Add(uint64(bytes))
}

// New returns a recorder that determines the purpose of a key by the first of the prefixes that the key has. The
// program passes the prefixes of the components that own the keys.
func New(prefixes ...Prefix) *Recorder {
	return &Recorder{startedAt: time.Now(), prefixes: prefixes}
}

// Count adds messages, and bytes of messages, that were sent or received.
func (r *Recorder) Count(purpose Purpose, direction Direction, messages, bytes int) {
	if r == nil {
		return
	}
	r.messages[purpose][direction].add(messages, bytes)
}

// CountProposal counts a command that this process proposed for the log. It may never be committed.
func (r *Recorder) CountProposal(command *store.Command) {
	if r == nil {
		return
	}
	r.proposed[r.CommandPurpose(command)].Add(1)
}

// CountApplied counts a command, and the bytes of its encoded log entry, that this replica applied.
func (r *Recorder) CountApplied(command *store.Command, bytes int) {
	if r == nil {
		return
	}
	r.applied[r.CommandPurpose(command)].add(1, bytes)
}

// CountWrite adds syncs of a file that the caller waited for, and bytes that were written to the file.
func (r *Recorder) CountWrite(file File, syncs, bytes int) {
	if r == nil {
		return
	}
	r.written[file].syncs.Add(uint64(syncs))
	r.written[file].bytes.Add(uint64(bytes))
}
