package main

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/daemon"
)

type storeOut struct{ clientFlags }

func (k *storeOut) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.Exclusions(ctx)
		if err != nil {
			return err
		}
		return k.print(c, all, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SERVER\tWHY\tBY\tAGE\tAGREED")
			for _, o := range all {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\n", o.Server, o.Kind, o.ReportedBy, formatAge(o.AgeMillis), o.Committed)
			}
		})
	})
}

// formatAge is an age in milliseconds as text; a negative one is not known.
func formatAge(millis int64) string {
	if millis < 0 {
		return "-"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

type storeServers struct {
	clientFlags
	ID string `arg:"" optional:"" help:"Of one server."`
}

func (k *storeServers) Help() string {
	return `Drains, bans, processes that began a while ago, and what sidecars' decision modules know, as this daemon and its copy of
the store have it. AGE is since the store's latest word came here; - is before this daemon's start.

Example:
  birchmoor store servers s-5be2a07c`
}

func (k *storeServers) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		all, err := a.FleetServers(ctx)
		if err != nil {
			return err
		}
		if k.ID != "" {
			all = slices.DeleteFunc(all, func(f daemon.ServerFact) bool { return f.ID != k.ID })
			if len(all) == 0 {
				fmt.Fprintf(c.err, "%s: nothing is known of it here\n", k.ID)
				return errRunFailed
			}
		}
		return k.print(c, all, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SERVER\tADDRESS\tSTART\tWHAT\tBY\tAGE\tLEFT\tAGREED")
			for _, f := range all {
				printServerFact(w, &f)
			}
		})
	})
}

func printServerFact(w io.Writer, f *daemon.ServerFact) {
	start, left, by := "-", "-", f.ReportedBy
	if f.StartedMs != 0 {
		start = time.UnixMilli(f.StartedMs).UTC().Format(time.RFC3339)
	}
	if f.RemainingMs > 0 {
		left = (time.Duration(f.RemainingMs) * time.Millisecond).String()
	}
	if f.Sidecars > 1 {
		by = fmt.Sprintf("%s and %d more", f.ReportedBy, f.Sidecars-1)
	}
	if f.Partial {
		by += " (no replica tells of the others)"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\n",
		f.ID, cmp.Or(f.Addr, "-"), start, f.Kind, by, formatAge(f.AgeMs), left, f.Committed)
}
