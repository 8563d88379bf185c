package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
)

type clientFlags struct {
	Socket  string        `help:"Socket of a running daemon." default:"store.sock" env:"BIRCHMOOR_STORE" placeholder:"PATH"`
	JSON    bool          `help:"As JSON."`
	Timeout time.Duration `help:"Wait for an answer for so long at most." default:"10s"`
}

const (
	minTimeout      = 50 * time.Millisecond
	maxTimeout      = 10 * time.Minute
	timeoutSlack    = 500 * time.Millisecond // for the daemon's own word that it has waited for so long
	waitNoticeDelay = time.Second
)

// call asks the daemon, for at most the time that was given, and says on standard error that it waits if that takes
// long.
func (s *clientFlags) call(ctx context.Context, c *console, f func(context.Context, *adminapi.Client) error) error {
	if s.Timeout < minTimeout || s.Timeout > maxTimeout {
		return fmt.Errorf("--timeout: %v is not within %v and %v", s.Timeout, minTimeout, maxTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout+timeoutSlack)
	defer cancel()
	say := time.AfterFunc(waitNoticeDelay, func() {
		fmt.Fprintf(c.err, "birchmoor: no answer yet; waiting for %v in all\n", s.Timeout)
	})
	defer say.Stop()
	a := adminapi.Dial(s.Socket)
	a.Timeout = s.Timeout
	return f(ctx, a)
}

// changeFailure is what --json prints of a change that was not seen to be made.
type changeFailure struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome"` // "unchanged" or "unknown"
	Request string `json:"request,omitempty"`
}

// changeFailed says what an error means for a change: that nothing was changed, or that it is not known whether.
// request, if it is not empty, is what to say again.
func (s *clientFlags) changeFailed(ctx context.Context, c *console, err error, request string) error {
	var told *admin.ResponseError
	x := changeFailure{Error: err.Error(), Outcome: "unchanged"}
	switch {
	case errors.As(err, &told) && told.OutcomeUnknown != nil, told == nil && ctx.Err() != nil:
		// The daemon sent it on and heard nothing, or did not even answer us.
		x.Outcome, x.Request = "unknown", request
		err = fmt.Errorf("the outcome is unknown: %w", err)
		if request != "" {
			err = fmt.Errorf("%w; to find out and have it made once, say it again with --request %s", err, request)
		}
	default:
		err = fmt.Errorf("nothing was changed: %w", err)
	}
	if s.JSON {
		if bad := json.NewEncoder(c.out).Encode(x); bad != nil {
			return bad
		}
	}
	return err
}

func (s *clientFlags) print(c *console, v any, table func(*tabwriter.Writer)) error {
	if s.JSON {
		e := json.NewEncoder(c.out)
		e.SetIndent("", " ")
		return e.Encode(v)
	}
	w := tabwriter.NewWriter(c.out, 0, 4, 2, ' ', 0)
	table(w)
	return w.Flush()
}

type requestFlags struct {
	Request string `help:"Id of a request whose outcome is unknown: it is made once." placeholder:"ID"`
}

func (r requestFlags) id() (id store.RequestID, err error) {
	if r.Request == "" {
		return id, nil
	}
	if n, err := fmt.Sscanf(r.Request, "%d-%d", &id.Client, &id.Seq); n != 2 || err != nil {
		return id, fmt.Errorf("--request %q is not of the form 123-1", r.Request)
	}
	return id, nil
}

// change makes a change, and prints a note if its outcome is unknown.
func (s *clientFlags) change(ctx context.Context, c *console, r admin.ChangeRequest, table func(*tabwriter.Writer, admin.ChangeResponse)) error {
	if r.ID == (store.RequestID{}) {
		var b [8]byte
		if _, err := rand.Read(b[:]); err != nil {
			return err
		}
		r.ID = store.RequestID{Client: binary.BigEndian.Uint64(b[:]) >> 1, Seq: 1}
	}
	return s.call(ctx, c, func(ctx context.Context, a *adminapi.Client) error {
		x, err := a.Change(ctx, r)
		if err != nil {
			return s.changeFailed(ctx, c, err, fmt.Sprintf("%d-%d", r.ID.Client, r.ID.Seq))
		}
		return s.print(c, x, func(w *tabwriter.Writer) { table(w, x) })
	})
}
