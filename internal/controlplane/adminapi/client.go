package adminapi

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/controlplane/quotasync"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/serverstate"
	"birchmoor/internal/store/usage"
)

// Client is a client of a daemon's socket. Errors that the daemon answers with are *admin.Error.
type Client struct{ *admin.Client }

// Dial returns a client of the socket at a path.
func Dial(path string) *Client { return &Client{admin.Dial(path)} }

// get decodes the answer to a request for a path.
func get[T any](ctx context.Context, c *Client, path string, q url.Values) (T, error) {
	var answer T
	err := c.Call(ctx, http.MethodGet, path, q, nil, &answer)
	return answer, err
}

// post decodes the answer to a request that carries a body.
func post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var answer T
	err := c.Call(ctx, http.MethodPost, path, nil, body, &answer)
	return answer, err
}

// Status returns how the copy of the store stands, and what the daemon knows of servers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, pathStatus, nil)
}

// Usage returns what the control plane has cost the daemon since its start.
func (c *Client) Usage(ctx context.Context) (usage.Reading, error) {
	return get[usage.Reading](ctx, c, pathMeter, nil)
}

// ChangeSettings makes a request for settings and returns the new version, without the settings.
func (c *Client) ChangeSettings(ctx context.Context, request SettingsRequest) (daemon.Version, error) {
	return post[daemon.Version](ctx, c, pathConfig, request)
}

// SettingsHistory returns the versions of the settings, the newest first.
func (c *Client) SettingsHistory(ctx context.Context) ([]daemon.Version, error) {
	return get[[]daemon.Version](ctx, c, pathConfig, nil)
}

// Rollout returns the latest rollout of settings, running or not.
func (c *Client) Rollout(ctx context.Context) (rollout.Plan, error) {
	return get[rollout.Plan](ctx, c, pathPlan, nil)
}

// Exclusions returns the servers that are excluded.
func (c *Client) Exclusions(ctx context.Context) ([]serverstate.Exclusion, error) {
	return get[[]serverstate.Exclusion](ctx, c, pathOut, nil)
}

// Servers returns what the daemon knows of servers by its own copy.
func (c *Client) Servers(ctx context.Context) ([]daemon.ServerFact, error) {
	return get[[]daemon.ServerFact](ctx, c, pathServers, nil)
}

// FleetServers returns what is known of servers, by a replica's snapshots if the daemon's copy does not hold all.
func (c *Client) FleetServers(ctx context.Context) ([]daemon.ServerFact, error) {
	return get[[]daemon.ServerFact](ctx, c, pathServers, url.Values{"all": {"true"}})
}

// Limits returns how all limits stand, or the one of a name.
func (c *Client) Limits(ctx context.Context, name string) (quotasync.Status, error) {
	return get[quotasync.Status](ctx, c, pathLimits, url.Values{"limit": {name}})
}

// PutLimits puts limits in force and returns them as numbered.
func (c *Client) PutLimits(ctx context.Context, config *quota.Config) (quota.Config, error) {
	return post[quota.Config](ctx, c, pathLimits, config)
}

// Tasks returns how all tasks stand, or those of a name.
func (c *Client) Tasks(ctx context.Context, name string) ([]leasetask.TaskStatus, error) {
	return get[[]leasetask.TaskStatus](ctx, c, pathTasks, url.Values{"task": {name}})
}

// OverrideTask sets an operator's override of a task.
func (c *Client) OverrideTask(ctx context.Context, request OverrideRequest) error {
	_, err := post[struct{}](ctx, c, pathTask, request)
	return err
}

// Lock waits for a task and holds it until ctx ends, onStatus fails or the daemon ends it. It calls onStatus at each
// change.
func (c *Client) Lock(ctx context.Context, claim leasetask.Claim, onStatus func(LockStatus) error) error {
	q := url.Values{
		"task":  {claim.Task},
		"slots": {strconv.Itoa(claim.Slots)},
		"ttl":   {claim.TTL.String()},
		"note":  {claim.Note},
	}
	response, err := c.Do(ctx, http.MethodGet, pathLock, q, nil)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	decoder := json.NewDecoder(response.Body)
	for {
		var status LockStatus
		if err := decoder.Decode(&status); err != nil {
			return err
		}
		if err := onStatus(status); err != nil {
			return err
		}
	}
}

// Unlock reports that what was done under a lock has ended. Without it the daemon waits for the time that it has sent
// last.
func (c *Client) Unlock(ctx context.Context, task string, token uint64) error {
	q := url.Values{"task": {task}, "token": {strconv.FormatUint(token, 10)}}
	return c.Call(ctx, http.MethodPost, pathUnlock, q, nil, &struct{}{})
}
