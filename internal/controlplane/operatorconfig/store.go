package operatorconfig

import (
	"fmt"
	"net"
	"strings"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/platform/keys"
)

// Store configures a replica of the store or, if Follow is set, a follower's copy of it.
type Store struct {
	Name          string   `toml:"name"`        // of the daemon and its replica
	Dir           string   `toml:"dir"`         // in which the copy is stored
	Socket        string   `toml:"socket"`      // path of the Unix socket for operators
	Listen        string   `toml:"listen"`      // address for other replicas; empty: this is the only replica
	Address       string   `toml:"address"`     // by which other replicas connect, if it is not Listen
	PeerRoutes    []string `toml:"via"`         // NAME=HOST:PORT: connect to that replica by this address
	Join          bool     `toml:"join"`        // with an empty folder the replica waits to be added to a cluster
	Keys          string   `toml:"keys"`        // folder with ca.pem and NAME.key
	Plaintext     bool     `toml:"plain"`       // TCP without TLS, only on loopback addresses
	MaxTotalMB    int      `toml:"total_mb"`    // size of all keys and values
	Tick          Duration `toml:"tick"`        // unit of the replica's timers
	ElectionTicks int      `toml:"elect_ticks"` // ticks without a leader after which an election begins

	FollowerListen   string   `toml:"serve"`  // address for daemons without a replica
	Follow           []string `toml:"follow"` // NAME=HOST:PORT of replicas to follow; none: it has its own
	FirstCopyTimeout Duration `toml:"wait"`   // a follower's sidecar serves without a copy after this time

	Interest string `toml:"interest"` // what a follower's copy holds: InterestOwn or InterestAll

	TaskTTL      Duration `toml:"lease"` // of the leases of tasks, after which those of a failed daemon go to others
	MaxClockSkew float64  `toml:"skew"`  // largest relative difference between the rates of two hosts' clocks
}

// Values of Interest.
const (
	InterestOwn = "own" // the keys that the daemon's components need, if the replicas support partial copies
	InterestAll = "all" // all keys
)

const (
	minLeaseTTL  = lease.MinTTLMillis * time.Millisecond
	maxLeaseTTL  = lease.MaxTTLMillis * time.Millisecond
	maxClockSkew = 0.5
)

const (
	reasonLoopback = "is allowed only with loopback addresses"
	reasonKeys     = "either keys or plain = true is required, but not both"
)

func (s *Store) check(c *checker) {
	c.dir("store.dir", &s.Dir)
	c.dir("store.socket", &s.Socket)
	c.number("store.total_mb", &s.MaxTotalMB, 256, 1, 4096)
	c.number("store.elect_ticks", &s.ElectionTicks, 10, 3, 100)
	c.duration("store.lease", &s.TaskTTL, 5*time.Second, minLeaseTTL, maxLeaseTTL)
	if s.MaxClockSkew == 0 {
		s.MaxClockSkew = lease.DefaultMaxClockSkew
	}
	if s.MaxClockSkew < 0 || s.MaxClockSkew > maxClockSkew {
		c.invalid("store.skew", "%g is not within 0 and %g", s.MaxClockSkew, maxClockSkew)
	}
	c.duration("store.tick", &s.Tick, 100*time.Millisecond, 10*time.Millisecond, 10*time.Second)
	if err := keys.CheckName(s.Name); err != nil {
		c.invalid("store.name", "%v", err)
	}
	if s.Keys != "" {
		c.dir("store.keys", &s.Keys)
	}
	c.duration("store.wait", &s.FirstCopyTimeout, 500*time.Millisecond, time.Millisecond, time.Minute)
	s.checkFollowerListen(c)
	s.checkPeerRoutes(c)
	s.checkFollow(c)
	s.checkInterest(c)
	s.checkListen(c)
}

// keysOrPlaintext reports whether exactly one of keys and plaintext is given.
func (s *Store) keysOrPlaintext() bool { return s.Plaintext != (s.Keys != "") }

// isFollower reports whether this daemon has no replica.
func (s *Store) isFollower() bool { return len(s.Follow) > 0 }

func (s *Store) checkFollowerListen(c *checker) {
	if (s.FollowerListen != "" || s.isFollower()) && !s.keysOrPlaintext() {
		c.invalid("store.keys", reasonKeys)
	}
	if s.FollowerListen == "" {
		return
	}
	_, _, err := net.SplitHostPort(s.FollowerListen)
	switch {
	case err != nil:
		c.invalid("store.serve", "%v", err)
	case s.Plaintext && !isLoopback(s.FollowerListen):
		c.invalid("store.plain", reasonLoopback)
	}
}

func (s *Store) checkPeerRoutes(c *checker) {
	for i, route := range s.PeerRoutes {
		key := fmt.Sprintf("store.via[%d]", i)
		address, ok := splitNamedAddress(route)
		switch {
		case !ok:
			c.invalid(key, "%q is not of the form NAME=HOST:PORT", route)
		case s.Plaintext && !isLoopback(address):
			c.invalid("store.plain", reasonLoopback)
		case s.Listen == "":
			c.invalid(key, "is allowed only for a replica with listen")
		}
	}
}

func (s *Store) checkFollow(c *checker) {
	seen := map[string]bool{}
	for i, replica := range s.Follow {
		key := fmt.Sprintf("store.follow[%d]", i)
		address, ok := splitNamedAddress(replica)
		switch {
		case !ok:
			c.invalid(key, "%q is not of the form NAME=HOST:PORT", replica)
		case s.Plaintext && !isLoopback(address):
			c.invalid("store.plain", reasonLoopback)
		case seen[address]:
			c.invalid(key, "%s is listed twice", address)
		}
		seen[address] = true
	}
}

func (s *Store) checkInterest(c *checker) {
	if s.Interest != "" && !s.isFollower() {
		c.invalid("store.interest", "is allowed only for a daemon with follow: a replica holds all keys")
	}
	if s.Interest == "" {
		s.Interest = InterestOwn
	}
	if s.Interest != InterestOwn && s.Interest != InterestAll {
		c.invalid("store.interest", "%q is not %q or %q", s.Interest, InterestOwn, InterestAll)
	}
}

func (s *Store) checkListen(c *checker) {
	reachable := s.FollowerListen != "" || s.Join || s.Address != ""
	if s.isFollower() {
		if reachable || s.Listen != "" {
			c.invalid("store.follow", "is for a daemon without a replica, which has no listen, serve, join or address")
		}
		return
	}
	if s.Listen == "" {
		if reachable {
			c.invalid("store.listen", "is missing, which serve, join and address require")
		}
		return
	}
	_, _, err := net.SplitHostPort(s.Listen)
	switch {
	case err != nil:
		c.invalid("store.listen", "%v", err)
	case s.Plaintext && !isLoopback(s.Listen):
		c.invalid("store.plain", reasonLoopback)
	case !s.keysOrPlaintext():
		c.invalid("store.keys", reasonKeys)
	}
}

// splitNamedAddress returns the address of a text of the form NAME=HOST:PORT. It reports whether the text is valid; the
// address is returned in any case.
func splitNamedAddress(text string) (address string, ok bool) {
	name, address, found := strings.Cut(text, "=")
	if !found || keys.CheckName(name) != nil {
		return address, false
	}
	_, _, err := net.SplitHostPort(address)
	return address, err == nil
}

func isLoopback(address string) bool {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return false
	}
	ip := net.ParseIP(host)
	return ip != nil && ip.IsLoopback()
}
