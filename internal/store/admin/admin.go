// Package admin is how operators reach a running store: HTTP with JSON over a Unix socket that is the owner's alone.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
)

const (
	maxBodyBytes   = 4 << 20
	maxRangeItems  = 10000
	defaultTimeout = 10 * time.Second // for a request's outcome, unless it says how long
	maxTimeout     = 10 * time.Minute
	maxWatches     = 64 // watches at once
)

// withRequestTimeout bounds a request by the time that it gives itself.
func withRequestTimeout(r *http.Request) (context.Context, context.CancelFunc, error) {
	span := defaultTimeout
	if text := r.URL.Query().Get("timeout"); text != "" {
		var err error
		if span, err = time.ParseDuration(text); err != nil || span <= 0 || span > maxTimeout {
			return nil, nil, fmt.Errorf("%w: timeout: %q is not a duration within 0 and %v", ErrBadRequest, text, maxTimeout)
		}
	}
	ctx, cancel := context.WithTimeout(r.Context(), span)
	return ctx, cancel, nil
}

// callHandler makes a handler of what answers within the time that the request gives itself.
func callHandler(f func(context.Context, http.ResponseWriter, *http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel, err := withRequestTimeout(r)
		if err != nil {
			WriteError(w, err)
			return
		}
		defer cancel()
		v, err := f(ctx, w, r)
		if err != nil {
			WriteError(w, err)
			return
		}
		writeJSON(w, http.StatusOK, v)
	}
}

// ErrorBody is an error as it is told.
type ErrorBody struct {
	Error          string           `json:"error"`
	OutcomeUnknown *store.RequestID `json:"unknown,omitempty"` // the change may have been made
	OldestRevision uint64           `json:"oldest,omitempty"`  // of a watch that is compacted
	LeaseNotFound  bool             `json:"no_lease,omitempty"`
}

// RangeResponse answers a read.
type RangeResponse struct {
	Items   []store.Item   `json:"items"`
	More    bool           `json:"more,omitempty"`
	CopyAge engine.CopyAge `json:"copy"`
	Stale   bool           `json:"stale"` // was asked for
}

// ChangeResponse answers a change.
type ChangeResponse struct {
	Revision  uint64 `json:"revision"`
	Succeeded bool   `json:"held"`
	MemberID  uint64 `json:"member,omitempty"`
	LeaseID   uint64 `json:"lease,omitempty"`
}

// ChangeRequest asks for a change. A request that is sent again with the same id is done once.
type ChangeRequest struct {
	ID           store.RequestID  `json:"id"`
	Txn          *store.Txn       `json:"txn,omitempty"`
	AddMember    *store.AddMember `json:"add,omitempty"`
	RemoveMember uint64           `json:"remove,omitempty"`

	GrantMillis uint64 `json:"grant,omitempty"` // a lease, of so many milliseconds
	RenewLease  uint64 `json:"renew,omitempty"` // this lease
	RevokeLease uint64 `json:"end,omitempty"`   // this lease, and its keys with it
	Owner       string `json:"owner,omitempty"` // of the lease
}

// LeaseInfo is one as operators see it.
type LeaseInfo struct {
	ID        uint64   `json:"id"`
	TTLMillis uint64   `json:"ttl_ms"`
	Owner     string   `json:"owner,omitempty"` // the daemon that alone renews it
	Keys      []string `json:"keys"`
}

// Store is what a Server shows: a replica, or the copy of a daemon that has none.
type Store interface {
	Do(ctx context.Context, c store.Command) (store.Result, error)
	View(ctx context.Context, stale bool, f func(*store.State)) (engine.CopyAge, error)
	Next(ctx context.Context, prefix string, after uint64, most int) ([]store.Event, uint64, error)
	Status(ctx context.Context) (engine.Status, error)
	Save(ctx context.Context) (*store.State, error)
	TransferLeadership(ctx context.Context) error
}

// Config says what a Server answers.
type Config struct {
	Store         Store
	Status        func(engine.Status) any // what it says of itself; nil: how the store stands
	RegisterCalls func(*Mux)              // adds what others answer at the same socket; nil: nothing
}

// Server answers operators.
type Server struct {
	cfg        Config
	http       *http.Server
	listener   net.Listener
	watchSlots chan struct{}
}

// Mux is what a server answers, by method and path.
type Mux struct{ mux *http.ServeMux }

// HandleCall adds an answer of JSON, or a Fault, within the time that the request gives itself.
func (m *Mux) HandleCall(pattern string, f func(context.Context, http.ResponseWriter, *http.Request) (any, error)) {
	m.mux.HandleFunc(pattern, callHandler(f))
}

