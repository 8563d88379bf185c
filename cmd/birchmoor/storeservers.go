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
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		exclusions, err := client.Exclusions(ctx)
		if err != nil {
			return err
		}
		return k.print(c, exclusions, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SERVER\tWHY\tBY\tAGE\tAGREED")
			for _, exclusion := range exclusions {
				fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%v\n",
					exclusion.Server, exclusion.Kind, exclusion.ReportedBy, formatAge(exclusion.AgeMillis),
					exclusion.Committed)
			}
		})
	})
}

// formatAge returns an age in milliseconds as text, or "-" for a negative one, which stands for an unknown age.
func formatAge(millis int64) string {
	if millis < 0 {
		return "-"
	}
	return (time.Duration(millis) * time.Millisecond).String()
}

type storeServers struct {
	clientFlags
	ID string `arg:"" optional:"" help:"Show only this server."`
}

func (k *storeServers) Help() string {
	return `Lists drains, bans, starts of server processes, and the servers that the decision modules of sidecars know, as
recorded at this daemon and in its copy of the store. AGE is the time since this daemon got the latest report; - means
before its start.

Example:
  birchmoor store servers s-5be2a07c`
}

func (k *storeServers) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		facts, err := client.FleetServers(ctx)
		if err != nil {
			return err
		}
		if k.ID != "" {
			facts = slices.DeleteFunc(facts, func(fact daemon.ServerFact) bool { return fact.ID != k.ID })
			if len(facts) == 0 {
				fmt.Fprintf(c.errOut, "%s: nothing is known of this server here\n", k.ID)
				return errRunFailed
			}
		}
		return k.print(c, facts, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "SERVER\tADDRESS\tSTART\tWHAT\tBY\tAGE\tLEFT\tAGREED")
			for _, fact := range facts {
				printServerFact(w, &fact)
			}
		})
	})
}

func printServerFact(w io.Writer, fact *daemon.ServerFact) {
	start, left, by := "-", "-", fact.ReportedBy
	if fact.StartedMs != 0 {
		start = time.UnixMilli(fact.StartedMs).UTC().Format(time.RFC3339)
	}
	if fact.RemainingMs > 0 {
		left = (time.Duration(fact.RemainingMs) * time.Millisecond).String()
	}
	if fact.Sidecars > 1 {
		by = fmt.Sprintf("%s and %d more", fact.ReportedBy, fact.Sidecars-1)
	}
	if fact.Partial {
		by += " (others unknown: no replica can be reached)"
	}
	fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%v\n",
		fact.ID, cmp.Or(fact.Addr, "-"), start, fact.Kind, by, formatAge(fact.AgeMs), left, fact.Committed)
}
