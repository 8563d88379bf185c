// Package operatorconfig reads the operator file: what a sidecar does beyond what the platform gives it. Without the file
// all of it is off.
//
// The file is TOML, strictly read: an unknown key or a value out of range is an error that names file, line and key.
package operatorconfig

import (
	"errors"
	"fmt"
	"maps"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/platform/keys"
	"birchmoor/internal/platform/stricttoml"
)

// File is an operator file.
type File struct {
	StateSnapshot *StateSnapshot `toml:"keep"`
	Capture       *Capture       `toml:"capture"`
	Store         *Store         `toml:"store"`
	Limits        *Limits        `toml:"limits"`
	DNS           *DNS           `toml:"dns"`
}

// DNS is the front for name look-ups. All counts are of one process.
type DNS struct {
	Listen            string   `toml:"listen"`      // host and port, for UDP and TCP
	MaxOpenQueries    int      `toml:"open"`        // queries open at once
	MaxOpenPerClient  int      `toml:"per_client"`  // of them, of one network of clients (/24, /56)
	UnverifiedPercent int      `toml:"unproven"`    // percent of them, of addresses that showed no cookie and came over UDP
	RatePerClient     int      `toml:"rate"`        // answers a second to such a network
	BurstPerClient    int      `toml:"burst"`       // and at once
	TruncateEvery     *int     `toml:"slip"`        // of so many over the rate one is answered truncated; 0: none
	MaxClientPrefixes int      `toml:"prefixes"`    // networks remembered
	MaxUDPSockets     int      `toml:"sockets"`     // UDP sockets to servers
	MaxTCPPerServer   int      `toml:"tcp_server"`  // connections to one server
	MaxTCPClients     int      `toml:"tcp_clients"` // connections of clients
	MaxOpenPerConn    int      `toml:"per_conn"`    // queries open on one of them
	IdleTimeout       Duration `toml:"idle"`        // after which one without queries is closed

	Class map[string]*DNSClass `toml:"class"`
}

// DNSClass is a class of queries.
type DNSClass struct {
	Suffixes           []string `toml:"suffixes"`   // names at or under them; none: all
	Types              []string `toml:"types"`      // none: all
	Transports         []string `toml:"transports"` // udp, tcp; none: both
	Operations         []string `toml:"ops"`        // query, update, notify; none: query
	LatencyObjective   Duration `toml:"aim"`
	Timeout            Duration `toml:"give_up"`
	PriorityWeight     float64  `toml:"worth"`
	LatePriorityWeight *float64 `toml:"late_worth"` // part of the worth of an answer after the aim
	MaxAttempts        int      `toml:"attempts"`
	Coalesce           bool     `toml:"share"` // queries that ask the same while one is open share its answer
}

// Store is a replica of the store.
type Store struct {
	Name          string   `toml:"name"`    // of the replica
	Dir           string   `toml:"dir"`     // of its disk
	Socket        string   `toml:"socket"`  // where operators reach it
	Listen        string   `toml:"listen"`  // where other replicas do; empty: one copy alone
	Address       string   `toml:"address"` // by which they do, if it is not Listen
	PeerRoutes    []string `toml:"via"`     // NAME=ADDRESS: where this replica reaches another, if it is not where all do
	Join          bool     `toml:"join"`    // an empty disk waits to be taken into a cluster
	Keys          string   `toml:"keys"`    // folder with ca.pem and NAME.key
	Plaintext     bool     `toml:"plain"`   // TCP without keys, on loopback alone
	MaxTotalMB    int      `toml:"total_mb"`
	Tick          Duration `toml:"tick"`
	ElectionTicks int      `toml:"elect_ticks"` // silence of a leader after which another is elected

	FollowerListen   string   `toml:"serve"`  // where daemons without a replica reach this one
	Follow           []string `toml:"follow"` // replicas, NAME=ADDRESS of their serve: this daemon has a copy and no replica
	FirstCopyTimeout Duration `toml:"wait"`   // of a follower without a disk for its first copy, before its sidecar serves

	Interest string `toml:"interest"` // what a follower's copy holds: "own", what its daemon needs, or "all"

	TaskTTL      Duration `toml:"lease"` // a task of a daemon that falls silent goes to another after this
	MaxClockSkew float64  `toml:"skew"`  // part that the fastest clock of two hosts gains on the other at most
}

