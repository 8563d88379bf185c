// Package usage counts what the control plane costs a process, apart by purpose: messages and bytes each way, entries of the
// log, and what is synced and written to the disk.
//
// Messages and their bytes are those of the application's side of a connection: a body, a line of a stream or a frame as it is
// encoded, before TLS, and without the heads and chunk sizes of HTTP. What lies between the two, and handshakes, is found in
// the bytes of all connections together (Reading.Connections), which are counted below TLS. Both ends of a connection count the same
// while it lasts; what was under way when it broke may be counted by one alone.
package usage

import (
	"net"
	"strings"
	"sync/atomic"
	"time"

	"birchmoor/internal/store"
)

// Purpose is what a message or an entry is for.
type Purpose uint8

// The purposes. A transaction has that of its first key.
const (
	Other           Purpose = iota
	Sessions                // leases that are granted, renewed or ended
	ServerReports           // of drains, bans and starts of servers
	ModuleSnapshots         // what sidecars' decision modules know of servers
	Settings                // of the data path
	Quotas                  // of limits
	Tasks                   // who holds one
	Raft                    // between replicas: entries, heartbeats, votes and their answers
	Snapshots               // whole copies, between replicas and to followers
	Heartbeats              // of the stream that a follower hears, and its beginning
	Requests                // of followers, up to where the quorum is
	purposeCount
)

var purposeNames = [purposeCount]string{"other", "sessions", "words", "pictures", "settings", "shares", "tasks", "raft", "snapshots", "beats", "requests"}

func (p Purpose) String() string { return purposeNames[p] }

// Direction is where a message goes, as this process sees it.
type Direction uint8

// The directions.
const (
	In Direction = iota
	Out
)

// File is what is written to a disk.
type File uint8

// The files. Log and Snapshot share one, and are told apart by what a transaction of it is for.
const (
	LogFile      File = iota // of a replica, with its hard state
	SnapshotFile             // of a replica
	CopyFile                 // of a follower
	fileCount
)

var fileNames = [fileCount]string{"log", "snapshot", "copy"}

func (f File) String() string { return fileNames[f] }

// Prefix says what the keys that begin with it are for.
type Prefix struct {
	Prefix  string
	Purpose Purpose
}

// Recorder counts, from when it was made. All methods may be called by any goroutine, and of a nil Meter, which counts nothing.
// Counting takes no lock and no memory.
type Recorder struct {
	startedAt   time.Time
	prefixes    []Prefix
	messages    [purposeCount][2]amount
	connBytes   [2]atomic.Uint64
	connections atomic.Uint64
	proposed    [purposeCount]atomic.Uint64
	applied     [purposeCount]amount
	written     [fileCount]struct{ syncs, bytes atomic.Uint64 }
}

type amount struct{ messages, bytes atomic.Uint64 }

// New returns a meter that knows what keys are for by the first of the prefixes with which they begin. Whoever puts a process together
// names them, from the parts that own the keys.
func New(prefixes ...Prefix) *Recorder { return &Recorder{startedAt: time.Now(), prefixes: prefixes} }

// KeyPurpose is what a key is for: Other, if no prefix says.
func (m *Recorder) KeyPurpose(key string) Purpose {
	if m == nil {
		return Other
	}
	for i := range m.prefixes {
		if strings.HasPrefix(key, m.prefixes[i].Prefix) {
			return m.prefixes[i].Purpose
		}
	}
	return Other
}

// CommandPurpose is what a command is for: a transaction's is that of the first key that it puts or deletes, or else compares.
// Changes of members are for Raft.
func (m *Recorder) CommandPurpose(c *store.Command) Purpose {
	if m == nil {
		return Other
	}
	switch {
	case c.GrantLease != nil, c.RenewLease != nil, c.RevokeLease != nil:
		return Sessions
	case c.AddMember != nil, c.RegisterStart != nil, c.RemoveMember != nil, c.RaiseLevel != nil:
		return Raft
	case c.Txn == nil:
	case len(c.Txn.Then) > 0:
		return m.KeyPurpose(c.Txn.Then[0].Key)
	case len(c.Txn.Else) > 0:
		return m.KeyPurpose(c.Txn.Else[0].Key)
	case len(c.Txn.If) > 0:
		return m.KeyPurpose(c.Txn.If[0].Key)
	}
	return Other
}

// Count adds messages and bytes that were sent or received.
func (m *Recorder) Count(p Purpose, d Direction, messages, bytes int) {
	if m == nil {
		return
	}
	m.messages[p][d].messages.Add(uint64(messages))
	m.messages[p][d].bytes.Add(uint64(bytes))
}

