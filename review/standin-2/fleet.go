package main

import (
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"
)

// fleet starts servers, discovery and one sidecar that is ready.
func fleet(e *env, servers int, set map[string]any) (*idSet, []*server, *discovery, *sidecar) {
	ids := newIDSet()
	var all []*server
	for i := range servers {
		speed := []float64{2, 1.2, 0.8}[i%3]
		all = append(all, newServer(e, "s-"+newID()[:8], ids, func() time.Duration {
			return time.Duration((56 + 80*rand.Float64()) / speed * float64(time.Millisecond))
		}))
	}
	d := newDiscovery(e, all)
	tmp := filepath.Join(e.dir, "tmp")
	if err := os.Mkdir(tmp, 0o700); err != nil {
		cannotRun("%v", err)
	}
	addr, mgmt := freeAddr(), freeAddr()
	s := e.startSidecar(e.writeConfig("config.json", addr, mgmt, d.addr, d.known(), set), addr, mgmt, tmp, nil)
	s.awaitReady()
	return ids, all, d, s
}

func anyClass() class { return classes[rand.IntN(len(classes))] }
