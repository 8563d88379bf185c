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
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		s, err := a.Status(ctx)
		if err != nil {
			return err
		}
		d := s.Daemon
		holds := fmt.Sprintf("%d out, %d starts, %d pictures of %d bytes; %d changes owed",
			d.Exclusions, d.Starts, d.Snapshots, d.SnapshotBytes, d.PendingWrites)
		return k.print(c, s, func(w *tabwriter.Writer) {
			printRows(w, []row{
				{"began with", startupText(&s)},
				{"holds", holds},
				{"name", s.Name},
				{"cluster", fmt.Sprintf("%x", s.Self.ClusterID)},
				{"member", s.Self.MemberID},
				{"state", stateText(&s)},
				{"copy", copyText(&s)},
				{"term", s.Term},
				{"revision", s.Revision},
				{"keys", s.Keys},
				{"bytes", s.Bytes},
				{"disk", s.DiskBytes},
				{"applied", fmt.Sprintf("%d of %d", s.Applied, s.Commit)},
				{"members settled", s.MembershipStable},
				{"peers refused", s.PeersRejected},
				{"connections refused", s.ConnectionsRejected},
				{"messages dropped", s.MessagesDropped},
			})
		})
	})
}

// stateText is what the daemon is for the store now.
func stateText(s *adminapi.Status) string {
	switch {
	case s.Failed != "":
		return "stopped: " + s.Failed
	case s.WaitingToJoin:
		return "waits to be taken into a cluster"
	case s.Follower && s.Following == "":
		return "has a copy, and hears no replica"
	case s.Follower:
		return "has a copy, and follows " + s.Following
	case s.Leading:
		return "leads"
	case s.LeaderID == 0:
		return "knows no leader"
	}
	return "follows"
}

// copyText says how recent the daemon's copy of the store is, and what it has if not all.
func copyText(s *adminapi.Status) string {
	text := "not confirmed since the start"
	if s.CopyAge.Confirmed {
		text = fmt.Sprintf("confirmed by a quorum %v ago", s.CopyAge.Age.Round(time.Millisecond))
	}
	if s.CopyAge.Stale {
		text = "STALE, " + text
	}
	if s.Interest != nil {
		text += "; a part: " + strings.Join(slices.Concat(s.Interest.Prefixes, s.Interest.Keys), " ")
	}
	return text
}

// startupText says what the daemon knew when it started.
func startupText(s *adminapi.Status) string {
	u := s.Startup
	text := fmt.Sprintf("%s at revision %d: %d out, %d starts, %d pictures",
		u.Source, u.Revision, u.Exclusions, u.Starts, u.Snapshots)
	if u.Settings {
		text += ", the fleet's settings"
	}
	if u.Age != "" {
		text += ", written " + u.Age + " before"
	}
	for _, r := range u.Restored {
		text += fmt.Sprintf("; the module recalled %d servers from %s (%d pictures), %v old",
			r.Servers, r.Source, r.Snapshots, r.Age.Round(time.Millisecond))
	}
	return text
}

type storeMeter struct{ clientFlags }

func (k *storeMeter) Help() string {
	return `Messages and bytes each way, entries of the log, and what was synced and written, counted since the start; and how the
process stands. Bytes of messages are those before TLS, without the heads of HTTP; those of connections are all.

Examples:
  birchmoor store meter
  birchmoor store meter --json --socket state/store.sock`
}

func (k *storeMeter) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		r, err := a.Usage(ctx)
		if err != nil {
			return err
		}
		return k.print(c, r, func(w *tabwriter.Writer) { printUsage(w, &r) })
	})
}

// printUsage prints a reading in three tables: by purpose, by file, and of the process.
func printUsage(w io.Writer, r *usage.Reading) {
	fmt.Fprintln(w, "PURPOSE\tMESSAGES IN\tBYTES IN\tMESSAGES OUT\tBYTES OUT\tENTRIES PROPOSED\tAPPLIED\tBYTES APPLIED")
	for _, p := range r.Purposes {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n",
			p.Purpose, p.MessagesIn, p.BytesIn, p.MessagesOut, p.BytesOut, p.Proposed, p.Applied, p.AppliedBytes)
	}
	conns := r.Connections
	fmt.Fprintf(w, "connections (%d opened)\t\t%d\t\t%d\n", conns.Opened, conns.BytesIn, conns.BytesOut)
	fmt.Fprintln(w, "\nFILE\tSYNCS\tBYTES WRITTEN")
	for _, f := range r.Written {
		fmt.Fprintf(w, "%s\t%d\t%d\n", f.File, f.Syncs, f.Bytes)
	}
	p := r.Process
	fmt.Fprintln(w, "\nPROCESS")
	printRows(w, []row{
		{"seconds", fmt.Sprintf("%.1f", r.Seconds)},
		{"cpu user seconds", fmt.Sprintf("%.2f", p.CPUUserSeconds)},
		{"cpu system seconds", fmt.Sprintf("%.2f", p.CPUSystemSeconds)},
		{"heap bytes", p.HeapBytes},
		{"resident bytes", p.ResidentBytes},
		{"descriptors", p.Descriptors},
		{"goroutines", p.Goroutines},
	})
}
