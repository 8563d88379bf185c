package usage

import "time"

// Reading is all that was counted. Its figures are read one after another: related ones may differ by what
// happens meanwhile.
type Reading struct {
	Seconds     float64        `json:"seconds"` // since the recorder was created
	Purposes    []PurposeUsage `json:"purposes"`
	Connections Connections    `json:"connections"`
	Written     []FileUsage    `json:"written"`
	Process     Process        `json:"process"`
}

// PurposeUsage is what was counted for one purpose. Entries and their bytes are those of the log, as it is encoded.
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

// FileUsage is what was written to one file.
type FileUsage struct {
	File  string `json:"file"`
	Syncs uint64 `json:"syncs"`
	Bytes uint64 `json:"bytes"`
}

// Connections are the connections of the control plane that either side opened, and all bytes that crossed
// them, those of TLS and HTTP among them.
type Connections struct {
	Opened   uint64 `json:"opened"`
	BytesIn  uint64 `json:"bytes_in"`
	BytesOut uint64 `json:"bytes_out"`
}

// Read returns what was counted, all purposes and files in their order, and the resources of the process.
func (r *Recorder) Read() Reading {
	reading := r.ReadCounters()
	reading.Process = ReadProcess()
	return reading
}

// ReadCounters is Read without the process, for a process that has several recorders.
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
