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
	const addresses = 4000
	refused := 0
	besideForks(t, func() {
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
	})
	if refused > 0 {
		t.Errorf("%d of %d listens were refused", refused, addresses)
	}
}

// Guards against "address already in use" where an address is listened on again, beside other processes' starts.
func TestReleasedAddressIsFreeBesideForks(t *testing.T) {
	const listens = 4000
	refused := 0
	besideForks(t, func() {
		addr := Next()
		for range listens {
			ln, err := net.Listen("tcp", addr)
			if err != nil {
				refused++
				continue
			}
			if err := Release(ln); err != nil {
				t.Error(err)
			}
		}
	})
	if refused > 0 {
		t.Errorf("%d of %d listens were refused", refused, listens)
	}
}

// besideForks calls do while other goroutines start processes.
func besideForks(t *testing.T, do func()) {
	t.Helper()
	const forkers = 8
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
	do()
	stop.Store(true)
	wg.Wait()
}
