package serverstate

import (
	"net/url"
	"strconv"
	"strings"
)

// Process is one process of a server, for which a drain holds. The same id at another address, the same address under
// another id, and the same server after a new start are others: a drain says nothing of them, and none of them needs
// anybody's leave to serve.
type Process struct {
	ID, Addr  string
	StartedMs int64 // by that server's own clock; 0: not told
}

// ServerName is its name in a key.
func (p Process) ServerName() string {
	return url.QueryEscape(p.ID) + "@" + url.QueryEscape(p.Addr) + "@" + strconv.FormatInt(p.StartedMs, 10)
}

// ParseProcess reads such a name.
func ParseProcess(server string) (p Process, ok bool) {
	parts := strings.Split(server, "@")
	if len(parts) != 3 {
		return p, false
	}
	var bad [3]error
	p.ID, bad[0] = url.QueryUnescape(parts[0])
	p.Addr, bad[1] = url.QueryUnescape(parts[1])
	p.StartedMs, bad[2] = strconv.ParseInt(parts[2], 10, 64)
	return p, bad == [3]error{} && p.ID != ""
}

// IsDraining says whether a process is known to drain, whoever says so.
func (g *Guard) IsDraining(p Process) bool { return g.excludedAs(Drain, p.ServerName()) }

// DrainRevision is the revision of the store that says that a process drains, or 0.
func (g *Guard) DrainRevision(p Process) uint64 {
	if w := g.exclusions[ExclusionKey(Drain, p.ServerName())]; w != nil {
		return w.committedRevision
	}
	return 0
}

// Draining lists the processes that are known to drain.
func (g *Guard) Draining() []Process {
	var all []Process
	for _, o := range g.Exclusions() {
		if p, ok := ParseProcess(o.Server); ok && o.Kind == Drain {
			all = append(all, p)
		}
	}
	return all
}
