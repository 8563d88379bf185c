package bytebudget

import (
	"context"
	"testing"
	"testing/synctest"
)

// The budget grants in the order of the queue, and does not grant what was abandoned.
func TestAcquireGrantsInOrderAndForgetsAbandonedWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10)
		if err := b.Acquire(t.Context(), 50); err != nil { // more than the capacity, alone
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		abandoned, granted := make(chan error, 1), make(chan error, 1)
		go func() { abandoned <- b.Acquire(ctx, 8) }()
		synctest.Wait()
		go func() { granted <- b.Acquire(t.Context(), 4) }()
		synctest.Wait()
		cancel()
		if err := <-abandoned; err == nil {
			t.Error("what did not fit was granted")
		}
		select {
		case err := <-granted:
			t.Error("granted beyond the capacity:", err)
		default:
		}
		b.Release(50)
		if err := <-granted; err != nil || b.used != 4 {
			t.Errorf("%v, %d used", err, b.used)
		}
		b.Resize(3)
		b.Release(4)
		if b.used != 0 {
			t.Errorf("%d used", b.used)
		}
	})
}
