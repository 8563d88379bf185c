package dnsfront

import (
	"testing"

	"go.uber.org/goleak"
)

// TestMain fails the tests if goroutines are left running after them.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
