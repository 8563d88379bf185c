package soak

import (
	"bytes"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/lab/tasklab"
)

// Defect is an injected defect of the sidecars. Tests use it to check that a run reports violations of Rule.
type Defect struct {
	Name  string
	Rule  Rule   // violated by the defect
	About string // a description for the command line
}

// Names of the injected defects.
const (
	exitsAtOnce   = "ends-at-once"
	retriesUnsafe = "repeats-all"
	leaksFiles    = "keeps-files"
	noLinger      = "no-linger"
	ignoresDrains = "deaf-to-drains"
)

// Defects are all injected defects.
var Defects = []Defect{
	{exitsAtOnce, OneAnswer, "a process exits on SIGTERM without answering its open requests"},
	{retriesUnsafe, NoRepeat, "a class that must not be retried is treated as one that may be"},
	{leaksFiles, Descriptors, "files are opened and never closed"},
	{noLinger, Limits, "the quotas of ended processes are free at once"},
	{ignoresDrains, AfterDrain, "reports of discovery are not received"},
}

const (
	defectEnv    = "BIRCHMOOR_SOAK_DEFECT"
	leakedFiles  = 2 * descriptorSlack
	leakInterval = 10 * time.Millisecond
	leakDelay    = 3 * time.Second // from the start of the process, after the lab has counted its descriptors
)

// FindDefect returns the defect with a name; its second result is false if there is none.
func FindDefect(name string) (Defect, bool) {
	index := slices.IndexFunc(Defects, func(d Defect) bool { return d.Name == name })
	if index < 0 {
		return Defect{}, false
	}
	return Defects[index], true
}

// Env returns the environment variables that make a process of a test build inject the defect into itself.
func (d Defect) Env() []string {
	if d.Name == noLinger {
		return []string{fmt.Sprintf("%s=%d", tasklab.QuotaDefectEnv, quota.NoLinger)}
	}
	return []string{defectEnv + "=" + d.Name}
}

// InjectDefect injects the defect that the environment names into this process, if it names one. Only test builds call
// it.
func InjectDefect() error {
	switch os.Getenv(defectEnv) {
	case exitsAtOnce:
		terminated := make(chan os.Signal, 1)
		signal.Notify(terminated, syscall.SIGTERM)
		go func() {
			<-terminated
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // os.Exit would take a second under the race detector
		}()
	case retriesUnsafe:
		return allowUnsafeRetries()
	case leaksFiles:
		go leakFiles()
	case ignoresDrains:
		const unusedAddress = "127.0.0.1:1"
		return os.Setenv("ROUTER_DISCOVERY", unusedAddress)
	}
	return nil
}

// allowUnsafeRetries replaces the configuration by one in which a class that must not be retried may be.
func allowUnsafeRetries() error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return nil
	}
	content, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed := filepath.Join(os.Getenv("TMPDIR"), "repeated.json")
	const unsafeRepeat, tokenRepeat = `"side_effect"`, `"token","group":"all","window":30000000`
	content = bytes.ReplaceAll(content, []byte(unsafeRepeat), []byte(tokenRepeat))
	if err := os.WriteFile(changed, content, 0o600); err != nil {
		return err
	}
	return os.Setenv("ROUTER_CONFIG", changed)
}

// leakFiles opens files and never closes them.
func leakFiles() {
	time.Sleep(leakDelay)
	for range leakedFiles {
		time.Sleep(leakInterval)
		_, _ = syscall.Open(os.DevNull, syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
	}
}
