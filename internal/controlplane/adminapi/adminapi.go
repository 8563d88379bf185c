// Package adminapi serves operators of a running daemon: beside the store's own requests (package admin) it answers for
// settings, servers, tasks and limits, and it has the client. It stands above the components of a daemon, which know
// nothing of it; it may import all of the control plane but the root package.
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

// Paths of requests.
const (
	pathStatus  = "/v1/status"
	pathConfig  = "/v1/config"
	pathPlan    = "/v1/plan"
	pathTasks   = "/v1/tasks"
	pathTask    = "/v1/task"
	pathLock    = "/v1/lock"
	pathUnlock  = "/v1/unlock"
	pathLimits  = "/v1/limits"
	pathMeter   = "/v1/meter"
	pathOut     = "/v1/out"
	pathServers = "/v1/servers"
)

// Status is how the copy of the store stands, and what the daemon knows of servers.
type Status struct {
	engine.Status
	Daemon  daemon.Counts       `json:"daemon"`
	Startup daemon.StartupState `json:"began"`
}

// Components are what a server answers for.
type Components struct {
	Servers  *daemon.Servers
	Settings *daemon.Settings
	Tasks    *leasetask.Runner
	Limits   *quotasync.Manager // nil: the daemon shares no limits
	Clock    bootclock.Clock    // of leases
	Usage    *usage.Recorder    // nil: nothing is counted
}

// NewUsageRecorder returns a recorder that knows the purposes of the components' keys.
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

// FollowerRules returns the rules for daemons without a replica: each component says which operations are theirs.
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

// server answers the requests.
type server struct {
	Components
	locks lockTable
}

// Listen serves a Unix socket at a path until the server is closed.
func Listen(path string, s admin.Store, components Components) (*admin.Server, error) {
	srv := &server{Components: components, locks: newLockTable()}
	return admin.Listen(path, admin.Config{Store: s, RegisterCalls: srv.register, Status: srv.status})
}

func (s *server) register(m *admin.Mux) {
	m.HandleCall("GET "+pathConfig, s.settingsHistory)
	m.HandleCall("POST "+pathConfig, s.changeSettings)
	m.HandleCall("GET "+pathPlan, s.rollout)
	m.HandleCall("GET "+pathTasks, s.listTasks)
	m.HandleCall("POST "+pathTask, s.overrideTask)
	m.HandleStream("GET "+pathLock, s.lock)
	m.HandleCall("POST "+pathUnlock, s.unlock)
	m.HandleCall("GET "+pathLimits, s.listLimits)
	m.HandleCall("POST "+pathLimits, s.putLimits)
	m.HandleCall("GET "+pathMeter, s.usage)
	m.HandleCall("GET "+pathOut, s.exclusions)
	m.HandleCall("GET "+pathServers, s.servers)
}

func (s *server) status(st engine.Status) any {
	return Status{Status: st, Daemon: s.Servers.Counts(), Startup: s.Servers.StartupState()}
}

func (s *server) usage(context.Context, http.ResponseWriter, *http.Request) (any, error) {
	return s.Usage.Read(), nil
}

func (s *server) exclusions(context.Context, http.ResponseWriter, *http.Request) (any, error) {
	return s.Servers.Exclusions(), nil
}

func (s *server) servers(ctx context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	if r.URL.Query().Get("all") != "true" {
		ctx = nil // by this daemon's copy alone
	}
	return s.Servers.List(ctx), nil
}