// CountProposal counts an entry that this process put to the leader, or to itself as such. It may come to nothing.
func (m *Recorder) CountProposal(c *store.Command) {
	if m != nil {
		m.proposed[m.CommandPurpose(c)].Add(1)
	}
}

// CountApplied counts an entry of the log that this replica applied, of so many encoded bytes.
func (m *Recorder) CountApplied(c *store.Command, bytes int) {
	if m != nil {
		a := &m.applied[m.CommandPurpose(c)]
		a.messages.Add(1)
		a.bytes.Add(uint64(bytes))
	}
}

// CountWrite counts bytes that were written to a file, and the syncs that were waited for.
func (m *Recorder) CountWrite(f File, syncs, bytes int) {
	if m == nil {
		return
	}
	m.written[f].syncs.Add(uint64(syncs))
	m.written[f].bytes.Add(uint64(bytes))
}

// WrapConn counts a connection, and what crosses it from now on. It is to be put below TLS.
func (m *Recorder) WrapConn(c net.Conn) net.Conn {
	if m == nil {
		return c
	}
	m.connections.Add(1)
	return &countedConn{c, m}
}

type countedConn struct {
	net.Conn
	m *Recorder
}

func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.m.connBytes[In].Add(uint64(max(0, n)))
	return n, err
}

func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.m.connBytes[Out].Add(uint64(max(0, n)))
	return n, err
}

// CloseWrite is what an HTTP server looks for, so that its last words are read before it closes.
func (c *countedConn) CloseWrite() error {
	if x, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return x.CloseWrite()
	}
	return nil
}

// WrapListener counts what comes to a listener. It is to be put below TLS.
func (m *Recorder) WrapListener(ln net.Listener) net.Listener {
	if m == nil {
		return ln
	}
	return &countedListener{ln, m}
}

type countedListener struct {
	net.Listener
	m *Recorder
}

func (l *countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.m.WrapConn(c), nil
}

// PurposeUsage is what was counted for one purpose. Entries and their bytes are of the log, as it is encoded.
type PurposeUsage struct {
	Purpose      string `json:"purpose"`
	MessagesIn   uint64 `json:"messages_in"`
	BytesIn      uint64 `json:"bytes_in"`
	MessagesOut  uint64 `json:"messages_out"`
	BytesOut     uint64 `json:"bytes_out"`
	Proposed     uint64 `json:"entries_proposed"`
	Applied      uint64 `json:"entries_applied"`
	AppliedBytes uint64 `json:"entries_applied_bytes"`
}

// FileUsage is what was written for one file.
type FileUsage struct {
	File  string `json:"file"`
	Syncs uint64 `json:"syncs"`
	Bytes uint64 `json:"bytes"`
}

// Connections are those of the control plane that were opened, by either side, and all bytes that crossed them, with TLS and HTTP.
type Connections struct {
	Opened   uint64 `json:"opened"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Reading is all that was counted. Its figures are read one after another: those that belong together may differ by what happens
// meanwhile.
type Reading struct {
	Seconds     float64        `json:"seconds"` // since the meter was made
	Purposes    []PurposeUsage `json:"purposes"`
	Connections Connections    `json:"connections"`
	Written     []FileUsage    `json:"written"`
	Process     Process        `json:"process"`
}

// Read returns what was counted, every purpose and file in its order, and how the process stands now.
func (m *Recorder) Read() Reading {
	r := m.ReadCounters()
	r.Process = ReadProcess()
	return r
}

// ReadCounters is Read without the process, for one in which several count.
func (m *Recorder) ReadCounters() Reading {
	r := Reading{Purposes: make([]PurposeUsage, purposeCount), Written: make([]FileUsage, fileCount)}
	for p := range purposeCount {
		r.Purposes[p].Purpose = p.String()
	}
	for f := range fileCount {
		r.Written[f].File = f.String()
	}
	if m == nil {
		return r
	}
	r.Seconds = time.Since(m.startedAt).Seconds()
	for p := range r.Purposes {
		x, in, out := &r.Purposes[p], &m.messages[p][In], &m.messages[p][Out]
		x.MessagesIn, x.BytesIn, x.MessagesOut, x.BytesOut = in.messages.Load(), in.bytes.Load(), out.messages.Load(), out.bytes.Load()
		x.Proposed, x.Applied, x.AppliedBytes = m.proposed[p].Load(), m.applied[p].messages.Load(), m.applied[p].bytes.Load()
	}
	for f := range r.Written {
		r.Written[f].Syncs, r.Written[f].Bytes = m.written[f].syncs.Load(), m.written[f].bytes.Load()
	}
	r.Connections = Connections{Opened: m.connections.Load(), BytesIn: m.connBytes[In].Load(), BytesOut: m.connBytes[Out].Load()}
	return r
}
