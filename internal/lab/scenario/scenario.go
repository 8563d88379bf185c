// Package scenario reads the lab's scenario files: a booking system, its load, what goes wrong, and what must hold.
//
// Files are TOML and strictly read: an unknown key, a range upside down or a negative rate is an error that names
// the file, the line and the key, and nothing starts.
package scenario

import (
	"fmt"
	"time"

	"birchmoor/internal/platform/stricttoml"
)

// Scenario is a whole file.
type Scenario struct {
	Name      string    `toml:"name"`
	About     string    `toml:"about"`
	Length    Dur       `toml:"length"`    // over which requests arrive
	Hosts     []string  `toml:"hosts"`     // "run", "sim": where it can be played; empty for both
	Fleet     Fleet     `toml:"fleet"`     //
	Servers   []Servers `toml:"servers"`   // by kind
	Classes   []Class   `toml:"class"`     //
	Load      Load      `toml:"load"`      //
	Clients   Clients   `toml:"clients"`   //
	Net       Net       `toml:"net"`       //
	Discovery Discovery `toml:"discovery"` //
	Rules     Rules     `toml:"rules"`     //
	Limits    Limits    `toml:"limits"`    //
	Faults    []Fault   `toml:"fault"`     //
	Keep      Keep      `toml:"keep"`      // the figures that the run must reach

	Path    string         `toml:"-"`
	Overlay map[string]any `toml:"-"` // settings that an experiment tells otherwise
}

// Fleet is the sidecars and where they are.
type Fleet struct {
	Sidecars int      `toml:"sidecars"`
	Zones    []string `toml:"zones"`
	Skew     float64  `toml:"skew"` // spread of the sidecars' shares of the load, 0 for even
	MemoryMB int      `toml:"memory_mb"`
	Sockets  int      `toml:"sockets"`
	Told     float64  `toml:"told"`   // of the sidecars, so many are told to each as the fleet's size
	Recall   string   `toml:"recall"` // what a new process is told of what an old one knew: "none", "handover", or "kept", after a kill too
}

// Servers is a kind of slot server. Ranges of two hold one draw a server, from low to high.
type Servers struct {
	Kind      string    `toml:"kind"`
	Count     int       `toml:"count"`
	Cores     int       `toml:"cores"`
	Speed     []float64 `toml:"speed"`          // of a core; work is told for a core of speed 1
	Slots     int       `toml:"slots_per_core"` // requests in work side by side
	Queue     int       `toml:"queue"`          // requests that may wait beyond
	ConnCap   int       `toml:"conn_cap"`
	Idle      Dur       `toml:"idle_close"` // an idle connection is closed after this
	Handshake Dur       `toml:"handshake"`  // work of a new connection
	Probe     Dur       `toml:"probe"`      // work of a probe
	Cancel    string    `toml:"cancel"`     // what a cancel frees: "none", "queued", "all"
	Errors    float64   `toml:"errors"`     // share of requests answered with an error
	ColdFrom  []float64 `toml:"cold_from"`
	ColdFor   Dur       `toml:"cold_for"`
	Thrash    float64   `toml:"thrash"`    // efficiency lost for each further thrash_at requests a core
	ThrashAt  float64   `toml:"thrash_at"` // requests in work a core
	Choke     *Choke    `toml:"choke"`
	Report    Report    `toml:"report"`
}

// Choke slows a server down once overdriven.
type Choke struct {
	At     float64 `toml:"at"`   // requests held a core
	Over   Dur     `toml:"over"` // for so long
	Slower float64 `toml:"slower"`
	Below  float64 `toml:"below"` // let go when it held no more than this a core
	Rest   Dur     `toml:"rest"`  // for so long,
	Most   Dur     `toml:"most"`  // or after this at the latest
}

// Report is how a server's load report is made.
type Report struct {
	Every Dur     `toml:"every"`
	Delay Dur     `toml:"delay"`
	Noise float64 `toml:"noise"`
}

// Class is a class of requests.
type Class struct {
	Name   string  `toml:"name"`
	Share  float64 `toml:"share"`
	Work   Dur     `toml:"work"` // mean, on a core of speed 1
	Dist   string  `toml:"dist"` // "fixed", "exp", "lognormal", "pareto"
	CV     float64 `toml:"cv"`
	Aim    Dur     `toml:"aim"`
	GiveUp Dur     `toml:"give_up"`
	Worth  float64 `toml:"worth"`
	Unsafe bool    `toml:"unsafe"` // must never run twice
}

