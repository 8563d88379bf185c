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
	Put      configPut      `cmd:"" help:"Put settings in force at all daemons, after every replica has checked them."`
	Get      configGet      `cmd:"" help:"Print the current settings, or those of a version."`
	History  configHistory  `cmd:"" help:"List the versions of the settings."`
	Plan     configPlan     `cmd:"" help:"Show the state of a rollout in steps, or abort it."`
	Rollback configRollback `cmd:"" help:"Roll back to the settings of an earlier version."`
}

type configPut struct {
	clientFlags
	File string `arg:"" type:"existingfile" help:"JSON file with the settings object of the data path."`
	Note string `help:"Reason for the change, shown in the history."`

	Steps  string        `help:"Roll the settings out in steps, such as 1,10%,all: a number of daemons, a percentage of them, or all." placeholder:"STEPS"`
	Settle time.Duration `help:"Minimum time that each step is in effect before it is judged." default:"30s"`
	Follow bool          `help:"Wait until the rollout has ended." default:"true" negatable:""`
}

func (k *configPut) Help() string {
	return `With --steps one daemon drives the rollout. It judges each step by the replies that sidecars gave their
clients, and rolls all daemons back if the share of served requests is lower by 0.05 with the new settings than with the
old, or if a daemon does not report. If the driving daemon dies, another one continues the rollout at the same step.

Exit code 1 if the settings were rolled back. Ctrl-C ends the wait, not the rollout: see config plan.

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
	err = k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		_, err := client.ChangeSettings(ctx, request)
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

// rolloutPollInterval is the time between two polls of the state of a rollout.
const rolloutPollInterval = 200 * time.Millisecond

// waitForRollout waits until the rollout has ended, and prints each step that begins.
func (k *configPut) waitForRollout(ctx context.Context, c *console) error {
	const notShown = -2 // below -1, which stands for a rollout before its first step
	shown := notShown
	for {
		var p rollout.Plan
		err := k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) (err error) {
			p, err = client.Rollout(ctx)
			return err
		})
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case err != nil:
			fmt.Fprintf(c.errOut, "birchmoor: cannot read the state of the rollout from the daemon: %v\n", err)
		case p.State != rollout.Running:
			return k.printOutcome(c, &p)
		case p.Step != shown:
			shown = p.Step
			if p.Step >= 0 {
				fmt.Fprintf(c.errOut, "birchmoor: step %v: %d daemons; %s\n", p.Steps[p.Step], len(p.Hosts), p.Reason)
			}
		}
		select {
		case <-ctx.Done():
		case <-time.After(rolloutPollInterval):
		}
	}
}

// printOutcome prints how a rollout has ended, and returns errRunFailed unless it was completed.
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
	Abort bool `name:"call-off" help:"Abort the rollout and roll the settings back."`
}

func (k *configPlan) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		if k.Abort {
			_, err := client.ChangeSettings(ctx, adminapi.SettingsRequest{AbortBy: operatorName("operators")})
			if err != nil {
				return k.changeFailed(ctx, c, err, "")
			}
		}
		p, err := client.Rollout(ctx)
		if isNotFound(err) {
			fmt.Fprintln(c.errOut, err)
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

// operatorName returns the name of the user who runs the command, or unknown if it cannot be found. It is recorded
// with a change for other operators to read; nothing depends on it.
func operatorName(unknown string) string {
	u, err := user.Current()
	if err != nil {
		return unknown
	}
	return u.Username
}

// changeSettings puts settings in force at all daemons at once, without steps, and prints their version.
func changeSettings(ctx context.Context, c *console, flags *clientFlags, request adminapi.SettingsRequest) error {
	return flags.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		v, err := client.ChangeSettings(ctx, request)
		if err != nil {
			return flags.changeFailed(ctx, c, err, "")
		}
		return flags.print(c, v, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "version %d, revision %d\n", v.Version, v.Revision)
		})
	})
}

type configGet struct {
	clientFlags
	Version uint64 `help:"Version to print; without it, the current one." placeholder:"N"`
}

func (k *configGet) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		versions, err := client.SettingsHistory(ctx)
		if err != nil {
			return err
		}
		for _, v := range versions {
			if k.Version == 0 || v.Version == k.Version {
				fmt.Fprintln(c.out, strings.TrimSpace(string(v.Settings)))
				return nil
			}
		}
		fmt.Fprintln(c.errOut, "the store has no such settings: each sidecar uses those of its configuration file")
		return errRunFailed
	})
}

type configHistory struct{ clientFlags }

func (k *configHistory) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		versions, err := client.SettingsHistory(ctx)
		if err != nil {
			return err
		}
		return k.print(c, versions, func(w *tabwriter.Writer) { printVersions(w, versions) })
	})
}

func printVersions(w *tabwriter.Writer, versions []daemon.Version) {
	fmt.Fprintln(w, "VERSION\tREVISION\tAT\tBY\tNOTE")
	for _, v := range versions {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", v.Version, v.Revision, v.PutAt.Format(time.DateTime), v.PutBy, v.Note)
	}
}

type configRollback struct {
	clientFlags
	Version uint64 `arg:"" help:"Version to roll back to."`
}

func (k *configRollback) Run(ctx context.Context, c *console) error {
	return changeSettings(ctx, c, &k.clientFlags, adminapi.SettingsRequest{Rollback: k.Version})
}
