// Package dnslab plays name look-ups through the real sidecar on loopback: scripted resolvers behind lossy, reordering and
// doubling links, clients that count every answer, a discovery that drains and removes, and the lab's referee over it all.
//
// A request is known to all parties by its number, which its name holds, so that a resolver counts who asked it what and
// a client sees an answer that is another's.
package dnslab

import (
	"errors"
	"fmt"
	"os"
	"time"

	"birchmoor/internal/platform/stricttoml"
)

// Dur is a duration, written as Go does.
type Dur time.Duration

// UnmarshalText reads one.
func (d *Dur) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = Dur(v)
	return err
}

// Scenario is a file of lab/dns.
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

// Load is what clients ask.
type Load struct {
	Rate       float64 `toml:"rate"`       // queries a second
	TCP        float64 `toml:"tcp"`        // share that comes over TCP
	Update     float64 `toml:"update"`     // share that are updates, which must not run twice
	Big        float64 `toml:"big"`        // share whose answers do not fit into a datagram
	Retransmit Dur     `toml:"retransmit"` // after which a client asks again with the same id; 0: never. It may cross an answer, and then gets another
	Bookings   float64 `toml:"bookings"`   // HTTP requests a second beside
	Flood      float64 `toml:"flood"`      // queries a second from a party that never reads answers
	Sockets    int     `toml:"sockets"`    // of clients, over UDP
}

// Resolvers are some of a kind.
type Resolvers struct {
	Count    int     `toml:"count"`
	Delay    Dur     `toml:"delay"`    // mean, of an answer
	Capacity float64 `toml:"capacity"` // queries a second when warm; 0: no bound that counts
	ServFail float64 `toml:"servfail"` // share of queries
	Small    bool    `toml:"small"`    // answers over UDP have 512 bytes at most, whatever is asked for
}

// Link is the network between the sidecar and each resolver, each way, for datagrams.
type Link struct {
	Loss   float64 `toml:"loss"`
	Double float64 `toml:"double"`
	Jitter Dur     `toml:"jitter"` // by which datagrams overtake each other
}

// Front is what the sidecar's [dns] is told otherwise.
type Front struct {
	Aim      Dur `toml:"aim"`
	GiveUp   Dur `toml:"give_up"`
	Attempts int `toml:"attempts"`
	Sockets  int `toml:"sockets"`
	Open     int `toml:"open"`
	Rate     int `toml:"rate"`
	Burst    int `toml:"burst"`
}

// Fault is what happens to the first resolvers.
type Fault struct {
	Kind      string `toml:"kind"`
	At        Dur    `toml:"at"`
	For       Dur    `toml:"for"` // 0: to the end
	Resolvers int    `toml:"resolvers"`
}

// The kinds of fault, and what a resolver does meanwhile.
var faultKinds = map[string]string{
	"drain":    "is told to drain, and removed after it",
	"remove":   "is removed from the list",
	"join":     "is not in the list before, and starts cold",
	"silent":   "answers nothing",
	"tcp-dead": "does not accept connections",
	"closes":   "closes connections with queries in flight",
	"foreign":  "answers every query with somebody else's question",
	"forged":   "is impersonated: each true answer comes behind one with a guessed id, and one with another name",
	"servfail": "answers SERVFAIL",
}

// Keep is what a run must reach.
type Keep struct {
	Service  float64 `toml:"service"`       // share answered within the aim
	Attempts float64 `toml:"attempts_most"` // queries at resolvers for each of clients
}

// Read reads a scenario, and names every fault of it.
func Read(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Scenario{}
	if err := stricttoml.Decode(path, "DNS scenarios", text, s); err != nil {
		return nil, err
	}
	return s, s.fill(path)
}

func (s *Scenario) fill(path string) error {
	var faults []error
	need := func(ok bool, key, reason string, args ...any) {
		if !ok {
			faults = append(faults, &stricttoml.Error{Path: path, Key: key, Reason: fmt.Sprintf(reason, args...)})
		}
	}
	need(s.Name != "", "name", "is missing")
	need(s.Length > 0 && s.Length <= Dur(10*time.Minute), "length", "is not within 0 and 10m")
	need(s.Load.Rate > 0 && s.Load.Rate <= 100_000, "load.rate", "%g is not within 0 and 100000", s.Load.Rate)
	for _, x := range []struct {
		key string
		v   float64
	}{{"load.tcp", s.Load.TCP}, {"load.update", s.Load.Update}, {"load.big", s.Load.Big}, {"link.loss", s.Link.Loss},
		{"link.double", s.Link.Double}, {"keep.service", s.Keep.Service}} {
		need(x.v >= 0 && x.v <= 1, x.key, "%g is not within 0 and 1", x.v)
	}
	total := 0
	for i := range s.Resolvers {
		r := &s.Resolvers[i]
		need(r.Count >= 1 && r.Count <= 64, fmt.Sprintf("resolver[%d].count", i), "%d is not within 1 and 64", r.Count)
		total += r.Count
	}
	need(total > 0, "resolver", "at least one is needed")
	for i, f := range s.Faults {
		at := fmt.Sprintf("fault[%d].", i)
		need(faultKinds[f.Kind] != "", at+"kind", "%q is not known", f.Kind)
		need(f.Resolvers >= 1 && f.Resolvers <= total, at+"resolvers", "%d is not within 1 and %d", f.Resolvers, total)
		need(f.At >= 0 && f.At < s.Length, at+"at", "is not within the run")
	}
	set := func(v *Dur, to time.Duration) {
		if *v == 0 {
			*v = Dur(to)
		}
	}
	set(&s.Front.Aim, 250*time.Millisecond)
	set(&s.Front.GiveUp, 2*time.Second)
	if s.Load.Sockets == 0 {
		s.Load.Sockets = 16
	}
	return errors.Join(faults...)
}
