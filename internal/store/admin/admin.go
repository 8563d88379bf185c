// Package admin serves a running store: to operators by HTTP with JSON over a Unix socket that only its owner can open
// (Server, Client), and to daemons without a replica over TCP (FollowerServer). Of birchmoor it may import the store's
// packages and package keys. It must not import the control plane, which adds its own calls through
// Config.RegisterCalls.
package admin

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
)

const (
	maxWatches          = 64 // concurrent watches of a server
	maxHeaderBytes      = 16 << 10
	readHeaderTimeout   = 5 * time.Second
	dialExistingTimeout = time.Second // for the check whether another process serves the socket
	socketMode          = 0o600       // only the owner may connect
)

// Paths of the calls for operators. Followers use ChangePath, too.
const (
	statusPath     = "/v1/status"
	rangePath      = "/v1/range"
	watchPath      = "/v1/watch"
	snapshotPath   = "/v1/snapshot"
	ChangePath     = "/v1/change"
	transferPath   = "/v1/handover"
	leasesPath     = "/v1/leases"
	revisionHeader = "Store-Revision" // header with the revision of a snapshot
)

// Store is the store that a Server serves: a replica (engine.Engine, which documents the methods), or the copy of a
// daemon without one.
type Store interface {
	Do(ctx context.Context, command store.Command) (store.Result, error)
	View(ctx context.Context, stale bool, read func(*store.State)) (engine.CopyAge, error)
	NextChanges(ctx context.Context, prefix string, after uint64, maxEvents int) ([]store.Event, uint64, error)
	Status(ctx context.Context) (engine.Status, error)
	CloneState(ctx context.Context) (*store.State, error)
	TransferLeadership(ctx context.Context) error
}

// Config configures a Server.
type Config struct {
	Store         Store
	Status        func(engine.Status) any // returns the answer to a request for the status; nil: the store's status
	RegisterCalls func(*Mux)              // adds calls of other packages to the same socket; nil: none
}

// Server serves operators over a Unix socket.
type Server struct {
	cfg        Config
	http       *http.Server
	watchSlots chan struct{} // holds a value for each running watch
}

// Mux routes the requests of a server to calls, by method and path. Patterns are those of http.ServeMux.
type Mux struct{ mux *http.ServeMux }

// HandleCall adds a call that is answered with JSON or an ErrorBody. The context of the call ends after the timeout in
// the request's query.
func (m *Mux) HandleCall(pattern string, call Call) { m.mux.HandleFunc(pattern, callHandler(call)) }

// HandleStream adds a call without a timeout, which may last as long as its connection.
func (m *Mux) HandleStream(pattern string, handler http.HandlerFunc) {
	m.mux.HandleFunc(pattern, handler)
}

// Listen creates a Unix socket at a path and serves it until Close. It replaces the socket of a process that has ended,
// and fails if another process serves the socket.
func Listen(path string, cfg Config) (*Server, error) {
	listener, err := listenUnix(path)
	if err != nil {
		return nil, err
	}
	if cfg.Status == nil {
		cfg.Status = func(status engine.Status) any { return status }
	}
	s := &Server{cfg: cfg, watchSlots: make(chan struct{}, maxWatches)}
	mux := &Mux{http.NewServeMux()}
	mux.HandleCall("GET "+statusPath, s.getStatus)
	mux.HandleCall("GET "+rangePath, s.readRange)
	mux.HandleStream("GET "+watchPath, s.watch)
	mux.HandleStream("GET "+snapshotPath, s.sendSnapshot)
	mux.HandleCall("POST "+ChangePath, s.change)
	mux.HandleCall("POST "+transferPath, s.transferLeadership)
	mux.HandleCall("GET "+leasesPath, s.getLeases)
	if cfg.RegisterCalls != nil {
		cfg.RegisterCalls(mux)
	}
	s.http = &http.Server{Handler: mux.mux, ReadHeaderTimeout: readHeaderTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() { _ = s.http.Serve(listener) }() // until Close
	return s, nil
}

func listenUnix(path string) (net.Listener, error) {
	if conn, err := net.DialTimeout("unix", path, dialExistingTimeout); err == nil {
		_ = conn.Close()
		return nil, fmt.Errorf("another process already serves the socket %s", path)
	}
	if err := os.Remove(path); err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, err
	}
	listener, err := net.Listen("unix", path)
	if err != nil {
		return nil, err
	}
	if err := os.Chmod(path, socketMode); err != nil {
		return nil, errors.Join(err, listener.Close())
	}
	return listener, nil
}

// Close closes the socket and aborts all requests.
func (s *Server) Close() error { return s.http.Close() }
