// Package usage counts what the control plane costs a process, by purpose: messages and bytes in each
// direction, entries of the log, and what is written to and synced with the disk. It may import package store
// and nothing else of birchmoor.
//
// Messages and their bytes are those that the application exchanges over a connection: a body, a line of a
// stream or a frame as it is encoded, before TLS, and without the headers and chunk sizes of HTTP. The
// difference, and handshakes, are in the bytes of all connections together (Reading.Connections), which are
// counted below TLS. Both ends of a connection count the same while it lasts; one end alone may have counted
// what was in flight when it broke.
package usage

import (
	"sync/atomic"
	"time"

	"birchmoor/internal/store"
)

// Direction is where a message goes, as this process sees it.
type Direction uint8

// The directions.
const (
	In Direction = iota
	Out
	directionCount
)

// File is what is written to a disk.
type File uint8

// The files. LogFile and SnapshotFile are one file on the disk; a transaction of it counts by its content.
const (
	LogFile      File = iota // of a replica, with its hard state
	SnapshotFile             // of a replica
	CopyFile                 // of a follower
	fileCount
)

// fileNames are the names in readings and metrics.
var fileNames = [fileCount]string{LogFile: "log", SnapshotFile: "snapshot", CopyFile: "copy"}

// String is the name of the file in readings and metrics.
func (f File) String() string { return fileNames[f] }

// Recorder counts from its creation on. All methods may be called by any goroutine. A nil Recorder is valid and
// counts nothing. Counting takes no lock and allocates nothing.
type Recorder struct {
	startedAt time.Time
	prefixes  []Prefix

	messages    [purposeCount][directionCount]amount
	connBytes   [directionCount]atomic.Uint64
	connections atomic.Uint64
	proposed    [purposeCount]atomic.Uint64
	applied     [purposeCount]amount
	written     [fileCount]struct{ syncs, bytes atomic.Uint64 }
}

type amount struct{ messages, bytes atomic.Uint64 }

func (a *amount) add(messages, bytes int) {
	a.messages.Add(uint64(messages))
	a.bytes.Add(uint64(bytes))
}

// New returns a recorder by which a key has the purpose of the first of the prefixes with which it begins. The
// program that puts a process together names them, from the components that own the keys.
func New(prefixes ...Prefix) *Recorder {
	return &Recorder{startedAt: time.Now(), prefixes: prefixes}
}

// Count adds messages and bytes that were sent or received.
func (r *Recorder) Count(purpose Purpose, direction Direction, messages, bytes int) {
	if r == nil {
		return
	}
	r.messages[purpose][direction].add(messages, bytes)
}

// CountProposal counts an entry that this process proposed to the leader, or as the leader. It may never be
// committed.
func (r *Recorder) CountProposal(command *store.Command) {
	if r == nil {
		return
	}
	r.proposed[r.CommandPurpose(command)].Add(1)
}

// CountApplied counts an entry of the log, of so many encoded bytes, that this replica applied.
func (r *Recorder) CountApplied(command *store.Command, bytes int) {
	if r == nil {
		return
	}
	r.applied[r.CommandPurpose(command)].add(1, bytes)
}

// CountWrite counts bytes that were written to a file, and syncs that were waited for.
func (r *Recorder) CountWrite(file File, syncs, bytes int) {
	if r == nil {
		return
	}
	r.written[file].syncs.Add(uint64(syncs))
	r.written[file].bytes.Add(uint64(bytes))
}
