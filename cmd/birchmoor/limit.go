package main

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/controlplane/quotasync"
)

type limitCommands struct {
	List    limitList    `cmd:"" help:"List all limits of the fleet with their capacity, allocated and wanted amounts, rejections and maximum overshoot."`
	Show    limitShow    `cmd:"" help:"Show one limit with its parts."`
	Explain limitExplain `cmd:"" help:"Show the amount that each sidecar has of a limit or a part of it, and why it counts."`
	Put     limitPut     `cmd:"" help:"Replace the limits of all daemons by those of a file."`
	Check   limitCheck   `cmd:"" help:"Check a file of limits and report its errors."`
	Sim     limitSim     `cmd:"" help:"Simulate fleets that share limits in virtual time, under faults."`
	Torture limitTorture `cmd:"" help:"Share limits among processes that are partitioned, stopped and killed, and count the requests at the servers."`
}

// showLimits prints the status of the limit with this name, or of all limits if name is empty. table prints it as text.
func (s *clientFlags) showLimits(
	ctx context.Context, c *console, name string, table func(*tabwriter.Writer, *quotasync.Status),
) error {
	return s.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		status, err := client.Limits(ctx, name)
		if isNotFound(err) {
			return &exitError{exitFailure, err}
		}
		if err != nil {
			return err
		}
		return s.print(c, status, func(w *tabwriter.Writer) {
			if status.Fault != "" {
				fmt.Fprintf(w, "FAULT HERE: %s\n", status.Fault)
			}
			table(w, &status)
		})
	})
}

type limitList struct{ clientFlags }

func (k *limitList) Run(ctx context.Context, c *console) error {
	return k.showLimits(ctx, c, "", func(w *tabwriter.Writer, status *quotasync.Status) {
		fmt.Fprintln(w, "LIMIT\tMOST\tOUT\tWANTED\tLET THROUGH\tREFUSED\tSIDECARS\tWITHOUT THE STORE\tOVER AT MOST")
		for _, l := range status.Limits {
			v := totalStatus(l)
			fmt.Fprintf(w, "%s\t%s %s\t%s\t%s\t%d\t%d\t%d\t%s\t%s\n",
				l.Name, quota.FormatAmount(v.Capacity), l.UnitText(), quota.FormatAmount(v.Committed),
				quota.FormatAmount(v.Wanted), v.Admitted, v.Rejected, len(v.Processes), l.Fallback, l.Overshoot)
		}
		if status.AllocatorHost == "" {
			fmt.Fprintln(w, "nobody allocates: allocations stay as they are")
		}
	})
}

// totalStatus returns the status of a limit's root node, with the demand and the admitted and rejected requests of all
// its nodes added up.
func totalStatus(l *quotasync.LimitStatus) quota.NodeStatus {
	total := l.NodeStatuses[0]
	for _, node := range l.NodeStatuses[1:] {
		total.Wanted += node.Wanted
		total.Admitted += node.Admitted
		total.Rejected += node.Rejected
	}
	return total
}

type limitShow struct {
	clientFlags
	Name string `arg:"" help:"Name of the limit."`
}

func (k *limitShow) Run(ctx context.Context, c *console) error {
	return k.showLimits(ctx, c, k.Name, func(w *tabwriter.Writer, status *quotasync.Status) {
		l := status.Limits[0]
		fmt.Fprintf(w, "%s: %s %s, for %s; maximum overshoot: %s\n",
			l.Name, quota.FormatAmount(l.Nodes[0].Capacity), l.UnitText(), limitScope(l.Limit), l.Overshoot)
		fmt.Fprintf(w, "divided by: %s; an allocation ends %d ms after its sidecar was last heard from\n",
			cmp.Or(status.AllocatorHost, "nobody"), status.TTLMs)
		fmt.Fprintln(w, "PART\tMOST\tLEAST\tWEIGHT\tOUT\tOWN SHARES\tWANTED\tLET THROUGH\tREFUSED\tSIDECARS")
		for i, v := range l.NodeStatuses {
			n := l.Nodes[i]
			fmt.Fprintf(w, "%s\t%s\t%s\t%g\t%s\t%s\t%s\t%d\t%d\t%d\n",
				partName(v.Path), quota.FormatAmount(v.Capacity), quota.FormatAmount(n.Guaranteed), n.Weight,
				quota.FormatAmount(v.Committed), quota.FormatAmount(v.Granted), quota.FormatAmount(v.Wanted),
				v.Admitted, v.Rejected, len(v.Processes))
		}
	})
}

