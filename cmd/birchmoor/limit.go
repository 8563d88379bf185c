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
	List    limitList    `cmd:"" help:"All limits of the fleet: how much, how much of it is out, wanted, refused, and how far over it may be."`
	Show    limitShow    `cmd:"" help:"One limit with its parts."`
	Explain limitExplain `cmd:"" help:"Who holds what of a limit or a part of it, and why it counts."`
	Put     limitPut     `cmd:"" help:"Put limits in force from a file, for all daemons, in the place of those that are."`
	Check   limitCheck   `cmd:"" help:"Say what is wrong with a file of limits."`
	Sim     limitSim     `cmd:"" help:"Play fleets that share limits in virtual time, under faults."`
	Torture limitTorture `cmd:"" help:"Share limits among processes, cut, stop and kill them, and count at the servers."`
}

// showLimits prints the limit with this name, or all limits if it is empty.
func (s *clientFlags) showLimits(
	ctx context.Context, c *console, name string, table func(*tabwriter.Writer, *quotasync.Status),
) error {
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		status, err := a.Limits(ctx, name)
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
			fmt.Fprintln(w, "nobody divides: shares stay as they are")
		}
	})
}

// totalStatus is the status of a limit's root, with demand, admitted and rejected requests of all its nodes.
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
	Name string `arg:"" help:"Limit."`
}

func (k *limitShow) Run(ctx context.Context, c *console) error {
	return k.showLimits(ctx, c, k.Name, func(w *tabwriter.Writer, status *quotasync.Status) {
		l := status.Limits[0]
		fmt.Fprintf(w, "%s: %s %s, of %s; over at most: %s\n",
			l.Name, quota.FormatAmount(l.Nodes[0].Capacity), l.UnitText(), limitScope(l.Limit), l.Overshoot)
		fmt.Fprintf(w, "divided by: %s; a share ends %d ms after its sidecar falls silent\n",
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

// partName is how a node of a limit's tree is shown; its root has an empty path.
func partName(path string) string { return cmp.Or(path, "(the whole)") }

// limitScope says which requests a limit counts.
func limitScope(l *quota.Limit) string {
	var all []string
	if len(l.Classes) > 0 {
		all = append(all, "classes "+strings.Join(l.Classes, ", "))
	}
	if len(l.Paths) > 0 {
		all = append(all, "paths "+strings.Join(l.Paths, ", "))
	}
	if len(all) == 0 {
		return "all requests"
	}
	return strings.Join(all, "; ")
}

type limitExplain struct {
	clientFlags
	Name string `arg:"" help:"Limit, or LIMIT/PART."`
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
		fmt.Fprintf(w, "%s of %s: %s of %s %s are out with this part and what is under it\n",
			partName(path), name, quota.FormatAmount(v.Committed), quota.FormatAmount(v.Capacity), l.UnitText())
		printProcessQuotas(w, v.Processes)
	})
	return errors.Join(err, missing)
}

// printProcessQuotas prints each sidecar's quota of a node, and why it counts.
func printProcessQuotas(w io.Writer, processes []quota.ProcessQuota) {
	fmt.Fprintln(w, "SIDECAR\tSESSION\tSHARE\tCOUNTS FOR\tIN USE\tWANTS\tLET THROUGH\tREFUSED\tHEARD\tWHY IT COUNTS")
	for _, p := range processes {
		age := (time.Duration(p.AgeMs) * time.Millisecond).Round(100 * time.Millisecond)
		fmt.Fprintf(w, "%s\t%d\t%s\t%s\t%s\t%s\t%d\t%d\t%v ago\t%s\n",
			p.Host, p.Session, quota.FormatAmount(p.Amount), quota.FormatAmount(p.Committed), quota.FormatAmount(p.InUse),
			quota.FormatAmount(p.Wanted), p.Admitted, p.Rejected, age, commitReason(&p))
	}
}

// commitReason says why the amount of a process counts against the limit.
func commitReason(h *quota.ProcessQuota) string {
	switch {
	case h.Departed:
		return "its sidecar is gone: what that may have begun is waited out"
	case !h.Seen && h.Previous > h.Amount:
		return "it has not said yet that it goes by the smaller share"
	case h.InUse > h.Amount:
		return "so much is in use"
	}
	return "it may be spent"
}

type limitPut struct {
	clientFlags
	File string `arg:"" type:"existingfile" help:"File of limits."`
}

func (k *limitPut) Help() string {
	return `The file says all limits that there are to be; one that it does not name is no limit any more. What the store holds is replaced at once for all
daemons: a limit made smaller may be passed by what was out under the old one until every sidecar has seen the new, or its session is over.

Example:
  birchmoor limit check limits.toml && birchmoor limit put limits.toml`
}

func (k *limitPut) Run(ctx context.Context, c *console) error {
	conf, err := readLimits(k.File)
	if err != nil {
		return err
	}
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		now, err := a.PutLimits(ctx, conf)
		if err != nil {
			return err
		}
		return k.print(c, now, func(w *tabwriter.Writer) {
			fmt.Fprintf(w, "version %d of limits is in force: %d\n", now.Version, len(now.Limits))
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
	File string `arg:"" type:"existingfile" help:"File of limits."`
	JSON bool   `help:"Print them as JSON."`
}

func (k *limitCheck) Run(c *console) error {
	conf, err := readLimits(k.File)
	if err != nil {
		return err
	}
	if k.JSON {
		return json.NewEncoder(c.out).Encode(conf)
	}
	fmt.Fprintf(c.out, "%s: no faults, %d limits\n", k.File, len(conf.Limits))
	return nil
}