// Load is the arrivals of first tries, over all sidecars.
type Load struct {
	Rate   float64 `toml:"rate"`    // a second
	Shape  string  `toml:"shape"`   // "steady", "ramp" (from a third to the full rate), "wave"
	Swing  float64 `toml:"swing"`   // of a wave
	Hints  string  `toml:"hints"`   // "none", "rough", "exact"
	Bodies int     `toml:"bodies"`  // bytes of a write's body
	Answer int     `toml:"answers"` // bytes of an answer
}

// Clients is how clients behave.
type Clients struct {
	Retries  int     `toml:"retries"`
	Backoff  Dur     `toml:"backoff"`   // mean of the first wait; doubles. 0 is at once
	Honour   float64 `toml:"honour"`    // share of answers with Retry-After that are heeded
	TryShare float64 `toml:"try_share"` // of the give-up time, that one try is waited for
	Marks    bool    `toml:"marks_retry"`
	Conns    int     `toml:"conns"` // most connections a sidecar's clients hold
}

// Net is the network between the parties, one way.
type Net struct {
	Same   Dur     `toml:"same"`
	Cross  Dur     `toml:"cross"` // between zones
	Jitter float64 `toml:"jitter"`
	Stalls float64 `toml:"stalls"` // share of messages that a busy machine or a lost packet holds up,
	Stall  Dur     `toml:"stall"`  // for up to this
}

// Discovery is how the list of servers comes to the sidecars.
type Discovery struct {
	Notice   Dur    `toml:"notice"`   // from a drain or an end until it is listed
	Add      Dur    `toml:"add"`      // from a start until it is listed
	Capacity int    `toml:"capacity"` // calls at once
	Call     Dur    `toml:"call"`     // work of a call
	Spread   Dur    `toml:"spread"`   // each sidecar hears so much later, by a lot of its own from 0 to this
	Shuffle  bool   `toml:"shuffle"`  // each sidecar is told another order
	Mode     string `toml:"mode"`     // "watch" (subscribe) or "push"
}

// Rules holds the figures of the rules, as sidecars are told them.
type Rules struct {
	DrainGrace   Dur     `toml:"drain_grace"`
	FallMultiple float64 `toml:"fall_multiple"`
	OverloadFor  Dur     `toml:"overload_for"`
	ColdFrom     float64 `toml:"cold_from"`
	RampTime     Dur     `toml:"ramp_time"`
	AskWithin    Dur     `toml:"ask_within"`
}

// Limits is what the sidecars are allowed.
type Limits struct {
	Attempts      int    `toml:"attempts"`
	SecondCopies  bool   `toml:"second_copies"`
	Probes        bool   `toml:"probes"`
	Reports       string `toml:"reports"` // "probe", "answers", "none"
	RetryAfter    bool   `toml:"retry_after"`
	MaxRetryAfter Dur    `toml:"max_retry_after"`
	Dial          Dur    `toml:"dial"`
	Held          int    `toml:"held"`
}

// Fault is something that goes wrong, or that operators do.
type Fault struct {
	Kind     string  `toml:"kind"`
	At       Dur     `toml:"at"`
	For      Dur     `toml:"for"`
	Servers  []int   `toml:"servers"` // by number from 0; empty with Zone for that zone's
	Zone     string  `toml:"zone"`
	Share    float64 `toml:"share"`    // of the servers, of the sidecars, or of a class's requests
	Sidecars []int   `toml:"sidecars"` // empty for all
	Class    string  `toml:"class"`
	Factor   float64 `toml:"factor"`
	Every    Dur     `toml:"every"` // between one server and the next
	Lag      Dur     `toml:"lag"`
	Repeat   int     `toml:"repeat"`
}

// Keep is what a run must reach. Zero is no demand.
type Keep struct {
	Service    float64            `toml:"service"`
	Class      map[string]float64 `toml:"class"`
	Attempts   float64            `toml:"attempts_most"`   // attempts a request
	Refused    float64            `toml:"refused_most"`    // share of tries
	Failed     float64            `toml:"failed_most"`     // share of tries
	Handshakes float64            `toml:"handshakes_most"` // connections opened a request
	Crossings  float64            `toml:"crossings_most"`  // attempts into other zones, of all
	P99        Dur                `toml:"p99_most"`        // of served tries
	Fleet      map[string]float64 `toml:"fleet_most"`      // bounds on fleet figures, by name: FleetFigures
}

