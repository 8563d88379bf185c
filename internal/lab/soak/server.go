package soak

import (
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"birchmoor/internal/lab/limitlab"
)

const (
	maxServiceTime = 20 * time.Millisecond
	failingShare   = 0.04 // of attempts whose connection the server closes without an answer
)

// arrivedAttempt is an attempt as a server observed it. server is -1 if its address is unknown.
type arrivedAttempt struct {
	daemon int
	server int
	at     time.Time
}

// servers handles the requests of all slot servers. It records every attempt, and closes some connections without an
// answer.
type servers struct {
	limits *limitlab.Judge

	mu       sync.Mutex
	rng      *rand.Rand
	byAddr   map[string]int              // numbers of the servers
	arrivals map[string][]arrivedAttempt // by ID of the request
}

func newServers(seed uint64, limits *limitlab.Judge) *servers {
	return &servers{
		limits:   limits,
		rng:      rand.New(rand.NewPCG(seed, 0x73657276)),
		byAddr:   map[string]int{},
		arrivals: map[string][]arrivedAttempt{},
	}
}

// ServeHTTP answers an attempt after a random time, or closes its connection. The judge of the limits answers attempts
// on limitedPath.
func (s *servers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serviceTime, fails := s.recordArrival(r)
	if r.URL.Path == limitedPath {
		s.limits.ServeHTTP(w, r)
		return
	}
	time.Sleep(serviceTime)
	if fails {
		panic(http.ErrAbortHandler) // closes the connection
	}
	_, _ = w.Write([]byte("ok")) // fails if the sidecar has closed the connection
}

// recordArrival records an attempt, and draws how it is served.
func (s *servers) recordArrival(r *http.Request) (serviceTime time.Duration, fails bool) {
	now := time.Now()
	daemon, _ := strconv.Atoi(r.Header.Get(limitlab.DaemonHeader))
	id := r.Header.Get("X-Trace-Id")
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	attempt := arrivedAttempt{daemon: daemon, server: -1, at: now}
	if n, ok := s.byAddr[local.String()]; ok {
		attempt.server = n
	}
	s.arrivals[id] = append(s.arrivals[id], attempt)
	return time.Duration(s.rng.Int64N(int64(maxServiceTime))), s.rng.Float64() < failingShare
}
