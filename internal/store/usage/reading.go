package usage

import "time"

// Reading has everything that a recorder counted. Its figures are not read atomically, so related figures may differ by
// what was counted in between.
type Reading struct {
	Seconds     float64        `json:"seconds"` // since the recorder was created
	Purposes    []PurposeUsage `json:"purposes"`
	Connections Connections    `json:"connections"`
	Written     []FileUsage    `json:"written"`
	Process     Process        `json:"process"`
}

// PurposeUsage has the counts for one purpose: of messages, and of entries in the log of the store with their encoded
// size.
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

// FileUsage has the number of syncs of one file, and of bytes written to it.
type FileUsage struct {
	File  string `json:"file"`
	Syncs uint64 `json:"syncs"`
	Bytes uint64 `json:"bytes"`
}

// Connections has the number of the control plane's connections, whichever side opened them, and of the bytes that they
// transferred, including those of TLS and HTTP.
type Connections struct {
	Opened   uint64 `json:"opened"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Read returns the counts of all purposes and files, in the order of their constants, and the resources of the process.
// A nil Recorder returns counts of 0.
func (r *Recorder) Read() Reading {
	reading := r.ReadCounters()
	reading.Process = ReadProcess()
	return reading
}

// ReadCounters is Read without the resources of the process, for a process that has several recorders.
func (r *Recorder) ReadCounters() Reading {
	reading := Reading{Purposes: make([]PurposeUsage, purposeCount), Written: make([]FileUsage, fileCount)}
	for purpose := range purposeCount {
		reading.Purposes[purpose].Purpose = purpose.String()
	}
	for file := range fileCount {
		reading.Written[file].File = file.String()
	}
	if r == nil {
		return reading
	}
	reading.Seconds = time.Since(r.startedAt).Seconds()
	for purpose := range reading.Purposes {
		r.readPurpose(purpose, &reading.Purposes[purpose])
	}
	for file := range reading.Written {
		reading.Written[file].Syncs = r.written[file].syncs.Load()
		reading.Written[file].Bytes = r.written[file].bytes.Load()
	}
	reading.Connections = Connections{
		Opened:   r.connections.Load(),
		BytesIn:  r.connBytes[In].Load(),
		BytesOut: r.connBytes[Out].Load(),
	}
	return reading
}

func (r *Recorder) readPurpose(purpose int, usage *PurposeUsage) {
	in, out := &r.messages[purpose][In], &r.messages[purpose][Out]
	usage.MessagesIn = in.messages.Load()
	usage.BytesIn = in.bytes.Load()
	usage.MessagesOut = out.messages.Load()
	usage.BytesOut = out.bytes.Load()
	usage.Proposed = r.proposed[purpose].Load()
	usage.Applied = r.applied[purpose].messages.Load()
	usage.AppliedBytes = r.applied[purpose].bytes.Load()
}
