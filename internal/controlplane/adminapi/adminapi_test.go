package adminapi

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/store"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// A daemon without a replica has places of its own name, and nothing else of tasks or settings.
func TestWhatIsAFollowersToWrite(t *testing.T) {
	p := Components{}
	for name, x := range map[string]struct {
		op    store.Op
		owner string
		ok    bool
	}{
		"a place":                    {store.Op{Key: lease.QueueEntryKey("one", "f", "1"), LeaseID: 7}, "f", true},
		"another's place":            {store.Op{Key: lease.QueueEntryKey("one", "g", "1"), LeaseID: 7}, "f", false},
		"a place for good":           {store.Op{Key: lease.QueueEntryKey("one", "f", "1")}, "f", false},
		"a place as nobody":          {store.Op{Key: lease.QueueEntryKey("one", "f", "1"), LeaseID: 7}, "", false},
		"its own removed":            {store.Op{Key: lease.QueueEntryKey("one", "f", "1"), Delete: true}, "f", true},
		"another's removed":          {store.Op{Key: lease.QueueEntryKey("one", "g", "1"), Delete: true}, "f", false},
		"slots":                      {store.Op{Key: lease.TaskConfigPrefix + "one"}, "f", true},
		"slots as nobody":            {store.Op{Key: lease.TaskConfigPrefix + "one"}, "", false},
		"slots removed":              {store.Op{Key: lease.TaskConfigPrefix + "one", Delete: true}, "f", false},
		"what a task did":            {store.Op{Key: "task/done/one"}, "f", true},
		"how a plan goes with it":    {store.Op{Key: "config/report/f"}, "f", true},
		"how one goes with another":  {store.Op{Key: "config/report/g"}, "f", false},
		"an order of operators'":     {store.Op{Key: lease.OverridePrefix + "one"}, "f", false},
		"the end of the holding-off": {store.Op{Key: lease.SuspendKey, Delete: true}, "f", false},
		"what it wants of limits":    {store.Op{Key: "limit/need/f/7", LeaseID: 7}, "f", true},
		"by another's session":       {store.Op{Key: "limit/need/f/7", LeaseID: 8}, "f", false},
		"what another wants":         {store.Op{Key: "limit/need/g/7", LeaseID: 7}, "f", false},
		"a share":                    {store.Op{Key: "limit/grant/f/7"}, "f", false},
		"limits":                     {store.Op{Key: "limit/conf"}, "f", false},
		"settings":                   {store.Op{Key: "config/current"}, "f", false},
	} {
		if ok := p.FollowerRules().May(x.op, x.owner); ok != x.ok {
			t.Errorf("%s: %v", name, ok)
		}
	}
}

// Arrows go one way: nothing of the store knows the parts of a daemon, and no part knows how operators reach it.
func TestImports(t *testing.T) {
	const control = "birchmoor/internal/controlplane/"
	above := map[string][]string{
		"../../store":  {"daemon", "leasetask", "lease", "rollout", "adminapi", "quota", "quotasync"},
		"../lease":     {"daemon", "leasetask", "adminapi"},
		"../daemon":    {"leasetask", "adminapi"},
		"../leasetask": {"adminapi", "quotasync"},
		"../quota":     {"daemon", "leasetask", "quotasync", "adminapi"},
		"../quotasync": {"adminapi"},
	}
	for root, banned := range above {
		err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, i := range f.Imports {
				for _, b := range banned {
					if i.Path.Value == strconv.Quote(control+b) {
						t.Errorf("%s imports %s", path, b)
					}
				}
			}
			return nil
		})
		if err != nil {
			t.Error(err)
		}
	}
}

// What keys and commands are for comes from the packages that name the keys.
func TestWhatKeysAreFor(t *testing.T) {
	m := NewMeter()
	p := serverstate.Process{ID: "s", Addr: "a", StartedMs: 1}
	for key, want := range map[string]usage.Purpose{
		serverstate.ExclusionKey(serverstate.Drain, "s"): usage.Words, serverstate.ExclusionKey(serverstate.AdminDrain, "s"): usage.Words, serverstate.StartKey(p): usage.Words,
		serverstate.SnapshotKey("h", "http"): usage.Pictures, daemon.ConfigPrefix + "current": usage.Settings,
		quota.ConfigKey: usage.Shares, quota.AllocationKey: usage.Shares, quota.Process{Host: "h", Session: 1}.DemandKey(): usage.Shares,
		quota.Process{Host: "h", Session: 1}.GrantKey(): usage.Shares, lease.QueueEntryKey("one", "h", "1"): usage.Tasks,
		leasetask.ReportPrefix + "one": usage.Tasks, lease.SuspendKey: usage.Tasks, "an operator's": usage.Other, "": usage.Other,
	} {
		if got := m.KeyPurpose(key); got != want {
			t.Errorf("%q is for %v, and not %v", key, got, want)
		}
	}
	put := func(key string) []store.Op { return []store.Op{{Key: key}} }
	for name, x := range map[string]struct {
		c    store.Command
		want usage.Purpose
	}{
		"a grant": {store.Command{GrantLease: &store.GrantLease{}}, usage.Sessions}, "a renewal": {store.Command{RenewLease: &store.RenewLease{}}, usage.Sessions},
		"an end": {store.Command{RevokeLease: &store.RevokeLease{}}, usage.Sessions}, "a member": {store.Command{AddMember: &store.AddMember{}}, usage.Raft},
		"a level": {store.Command{RaiseLevel: &store.RaiseLevel{}}, usage.Raft}, "nothing": {store.Command{}, usage.Other},
		"a put":             {store.Command{Txn: &store.Txn{Then: put("limit/x"), Else: put("out/x")}}, usage.Shares},
		"a put if not":      {store.Command{Txn: &store.Txn{Else: put("out/x"), If: []store.Compare{{Key: "task/x"}}}}, usage.Words},
		"a comparison":      {store.Command{Txn: &store.Txn{If: []store.Compare{{Key: "task/x"}}}}, usage.Tasks},
		"an empty exchange": {store.Command{Txn: &store.Txn{}}, usage.Other},
	} {
		if got := m.CommandPurpose(&x.c); got != x.want {
			t.Errorf("%s is for %v, and not %v", name, got, x.want)
		}
	}
}
