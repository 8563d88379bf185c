package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"

	"birchmoor/internal/daemon"
	"birchmoor/internal/store/admin"
)

type configCommands struct {
	Put      configPut      `cmd:"" help:"Have settings checked by every replica, and put in force everywhere."`
	Get      configGet      `cmd:"" help:"Print the settings in force, or those of a version."`
	History  configHistory  `cmd:"" help:"List the versions."`
	Rollback configRollback `cmd:"" help:"Put the settings of an earlier version in force again."`
}

type configPut struct {
	socketFlag
	File string `arg:"" type:"existingfile" help:"JSON file with the settings object of the data path."`
	Note string `help:"Why, for the history."`
}

func (k *configPut) Run(ctx context.Context, c *console) error {
	text, err := os.ReadFile(k.File)
	if err != nil {
		return err
	}
	var any json.RawMessage
	if err := json.Unmarshal(text, &any); err != nil {
		return fmt.Errorf("%s: %w", k.File, err)
	}
	return configure(ctx, c, &k.socketFlag, admin.Config{Settings: any, Note: k.Note})
}

func configure(ctx context.Context, c *console, s *socketFlag, q admin.Config) error {
	return s.call(ctx, c, func(ctx context.Context, a *admin.Client) error {
		v, err := a.Configure(ctx, q)
		if err != nil {
			return s.failed(ctx, c, err, "")
		}
		return s.print(c, v, func(w *tabwriter.Writer) { fmt.Fprintf(w, "version %d, revision %d\n", v.Version, v.Revision) })
	})
}

type configGet struct {
	socketFlag
	Version uint64 `help:"Of this version." placeholder:"N"`
}

func (k *configGet) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *admin.Client) error {
		all, err := a.History(ctx)
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
		return errMissed
	})
}

type configHistory struct{ socketFlag }

func (k *configHistory) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *admin.Client) error {
		all, err := a.History(ctx)
		if err != nil {
			return err
		}
		return k.print(c, all, func(w *tabwriter.Writer) { versions(w, all) })
	})
}

func versions(w *tabwriter.Writer, all []daemon.Version) {
	fmt.Fprintln(w, "VERSION\tREVISION\tAT\tBY\tNOTE")
	for _, v := range all {
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t%s\n", v.Version, v.Revision, v.At.Format(time.DateTime), v.By, v.Note)
	}
}

type configRollback struct {
	socketFlag
	Version uint64 `arg:"" help:"Version whose settings are put in force again."`
}

func (k *configRollback) Run(ctx context.Context, c *console) error {
	return configure(ctx, c, &k.socketFlag, admin.Config{Rollback: k.Version})
}
