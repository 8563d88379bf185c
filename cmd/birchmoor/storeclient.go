package main

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"
	"time"

	"birchmoor/internal/controlplane/adminapi"
	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
)

type clientFlags struct {
	Socket  string        `help:"Socket of a running daemon." default:"store.sock" env:"BIRCHMOOR_STORE" placeholder:"PATH"`
	JSON    bool          `help:"Print JSON."`
	Timeout time.Duration `help:"Maximum time to wait for the reply." default:"10s"`
}

const (
	minTimeout      = 50 * time.Millisecond
	maxTimeout      = 10 * time.Minute
	timeoutSlack    = 500 * time.Millisecond // leaves the daemon time to reply that its own wait timed out
	waitNoticeDelay = time.Second
)

// call runs f with a client of the daemon at --socket and the timeout of --timeout. After waitNoticeDelay it prints on
// standard error that it is still waiting.
func (s *clientFlags) call(ctx context.Context, c *console, f func(context.Context, *adminapi.Client) error) error {
	if s.Timeout < minTimeout || s.Timeout > maxTimeout {
		return fmt.Errorf("--timeout: %v is not within %v and %v", s.Timeout, minTimeout, maxTimeout)
	}
	ctx, cancel := context.WithTimeout(ctx, s.Timeout+timeoutSlack)
	defer cancel()
	noticed := make(chan struct{})
	notice := time.AfterFunc(waitNoticeDelay, func() {
		defer close(noticed)
		fmt.Fprintf(c.errOut, "birchmoor: no reply yet; waiting up to %v in total\n", s.Timeout)
	})
	defer func() {
		if !notice.Stop() {
			<-noticed // the notice is being printed
		}
	}()
	client := adminapi.Dial(s.Socket)
	client.Timeout = s.Timeout
	return f(ctx, client)
}

// changeFailure is the JSON for a change that failed or whose outcome is unknown.
type changeFailure struct {
	Error   string `json:"error"`
	Outcome string `json:"outcome"` // "unchanged" or "unknown"
	Request string `json:"request,omitempty"`
}

// changeFailed adds to err whether nothing was changed or the outcome of the change is unknown, and prints that as JSON
// if --json is given. request is the id with which the change can be retried, or "" if it has none.
func (s *clientFlags) changeFailed(ctx context.Context, c *console, err error, request string) error {
	failure := changeFailure{Error: err.Error(), Outcome: "unchanged"}
	if outcomeUnknown(ctx, err) {
		failure.Outcome, failure.Request = "unknown", request
		err = fmt.Errorf("the outcome is unknown: %w", err)
		if request != "" {
			err = fmt.Errorf("%w; to retry without making the change twice, add --request %s", err, request)
		}
	} else {
		err = fmt.Errorf("nothing was changed: %w", err)
	}
	if s.JSON {
		encodeErr := json.NewEncoder(c.out).Encode(failure)
		if encodeErr != nil {
			return encodeErr
		}
	}
	return err
}

// outcomeUnknown reports whether a change may have been made: the daemon proposed it and does not know the outcome, or
// did not reply in time.
func outcomeUnknown(ctx context.Context, err error) bool {
	var response *admin.ResponseError
	if errors.As(err, &response) {
		return response.OutcomeUnknown != nil
	}
	return ctx.Err() != nil
}

// print prints v as indented JSON if --json is given, and otherwise what table writes.
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

// requestFlags are the flags of a change that can be retried with the id of the first request, and is made only once.
type requestFlags struct {
	Request string `help:"Id of an earlier request whose outcome is unknown: the change is made only once." placeholder:"ID"`
}

// id parses the id of --request. It returns the zero id if none is given.
func (r requestFlags) id() (id store.RequestID, err error) {
	if r.Request == "" {
		return id, nil
	}
	n, err := fmt.Sscanf(r.Request, "%d-%d", &id.Client, &id.Seq)
	if n != 2 || err != nil {
		return id, fmt.Errorf("--request %q is not of the form 123-1", r.Request)
	}
	return id, nil
}

// change makes a change and prints the response. A change with the zero id gets a random one.
func (s *clientFlags) change(
	ctx context.Context, c *console, r admin.ChangeRequest, table func(*tabwriter.Writer, admin.ChangeResponse),
) error {
	_, err := s.changeAndReturn(ctx, c, r, table)
	return err
}

// changeAndReturn is like change, and also returns the response.
func (s *clientFlags) changeAndReturn(
	ctx context.Context, c *console, r admin.ChangeRequest, table func(*tabwriter.Writer, admin.ChangeResponse),
) (response admin.ChangeResponse, err error) {
	if r.ID == (store.RequestID{}) {
		n, err := randomUint63()
		if err != nil {
			return response, err
		}
		r.ID = store.RequestID{Client: n, Seq: 1}
	}
	err = s.call(ctx, c, func(ctx context.Context, client *adminapi.Client) error {
		response, err = client.Change(ctx, r)
		if err != nil {
			return s.changeFailed(ctx, c, err, fmt.Sprintf("%d-%d", r.ID.Client, r.ID.Seq))
		}
		return s.print(c, response, func(w *tabwriter.Writer) { table(w, response) })
	})
	return response, err
}

// randomUint63 returns a random number below 2^63.
func randomUint63() (uint64, error) {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		return 0, err
	}
	return binary.BigEndian.Uint64(b[:]) >> 1, nil
}

// isNotFound reports whether err is the daemon's reply that what the request names does not exist.
func isNotFound(err error) bool {
	var response *admin.ResponseError
	return errors.As(err, &response) && response.Status == http.StatusNotFound
}

// row is a line of a table of names and values.
type row struct {
	name  string
	value any
}

func printRows(w io.Writer, rows []row) {
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%v\n", r.name, r.value)
	}
}
