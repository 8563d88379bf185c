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
	Key    string `arg:"" help:"Key, or prefix."`
	Prefix bool   `help:"All keys that begin with it."`
	Stale  bool   `help:"This copy as it is, without asking the quorum; its age is told."`
	Limit  int    `help:"So many keys at most." default:"1000"`
}

// formatValue is a value as text, quoted unless it is UTF-8.
func formatValue(b []byte) string {
	if utf8.Valid(b) {
		return string(b)
	}
	return fmt.Sprintf("%q", b)
}

func (k *storeGet) Run(ctx context.Context, c *console) error {
	q := url.Values{"limit": {strconv.Itoa(k.Limit)}}
	if k.Stale {
		q.Set("stale", "true")
	}
	if k.Prefix {
		q.Set("prefix", k.Key)
	} else {
		q.Set("key", k.Key)
	}
	return k.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		i, err := a.Range(ctx, q)
		if err != nil {
			return err
		}
		if len(i.Items) == 0 && !k.Prefix {
			fmt.Fprintf(c.err, "%s: no such key at revision %d\n", k.Key, i.CopyAge.Revision)
			return errRunFailed
		}
		return k.print(c, i, func(w *tabwriter.Writer) {
			for _, x := range i.Items {
				fmt.Fprintf(w, "%s\t%s\t%d\n", x.Key, formatValue(x.Value), x.ModRevision)
			}
			if i.More {
				fmt.Fprintln(w, "and more: raise --limit")
			}
			if k.Stale {
				fmt.Fprintf(w, "stale: revision %d, confirmed %v ago\n", i.CopyAge.Revision, i.CopyAge.Age.Round(time.Millisecond))
			}
		})
	})
}

type storePut struct {
	clientFlags
	requestFlags
	Key        string  `arg:"" help:"Key."`
	Value      string  `arg:"" help:"Value; - reads standard input."`
	IfRevision *uint64 `name:"if" help:"Only if the key was last put at this revision; 0: only if there is none." placeholder:"REVISION"`
	Lease      uint64  `help:"The key goes when this lease ends." placeholder:"ID"`
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

// maxInputBytes bounds what is read of standard input: above any value that the store takes.
const maxInputBytes = 2 << 20

// putOrDelete makes one change of a key, if its last revision is the given one or none is given.
func putOrDelete(
	ctx context.Context, c *console, s *clientFlags, r requestFlags, op store.Op, ifRevision *uint64,
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
	response, err := s.changeAndReturn(ctx, c, request, func(w *tabwriter.Writer, x admin.ChangeResponse) {
		if x.Succeeded {
			fmt.Fprintf(w, "revision %d\n", x.Revision)
		}
	})
	if err == nil && !response.Succeeded {
		fmt.Fprintf(c.err, "%s was changed meanwhile: nothing was done\n", op.Key)
		return errRunFailed
	}
	return err
}

type storeDelete struct {
	clientFlags
	requestFlags
	Key        string  `arg:"" help:"Key."`
	IfRevision *uint64 `name:"if" help:"Only if the key was last put at this revision." placeholder:"REVISION"`
}

func (k *storeDelete) Run(ctx context.Context, c *console) error {
	op := store.Op{Key: k.Key, Delete: true}
	return putOrDelete(ctx, c, &k.clientFlags, k.requestFlags, op, k.IfRevision)
}

type storeWatch struct {
	clientFlags
	Prefix        string  `arg:"" optional:"" help:"Keys that begin with it."`
	AfterRevision *uint64 `name:"after" help:"Changes after this revision; without it, from now on." placeholder:"REVISION"`
}

func (k *storeWatch) Run(ctx context.Context, c *console) error {
	q := url.Values{"prefix": {k.Prefix}}
	if k.AfterRevision != nil {
		q.Set("after", strconv.FormatUint(*k.AfterRevision, 10))
	}
	enc := json.NewEncoder(c.out)
	return adminapi.Dial(k.Socket).Watch(ctx, q, func(e store.Event) error {
		if k.JSON {
			return enc.Encode(e)
		}
		what := "put   "
		if e.Deleted {
			what = "delete"
		}
		_, err := fmt.Fprintf(c.out, "%d  %s  %s  %s\n", e.Revision, what, e.Item.Key, formatValue(e.Item.Value))
		return err
	})
}