// HandleStream adds what lasts for as long as its connection.
func (m *Mux) HandleStream(pattern string, f http.HandlerFunc) { m.mux.HandleFunc(pattern, f) }

// Listen makes the socket and serves it. A socket that a process that is gone left behind is replaced.
func Listen(path string, c Config) (*Server, error) {
	if c, err := net.DialTimeout("unix", path, time.Second); err == nil {
		c.Close()
		return nil, fmt.Errorf("another process serves %s", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	ln, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, 0o600); err != nil {
		return nil, errors.Join(err, ln.Close())
	}
	if c.Status == nil {
		c.Status = func(st engine.Status) any { return st }
	}
	s := &Server{cfg: c, listener: ln, watchSlots: make(chan struct{}, maxWatches)}
	m := &Mux{http.NewServeMux()}
	m.HandleCall("GET /v1/status", s.status)
	m.HandleCall("GET /v1/range", s.readRange)
	m.HandleStream("GET /v1/watch", s.watch)
	m.HandleStream("GET /v1/snapshot", s.snapshot)
	m.HandleCall("POST /v1/change", s.change)
	m.HandleCall("POST /v1/handover", s.transferLeadership)
	m.HandleCall("GET /v1/leases", s.leases)
	if c.RegisterCalls != nil {
		c.RegisterCalls(m)
	}
	s.http = &http.Server{Handler: m.mux, ReadHeaderTimeout: 5 * time.Second, MaxHeaderBytes: 16 << 10}
	go s.http.Serve(ln)
	return s, nil
}

// Close ends all requests.
func (s *Server) Close() error { return s.http.Close() }

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// WriteError answers with a Fault.
func WriteError(w http.ResponseWriter, err error) {
	f, status := ErrorBody{Error: err.Error()}, http.StatusServiceUnavailable
	var unknown *engine.UnknownError
	var gone *store.CompactedError
	switch {
	case errors.As(err, &unknown):
		f.OutcomeUnknown, status = &unknown.ID, http.StatusGatewayTimeout
	case errors.As(err, &gone):
		f.OldestRevision, status = gone.Oldest, http.StatusGone
	case errors.Is(err, store.ErrTooLarge), errors.Is(err, store.ErrBadKey), errors.Is(err, ErrBadRequest):
		status = http.StatusBadRequest
	case errors.Is(err, store.ErrLevel):
		status = http.StatusPreconditionFailed
	case errors.Is(err, store.ErrFull):
		status = http.StatusInsufficientStorage
	case errors.Is(err, store.ErrUnknownMember), errors.Is(err, store.ErrLeaseNotFound), errors.Is(err, store.ErrRequestExpired):
		status, f.LeaseNotFound = http.StatusConflict, errors.Is(err, store.ErrLeaseNotFound)
	case errors.As(err, new(notFoundError)):
		status = http.StatusNotFound
	case errors.As(err, new(*store.NotHeldError)):
		status = http.StatusMisdirectedRequest
	case errors.Is(err, replica.ErrNoLeader):
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, status, f)
}

// notFoundError is an error of something that is not there.
type notFoundError struct{ error }

func (m notFoundError) Unwrap() error { return m.error }

// NotFound marks an error as one of something that is not there, unless there is none.
func NotFound(err error) error {
	if err == nil {
		return nil
	}
	return notFoundError{err}
}

// ErrBadRequest says that a request is wrong in itself.
var ErrBadRequest = errors.New("bad request")

// DecodeJSON reads a body of bounded length; an unknown key is an error.
func DecodeJSON(w http.ResponseWriter, r *http.Request, v any) error {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return fmt.Errorf("%w: byte %d: %w", ErrBadRequest, d.InputOffset(), err)
	}
	return nil
}

// ParseNumber reads a parameter; one that is not there is 0.
func ParseNumber(q url.Values, key string) (uint64, error) {
	if q.Get(key) == "" {
		return 0, nil
	}
	v, err := strconv.ParseUint(q.Get(key), 10, 64)
	if err != nil {
		return 0, fmt.Errorf("%w: %s: %q is not a number", ErrBadRequest, key, q.Get(key))
	}
	return v, nil
}

func (s *Server) status(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	st, err := s.cfg.Store.Status(ctx)
	if err != nil {
		return nil, err
	}
	return s.cfg.Status(st), nil
}