// FleetFigures are those of a whole fleet that a scenario may bound, each with what it counts. All are over all sidecars.
var FleetFigures = map[string]string{
	"probes_mean":        "probes a server and second",
	"probes_worst":       "probes of a server in its worst second",
	"handshakes_mean":    "connections opened a server and second",
	"handshakes_worst":   "connections opened to a server in its worst second",
	"connections_mean":   "open connections of a server, of its cap",
	"connections_worst":  "and the most at a second's end",
	"shut_mean":          "connections turned away at the cap, a server and second",
	"shut_worst":         "and of a server in its worst second",
	"cold_mean":          "work sent to a cold server, of what pushes it over",
	"cold_worst":         "and of any cold server",
	"ramp_mean":          "requests of mean work sent to a cold server in its time, of N + 2 roots of N + 2",
	"ramp_worst":         "and to any cold server",
	"ramp_falls":         "cold servers that were sent more",
	"ramp_falls_told":    "of them, those for which over two thirds came from sidecars told of the start",
	"calls_mean":         "calls of discovery a second",
	"calls_worst":        "and in the worst second",
	"calls_failed":       "share of them that failed",
	"call_wait_mean_ms":  "wait for an answer of discovery",
	"call_wait_worst_ms": "and the longest",
}

// Dur is a duration, written as Go does: "80ms".
type Dur time.Duration

// UnmarshalText reads a duration.
func (d *Dur) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("%q is no duration such as \"80ms\"", text)
	}
	*d = Dur(v)
	return nil
}

// MarshalText writes it so that it can be read back.
func (d Dur) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// Micros returns it in microseconds.
func (d Dur) Micros() int64 { return time.Duration(d).Microseconds() }

// FaultKinds lists the kinds of fault, each with what it does.
var FaultKinds = map[string]string{
	"burst":           "the rate of arrivals is factor times as high",
	"heavy-tail":      "share of a class's requests cost factor times the work",
	"discovery-down":  "discovery answers nobody and its watches end",
	"discovery-stale": "discovery's list runs lag further behind",
	"drain":           "the servers drain, and serve again after for",
	"restart":         "the servers drain, end after lag, and start cold after for",
	"crash":           "the servers' processes end at once, and start cold after for",
	"hang":            "the servers accept and answer nothing",
	"slow":            "the servers are factor times slower",
	"gray-errors":     "share of the requests of class, from sidecars, fail at the servers; probes look healthy",
	"gray-slow":       "the servers are factor times slower, and probes look idle",
	"choke":           "the servers are choked as if overdriven",
	"cold":            "the servers have just been started when the run begins",
	"black-hole":      "what goes between sidecars and servers is lost, with no word",
	"reset":           "connections between sidecars and servers break, every time again",
	"delay":           "what goes between sidecars and servers takes lag longer",
	"bandwidth":       "links between sidecars and servers carry factor bytes a second in each direction",
	"pieces":          "what goes between sidecars and servers comes in pieces of factor bytes, lag apart",
	"half-close":      "the end of sending is not passed on between sidecars and servers",
	"upgrade":         "a new process takes over from each of the sidecars",
	"kill":            "the sidecars are killed outright and start again after for",
	"stop":            "the sidecars are asked to end and start again",
	"freeze":          "the sidecars get no processor for this time",
	"maintain":        "operators take the servers out, restart them, and call them back after for",
	"asleep":          "nothing is asked of the sidecars, and discovery is down; then all wake at once",
}

// onLoad says whether the fault changes the arrivals, which are drawn ahead.
func (f *Fault) onLoad() bool {
	return f.Kind == "burst" || f.Kind == "heavy-tail" || f.Kind == "asleep"
}

// OnLinks says whether the fault is one of the links between sidecars and servers.
func (f *Fault) OnLinks() bool {
	switch f.Kind {
	case "black-hole", "reset", "delay", "bandwidth", "pieces", "half-close":
		return true
	}
	return false
}

// Error is a fault of a file.
type Error = stricttoml.Error
