package address

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// A child process that is forked while an address is handed out must not keep the port in use.
func TestNextBesideForks(t *testing.T) {
	const forkers, addresses = 8, 4000
	var stop atomic.Bool
	var wg sync.WaitGroup
	for range forkers {
		wg.Go(func() {
			for !stop.Load() {
				if err := exec.Command("/bin/true").Run(); err != nil {
					t.Error(err)
					return
				}
			}
		})
	}
	refused := 0
	for range addresses {
		ln, err := net.Listen("tcp", Next())
		if err != nil {
			refused++
			continue
		}
		if err := ln.Close(); err != nil {
			t.Error(err)
		}
	}
	stop.Store(true)
	wg.Wait()
	if refused > 0 {
		t.Errorf("%d of %d listens were refused", refused, addresses)
	}
}
