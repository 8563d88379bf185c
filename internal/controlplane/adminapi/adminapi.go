// Package adminapi serves operators of a running daemon. In addition to the store's own requests (package admin), it
// serves requests for settings, servers, tasks and limits. It also contains the client. The components of a daemon must
// not import it; it may import all packages of the control plane except the root package.
package adminapi

import (
	"context"
	"net/http"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/controlplane/quotasync"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// Paths of the requests that this package adds to those of package admin, whose status it extends.
const (
	pathStatus     = "/v1/status"
	pathConfig     = "/v1/config"
	pathPlan       = "/v1/plan"
	pathTasks      = "/v1/tasks"
	pathTask       = "/v1/task"
	pathLock       = "/v1/lock"
	pathUnlock     = "/v1/unlock"
	pathLimits     = "/v1/limits"
	pathUsage      = "/v1/meter"
	pathExclusions = "/v1/out"
	pathServers    = "/v1/servers"
)

// Status is the status of the daemon's copy of the store, with what the daemon knows about servers.
type Status struct {
	engine.Status
	Daemon  daemon.Counts       `json:"daemon"`
	Startup daemon.StartupState `json:"began"`
}

// Components are the components of a daemon that serve the requests.
type Components struct {
	Servers  *daemon.Servers
	Settings *daemon.Settings
	Tasks    *leasetask.Runner
	Limits   *quotasync.Manager // nil: the daemon shares no limits
	Clock    bootclock.Clock    // the clock of leases
	Usage    *usage.Recorder    // nil: nothing is counted
}

// NewUsageRecorder returns a recorder with the prefixes and purposes of the components' keys.
func NewUsageRecorder() *usage.Recorder {
	return usage.New(
		usage.Prefix{Prefix: serverstate.ExclusionPrefix, Purpose: usage.ServerReports},
		usage.Prefix{Prefix: serverstate.StartPrefix, Purpose: usage.ServerReports},
		usage.Prefix{Prefix: serverstate.SnapshotPrefix, Purpose: usage.ModuleSnapshots},
		usage.Prefix{Prefix: daemon.ConfigPrefix, Purpose: usage.Settings},
		usage.Prefix{Prefix: quota.Prefix, Purpose: usage.Quotas},
		usage.Prefix{Prefix: lease.Prefix, Purpose: usage.Tasks},
	)
}

// FollowerRules returns the configuration of a server for daemons without a replica. Such a daemon may make an
// operation if one of the components allows it.
func (c Components) FollowerRules() admin.FollowerConfig {
	return admin.FollowerConfig{
		Usage:        c.Usage,
		SnapshotAges: func() map[string]time.Duration { return c.Servers.SnapshotAges() },
		Allowed: func(op store.Op, owner string) bool {
			return lease.Allowed(op, owner) || leasetask.Allowed(op, owner) ||
				daemon.Allowed(op, owner) || quotasync.Allowed(op, owner)
		},
	}
}

// server serves the requests.
type server struct {
	Components
	locks lockTable
}

// Listen creates a Unix socket at a path and serves operators until the returned server is closed; see admin.Listen.
func Listen(path string, adminStore admin.Store, components Components) (*admin.Server, error) {
	srv := &server{Components: components, locks: newLockTable()}
	return admin.Listen(path, admin.Config{Store: adminStore, RegisterCalls: srv.register, Status: srv.status})
}

func (s *server) register(mux *admin.Mux) {
	mux.HandleCall("GET "+pathConfig, s.settingsHistory)
	mux.HandleCall("POST "+pathConfig, s.changeSettings)
	mux.HandleCall("GET "+pathPlan, s.rollout)
	mux.HandleCall("GET "+pathTasks, s.listTasks)
	mux.HandleCall("POST "+pathTask, s.overrideTask)
	mux.HandleStream("GET "+pathLock, s.lock)
	mux.HandleCall("POST "+pathUnlock, s.unlock)
	mux.HandleCall("GET "+pathLimits, s.listLimits)
	mux.HandleCall("POST "+pathLimits, s.putLimits)
	mux.HandleCall("GET "+pathUsage, s.usage)
	mux.HandleCall("GET "+pathExclusions, s.exclusions)
	mux.HandleCall("GET "+pathServers, s.servers)
}

func (s *server) status(storeStatus engine.Status) any {
	return Status{Status: storeStatus, Daemon: s.Servers.Counts(), Startup: s.Servers.StartupState()}
}

func (s *server) usage(context.Context, http.ResponseWriter, *http.Request) (any, error) {
	return s.Usage.Read(), nil
}

func (s *server) exclusions(context.Context, http.ResponseWriter, *http.Request) (any, error) {
	return s.Servers.Exclusions(), nil
}

func (s *server) servers(ctx context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	if r.URL.Query().Get("all") != "true" {
		ctx = nil // use only this daemon's copy
	}
	return s.Servers.List(ctx), nil
}
