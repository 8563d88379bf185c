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

// Defect is one that tests inject into the sidecars, and that a run is to find by the rule that it breaks.
type Defect struct {
	Name  string
	Rule  Rule
	About string
}

// Names of defects.
const (
	endsAtOnce   = "ends-at-once"
	repeatsAll   = "repeats-all"
	keepsFiles   = "keeps-files"
	noLinger     = "no-linger"
	deafToDrains = "deaf-to-drains"
)

// Defects are all of them.
var Defects = []Defect{
	{endsAtOnce, OneAnswer, "SIGTERM ends a process without an answer to what is open"},
	{repeatsAll, NoRepeat, "a class that must not be repeated is taken for one that may be"},
	{keepsFiles, Descriptors, "files stay open"},
	{noLinger, Limits, "the quotas of departed processes are free at once"},
	{deafToDrains, AfterDrain, "discovery is not heard"},
}

const (
	defectEnv     = "BIRCHMOOR_SOAK_DEFECT"
	leakedFiles   = 2 * descriptorSlack
	keepsInterval = 10 * time.Millisecond
	keepsAfter    = 3 * time.Second // from the process's start on: after the lab has counted
)

// FindDefect returns the defect with a name.
func FindDefect(name string) (Defect, bool) {
	at := slices.IndexFunc(Defects, func(d Defect) bool { return d.Name == name })
	if at < 0 {
		return Defect{}, false
	}
	return Defects[at], true
}

// Env is the environment that has a process of a build for tests inject the defect.
func (d Defect) Env() []string {
	if d.Name == noLinger {
		return []string{fmt.Sprintf("%s=%d", tasklab.QuotaDefectEnv, quota.NoLinger)}
	}
	return []string{defectEnv + "=" + d.Name}
}

// InjectDefect injects the defect that the environment names into this process. Only builds for tests call it.
func InjectDefect() error {
	switch os.Getenv(defectEnv) {
	case endsAtOnce:
		terminated := make(chan os.Signal, 1)
		signal.Notify(terminated, syscall.SIGTERM)
		go func() {
			<-terminated
			_ = syscall.Kill(os.Getpid(), syscall.SIGKILL) // os.Exit would take a second under the race detector
		}()
	case repeatsAll:
		return repeatAll()
	case keepsFiles:
		go keepFiles()
	case deafToDrains:
		const unusedAddress = "127.0.0.1:1"
		return os.Setenv("ROUTER_DISCOVERY", unusedAddress)
	}
	return nil
}

// repeatAll replaces the configuration by one in which a class that must not be repeated may be.
func repeatAll() error {
	path := os.Getenv("ROUTER_CONFIG")
	if path == "" {
		return nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	changed := filepath.Join(os.Getenv("TMPDIR"), "repeated.json")
	const once, again = `"side_effect"`, `"token","group":"all","window":30000000`
	text = bytes.ReplaceAll(text, []byte(once), []byte(again))
	if err := os.WriteFile(changed, text, 0o600); err != nil {
		return err
	}
	return os.Setenv("ROUTER_CONFIG", changed)
}

func keepFiles() {
	time.Sleep(keepsAfter)
	for range leakedFiles {
		time.Sleep(keepsInterval)
		_, _ = syscall.Open(os.DevNull, syscall.O_RDONLY|syscall.O_CLOEXEC, 0)
	}
}
