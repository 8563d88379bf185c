package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"strconv"
	"text/tabwriter"
	"time"
	"unicode/utf8"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
)

type storeGet struct {
	clientFlags
	Key    string `arg:"" help:"Key, or prefix of keys."`
	Prefix bool   `help:"Read all keys with this prefix."`
	Stale  bool   `help:"Read the daemon's own copy without a quorum's confirmation, and print its age."`
	Limit  int    `help:"Maximum number of keys." default:"1000"`
}

// formatValue returns a value as text. A value that is not UTF-8 is quoted.
func formatValue(b []byte) string {
	if utf8.Valid(b) {
		return string(b)
	}
	return fmt.Sprintf("%q", b)
}

func (k *storeGet) Run(ctx context.Context, c *console) error {
	query := url.Values{"limit": {strconv.Itoa(k.Limit)}}
	if k.Stale {
		query.Set("stale", "true")
	}
	if k.Prefix {
		query.Set("prefix", k.Key)
	} else {
		query.Set("key", k.Key)
	}
	return k.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		page, err := client.Range(ctx, query)
		if err != nil {
			return err
		}
		if len(page.Items) == 0 && !k.Prefix {
			fmt.Fprintf(c.errOut, "%s: no such key at revision %d\n", k.Key, page.CopyAge.Revision)
			return errRunFailed
		}
		return k.print(c, page, func(w *tabwriter.Writer) {
			for _, item := range page.Items {
				fmt.Fprintf(w, "%s\t%s\t%d\n", item.Key, formatValue(item.Value), item.ModRevision)
			}
			if page.More {
				fmt.Fprintln(w, "and more keys: raise --limit")
			}
			if k.Stale {
				fmt.Fprintf(w, "stale: revision %d, confirmed %v ago\n",
					page.CopyAge.Revision, page.CopyAge.Age.Round(time.Millisecond))
			}
		})
	})
}

type storePut struct {
	clientFlags
	requestFlags
	Key        string  `arg:"" help:"Key."`
	Value      string  `arg:"" help:"Value; - reads it from standard input."`
	IfRevision *uint64 `name:"if" help:"Put only if the key was last put at this revision; 0: only if the key does not exist." placeholder:"REVISION"`
	Lease      uint64  `help:"Id of a lease; the key is deleted when the lease ends." placeholder:"ID"`
}

func (k *storePut) Run(ctx context.Context, c *console) error {
	value := []byte(k.Value)
	if k.Value == "-" {
		var err error
		value, err = io.ReadAll(io.LimitReader(os.Stdin, maxInputBytes))
		if err != nil {
			return err
		}
	}
	op := store.Op{Key: k.Key, Value: value, LeaseID: k.Lease}
	return putOrDelete(ctx, c, &k.clientFlags, k.requestFlags, op, k.IfRevision)
}

// maxInputBytes limits what is read from standard input. It is above the largest value that the store accepts.
const maxInputBytes = 2 << 20

// putOrDelete puts or deletes a key. Unless ifRevision is nil, it does so only if the key was last put at that
// revision.
func putOrDelete(
	ctx context.Context, c *console, flags *clientFlags, r requestFlags, op store.Op, ifRevision *uint64,
) error {
	id, err := r.id()
	if err != nil {
		return err
	}
	txn := &store.Txn{Then: []store.Op{op}}
	if ifRevision != nil {
		txn.If = []store.Compare{{Key: op.Key, ModRevision: *ifRevision}}
	}
	request := admin.ChangeRequest{ID: id, Txn: txn}
	response, err := flags.changeAndReturn(ctx, c, request, func(w *tabwriter.Writer, x admin.ChangeResponse) {
		if x.Succeeded {
			fmt.Fprintf(w, "revision %d\n", x.Revision)
		}
	})
	if err == nil && !response.Succeeded {
		fmt.Fprintf(c.errOut, "%s: the key was not last put at the given revision; nothing was changed\n", op.Key)
		return errRunFailed
	}
	return err
}

type storeDelete struct {
	clientFlags
	requestFlags
	Key        string  `arg:"" help:"Key."`
	IfRevision *uint64 `name:"if" help:"Delete only if the key was last put at this revision." placeholder:"REVISION"`
}

func (k *storeDelete) Run(ctx context.Context, c *console) error {
	op := store.Op{Key: k.Key, Delete: true}
	return putOrDelete(ctx, c, &k.clientFlags, k.requestFlags, op, k.IfRevision)
}

type storeWatch struct {
	clientFlags
	Prefix        string  `arg:"" optional:"" help:"Watch only keys with this prefix."`
	AfterRevision *uint64 `name:"after" help:"Print the changes after this revision; without it, the changes from now on." placeholder:"REVISION"`
}

func (k *storeWatch) Run(ctx context.Context, c *console) error {
	query := url.Values{"prefix": {k.Prefix}}
	if k.AfterRevision != nil {
		query.Set("after", strconv.FormatUint(*k.AfterRevision, 10))
	}
	enc := json.NewEncoder(c.out)
	return adminapi.Dial(k.Socket).Watch(ctx, query, func(event store.Event) error {
		if k.JSON {
			return enc.Encode(event)
		}
		operation := "put   "
		if event.Deleted {
			operation = "delete"
		}
		_, err := fmt.Fprintf(c.out, "%d  %s  %s  %s\n",
			event.Revision, operation, event.Item.Key, formatValue(event.Item.Value))
		return err
	})
}