func (s *Server) readRange(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	q := r.URL.Query()
	limit, err := ParseNumber(q, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > maxRangeItems {
		limit = maxRangeItems
	}
	from, end := q.Get("from"), q.Get("end")
	if q.Has("prefix") {
		from, end = q.Get("prefix"), store.PrefixEnd(q.Get("prefix"))
	}
	if q.Has("key") {
		from, end = q.Get("key"), q.Get("key")+"\x00"
	}
	out := RangeResponse{Items: []store.Item{}, Stale: q.Get("stale") == "true"}
	out.CopyAge, err = s.cfg.Store.View(ctx, out.Stale, func(st *store.State) {
		out.Items, out.More = []store.Item{}, false
		st.Range(from, end, func(i store.Item) bool {
			if out.More = uint64(len(out.Items)) == limit; out.More {
				return false
			}
			out.Items = append(out.Items, i)
			return true
		})
	})
	if err != nil {
		return nil, err
	}
	return out, nil
}

func (s *Server) change(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var q ChangeRequest
	if err := DecodeJSON(w, r, &q); err != nil {
		return nil, err
	}
	c := q.command()
	set := 0
	for _, is := range []bool{c.Txn != nil, c.AddMember != nil, c.RemoveMember != nil, c.GrantLease != nil, c.RenewLease != nil, c.RevokeLease != nil} {
		if is {
			set++
		}
	}
	if set != 1 {
		return nil, fmt.Errorf("%w: one of txn, add, remove, grant, renew and end", ErrBadRequest)
	}
	if c.AddMember != nil {
		if err := keys.CheckName(c.AddMember.Name); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrBadRequest, err)
		}
		if _, _, err := net.SplitHostPort(c.AddMember.Address); err != nil {
			return nil, fmt.Errorf("%w: address: %w", ErrBadRequest, err)
		}
	}
	res, err := s.cfg.Store.Do(ctx, c)
	if err != nil {
		return nil, err
	}
	return ChangeResponse{Revision: res.Revision, Succeeded: res.Succeeded, MemberID: res.MemberID, LeaseID: res.LeaseID}, nil
}

// command is what a request asks for.
func (q *ChangeRequest) command() store.Command {
	c := store.Command{ID: q.ID, Txn: q.Txn, AddMember: q.AddMember}
	if q.RemoveMember != 0 {
		c.RemoveMember = &store.RemoveMember{MemberID: q.RemoveMember}
	}
	if q.GrantMillis != 0 {
		c.GrantLease = &store.GrantLease{TTLMillis: q.GrantMillis, Owner: q.Owner}
	}
	if q.RenewLease != 0 {
		c.RenewLease = &store.RenewLease{LeaseID: q.RenewLease, Owner: q.Owner}
	}
	if q.RevokeLease != 0 {
		c.RevokeLease = &store.RevokeLease{LeaseID: q.RevokeLease, Owner: q.Owner}
	}
	return c
}

func (s *Server) leases(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	all := []LeaseInfo{}
	if _, err := s.cfg.Store.View(ctx, false, func(st *store.State) {
		at := map[uint64]int{}
		all = []LeaseInfo{}
		for _, l := range st.Leases() {
			at[l.ID] = len(all)
			all = append(all, LeaseInfo{ID: l.ID, TTLMillis: l.TTLMillis, Owner: l.Owner, Keys: []string{}})
		}
		st.Range("", "", func(i store.Item) bool {
			if n, ok := at[i.LeaseID]; ok && i.LeaseID != 0 {
				all[n].Keys = append(all[n].Keys, i.Key)
			}
			return true
		})
	}); err != nil {
		return nil, err
	}
	return all, nil
}

func (s *Server) transferLeadership(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	if err := s.cfg.Store.TransferLeadership(ctx); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

// watch sends events as lines of JSON for as long as the connection lasts.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	select {
	case s.watchSlots <- struct{}{}:
		defer func() { <-s.watchSlots }()
	default:
		WriteError(w, replica.ErrBusy)
		return
	}
	after, err := ParseNumber(r.URL.Query(), "after")
	if err != nil {
		WriteError(w, err)
		return
	}
	if !r.URL.Query().Has("after") { // from now on
		a, err := s.cfg.Store.View(r.Context(), false, func(*store.State) {})
		if err != nil {
			WriteError(w, err)
			return
		}
		after = a.Revision
	}
	begun := false
	c := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for {
		events, to, err := s.cfg.Store.Next(r.Context(), r.URL.Query().Get("prefix"), after, 256)
		if err != nil {
			if !begun {
				WriteError(w, err)
			} else if r.Context().Err() == nil {
				f := ErrorBody{Error: err.Error()}
				var gone *store.CompactedError
				if errors.As(err, &gone) {
					f.OldestRevision = gone.Oldest
				}
				_ = enc.Encode(f)
			}
			return
		}
		begun, after = true, to
		for i := range events {
			// A reader that does not read is cut off, and comes back from where it was.
			_ = c.SetWriteDeadline(time.Now().Add(defaultTimeout))
			if enc.Encode(&events[i]) != nil {
				return
			}
		}
		if c.Flush() != nil {
			return
		}
	}
}

