package bytebudget

import (
	"context"
	"testing"
	"testing/synctest"
)

// The budget lets in turn, and takes back what was given up.
func TestBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := New(10)
		if err := b.Acquire(t.Context(), 50); err != nil { // more than the whole, alone
			t.Fatal(err)
		}
		ctx, cancel := context.WithCancel(t.Context())
		gaveUp, let := make(chan error, 1), make(chan error, 1)
		go func() { gaveUp <- b.Acquire(ctx, 8) }()
		synctest.Wait()
		go func() { let <- b.Acquire(t.Context(), 4) }()
		synctest.Wait()
		cancel()
		if err := <-gaveUp; err == nil {
			t.Error("what did not fit was let in")
		}
		select {
		case <-let:
			t.Error("let in beyond the budget")
		default:
		}
		b.Release(50)
		if err := <-let; err != nil || b.used != 4 {
			t.Errorf("%v, %d used", err, b.used)
		}
		b.Resize(3)
		b.Release(4)
		if b.used != 0 {
			t.Errorf("%d used", b.used)
		}
	})
}
