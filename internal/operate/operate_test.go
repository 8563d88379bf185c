package operate

import (
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/daemon"
	"birchmoor/internal/lease"
	"birchmoor/internal/limit"
	"birchmoor/internal/store"
	"birchmoor/internal/store/meter"
	"birchmoor/internal/store/policy"
	"birchmoor/internal/tasks"
)

// A daemon without a replica has places of its own name, and nothing else of tasks or settings.
func TestWhatIsAFollowersToWrite(t *testing.T) {
	p := Parts{}
	for name, x := range map[string]struct {
		op    store.Op
		owner string
		ok    bool
	}{
		"a place":                    {store.Op{Key: lease.PlaceKey("one", "f", "1"), Lease: 7}, "f", true},
		"another's place":            {store.Op{Key: lease.PlaceKey("one", "g", "1"), Lease: 7}, "f", false},
		"a place for good":           {store.Op{Key: lease.PlaceKey("one", "f", "1")}, "f", false},
		"a place as nobody":          {store.Op{Key: lease.PlaceKey("one", "f", "1"), Lease: 7}, "", false},
		"its own removed":            {store.Op{Key: lease.PlaceKey("one", "f", "1"), Delete: true}, "f", true},
		"another's removed":          {store.Op{Key: lease.PlaceKey("one", "g", "1"), Delete: true}, "f", false},
		"slots":                      {store.Op{Key: lease.ConfPrefix + "one"}, "f", true},
		"slots as nobody":            {store.Op{Key: lease.ConfPrefix + "one"}, "", false},
		"slots removed":              {store.Op{Key: lease.ConfPrefix + "one", Delete: true}, "f", false},
		"what a task did":            {store.Op{Key: "task/done/one"}, "f", true},
		"how a plan goes with it":    {store.Op{Key: "config/report/f"}, "f", true},
		"how one goes with another":  {store.Op{Key: "config/report/g"}, "f", false},
		"an order of operators'":     {store.Op{Key: lease.OrderPrefix + "one"}, "f", false},
		"the end of the holding-off": {store.Op{Key: lease.HoldKey, Delete: true}, "f", false},
		"what it wants of limits":    {store.Op{Key: "limit/need/f/7", Lease: 7}, "f", true},
		"by another's session":       {store.Op{Key: "limit/need/f/7", Lease: 8}, "f", false},
		"what another wants":         {store.Op{Key: "limit/need/g/7", Lease: 7}, "f", false},
		"a share":                    {store.Op{Key: "limit/grant/f/7"}, "f", false},
		"limits":                     {store.Op{Key: "limit/conf"}, "f", false},
		"settings":                   {store.Op{Key: "config/current"}, "f", false},
	} {
		if ok := p.Followers().May(x.op, x.owner); ok != x.ok {
			t.Errorf("%s: %v", name, ok)
		}
	}
}

// Arrows go one way: nothing of the store knows the parts of a daemon, and no part knows how operators reach it.
func TestImports(t *testing.T) {
	above := map[string][]string{
		"../store":  {"daemon", "tasks", "lease", "rollout", "operate", "limit", "limits"},
		"../lease":  {"daemon", "tasks", "operate"},
		"../daemon": {"tasks", "operate"},
		"../tasks":  {"operate", "limits"},
		"../limit":  {"daemon", "tasks", "limits", "operate"},
		"../limits": {"operate"},
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
					if i.Path.Value == `"birchmoor/internal/`+b+`"` {
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
	m := Meter()
	p := policy.Process{ID: "s", Addr: "a", StartedMs: 1}
	for key, want := range map[string]meter.Purpose{
		policy.Key(policy.Drain, "s"): meter.Words, policy.Key(policy.Ban, "s"): meter.Words, policy.StartKey(p): meter.Words,
		policy.PictureKey("h", "http"): meter.Pictures, daemon.ConfigPrefix + "current": meter.Settings,
		limit.ConfKey: meter.Shares, limit.TurnKey: meter.Shares, limit.Process{Host: "h", Session: 1}.NeedKey(): meter.Shares,
		limit.Process{Host: "h", Session: 1}.GrantKey(): meter.Shares, lease.PlaceKey("one", "h", "1"): meter.Tasks,
		tasks.DonePrefix + "one": meter.Tasks, lease.HoldKey: meter.Tasks, "an operator's": meter.Other, "": meter.Other,
	} {
		if got := m.KeyPurpose(key); got != want {
			t.Errorf("%q is for %v, and not %v", key, got, want)
		}
	}
	put := func(key string) []store.Op { return []store.Op{{Key: key}} }
	for name, x := range map[string]struct {
		c    store.Command
		want meter.Purpose
	}{
		"a grant": {store.Command{Grant: &store.Grant{}}, meter.Sessions}, "a renewal": {store.Command{Renew: &store.Renew{}}, meter.Sessions},
		"an end": {store.Command{End: &store.End{}}, meter.Sessions}, "a member": {store.Command{Join: &store.Join{}}, meter.Raft},
		"a level": {store.Command{Raise: &store.Raise{}}, meter.Raft}, "nothing": {store.Command{}, meter.Other},
		"a put":             {store.Command{Txn: &store.Txn{Then: put("limit/x"), Else: put("out/x")}}, meter.Shares},
		"a put if not":      {store.Command{Txn: &store.Txn{Else: put("out/x"), If: []store.Compare{{Key: "task/x"}}}}, meter.Words},
		"a comparison":      {store.Command{Txn: &store.Txn{If: []store.Compare{{Key: "task/x"}}}}, meter.Tasks},
		"an empty exchange": {store.Command{Txn: &store.Txn{}}, meter.Other},
	} {
		if got := m.CommandPurpose(&x.c); got != x.want {
			t.Errorf("%s is for %v, and not %v", name, got, x.want)
		}
	}
}
