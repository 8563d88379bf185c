package serverstate

import (
	"net/url"
	"strconv"
	"strings"
)

// Process identifies one process of a server, to which a drain or a start applies. The same ID at another address, the
// same address under another ID, and the same server after a restart are different processes: a drain of one does not
// apply to the others.
type Process struct {
	ID, Addr  string
	StartedMs int64 // start time in Unix milliseconds by the server's own clock; 0: not reported
}

// ServerName encodes the process as a part of a key.
func (p Process) ServerName() string {
	return url.QueryEscape(p.ID) + "@" + url.QueryEscape(p.Addr) + "@" + strconv.FormatInt(p.StartedMs, 10)
}

// ParseProcess parses a ServerName. ok is false if the name is malformed or the ID is empty.
func ParseProcess(name string) (process Process, ok bool) {
	parts := strings.Split(name, "@")
	if len(parts) != 3 {
		return Process{}, false
	}
	id, idErr := url.QueryUnescape(parts[0])
	addr, addrErr := url.QueryUnescape(parts[1])
	startedMs, startedErr := strconv.ParseInt(parts[2], 10, 64)
	process = Process{ID: id, Addr: addr, StartedMs: startedMs}
	return process, idErr == nil && addrErr == nil && startedErr == nil && id != ""
}
