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
	failingShare   = 0.04 // of attempts, whose connection a server closes without an answer
)

// arrival is an attempt as a server saw it.
type arrival struct {
	daemon int
	server int
	at     time.Time
}

// servers are the slot servers: they note every attempt, and close some connections without an answer.
type servers struct {
	limits *limitlab.Judge

	mu       sync.Mutex
	rng      *rand.Rand
	byAddr   map[string]int // numbers of servers
	arrivals map[string][]arrival
}

func newServers(seed uint64, limits *limitlab.Judge) *servers {
	return &servers{
		limits:   limits,
		rng:      rand.New(rand.NewPCG(seed, 0x73657276)),
		byAddr:   map[string]int{},
		arrivals: map[string][]arrival{},
	}
}

// ServeHTTP serves an attempt.
func (s *servers) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	serviceTime, fails := s.arrive(r)
	if r.URL.Path == limitedPath {
		s.limits.ServeHTTP(w, r)
		return
	}
	time.Sleep(serviceTime)
	if fails {
		panic(http.ErrAbortHandler) // closes the connection
	}
	_, _ = w.Write([]byte("ok")) // the sidecar may have gone
}

// arrive notes an attempt, and draws how it is served.
func (s *servers) arrive(r *http.Request) (serviceTime time.Duration, fails bool) {
	now := time.Now()
	daemon, _ := strconv.Atoi(r.Header.Get(limitlab.DaemonHeader))
	id := r.Header.Get("X-Trace-Id")
	local, _ := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	s.mu.Lock()
	defer s.mu.Unlock()
	a := arrival{daemon: daemon, server: -1, at: now}
	if n, ok := s.byAddr[local.String()]; ok {
		a.server = n
	}
	s.arrivals[id] = append(s.arrivals[id], a)
	return time.Duration(s.rng.Int64N(int64(maxServiceTime))), s.rng.Float64() < failingShare
}
