// Package rollout decides how new settings take effect in steps: which daemons run them in each step, and whether the
// next step may begin or the settings must be rolled back. It does no I/O, reads no clock and uses no random numbers,
// and imports nothing else of birchmoor.
package rollout

import (
	"errors"
	"slices"
	"time"
)

const (
	minSettleMillis = int64(100)
	maxSettleMillis = int64(24 * time.Hour / time.Millisecond)
)

// State is the state of a plan.
type State string

// The states, as stored.
const (
	Running    State = "running"
	Completed  State = "done"       // all daemons run the new settings
	RolledBack State = "taken back" // all daemons run the earlier settings
)

// Plan is the stored plan of a rollout of settings.
type Plan struct {
	ID           uint64   `json:"id"` // revision of the candidate settings in the store
	State        State    `json:"state"`
	Steps        []Step   `json:"steps"`
	SettleMillis int64    `json:"settle_ms"`       // how long each step is in effect before it is evaluated
	Step         int      `json:"step"`            // index of the step in effect; -1: none yet
	Hosts        []string `json:"hosts,omitempty"` // hosts that run the new settings
	Reason       string   `json:"why,omitempty"`   // reason for the rollback, or the outcome of the last step
	Operator     string   `json:"by"`
	Note         string   `json:"note,omitempty"`
	Token        uint64   `json:"token,omitempty"` // fencing token of the daemon that last drove the rollout
}

// Validate returns an error if a new plan has an invalid number of steps or settle time.
func (p *Plan) Validate() error {
	switch {
	case len(p.Steps) == 0 || len(p.Steps) > maxSteps:
		return errors.New("steps: there are none, or too many")
	case p.SettleMillis < minSettleMillis || p.SettleMillis > maxSettleMillis:
		return errors.New("settle: not between 100ms and 24h")
	}
	return nil
}

// RunsOn reports whether a host must run the new settings of a running plan.
func (p *Plan) RunsOn(host string) bool { return p.State == Running && slices.Contains(p.Hosts, host) }
