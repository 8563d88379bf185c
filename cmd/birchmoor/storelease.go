package main

import (
	"context"
	"fmt"
	"strings"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/store/admin"
)

type leaseCommands struct {
	Grant leaseGrant `cmd:"" help:"Grant a lease, and print its id."`
	Renew leaseRenew `cmd:"" help:"Renew a lease."`
	End   leaseEnd   `cmd:"" help:"End a lease and delete its keys."`
	List  leaseList  `cmd:"" help:"List leases and their keys."`
}

type leaseGrant struct {
	clientFlags
	requestFlags
	TTL time.Duration `arg:"" help:"Time without a renewal after which the lease ends, such as 30s."`
}

func (k *leaseGrant) Help() string {
	return `A key that was put with --lease is deleted when the lease ends: when it is revoked, or when it was not renewed
for its TTL by the leader's clock.

Example:
  id=$(birchmoor store lease grant 30s)
  birchmoor store put hosts/a up --lease $id
  birchmoor store lease renew $id`
}

const (
	minLeaseTTL = time.Second
	maxLeaseTTL = 24 * time.Hour
)

func (k *leaseGrant) Run(ctx context.Context, c *console) error {
	if k.TTL < minLeaseTTL || k.TTL > maxLeaseTTL {
		return fmt.Errorf("%v is not within 1s and 24h", k.TTL)
	}
	id, err := k.id()
	if err != nil {
		return err
	}
	request := admin.ChangeRequest{ID: id, GrantMillis: uint64(k.TTL.Milliseconds())}
	return k.change(ctx, c, request, func(w *tabwriter.Writer, x admin.ChangeResponse) {
		fmt.Fprintln(w, x.LeaseID)
	})
}

type leaseRenew struct {
	clientFlags
	requestFlags
	Lease uint64 `arg:"" help:"Id of the lease."`
}

func (k *leaseRenew) Run(ctx context.Context, c *console) error {
	id, err := k.id()
	if err != nil {
		return err
	}
	request := admin.ChangeRequest{ID: id, RenewLease: k.Lease}
	return k.change(ctx, c, request, func(w *tabwriter.Writer, _ admin.ChangeResponse) {
		fmt.Fprintf(w, "lease %d is renewed\n", k.Lease)
	})
}

type leaseEnd struct {
	clientFlags
	requestFlags
	Lease uint64 `arg:"" help:"Id of the lease."`
}

func (k *leaseEnd) Run(ctx context.Context, c *console) error {
	id, err := k.id()
	if err != nil {
		return err
	}
	request := admin.ChangeRequest{ID: id, RevokeLease: k.Lease}
	return k.change(ctx, c, request, func(w *tabwriter.Writer, _ admin.ChangeResponse) {
		fmt.Fprintf(w, "lease %d has ended, and its keys are deleted\n", k.Lease)
	})
}

type leaseList struct{ clientFlags }

func (k *leaseList) Run(ctx context.Context, c *console) error {
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		leases, err := client.Leases(ctx)
		if err != nil {
			return err
		}
		return k.print(c, leases, func(w *tabwriter.Writer) {
			fmt.Fprintln(w, "ID\tTIME\tKEYS")
			for _, l := range leases {
				fmt.Fprintf(w, "%d\t%v\t%s\n", l.ID, time.Duration(l.TTLMillis)*time.Millisecond, strings.Join(l.Keys, " "))
			}
		})
	})
}
