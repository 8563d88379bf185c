// Package adminapi is how operators reach a running daemon: what the store's socket answers (store/admin), and beside it settings,
// what is known of servers, and tasks. It stands above the parts of a daemon, which know nothing of it.
package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"sync"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/controlplane/quotasync"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/platform/bootclock"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// SettingsRequest asks for other settings, or for those of an earlier version.
type SettingsRequest struct {
	Settings json.RawMessage `json:"settings,omitempty"`
	Rollback uint64          `json:"rollback,omitempty"`
	Note     string          `json:"note,omitempty"`
	Steps    []rollout.Step  `json:"steps,omitempty"` // in which they come in force; none: at once
	SettleMs int64           `json:"settle_ms,omitempty"`
	AbortBy  string          `json:"call_off,omitempty"` // the plan that is running, by whom
}

// Status is how a copy of the store and what a daemon holds of servers stand.
type Status struct {
	engine.Status
	Daemon  daemon.Counts       `json:"daemon"`
	Startup daemon.StartupState `json:"began"`
}

// Components are what is answered for.
type Components struct {
	Servers  *daemon.Servers
	Settings *daemon.Settings
	Tasks    *leasetask.Runner
	Limits   *quotasync.Manager // nil: none are shared here
	Clock    bootclock.Clock    // of entitlements
	Meter    *usage.Meter       // nil: nothing is counted
}

// NewMeter is a new one that knows what the parts of a daemon use their keys for.
func NewMeter() *usage.Meter {
	return usage.New(usage.Prefix{Prefix: serverstate.ExclusionPrefix, Purpose: usage.Words}, usage.Prefix{Prefix: serverstate.StartPrefix, Purpose: usage.Words},
		usage.Prefix{Prefix: serverstate.SnapshotPrefix, Purpose: usage.Pictures}, usage.Prefix{Prefix: daemon.ConfigPrefix, Purpose: usage.Settings},
		usage.Prefix{Prefix: quota.Prefix, Purpose: usage.Shares}, usage.Prefix{Prefix: lease.Prefix, Purpose: usage.Tasks})
}

type server struct {
	Components
	lockSlots chan struct{}
	heldLocks sync.Map // by lockKey, of what ends it
}

// Listen makes the socket and serves it.
func Listen(path string, s admin.Store, p Components) (*admin.Server, error) {
	x := &server{Components: p, lockSlots: make(chan struct{}, maxLocks)}
	return admin.Listen(path, admin.Config{Store: s, Calls: x.register, Status: func(st engine.Status) any {
		return Status{st, p.Servers.Counts(), p.Servers.StartupState()}
	}})
}

func (s *server) register(m *admin.Mux) {
	m.Call("GET /v1/config", s.settingsHistory)
	m.Call("POST /v1/config", s.changeSettings)
	m.Call("GET /v1/plan", s.rollout)
	m.Call("GET /v1/tasks", s.listTasks)
	m.Call("POST /v1/task", s.overrideTask)
	m.Stream("GET /v1/lock", s.lock)
	m.Call("GET /v1/limits", s.listLimits)
	m.Call("POST /v1/limits", s.putLimits)
	m.Call("POST /v1/unlock", s.unlock)
	m.Call("GET /v1/meter", func(context.Context, http.ResponseWriter, *http.Request) (any, error) {
		return s.Components.Meter.Read(), nil
	})
	m.Call("GET /v1/out", func(context.Context, http.ResponseWriter, *http.Request) (any, error) {
		return s.Servers.Exclusions(), nil
	})
	m.Call("GET /v1/servers", func(ctx context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
		if r.URL.Query().Get("all") != "true" {
			ctx = nil
		}
		return s.Servers.List(ctx), nil
	})
}

// FollowerRules are the rules for daemons without a replica: each part says what is theirs to write.
func (p Components) FollowerRules() admin.Rules {
	return admin.Rules{Meter: p.Meter, Ages: func() map[string]time.Duration { return p.Servers.SnapshotAges() }, May: func(op store.Op, owner string) bool {
		return lease.Allowed(op, owner) || leasetask.Allowed(op, owner) || daemon.Allowed(op, owner) || quotasync.Allowed(op, owner)
	}}
}

// notFound marks errors of what is not there.
func notFound(err error) error {
	if errors.Is(err, daemon.ErrNoRollout) {
		return admin.Missing(err)
	}
	return err
}

func (s *server) settingsHistory(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	all, err := s.Settings.History(ctx)
	if err != nil {
		return nil, err
	}
	return all, nil
}

func (s *server) changeSettings(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var q SettingsRequest
	if err := admin.Decode(w, r, &q); err != nil {
		return nil, err
	}
	var v daemon.Version
	var err error
	switch {
	case q.AbortBy != "":
		return v, notFound(s.Settings.CancelRollout(ctx, q.AbortBy))
	case len(q.Steps) > 0:
		_, err = s.Settings.StartRollout(ctx, q.Settings, q.Steps, time.Duration(q.SettleMs)*time.Millisecond, q.Note)
		return v, err
	}
	if q.Rollback != 0 {
		v, err = s.Settings.Rollback(ctx, q.Rollback)
	} else {
		v, err = s.Settings.Put(ctx, q.Settings, q.Note)
	}
	if err != nil {
		return nil, err
	}
	v.Settings = nil
	return v, nil
}

func (s *server) rollout(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	p, _, err := s.Settings.Plan(ctx)
	return p, notFound(err)
}

// Client asks a daemon.
type Client struct{ *admin.Client }

// Dial returns a client of the socket at a path.
func Dial(path string) *Client { return &Client{admin.Dial(path)} }

// Status asks how the store and what the daemon holds stand.
func (c *Client) Status(ctx context.Context) (s Status, err error) {
	return s, c.Call(ctx, "GET", "/v1/status", nil, nil, &s)
}

// ChangeSettings puts settings, or those of an earlier version.
func (c *Client) ChangeSettings(ctx context.Context, q SettingsRequest) (v daemon.Version, err error) {
	return v, c.Call(ctx, "POST", "/v1/config", nil, q, &v)
}

// SettingsHistory lists the versions of the settings, the newest first.
func (c *Client) SettingsHistory(ctx context.Context) (all []daemon.Version, err error) {
	return all, c.Call(ctx, "GET", "/v1/config", nil, nil, &all)
}

// Rollout is the newest of settings that come, or came, in force in steps.
func (c *Client) Rollout(ctx context.Context) (p rollout.Plan, err error) {
	return p, c.Call(ctx, "GET", "/v1/plan", nil, nil, &p)
}

// Usage tells what the control plane cost the daemon since its start.
func (c *Client) Usage(ctx context.Context) (r usage.Reading, err error) {
	return r, c.Call(ctx, "GET", "/v1/meter", nil, nil, &r)
}

// Exclusions lists the servers that are out.
func (c *Client) Exclusions(ctx context.Context) (all []serverstate.Exclusion, err error) {
	return all, c.Call(ctx, "GET", "/v1/out", nil, nil, &all)
}

// Servers lists what a daemon knows of servers by its own copy.
func (c *Client) Servers(ctx context.Context) (all []daemon.ServerFact, err error) {
	return all, c.Call(ctx, "GET", "/v1/servers", nil, nil, &all)
}

// FleetServers lists what is known of servers, by a replica's pictures where the daemon's copy does not hold all.
func (c *Client) FleetServers(ctx context.Context) (all []daemon.ServerFact, err error) {
	return all, c.Call(ctx, "GET", "/v1/servers", url.Values{"all": {"true"}}, nil, &all)
}