// What a follower's copy holds.
const (
	InterestOwn = "own" // what its daemon needs, where replicas know how to tell it that alone
	InterestAll = "all" // the whole store
)

// Limits are shared with the fleet by the store.
type Limits struct {
	SessionTTL               Duration `toml:"lease"` // a share ends so long after its sidecar falls silent
	ReportInterval           Duration `toml:"tell"`  // between two words of a sidecar on what it wants, at least
	ReportIntervalPerProcess Duration `toml:"each"`  // and for each sidecar that there is
}

// StateSnapshot is where what is known outlives a start.
type StateSnapshot struct {
	Dir string `toml:"dir"` // holds one file for each sidecar's name
}

// Capture is a recording of what the decision module is told and answers.
type Capture struct {
	Dir              string   `toml:"dir"`
	BudgetMB         int      `toml:"budget_mb"` // of all files of a sidecar
	MaxFileMB        int      `toml:"file_mb"`   // a file begins anew beyond this,
	MaxFileAge       Duration `toml:"file_age"`  // or after this
	SnapshotInterval Duration `toml:"segment"`   // a snapshot at least so often
	MaxQueuedBatches int      `toml:"queue"`     // batches of 24 KiB on their way to the disk, at most
	RetryDelay       Duration `toml:"retry"`     // after the disk failed
}

// Duration is written as Go does: "5m".
type Duration time.Duration

// UnmarshalText reads one.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Duration(v)
	return err
}

// Error is a fault of the file.
type Error = stricttoml.Error

// Read reads a file. Relative folders are within the file's own.
func Read(path string) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("operator file: %w", err)
	}
	f := &File{}
	err = stricttoml.Decode(path, "operator files", text, f)
	var fault *Error
	if err != nil && !(errors.As(err, &fault) && fault.Unknown) {
		return nil, err // nothing more can be said of what is not TOML
	}
	if err = errors.Join(err, f.fill(path)); err != nil {
		return nil, err
	}
	return f, nil
}

