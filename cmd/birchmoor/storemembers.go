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
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		s, err := a.Status(ctx)
		if err != nil {
			return err
		}
		return k.print(c, s.Peers, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "ID\tNAME\tADDRESS\tROLE\tLEVEL\tSTARTS\tENTRY")
			for _, p := range s.Peers {
				role := "votes"
				switch {
				case p.Leader:
					role = "leads"
				case p.Learner:
					role = "learns"
				}
				match := "-" // the leader alone knows
				if p.MatchIndex > 0 {
					match = strconv.FormatUint(p.MatchIndex, 10)
				}
				fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%d\t%d\t%s\n", p.ID, p.Name, p.Address, role, p.Level, p.Boot, match)
			}
		})
	})
}

type storeAdd struct {
	clientFlags
	requestFlags
	Name    string `arg:"" help:"Name of the replica."`
	Address string `arg:"" help:"Where the others reach it, such as 127.0.0.1:7402."`
}

func (k *storeAdd) Help() string {
	return `Start the replica with join = true and an empty folder first. It learns until it has caught up,
and votes from then on. One replica at a time.

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
	Member uint64 `arg:"" help:"Id of the member; it is never given again."`
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
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		if err := a.TransferLeadership(ctx); err != nil {
			return k.changeFailed(ctx, c, err, "")
		}
		return nil
	})
}
