package main

import (
	"context"
	"fmt"
	"strconv"
	"text/tabwriter"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
)

type storeMembers struct{ clientFlags }

func (k *storeMembers) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		status, err := client.Status(ctx)
		if err != nil {
			return err
		}
		return k.print(c, status.Peers, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "ID\tNAME\tADDRESS\tROLE\tLEVEL\tSTARTS\tENTRY")
			for _, peer := range status.Peers {
				role := "votes"
				switch {
				case peer.Leader:
					role = "leads"
				case peer.Learner:
					role = "learns"
				}
				match := "-" // known only at the leader
				if peer.MatchIndex > 0 {
					match = strconv.FormatUint(peer.MatchIndex, 10)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\t%s\n", peer.ID, peer.Name, peer.Address, role, peer.Level,
					peer.Boot, match)
			}
		})
	})
}

type storeAdd struct {
	clientFlags
	requestFlags
	Name    string `arg:"" help:"Name of the replica."`
	Address string `arg:"" help:"Address at which the other replicas reach it, such as 127.0.0.1:7402."`
}

func (k *storeAdd) Help() string {
	return `First start the replica with join = true and an empty folder. It is a learner until it has caught up, and votes
from then on. Add one replica at a time.

Example:
  birchmoor store add b 127.0.0.1:7402`
}

func (k *storeAdd) Run(ctx context.Context, c *console) error {
	id, err := k.id()
	if err != nil {
		return err
	}
	request := admin.ChangeRequest{ID: id, AddMember: &store.AddMember{Name: k.Name, Address: k.Address}}
	return k.change(ctx, c, request, func(w *tabwriter.Writer, x admin.ChangeResponse) {
		fmt.Fprintf(w, "member %d, a learner until it has caught up\n", x.MemberID)
	})
}

type storeRemove struct {
	clientFlags
	requestFlags
	Member uint64 `arg:"" help:"Id of the member. Ids are never reused."`
}

func (k *storeRemove) Run(ctx context.Context, c *console) error {
	id, err := k.id()
	if err != nil {
		return err
	}
	request := admin.ChangeRequest{ID: id, RemoveMember: k.Member}
	return k.change(ctx, c, request, func(w *tabwriter.Writer, _ admin.ChangeResponse) {
		fmt.Fprintf(w, "member %d is removed\n", k.Member)
	})
}

type storeHandover struct{ clientFlags }

func (k *storeHandover) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		if err := client.TransferLeadership(ctx); err != nil {
			return k.changeFailed(ctx, c, err, "")
		}
		return nil
	})
}
