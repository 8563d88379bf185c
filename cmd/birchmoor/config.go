package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/user"
	"strings"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/rollout"
)

type configCommands struct {
	Put      configPut      `cmd:"" help:"Have settings checked by every replica, and put in force everywhere."`
	Get      configGet      `cmd:"" help:"Print the settings in force, or those of a version."`
	History  configHistory  `cmd:"" help:"List the versions."`
	Plan     configPlan     `cmd:"" help:"How settings that come in force in steps stand, or call them off."`
	Rollback configRollback `cmd:"" help:"Put the settings of an earlier version in force again."`
}

type configPut struct {
	clientFlags
	File string `arg:"" type:"existingfile" help:"JSON file with the settings object of the data path."`
	Note string `help:"Why, for the history."`

	Steps  string        `help:"Put them in force in steps, such as 1,10%,all: a number of daemons, a part of them, all." placeholder:"STEPS"`
	Settle time.Duration `help:"Each step for so long at least, before the next." default:"30s"`
	Follow bool          `help:"Wait until the steps have ended." default:"true" negatable:""`
}

func (k *configPut) Help() string {
	return `With --steps one daemon drives: each step is judged by what sidecars' clients were answered, and all is taken back if fewer are served with
the new settings than with the old, by 0.05, or a daemon does not tell. When the one who drives dies, another goes on where it stood.

Exit code 1 if they were taken back. Ctrl-C ends the waiting, not the steps: see config plan.

Example:
  birchmoor config put settings.json --steps 1,10%,all --settle 1m`
}

func (k *configPut) Run(ctx context.Context, c *console) error {
	text, err := os.ReadFile(k.File)
	if err != nil {
		return err
	}
	var settings json.RawMessage
	if err := json.Unmarshal(text, &settings); err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	request := adminapi.SettingsRequest{Settings: settings, Note: k.Note}
	if k.Steps == "" {
		return changeSettings(ctx, c, &k.clientFlags, request)
	}
	request.Steps, err = rollout.ParseSteps(k.Steps)
	if err != nil {
		return err
	}
	request.SettleMs = k.Settle.Milliseconds()
	err = k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		_, err := a.ChangeSettings(ctx, request)
		if err != nil {
			return k.changeFailed(ctx, c, err, "")
		}
		return nil
	})
	if err != nil || !k.Follow {
		return err
	}
	return k.waitForRollout(ctx, c)
}

// rolloutPollInterval is the time between two looks at a rollout.
const rolloutPollInterval = 200 * time.Millisecond

// waitForRollout waits until the rollout has ended, and shows its steps meanwhile.
func (k *configPut) waitForRollout(ctx context.Context, c *console) error {
	const notShown = -2 // no step, not even that before the first
	shown := notShown
	for {
		var p rollout.Plan
		err := k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) (err error) {
			p, err = a.Rollout(ctx)
			return err
		})
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			fmt.Fprintf(c.err, "birchmoor: the daemon does not say how it goes: %v\n", err)
		case p.State != rollout.Running:
			return k.printOutcome(c, &p)
		case p.Step != shown:
			shown = p.Step
			if p.Step >= 0 {
				fmt.Fprintf(c.err, "birchmoor: step %v: %d daemons; %s\n", p.Steps[p.Step], len(p.Hosts), p.Reason)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(rolloutPollInterval):
		}
	}
}

// printOutcome prints how a rollout has ended, and fails unless it was completed.
func (k *configPut) printOutcome(c *console, p *rollout.Plan) error {
	err := k.print(c, *p, func(w *tabwriter.Writer) { fmt.Fprintf(w, "%s: %s\n", p.State, p.Reason) })
	if err != nil {
		return err
	}
	if p.State != rollout.Completed {
		return errRunFailed
	}
	return nil
}

type configPlan struct {
	clientFlags
	Abort bool `name:"call-off" help:"Take it back."`
}

func (k *configPlan) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		if k.Abort {
			_, err := a.ChangeSettings(ctx, adminapi.SettingsRequest{AbortBy: operatorName("operators")})
			if err != nil {
				return k.changeFailed(ctx, c, err, "")
			}
		}
		p, err := a.Rollout(ctx)
		if isNotFound(err) {
			fmt.Fprintln(c.err, err)
			return errRunFailed
		}
		if err != nil {
			return err
		}
		return k.print(c, p, func(w *tabwriter.Writer) {
			step := "none yet"
			if p.Step >= 0 {
				step = fmt.Sprintf("%v, %d of %d: %d daemons", p.Steps[p.Step], p.Step+1, len(p.Steps), len(p.Hosts))
			}
			printRows(w, []row{
				{"state", p.State},
				{"step", step},
				{"settle", time.Duration(p.SettleMillis) * time.Millisecond},
				{"judged by", p.Reason},
				{"driver's token", p.Token},
				{"by", p.Operator},
				{"note", p.Note},
			})
		})
	})
}

// operatorName is the user's name, for people alone, or unknown.
func operatorName(unknown string) string {
	u, err := user.Current()
	if err != nil {
		return unknown
	}
	return u.Username
}

// changeSettings changes the settings at once, and prints their version.
func changeSettings(ctx context.Context, c *console, s *clientFlags, request adminapi.SettingsRequest) error {
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		v, err := a.ChangeSettings(ctx, request)
		if err != nil {
			return s.changeFailed(ctx, c, err, "")
		}
		return s.print(c, v, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "version %d, revision %d\n", v.Version, v.Revision)
		})
	})
}

type configGet struct {
	clientFlags
	Version uint64 `help:"Of this version." placeholder:"N"`
}

func (k *configGet) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.SettingsHistory(ctx)
		if err != nil {
			return err
		}
		for _, v := range all {
			if k.Version == 0 || v.Version == k.Version {
				fmt.Fprintln(c.out, strings.TrimSpace(string(v.Settings)))
				return nil
			}
		}
		fmt.Fprintln(c.err, "there are no such settings in the store: the file of each sidecar is in force")
		return errRunFailed
	})
}

type configHistory struct{ clientFlags }

func (k *configHistory) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.SettingsHistory(ctx)
		if err != nil {
			return err
		}
		return k.print(c, all, func(w *tabwriter.Writer) { printVersions(w, all) })
	})
}

func printVersions(w *tabwriter.Writer, all []daemon.Version) {
	fmt.Fprintln(w, "VERSION\tREVISION\tAT\tBY\tNOTE")
	for _, v := range all {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", v.Version, v.Revision, v.PutAt.Format(time.DateTime), v.PutBy, v.Note)
	}
}

type configRollback struct {
	clientFlags
	Version uint64 `arg:"" help:"Version whose settings are put in force again."`
}

func (k *configRollback) Run(ctx context.Context, c *console) error {
	return changeSettings(ctx, c, &k.clientFlags, adminapi.SettingsRequest{Rollback: k.Version})
}