// fill sets what is not given, and says what is out of range.
func (f *File) fill(path string) error {
	var faults []error
	dir := func(key string, v *string) {
		if *v == "" {
			faults = append(faults, &Error{Path: path, Key: key, Reason: "is missing"})
		} else if !filepath.IsAbs(*v) {
			*v = filepath.Join(filepath.Dir(path), *v)
		}
	}
	number := func(key string, v *int, fallback, least, most int) {
		if *v == 0 {
			*v = fallback
		}
		if *v < least || *v > most {
			faults = append(faults, &Error{Path: path, Key: key, Reason: fmt.Sprintf("%d is not within %d and %d", *v, least, most)})
		}
	}
	span := func(key string, v *Duration, fallback, least, most time.Duration) {
		if *v == 0 {
			*v = Duration(fallback)
		}
		if d := time.Duration(*v); d < least || d > most {
			faults = append(faults, &Error{Path: path, Key: key, Reason: fmt.Sprintf("%v is not within %v and %v", d, least, most)})
		}
	}
	if f.StateSnapshot != nil {
		dir("keep.dir", &f.StateSnapshot.Dir)
	}
	if c := f.Capture; c != nil {
		dir("capture.dir", &c.Dir)
		number("capture.budget_mb", &c.BudgetMB, 256, 1, 1<<20)
		number("capture.file_mb", &c.MaxFileMB, min(16, max(1, c.BudgetMB/4)), 1, 4096)
		number("capture.queue", &c.MaxQueuedBatches, 32, 2, 4096)
		span("capture.file_age", &c.MaxFileAge, 30*time.Minute, time.Second, 24*time.Hour)
		span("capture.segment", &c.SnapshotInterval, 5*time.Minute, time.Second, time.Hour)
		span("capture.retry", &c.RetryDelay, 5*time.Second, 100*time.Millisecond, time.Hour)
		if c.MaxFileMB > c.BudgetMB {
			faults = append(faults, &Error{Path: path, Key: "capture.file_mb", Reason: "is over capture.budget_mb"})
		}
	}
	if s := f.Store; s != nil {
		dir("store.dir", &s.Dir)
		dir("store.socket", &s.Socket)
		number("store.total_mb", &s.MaxTotalMB, 256, 1, 4096)
		number("store.elect_ticks", &s.ElectionTicks, 10, 3, 100)
		span("store.lease", &s.TaskTTL, 5*time.Second, lease.MinTTLMillis*time.Millisecond, lease.MaxTTLMillis*time.Millisecond)
		if s.MaxClockSkew == 0 {
			s.MaxClockSkew = lease.DefaultSkew
		}
		if s.MaxClockSkew < 0 || s.MaxClockSkew > 0.5 {
			faults = append(faults, &Error{Path: path, Key: "store.skew", Reason: fmt.Sprintf("%g is not within 0 and 0.5", s.MaxClockSkew)})
		}
		span("store.tick", &s.Tick, 100*time.Millisecond, 10*time.Millisecond, 10*time.Second)
		bad := func(key, reason string) { faults = append(faults, &Error{Path: path, Key: key, Reason: reason}) }
		if err := keys.CheckName(s.Name); err != nil {
			bad("store.name", err.Error())
		}
		if s.Keys != "" {
			dir("store.keys", &s.Keys)
		}
		loopback := func(addr string) bool {
			host, _, err := net.SplitHostPort(addr)
			ip := net.ParseIP(host)
			return err == nil && ip != nil && ip.IsLoopback()
		}
		span("store.wait", &s.FirstCopyTimeout, 500*time.Millisecond, time.Millisecond, time.Minute)
		if s.Plaintext == (s.Keys != "") && (s.FollowerListen != "" || len(s.Follow) > 0) {
			bad("store.keys", "one of keys and plain = true is needed, and not both")
		}
		if s.FollowerListen != "" {
			if _, _, err := net.SplitHostPort(s.FollowerListen); err != nil {
				bad("store.serve", err.Error())
			} else if s.Plaintext && !loopback(s.FollowerListen) {
				bad("store.plain", "is for loopback addresses alone")
			}
		}
		for i, v := range s.PeerRoutes {
			key := fmt.Sprintf("store.via[%d]", i)
			name, addr, found := strings.Cut(v, "=")
			if _, _, err := net.SplitHostPort(addr); !found || keys.CheckName(name) != nil || err != nil {
				bad(key, fmt.Sprintf("%q is not of the form NAME=HOST:PORT", v))
			} else if s.Plaintext && !loopback(addr) {
				bad("store.plain", "is for loopback addresses alone")
			} else if s.Listen == "" {
				bad(key, "is for a replica that others reach")
			}
		}
		met := map[string]bool{}
		for i, f := range s.Follow {
			key := fmt.Sprintf("store.follow[%d]", i)
			name, addr, found := strings.Cut(f, "=")
			_, _, err := net.SplitHostPort(addr)
			switch {
			case !found || keys.CheckName(name) != nil || err != nil:
				bad(key, fmt.Sprintf("%q is not of the form NAME=HOST:PORT", f))
			case s.Plaintext && !loopback(addr):
				bad("store.plain", "is for loopback addresses alone")
			case met[addr]:
				bad(key, fmt.Sprintf("%s stands there twice", addr))
			}
			met[addr] = true
		}
		if s.Interest != "" && len(s.Follow) == 0 {
			bad("store.interest", "is for a daemon that follows: a replica holds all")
		}
		if s.Interest == "" {
			s.Interest = InterestOwn
		}
		if s.Interest != InterestOwn && s.Interest != InterestAll {
			bad("store.interest", fmt.Sprintf("%q is not %q or %q", s.Interest, InterestOwn, InterestAll))
		}
		if len(s.Follow) > 0 && (s.Listen != "" || s.FollowerListen != "" || s.Join || s.Address != "") {
			bad("store.follow", "is for a daemon without a replica: listen, serve, join and address are of one")
		}
		host, _, err := net.SplitHostPort(s.Listen)
		switch ip := net.ParseIP(host); {
		case len(s.Follow) > 0:
		case s.Listen == "" && s.FollowerListen == "" && !s.Join && s.Address == "":
		case s.Listen == "":
			bad("store.listen", "is missing, and others are to reach this replica")
		case err != nil:
			bad("store.listen", err.Error())
		case s.Plaintext && (ip == nil || !ip.IsLoopback()):
			bad("store.plain", "is for loopback addresses alone")
		case s.Plaintext == (s.Keys != ""):
			bad("store.keys", "one of keys and plain = true is needed, and not both")
		}
	}
	if l := f.Limits; l != nil {
		if f.Store == nil {
			faults = append(faults, &Error{Path: path, Key: "limits", Reason: "are shared by the store: [store] is missing"})
		}
		span("limits.lease", &l.SessionTTL, 5*time.Second, lease.MinTTLMillis*time.Millisecond, lease.MaxTTLMillis*time.Millisecond)
		span("limits.tell", &l.ReportInterval, 250*time.Millisecond, 10*time.Millisecond, time.Minute)
		span("limits.each", &l.ReportIntervalPerProcess, 5*time.Millisecond, 100*time.Microsecond, time.Second)
	}
	if d := f.DNS; d != nil {
		bad := func(key, format string, args ...any) {
			faults = append(faults, &Error{Path: path, Key: key, Reason: fmt.Sprintf(format, args...)})
		}
		host, _, err := net.SplitHostPort(d.Listen)
		switch ip := net.ParseIP(host); {
		case d.Listen == "":
			bad("dns.listen", "is missing")
		case err != nil:
			bad("dns.listen", "%v", err)
		case ip == nil || ip.IsUnspecified():
			bad("dns.listen", "%q is not the address of one interface: answers over UDP must leave by the one that was asked", host)
		}
		number("dns.open", &d.MaxOpenQueries, 1000, 1, 60000)
		number("dns.per_client", &d.MaxOpenPerClient, d.MaxOpenQueries, 1, 60000)
		number("dns.unproven", &d.UnverifiedPercent, 75, 1, 100)
		number("dns.rate", &d.RatePerClient, 1000, 1, 1_000_000)
		number("dns.burst", &d.BurstPerClient, 2*d.RatePerClient, 1, 2_000_000)
		if d.TruncateEvery == nil {
			two := 2
			d.TruncateEvery = &two
		}
		if *d.TruncateEvery < 0 || *d.TruncateEvery > 100 {
			bad("dns.slip", "%d is not within 0 and 100", *d.TruncateEvery)
		}
		number("dns.prefixes", &d.MaxClientPrefixes, 10000, 1, 1_000_000)
		number("dns.sockets", &d.MaxUDPSockets, 256, 1, 60000)
		number("dns.tcp_server", &d.MaxTCPPerServer, 2, 1, 64)
		number("dns.tcp_clients", &d.MaxTCPClients, 64, 1, 60000)
		number("dns.per_conn", &d.MaxOpenPerConn, 64, 1, 4096)
		span("dns.idle", &d.IdleTimeout, 10*time.Second, 100*time.Millisecond, time.Hour)
		if len(d.Class) == 0 {
			bad("dns.class", "at least one class is needed")
		}
		for _, name := range slices.Sorted(maps.Keys(d.Class)) {
			c, at := d.Class[name], "dns.class."+name
			span(at+".aim", &c.LatencyObjective, 250*time.Millisecond, time.Millisecond, time.Minute)
			span(at+".give_up", &c.Timeout, 2*time.Second, 10*time.Millisecond, time.Minute)
			number(at+".attempts", &c.MaxAttempts, 3, 1, 10)
			if c.LatencyObjective > c.Timeout {
				bad(at+".aim", "is over give_up")
			}
			if c.PriorityWeight == 0 {
				c.PriorityWeight = 1
			}
			if c.PriorityWeight < 0 {
				bad(at+".worth", "%g is negative", c.PriorityWeight)
			}
			if c.LatePriorityWeight == nil {
				half := 0.5
				c.LatePriorityWeight = &half
			}
			if *c.LatePriorityWeight < 0 || *c.LatePriorityWeight > 1 {
				bad(at+".late_worth", "%g is not within 0 and 1", *c.LatePriorityWeight)
			}
		}
	}
	return errors.Join(faults...)
}