// partName returns the text for the path of a node in a limit's tree. The path of the root is empty.
func partName(path string) string { return cmp.Or(path, "(the whole)") }

// limitScope describes which requests a limit counts.
func limitScope(l *quota.Limit) string {
	var conditions []string
	if len(l.Classes) > 0 {
		conditions = append(conditions, "classes "+strings.Join(l.Classes, ", "))
	}
	if len(l.Paths) > 0 {
		conditions = append(conditions, "paths "+strings.Join(l.Paths, ", "))
	}
	if len(conditions) == 0 {
		return "all requests"
	}
	return strings.Join(conditions, "; ")
}

type limitExplain struct {
	clientFlags
	Name string `arg:"" help:"Name of the limit, or LIMIT/PART."`
}

func (k *limitExplain) Run(ctx context.Context, c *console) error {
	name, path, _ := strings.Cut(k.Name, "/")
	var missing error
	err := k.showLimits(ctx, c, name, func(w *tabwriter.Writer, status *quotasync.Status) {
		l := status.Limits[0]
		i := slices.IndexFunc(l.NodeStatuses, func(v quota.NodeStatus) bool { return v.Path == path })
		if i < 0 {
			missing = &exitError{exitFailure, fmt.Errorf("%s has no part %q", name, path)}
			return
		}
		v := l.NodeStatuses[i]
		fmt.Fprintf(w, "%s of %s: %s of %s %s are allocated to this part and the parts below it\n",
			partName(path), name, quota.FormatAmount(v.Committed), quota.FormatAmount(v.Capacity), l.UnitText())
		printProcessQuotas(w, v.Processes)
	})
	return errors.Join(err, missing)
}

// printProcessQuotas prints the quota of a node that each sidecar has, and why that counts against the limit.
func printProcessQuotas(w io.Writer, processes []quota.ProcessQuota) {
	fmt.Fprintln(w, "SIDECAR\tSESSION\tSHARE\tCOUNTS FOR\tIN USE\tWANTS\tLET THROUGH\tREFUSED\tHEARD\tWHY IT COUNTS")
	for _, p := range processes {
		age := (time.Duration(p.AgeMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%v ago\t%s\n",
			p.Host, p.Session, quota.FormatAmount(p.Amount), quota.FormatAmount(p.Committed), quota.FormatAmount(p.InUse),
			quota.FormatAmount(p.Wanted), p.Admitted, p.Rejected, age, commitReason(&p))
	}
}

// commitReason describes why the committed amount of a process counts against the limit.
func commitReason(processQuota *quota.ProcessQuota) string {
	switch {
	case processQuota.Departed:
		return "its sidecar is gone: requests that it may have admitted must end first"
	case !processQuota.Seen && processQuota.Previous > processQuota.Amount:
		return "it has not confirmed the smaller allocation yet"
	case processQuota.InUse > processQuota.Amount:
		return "this amount is in use"
	}
	return "the sidecar may use it"
}

type limitPut struct {
	clientFlags
	File string `arg:"" type:"existingfile" help:"File with limits."`
}

func (k *limitPut) Help() string {
	return `The file contains all limits of the fleet: a limit that it does not name is removed. The limits in the store
are replaced at once for all daemons. After a limit was lowered, the amount allocated under the old limit may exceed the
new one until every sidecar has seen the new limit or its session has ended.

Example:
  birchmoor limit check limits.toml && birchmoor limit put limits.toml`
}

func (k *limitPut) Run(ctx context.Context, c *console) error {
	conf, err := readLimits(k.File)
	if err != nil {
		return err
	}
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		now, err := client.PutLimits(ctx, conf)
		if err != nil {
			return err
		}
		return k.print(c, now, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "version %d of the limits is in force, with %d limits\n", now.Version, len(now.Limits))
		})
	})
}

func readLimits(path string) (*quota.Config, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return quota.ParseFile(path, text)
}

type limitCheck struct {
	File string `arg:"" type:"existingfile" help:"File with limits."`
	JSON bool   `help:"Print the limits as JSON."`
}

func (k *limitCheck) Run(c *console) error {
	conf, err := readLimits(k.File)
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(conf)
	}
	fmt.Fprintf(c.out, "%s: no errors, %d limits\n", k.File, len(conf.Limits))
	return nil
}