func (s *Server) snapshot(w http.ResponseWriter, r *http.Request) {
	st, err := s.cfg.Store.Save(r.Context())
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Store-Revision", strconv.FormatUint(st.Revision(), 10))
	_ = st.Save(w) // a reader finds by its checksum that it is cut
}

// Client asks a Server.
type Client struct {
	http *http.Client

	// Timeout, if it is not 0, is how long the server may take for an answer. It is to be less than what a call's
	// context allows, so that its word, that an outcome is unknown or nothing was changed, still comes.
	Timeout time.Duration
}

// Dial returns a client of the socket at a path.
func Dial(path string) *Client {
	return &Client{http: &http.Client{Transport: &http.Transport{DialContext: func(ctx context.Context, _, _ string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, "unix", path)
	}}}}
}

// ResponseError is what a Server answered in place of an answer.
type ResponseError struct {
	Status int
	ErrorBody
}

func (e *ResponseError) Error() string { return e.ErrorBody.Error }

// Do asks, and returns what answers well; it is to be closed.
func (c *Client) Do(ctx context.Context, method, path string, q url.Values, body io.Reader) (*http.Response, error) {
	if c.Timeout > 0 {
		all := url.Values{"timeout": {c.Timeout.String()}}
		maps.Copy(all, q)
		q = all
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://store"+path+"?"+q.Encode(), body)
	if err != nil {
		return nil, err
	}
	a, err := c.http.Do(r)
	if err != nil {
		return nil, err
	}
	if a.StatusCode == http.StatusOK {
		return a, nil
	}
	defer a.Body.Close()
	e := &ResponseError{Status: a.StatusCode}
	if err := json.NewDecoder(io.LimitReader(a.Body, maxBodyBytes)).Decode(&e.ErrorBody); err != nil {
		return nil, fmt.Errorf("the store answered %s", a.Status)
	}
	return nil, e
}

// Call asks for one answer of JSON.
func (c *Client) Call(ctx context.Context, method, path string, q url.Values, in, out any) error {
	var body io.Reader
	if in != nil {
		r, w := io.Pipe()
		go func() { w.CloseWithError(json.NewEncoder(w).Encode(in)) }()
		body = r
	}
	a, err := c.Do(ctx, method, path, q, body)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	return json.NewDecoder(a.Body).Decode(out)
}

// Status asks how the store stands.
func (c *Client) Status(ctx context.Context) (s engine.Status, err error) {
	return s, c.Call(ctx, "GET", "/v1/status", nil, nil, &s)
}

// Range reads keys; the query is of /v1/range.
func (c *Client) Range(ctx context.Context, q url.Values) (i RangeResponse, err error) {
	return i, c.Call(ctx, "GET", "/v1/range", q, nil, &i)
}

// Change asks for a change.
func (c *Client) Change(ctx context.Context, r ChangeRequest) (x ChangeResponse, err error) {
	return x, c.Call(ctx, "POST", "/v1/change", nil, r, &x)
}

// Leases lists all leases and their keys.
func (c *Client) Leases(ctx context.Context) (all []LeaseInfo, err error) {
	return all, c.Call(ctx, "GET", "/v1/leases", nil, nil, &all)
}

// TransferLeadership gives leadership away, if the replica has it.
func (c *Client) TransferLeadership(ctx context.Context) error {
	return c.Call(ctx, "POST", "/v1/handover", nil, nil, &struct{}{})
}

// SaveSnapshot writes the state, and says at which revision.
func (c *Client) SaveSnapshot(ctx context.Context, w io.Writer) (string, error) {
	a, err := c.Do(ctx, "GET", "/v1/snapshot", nil, nil)
	if err != nil {
		return "", err
	}
	defer a.Body.Close()
	_, err = io.Copy(w, a.Body)
	return a.Header.Get("Store-Revision"), err
}

// Watch calls f with changes until ctx ends, f fails or the store says that it cannot go on.
func (c *Client) Watch(ctx context.Context, q url.Values, f func(store.Event) error) error {
	a, err := c.Do(ctx, "GET", "/v1/watch", q, nil)
	if err != nil {
		return err
	}
	defer a.Body.Close()
	d := json.NewDecoder(a.Body)
	for {
		var line struct {
			store.Event
			ErrorBody
		}
		if err := d.Decode(&line); err != nil {
			return err
		}
		if line.ErrorBody.Error != "" {
			return &ResponseError{Status: http.StatusGone, ErrorBody: line.ErrorBody}
		}
		if err := f(line.Event); err != nil {
			return err
		}
	}
}
