package handover

import (
	"context"
	"errors"
	"fmt"
	"os"
	"syscall"
	"time"
)

const (
	lockFileSuffix   = ".lock"
	lockPollInterval = 10 * time.Millisecond
)

// Lock waits until this process holds the lock file next to path. While a process holds it, it joins the old process at
// path, takes over from it, and listens at path itself. The lock makes this one process at a time, so that of two that
// start together the second finds the first. The operating system releases the lock when its holder ends.
func Lock(ctx context.Context, path string) (unlock func(), err error) {
	file, err := os.OpenFile(path+lockFileSuffix, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	for {
		err := syscall.Flock(int(file.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = file.Close() }, nil
		}
		if !errors.Is(err, syscall.EWOULDBLOCK) && !errors.Is(err, syscall.EINTR) {
			_ = file.Close()
			return nil, fmt.Errorf("handover: lock %s: %w", file.Name(), err)
		}
		select {
		case <-time.After(lockPollInterval):
		case <-ctx.Done():
			_ = file.Close()
			return nil, ctx.Err()
		}
	}
}
