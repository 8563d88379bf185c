package bytebudget

import (
	"context"
	"testing"
	"testing/synctest"
)

// The budget grants bytes in order of arrival, and grants none to a waiter whose context has ended.
func TestAcquireGrantsInOrderAndSkipsCancelledWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10)
		if err := b.Acquire(t.Context(), 50); err != nil { // more than the budget, while no bytes are held
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		cancelled, granted := make(chan error, 1), make(chan error, 1)
		go func() { cancelled <- b.Acquire(ctx, 8) }()
		synctest.Wait()
		go func() { granted <- b.Acquire(t.Context(), 4) }()
		synctest.Wait()
		cancel()
		if err := <-cancelled; err == nil {
			t.Error("8 bytes were granted while the budget was exceeded")
		}
		select {
		case err := <-granted:
			t.Error("4 bytes were granted while the budget was exceeded, or their wait failed:", err)
		default:
		}
		b.Release(50)
		if err := <-granted; err != nil || b.usedBytes != 4 {
			t.Errorf("after the release of 50 bytes: error %v, %d bytes used, want 4", err, b.usedBytes)
		}
		b.Resize(3)
		b.Release(4)
		if b.usedBytes != 0 {
			t.Errorf("after all bytes were released: %d bytes used, want 0", b.usedBytes)
		}
	})
}

// TryAcquire grants bytes only if they fit at once and nobody waits for others.
func TestTryAcquireNeitherWaitsNorOvertakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10)
		if !b.TryAcquire(6) || b.TryAcquire(5) || b.usedBytes != 6 {
			t.Errorf("%d bytes used, want the first 6 of 6 and 5", b.usedBytes)
		}
		granted := make(chan error, 1)
		go func() { granted <- b.Acquire(t.Context(), 8) }()
		synctest.Wait()
		if b.TryAcquire(1) {
			t.Error("1 byte was granted while another caller waits")
		}
		b.Release(6)
		if err := <-granted; err != nil || !b.TryAcquire(2) || b.TryAcquire(1) {
			t.Errorf("after the release: error %v, %d bytes used, want all 10", err, b.usedBytes)
		}
	})
}
