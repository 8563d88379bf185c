package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"birchmoor/internal/store/usage"

	"birchmoor/internal/controlplane/adminapi"
)

type storeStatus struct{ clientFlags }

func (k *storeStatus) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		d := status.Daemon
		holds := fmt.Sprintf("%d excluded, %d starts, %d snapshots of %d bytes; %d pending changes",
			d.Exclusions, d.Starts, d.Snapshots, d.SnapshotBytes, d.PendingWrites)
		return k.print(c, status, func(w *tabwriter.Writer) {
			printRows(w, []row{
				{"began with", startupText(&status)},
				{"holds", holds},
				{"name", status.Name},
				{"cluster", fmt.Sprintf("%x", status.Self.ClusterID)},
				{"member", status.Self.MemberID},
				{"state", stateText(&status)},
				{"copy", copyText(&status)},
				{"term", status.Term},
				{"revision", status.Revision},
				{"keys", status.Keys},
				{"bytes", status.Bytes},
				{"disk", status.DiskBytes},
				{"applied", fmt.Sprintf("%d of %d", status.Applied, status.Commit)},
				{"members settled", status.MembershipStable},
				{"peers refused", status.PeersRejected},
				{"connections refused", status.ConnectionsRejected},
				{"messages dropped", status.MessagesDropped},
			})
		})
	})
}

// stateText describes the role of the daemon in the store: replica or follower, and its state.
func stateText(status *adminapi.Status) string {
	switch {
	case status.Failed != "":
		return "stopped: " + status.Failed
	case status.WaitingToJoin:
		return "waits to be added to a cluster"
	case status.Follower && status.Following == "":
		return "has a copy, and hears no replica"
	case status.Follower:
		return "has a copy, and follows " + status.Following
	case status.Leading:
		return "leads"
	case status.LeaderID == 0:
		return "knows no leader"
	}
	return "follows"
}

// copyText describes how recent the daemon's copy of the store is and, if the copy holds only some of the keys, which.
func copyText(status *adminapi.Status) string {
	text := "not confirmed since the start"
	if status.CopyAge.Confirmed {
		text = fmt.Sprintf("confirmed by a quorum %v ago", status.CopyAge.Age.Round(time.Millisecond))
	}
	if status.CopyAge.Stale {
		text = "STALE, " + text
	}
	if status.Interest != nil {
		text += "; a part: " + strings.Join(slices.Concat(status.Interest.Prefixes, status.Interest.Keys), " ")
	}
	return text
}

// startupText describes the state with which the daemon started.
func startupText(status *adminapi.Status) string {
	startup := status.Startup
	text := fmt.Sprintf("%s at revision %d: %d excluded, %d starts, %d snapshots",
		startup.Source, startup.Revision, startup.Exclusions, startup.Starts, startup.Snapshots)
	if startup.Settings {
		text += ", the settings of the store"
	}
	if startup.Age != "" {
		text += ", written " + startup.Age + " before the start"
	}
	for _, restored := range startup.Restored {
		text += fmt.Sprintf("; the module restored %d servers from %s (%d snapshots), %v old",
			restored.Servers, restored.Source, restored.Snapshots, restored.Age.Round(time.Millisecond))
	}
	return text
}

type storeMeter struct{ clientFlags }

func (k *storeMeter) Help() string {
	return `Shows the messages and bytes sent and received, the log entries, and the syncs and bytes written, counted since
the start, and the resource use of the process. Bytes of messages do not include TLS and HTTP headers; bytes of
connections include both.

Examples:
  birchmoor store meter
  birchmoor store meter --json --socket state/store.sock`
}

func (k *storeMeter) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		reading, err := client.Usage(ctx)
		if err != nil {
			return err
		}
		return k.print(c, reading, func(w *tabwriter.Writer) { printUsage(w, &reading) })
	})
}

// printUsage prints a reading in three tables: by purpose, by file, and for the process.
func printUsage(w io.Writer, reading *usage.Reading) {
	fmt.Fprintln(w, "PURPOSE\tMESSAGES IN\tBYTES IN\tMESSAGES OUT\tBYTES OUT\tENTRIES PROPOSED\tAPPLIED\tBYTES APPLIED")
	for _, p := range reading.Purposes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			p.Purpose, p.MessagesIn, p.BytesIn, p.MessagesOut, p.BytesOut, p.Proposed, p.Applied, p.AppliedBytes)
	}
	conns := reading.Connections
	fmt.Fprintf(w, "connections (%d opened)\t\t%d\t\t%d\n", conns.Opened, conns.BytesIn, conns.BytesOut)
	fmt.Fprintln(w, "\nFILE\tSYNCS\tBYTES WRITTEN")
	for _, f := range reading.Written {
		fmt.Fprintf(w, "%s\t%d\t%d\n", f.File, f.Syncs, f.Bytes)
	}
	p := reading.Process
	fmt.Fprintln(w, "\nPROCESS")
	printRows(w, []row{
		{"seconds", fmt.Sprintf("%.1f", reading.Seconds)},
		{"cpu user seconds", fmt.Sprintf("%.2f", p.CPUUserSeconds)},
		{"cpu system seconds", fmt.Sprintf("%.2f", p.CPUSystemSeconds)},
		{"heap bytes", p.HeapBytes},
		{"resident bytes", p.ResidentBytes},
		{"descriptors", p.Descriptors},
		{"goroutines", p.Goroutines},
	})
}
