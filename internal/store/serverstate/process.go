package serverstate

import (
	"net/url"
	"strconv"
	"strings"
)

// Process is one process of a server, to which a drain or a start applies. The same id at another address, the
// same address under another id, and the same server after a restart are other processes: a drain says nothing
// of them.
type Process struct {
	ID, Addr  string
	StartedMs int64 // Unix milliseconds by that server's own clock; 0: not reported
}

// ServerName is the process as a part of a key.
func (p Process) ServerName() string {
	return url.QueryEscape(p.ID) + "@" + url.QueryEscape(p.Addr) + "@" + strconv.FormatInt(p.StartedMs, 10)
}

// ParseProcess parses a ServerName.
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
