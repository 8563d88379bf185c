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

// A daemon without a replica may write only its own records of tasks, settings and limits.
func TestFollowerRulesAllowOwnRecordsOnly(t *testing.T) {
	queueEntryKey := func(owner string) string { return lease.QueueEntryKey("one", owner, "1") }
	rules := Components{}.FollowerRules()
	for name, test := range map[string]struct {
		op    store.Op
		owner string
		ok    bool
	}{
		"a queue entry":                       {store.Op{Key: queueEntryKey("f"), LeaseID: 7}, "f", true},
		"another's queue entry":               {store.Op{Key: queueEntryKey("g"), LeaseID: 7}, "f", false},
		"a queue entry without a lease":       {store.Op{Key: queueEntryKey("f")}, "f", false},
		"a queue entry without an owner":      {store.Op{Key: queueEntryKey("f"), LeaseID: 7}, "", false},
		"its own queue entry deleted":         {store.Op{Key: queueEntryKey("f"), Delete: true}, "f", true},
		"another's queue entry deleted":       {store.Op{Key: queueEntryKey("g"), Delete: true}, "f", false},
		"slots":                               {store.Op{Key: lease.TaskConfigPrefix + "one"}, "f", true},
		"slots without an owner":              {store.Op{Key: lease.TaskConfigPrefix + "one"}, "", false},
		"slots deleted":                       {store.Op{Key: lease.TaskConfigPrefix + "one", Delete: true}, "f", false},
		"a report of a task's action":         {store.Op{Key: "task/done/one"}, "f", true},
		"its report of a rollout":             {store.Op{Key: "config/report/f"}, "f", true},
		"another's report of a rollout":       {store.Op{Key: "config/report/g"}, "f", false},
		"an operator's override":              {store.Op{Key: lease.OverridePrefix + "one"}, "f", false},
		"the end of a suspension":             {store.Op{Key: lease.SuspendKey, Delete: true}, "f", false},
		"its demand":                          {store.Op{Key: "limit/need/f/7", LeaseID: 7}, "f", true},
		"its demand bound to another session": {store.Op{Key: "limit/need/f/7", LeaseID: 8}, "f", false},
		"another's demand":                    {store.Op{Key: "limit/need/g/7", LeaseID: 7}, "f", false},
		"a grant":                             {store.Op{Key: "limit/grant/f/7"}, "f", false},
		"limits":                              {store.Op{Key: "limit/conf"}, "f", false},
		"settings":                            {store.Op{Key: "config/current"}, "f", false},
	} {
		if allowed := rules.Allowed(test.op, test.owner); allowed != test.ok {
			t.Errorf("operation on %s: allowed is %v", name, allowed)
		}
	}
}

// The store's packages do not import the control plane, and no component of a daemon imports a package that builds on
// it.
func TestImports(t *testing.T) {
	const controlPlane = "birchmoor/internal/controlplane/"
	forbidden := map[string][]string{
		"../../store":  {"daemon", "leasetask", "lease", "rollout", "adminapi", "quota", "quotasync"},
		"../lease":     {"daemon", "leasetask", "adminapi"},
		"../daemon":    {"leasetask", "adminapi"},
		"../leasetask": {"adminapi", "quotasync"},
		"../quota":     {"daemon", "leasetask", "quotasync", "adminapi"},
		"../quotasync": {"adminapi"},
	}
	for root, banned := range forbidden {
		err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
			if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
				return err
			}
			file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
			if err != nil {
				return err
			}
			for _, imported := range file.Imports {
				for _, name := range banned {
					if imported.Path.Value == strconv.Quote(controlPlane+name) {
						t.Errorf("%s imports %s", path, name)
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

// NewUsageRecorder assigns the keys of each component, and commands that change them, to the right purposes.
func TestUsageRecorderKnowsPurposesOfKeysAndCommands(t *testing.T) {
	recorder := NewUsageRecorder()
	server := serverstate.Process{ID: "s", Addr: "a", StartedMs: 1}
	process := quota.Process{Host: "h", Session: 1}
	for key, want := range map[string]usage.Purpose{
		serverstate.ExclusionKey(serverstate.Drain, "s"):      usage.ServerReports,
		serverstate.ExclusionKey(serverstate.AdminDrain, "s"): usage.ServerReports,
		serverstate.StartKey(server):                          usage.ServerReports,
		serverstate.SnapshotKey("h", "http"):                  usage.ModuleSnapshots,
		daemon.ConfigPrefix + "current":                       usage.Settings,
		quota.ConfigKey:                                       usage.Quotas,
		quota.AllocationKey:                                   usage.Quotas,
		process.DemandKey():                                   usage.Quotas,
		process.GrantKey():                                    usage.Quotas,
		lease.QueueEntryKey("one", "h", "1"):                  usage.Tasks,
		leasetask.ReportPrefix + "one":                        usage.Tasks,
		lease.SuspendKey:                                      usage.Tasks,
		"an operator's":                                       usage.Other,
		"":                                                    usage.Other,
	} {
		if got := recorder.KeyPurpose(key); got != want {
			t.Errorf("key %q has the purpose %v, want %v", key, got, want)
		}
	}
	put := func(key string) []store.Op { return []store.Op{{Key: key}} }
	compare := func(key string) []store.Compare { return []store.Compare{{Key: key}} }
	for name, test := range map[string]struct {
		command store.Command
		want    usage.Purpose
	}{
		"grant of a lease":   {store.Command{GrantLease: &store.GrantLease{}}, usage.Sessions},
		"renewal of a lease": {store.Command{RenewLease: &store.RenewLease{}}, usage.Sessions},
		"end of a lease":     {store.Command{RevokeLease: &store.RevokeLease{}}, usage.Sessions},
		"new member":         {store.Command{AddMember: &store.AddMember{}}, usage.Raft},
		"new level":          {store.Command{RaiseLevel: &store.RaiseLevel{}}, usage.Raft},
		"nothing":            {store.Command{}, usage.Other},
		"put":                {store.Command{Txn: &store.Txn{Then: put("limit/x"), Else: put("out/x")}}, usage.Quotas},
		"put in else branch": {store.Command{Txn: &store.Txn{Else: put("out/x"), If: compare("task/x")}}, usage.ServerReports},
		"comparison":         {store.Command{Txn: &store.Txn{If: compare("task/x")}}, usage.Tasks},
		"empty transaction":  {store.Command{Txn: &store.Txn{}}, usage.Other},
	} {
		if got := recorder.CommandPurpose(&test.command); got != test.want {
			t.Errorf("command %q has the purpose %v, want %v", name, got, test.want)
		}
	}
}
