// Package admin serves a running store: to operators by HTTP with JSON over a Unix socket that only its owner
// can open (Server, Client), and to daemons without a replica over TCP (FollowerServer). Of birchmoor it may
// import the store's packages and package keys, and nothing of the control plane, which adds calls of its own
// by Config.RegisterCalls.
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
	maxWatches          = 64 // at once
	maxHeaderBytes      = 16 << 10
	readHeaderTimeout   = 5 * time.Second
	dialExistingTimeout = time.Second
	socketMode          = 0o600
)

// Paths of calls of operators. ChangePath is also one of followers.
const (
	statusPath     = "/v1/status"
	rangePath      = "/v1/range"
	watchPath      = "/v1/watch"
	snapshotPath   = "/v1/snapshot"
	ChangePath     = "/v1/change"
	transferPath   = "/v1/handover"
	leasesPath     = "/v1/leases"
	revisionHeader = "Store-Revision" // of a snapshot
)

// Store is what a Server serves: a replica, or the copy of a daemon that has none. See engine.Engine.
type Store interface {
	Do(ctx context.Context, command store.Command) (store.Result, error)
	View(ctx context.Context, stale bool, read func(*store.State)) (engine.CopyAge, error)
	NextChanges(ctx context.Context, prefix string, after uint64, maxEvents int) ([]store.Event, uint64, error)
	Status(ctx context.Context) (engine.Status, error)
	CloneState(ctx context.Context) (*store.State, error)
	TransferLeadership(ctx context.Context) error
}

// Config says what a Server serves.
type Config struct {
	Store         Store
	Status        func(engine.Status) any // the answer to a request for the status; nil: the store's status
	RegisterCalls func(*Mux)              // adds calls of others at the same socket; nil: none
}

// Server serves operators.
type Server struct {
	cfg        Config
	http       *http.Server
	watchSlots chan struct{}
}

// Mux is the calls of a server, by method and path.
type Mux struct{ mux *http.ServeMux }

// HandleCall adds a call that is answered within the time that the request gives itself: by JSON, or by an
// ErrorBody.
func (m *Mux) HandleCall(pattern string, call Call) { m.mux.HandleFunc(pattern, callHandler(call)) }

// HandleStream adds a call that lasts for as long as its connection.
func (m *Mux) HandleStream(pattern string, handler http.HandlerFunc) {
	m.mux.HandleFunc(pattern, handler)
}

// Listen creates the socket and serves it until Close. It replaces a socket that a process left behind, and
// fails if another process serves it.
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
	mux.HandleCall("GET "+statusPath, s.status)
	mux.HandleCall("GET "+rangePath, s.readRange)
	mux.HandleStream("GET "+watchPath, s.watch)
	mux.HandleStream("GET "+snapshotPath, s.snapshot)
	mux.HandleCall("POST "+ChangePath, s.change)
	mux.HandleCall("POST "+transferPath, s.transferLeadership)
	mux.HandleCall("GET "+leasesPath, s.leases)
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
		return nil, fmt.Errorf("another process serves %s", path)
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

// Close ends all requests.
func (s *Server) Close() error { return s.http.Close() }
