package dnsfront

import (
	"testing"

	"go.uber.org/goleak"
)

// Whatever happened, nothing is left running.
func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }
