// Package dnslab runs DNS queries through the real sidecar on loopback. Stub resolvers with injected faults are behind
// links that lose, reorder and duplicate datagrams; clients check every answer; a stub discovery server drains and
// removes resolvers; and the lab's checker verifies the rules over all of it.
//
// The name in each query contains the request's number. A resolver can thus report which request reached it, and a
// client notices an answer that belongs to another request.
package dnslab

import (
	"errors"
	"fmt"
	"os"
	"time"

	"birchmoor/internal/platform/stricttoml"
)

// Dur is a duration, written in scenario files in Go's format, such as "80ms".
type Dur time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Dur) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Dur(v)
	return err
}

// Scenario is a scenario file of the folder lab/dns.
type Scenario struct {
	Name      string      `toml:"name"`
	About     string      `toml:"about"`
	Length    Dur         `toml:"length"`
	Load      Load        `toml:"load"`
	Resolvers []Resolvers `toml:"resolver"`
	Link      Link        `toml:"link"`
	Front     Front       `toml:"front"`
	Faults    []Fault     `toml:"fault"`
	Keep      Keep        `toml:"keep"`
}

// Load is the traffic of a scenario.
type Load struct {
	Rate   float64 `toml:"rate"`   // queries a second
	TCP    float64 `toml:"tcp"`    // share of queries over TCP
	Update float64 `toml:"update"` // share of dynamic updates, which must not run twice
	Big    float64 `toml:"big"`    // share of queries whose answers do not fit into a datagram
	// Retransmit is the delay after which a client sends an unanswered query over UDP again with the same id; 0: never.
	// If the retransmission crosses the answer, the client receives a second answer.
	Retransmit Dur     `toml:"retransmit"`
	Bookings   float64 `toml:"bookings"` // HTTP requests a second through the same sidecar
	Flood      float64 `toml:"flood"`    // queries a second from a source that never reads answers
	Sockets    int     `toml:"sockets"`  // UDP sockets of clients; 0: 16
}

// Resolvers is a group of stub resolvers with the same properties.
type Resolvers struct {
	Count int `toml:"count"`
	Delay Dur `toml:"delay"` // mean delay of an answer
	// queries a second when warm, for the checker's rule on cold servers; 0: unlimited
	Capacity float64 `toml:"capacity"`
	ServFail float64 `toml:"servfail"` // share of queries that are answered with SERVFAIL
	Small    bool    `toml:"small"`    // ignores EDNS: answers over UDP have at most 512 bytes
}

// Link is the network between the sidecar and each resolver. It applies to datagrams in each direction.
type Link struct {
	Loss   float64 `toml:"loss"`   // share of lost datagrams
	Double float64 `toml:"double"` // share of duplicated datagrams, of those that are not lost
	Jitter Dur     `toml:"jitter"` // mean random delay, by which datagrams overtake each other
}

// Front overrides settings of the sidecar's DNS front; 0 keeps the lab's default.
type Front struct {
	Aim      Dur `toml:"aim"`
	GiveUp   Dur `toml:"give_up"`
	Attempts int `toml:"attempts"`
	Sockets  int `toml:"sockets"`
	Open     int `toml:"open"`
	Rate     int `toml:"rate"`
	Burst    int `toml:"burst"`
}

// Fault is a fault that is injected into the first resolvers of the scenario.
type Fault struct {
	Kind      string `toml:"kind"`
	At        Dur    `toml:"at"`
	For       Dur    `toml:"for"`       // 0: until the end of the run
	Resolvers int    `toml:"resolvers"` // how many
}

// faultKinds describes, for each kind of fault, what happens to a resolver while the fault is in force.
var faultKinds = map[string]string{
	"drain":    "is draining, and removed from the list when the fault ends",
	"remove":   "is removed from the list",
	"join":     "joins the list when the fault begins, and starts cold",
	"silent":   "answers no query",
	"tcp-dead": "does not accept connections",
	"closes":   "closes connections with queries in flight",
	"foreign":  "answers every query with the question of another one",
	"forged":   "is impersonated: a forged answer with a guessed id and one with another name precede each genuine answer",
	"servfail": "answers SERVFAIL",
}

// Keep holds the requirements on a run.
type Keep struct {
	Service float64 `toml:"service"` // least share of queries served within the latency objective
	// most queries that reach resolvers for each query of a client; 0: unlimited
	Attempts float64 `toml:"attempts_most"`
}

// Read reads a scenario and fills in defaults. The error lists all invalid keys.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	if err := stricttoml.Decode(path, "DNS scenarios", text, s); err != nil {
		return nil, err
	}
	return s, s.check(path)
}

// check validates the scenario that was read from path, and fills in defaults.
func (s *Scenario) check(path string) error {
	var errs []error
	require := func(ok bool, key, reason string, args ...any) {
		if !ok {
			errs = append(errs, &stricttoml.Error{Path: path, Key: key, Reason: fmt.Sprintf(reason, args...)})
		}
	}
	require(s.Name != "", "name", "is missing")
	require(s.Length > 0 && s.Length <= Dur(10*time.Minute), "length", "is not within 0 and 10m")
	require(s.Load.Rate > 0 && s.Load.Rate <= 100_000, "load.rate", "%g is not within 0 and 100000", s.Load.Rate)
	for _, share := range []struct {
		key string
		v   float64
	}{{"load.tcp", s.Load.TCP}, {"load.update", s.Load.Update}, {"load.big", s.Load.Big}, {"link.loss", s.Link.Loss},
		{"link.double", s.Link.Double}, {"keep.service", s.Keep.Service}} {
		require(share.v >= 0 && share.v <= 1, share.key, "%g is not within 0 and 1", share.v)
	}
	resolverCount := 0
	for i := range s.Resolvers {
		r := &s.Resolvers[i]
		require(r.Count >= 1 && r.Count <= 64, fmt.Sprintf("resolver[%d].count", i), "%d is not within 1 and 64",
			r.Count)
		resolverCount += r.Count
	}
	require(resolverCount > 0, "resolver", "at least one is needed")
	for i, f := range s.Faults {
		keyPrefix := fmt.Sprintf("fault[%d].", i)
		require(faultKinds[f.Kind] != "", keyPrefix+"kind", "%q is not known", f.Kind)
		require(f.Resolvers >= 1 && f.Resolvers <= resolverCount, keyPrefix+"resolvers", "%d is not within 1 and %d",
			f.Resolvers, resolverCount)
		require(f.At >= 0 && f.At < s.Length, keyPrefix+"at", "is not within the run")
	}
	setDefault := func(v *Dur, to time.Duration) {
		if *v == 0 {
			*v = Dur(to)
		}
	}
	setDefault(&s.Front.Aim, 250*time.Millisecond)
	setDefault(&s.Front.GiveUp, 2*time.Second)
	if s.Load.Sockets == 0 {
		s.Load.Sockets = 16
	}
	return errors.Join(errs...)
}
