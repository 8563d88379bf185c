package address

import (
	"net"
	"os/exec"
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against ports that are still in use when they are handed out: a child process that is forked at that moment
// inherits the listening sockets of this process.
func TestNextReturnsFreeAddressDuringForks(t *testing.T) {
	const addresses = 4000
	refused := 0
	whileForking(t, func() {
		for range addresses {
			listener, err := net.Listen("tcp", Next())
			if err != nil {
				refused++
				continue
			}
			if err := listener.Close(); err != nil {
				t.Error(err)
			}
		}
	})
	if refused > 0 {
		t.Errorf("%d of %d listens on new addresses failed", refused, addresses)
	}
}

// Guards against "address already in use" when an address is listened on again while other processes are started.
func TestReleasedAddressIsFreeDuringForks(t *testing.T) {
	const listens = 4000
	refused := 0
	whileForking(t, func() {
		addr := Next()
		for range listens {
			listener, err := net.Listen("tcp", addr)
			if err != nil {
				refused++
				continue
			}
			if err := Release(listener); err != nil {
				t.Error(err)
			}
		}
	})
	if refused > 0 {
		t.Errorf("%d of %d listens on a released address failed", refused, listens)
	}
}

// whileForking calls f while other goroutines start processes.
func whileForking(t *testing.T, f func()) {
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
	f()
	stop.Store(true)
	wg.Wait()
}
