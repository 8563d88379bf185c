package main

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
)

type storeStatus struct{ clientFlags }

func (k *storeStatus) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		s, err := a.Status(ctx)
		if err != nil {
			return err
		}
		return k.print(c, s, func(w *tabwriter.Writer) {
			state := "follows"
			switch {
			case s.Failed != "":
				state = "stopped: " + s.Failed
			case s.WaitingToJoin:
				state = "waits to be taken into a cluster"
			case s.Follower && s.Following == "":
				state = "has a copy, and hears no replica"
			case s.Follower:
				state = "has a copy, and follows " + s.Following
			case s.Leading:
				state = "leads"
			case s.LeaderID == 0:
				state = "knows no leader"
			}
			copied := "not confirmed since the start"
			if s.CopyAge.Confirmed {
				copied = fmt.Sprintf("confirmed by a quorum %v ago", s.CopyAge.Age.Round(time.Millisecond))
			}
			if s.CopyAge.Stale {
				copied = "STALE, " + copied
			}
			began := fmt.Sprintf("%s at revision %d: %d out, %d starts, %d pictures", s.Startup.From, s.Startup.Revision, s.Startup.Exclusions, s.Startup.Starts, s.Startup.Snapshots)
			if s.Startup.Settings {
				began += ", the fleet's settings"
			}
			if s.Startup.Age != "" {
				began += ", written " + s.Startup.Age + " before"
			}
			for _, r := range s.Startup.Restored {
				began += fmt.Sprintf("; the module recalled %d servers from %s (%d pictures), %v old", r.Servers, r.From, r.Snapshots, r.Age.Round(time.Millisecond))
			}
			if s.Interest != nil {
				copied += fmt.Sprintf("; a part: %s", strings.Join(slices.Concat(s.Interest.Prefixes, s.Interest.Keys), " "))
			}
			k := s.Daemon
			for _, x := range [][2]any{{"began with", began}, {"holds", fmt.Sprintf("%d out, %d starts, %d pictures of %d bytes; %d changes owed",
				k.Exclusions, k.Starts, k.Snapshots, k.SnapshotBytes, k.PendingWrites)}, {"name", s.Name}, {"cluster", fmt.Sprintf("%x", s.Self.ClusterID)}, {"member", s.Self.MemberID}, {"state", state}, {"copy", copied},
				{"term", s.Term}, {"revision", s.Revision}, {"keys", s.Keys}, {"bytes", s.Bytes}, {"disk", s.DiskBytes},
				{"applied", fmt.Sprintf("%d of %d", s.Applied, s.Commit)}, {"members settled", s.MembershipStable},
				{"peers refused", s.PeersRejected}, {"connections refused", s.ConnectionsRejected}, {"messages dropped", s.MessagesDropped}} {
				fmt.Fprintf(w, "%v\t%v\n", x[0], x[1])
			}
		})
	})
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
		return k.print(c, r, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "PURPOSE\tMESSAGES IN\tBYTES IN\tMESSAGES OUT\tBYTES OUT\tENTRIES PROPOSED\tAPPLIED\tBYTES APPLIED")
			for _, p := range r.Purposes {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\n", p.Purpose, p.MessagesIn, p.BytesIn, p.MessagesOut, p.BytesOut, p.Proposed, p.Applied,
					p.AppliedBytes)
			}
			fmt.Fprintf(w, "connections (%d opened)\t\t%d\t\t%d\n", r.Connections.Opened, r.Connections.BytesIn, r.Connections.BytesOut)
			fmt.Fprintln(w, "\nFILE\tSYNCS\tBYTES WRITTEN")
			for _, f := range r.Written {
				fmt.Fprintf(w, "%s\t%d\t%d\n", f.File, f.Syncs, f.Bytes)
			}
			p := r.Process
			fmt.Fprintln(w, "\nPROCESS")
			for _, x := range [][2]any{{"seconds", fmt.Sprintf("%.1f", r.Seconds)}, {"cpu user seconds", fmt.Sprintf("%.2f", p.CPUUserSeconds)},
				{"cpu system seconds", fmt.Sprintf("%.2f", p.CPUSystemSeconds)}, {"heap bytes", p.HeapBytes}, {"resident bytes", p.ResidentBytes},
				{"descriptors", p.Descriptors}, {"goroutines", p.Goroutines}} {
				fmt.Fprintf(w, "%v\t%v\n", x[0], x[1])
			}
		})
	})
}
