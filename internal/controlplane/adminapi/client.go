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

// Client is a client of a daemon's Unix socket. Errors that the daemon answers with are *admin.ResponseError.
type Client struct{ *admin.Client }

// Dial returns a client of the Unix socket at a path. It connects when it is first used.
func Dial(path string) *Client { return &Client{admin.Dial(path)} }

// get sends a GET request and returns the decoded answer.
func get[T any](ctx context.Context, c *Client, path string, query url.Values) (T, error) {
	var answer T
	err := c.Call(ctx, http.MethodGet, path, query, nil, &answer)
	return answer, err
}

// post sends a POST request with a JSON body and returns the decoded answer.
func post[T any](ctx context.Context, c *Client, path string, body any) (T, error) {
	var answer T
	err := c.Call(ctx, http.MethodPost, path, nil, body, &answer)
	return answer, err
}

// Status returns the status of the daemon's copy of the store and of what the daemon knows about servers.
func (c *Client) Status(ctx context.Context) (Status, error) {
	return get[Status](ctx, c, pathStatus, nil)
}

// Usage returns the resources that the control plane has used in the daemon since its start.
func (c *Client) Usage(ctx context.Context) (usage.Reading, error) {
	return get[usage.Reading](ctx, c, pathUsage, nil)
}

// ChangeSettings executes a request for settings. It returns the new version, without the settings themselves, or the
// zero Version if the request starts or aborts a rollout.
func (c *Client) ChangeSettings(ctx context.Context, request SettingsRequest) (daemon.Version, error) {
	return post[daemon.Version](ctx, c, pathConfig, request)
}

// SettingsHistory returns the versions of the settings, the newest first.
func (c *Client) SettingsHistory(ctx context.Context) ([]daemon.Version, error) {
	return get[[]daemon.Version](ctx, c, pathConfig, nil)
}

// Rollout returns the plan of the latest rollout of settings, whether or not it is still running.
func (c *Client) Rollout(ctx context.Context) (rollout.Plan, error) {
	return get[rollout.Plan](ctx, c, pathPlan, nil)
}

// Exclusions returns the excluded servers, with the kinds and ages of the reports.
func (c *Client) Exclusions(ctx context.Context) ([]serverstate.Exclusion, error) {
	return get[[]serverstate.Exclusion](ctx, c, pathExclusions, nil)
}

// Servers returns what the daemon knows about servers from its own copy of the store.
func (c *Client) Servers(ctx context.Context) ([]daemon.ServerFact, error) {
	return get[[]daemon.ServerFact](ctx, c, pathServers, nil)
}

// FleetServers returns what is known about servers in the whole fleet. The daemon reads the module snapshots from a
// replica if its own copy does not hold all of them.
func (c *Client) FleetServers(ctx context.Context) ([]daemon.ServerFact, error) {
	return get[[]daemon.ServerFact](ctx, c, pathServers, url.Values{"all": {"true"}})
}

// Limits returns the status of all limits, or only of the one with a name unless that is empty.
func (c *Client) Limits(ctx context.Context, name string) (quotasync.Status, error) {
	return get[quotasync.Status](ctx, c, pathLimits, url.Values{"limit": {name}})
}

// PutLimits replaces the limits and returns them with their version and generations.
func (c *Client) PutLimits(ctx context.Context, config *quota.Config) (quota.Config, error) {
	return post[quota.Config](ctx, c, pathLimits, config)
}

// Tasks returns the status of all tasks, or only of the one with a name unless that is empty.
func (c *Client) Tasks(ctx context.Context, name string) ([]leasetask.TaskStatus, error) {
	return get[[]leasetask.TaskStatus](ctx, c, pathTasks, url.Values{"task": {name}})
}

// OverrideTask sets an operator's override of a task, or removes it if the override is empty.
func (c *Client) OverrideTask(ctx context.Context, request OverrideRequest) error {
	_, err := post[struct{}](ctx, c, pathTask, request)
	return err
}

// Lock waits in the queue of a task and then holds its lease, until ctx ends, onStatus fails or the daemon ends the
// lease. It calls onStatus with each status that the daemon sends, and always returns an error.
func (c *Client) Lock(ctx context.Context, claim leasetask.Claim, onStatus func(LockStatus) error) error {
	query := url.Values{
		"task":  {claim.Task},
		"slots": {strconv.Itoa(claim.Slots)},
		"ttl":   {claim.TTL.String()},
		"note":  {claim.Note},
	}
	response, err := c.Stream(ctx, pathLock, query)
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

// Unlock reports that the client's work under a lock has ended, so that the daemon releases the lease at once.
// Otherwise the daemon keeps the lease until the last LockStatus.ValidUntil that it sent.
func (c *Client) Unlock(ctx context.Context, task string, token uint64) error {
	query := url.Values{"task": {task}, "token": {strconv.FormatUint(token, 10)}}
	return c.Call(ctx, http.MethodPost, pathUnlock, query, nil, &struct{}{})
}
