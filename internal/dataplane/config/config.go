// Package config reads what a sidecar is told at its start and at each reload.
package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/management"
	"birchmoor/internal/platform/wire"
)

// Config is what a sidecar is told at its start.
type Config struct {
	Name           string
	Listen         string // where clients connect
	Discovery      string
	Management     string // where operators call; empty for nowhere
	Seed           uint64
	MemoryMB       int
	MaxDescriptors int // file descriptors
	InitialList    discovery.List

	Settings         balancer.Settings
	Classes          []string // names as on the sockets, in the order of the settings
	Tenants          []string
	Zones            []string
	Kinds            []string
	LoadFields       []string      // of a load report
	LoadOnResponses  bool          // answers carry load reports, too
	KeepAliveTimeout time.Duration // an endpoint closes a connection idle for so long

	DiscoveryInFile string // as the file alone names it
	file            any    // all of it
}

// ConfigError names the part of the configuration that makes no sense.
type Error struct {
	Key string
	Err error
}

// Error names the key.
func (e *Error) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

const (
	defaultMemoryMB       = 192
	defaultMaxDescriptors = 1024
	MinDescriptors        = 64
	defaultKeepAlive      = 15 * time.Second
)

// reservedDescriptors are kept for what is neither a client's nor an endpoint's: standard streams, the listeners, the
// runtime, calls of discovery, files, and operators' calls. Idle clients may fill the descriptors while discovery is down: the
// part of clients is theirs, and what is kept for the others nobody's.
const reservedDescriptors = 20 + management.MaxConns

// MaxClientConns is how many connections of clients may be open. The other half is for connections to endpoints:
// an open request has one of each, and probes and second attempts want more. Part is this process's part of the
// limits: two share them while one takes over from the other.
func (c *Config) MaxClientConns(part float64) int {
	return max(8, (int(float64(c.MaxDescriptors)*part)-reservedDescriptors)/2)
}

// MaxUpstreamConns is how many connections to endpoints may be open.
func (c *Config) MaxUpstreamConns(part float64) int { return c.MaxClientConns(part) }

// bufferedMemoryDivisor is the part of the memory that bodies may take, and that answers may.
const bufferedMemoryDivisor = 12

// MaxBufferedBytes is how much may be held of bodies, and how much of answers.
func (c *Config) MaxBufferedBytes(part float64) int {
	return int(float64(c.MemoryMB<<20) * part / bufferedMemoryDivisor)
}

// ReadConfig reads the file named by ROUTER_CONFIG. The other ROUTER_ variables, where set, go before it.
func Read(getenv func(string) string) (*Config, error) { return ReadWithSettings(getenv, nil) }

// ReadConfigWith does the same with other settings, if they are not nil, in the place of the file's.
func ReadWithSettings(getenv func(string) string, settings json.RawMessage) (*Config, error) {
	path := getenv("ROUTER_CONFIG")
	if path == "" {
		return nil, &Error{"ROUTER_CONFIG", errors.New("is not set")}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, &Error{"ROUTER_CONFIG", err}
	}
	if settings != nil {
		var whole map[string]json.RawMessage
		if err := json.Unmarshal(text, &whole); err != nil {
			return nil, fmt.Errorf("%s: %w", path, &Error{"file", err})
		}
		whole["settings"] = settings
		if text, err = json.Marshal(whole); err != nil {
			return nil, &Error{"settings", err}
		}
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse reads the text of a file. A fault is an *Error that names its key.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var file struct {
		Name      string `json:"name"`
		Listen    string `json:"listen"`
		Discovery string `json:"discovery"`
		Mgmt      string `json:"mgmt"`
		Seed      string `json:"seed"`
		Limits    struct {
			MemoryMB *int `json:"memory_mb"`
			Sockets  *int `json:"sockets"`
		} `json:"limits"`
		Known    *discovery.List `json:"known"`
		Settings json.RawMessage `json:"settings"`
	}
	var whole any
	err := json.Unmarshal(text, &whole)
	if err == nil {
		err = json.Unmarshal(text, &file)
	}
	if err != nil {
		key := "file"
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
			key = wrong.Field
		}
		return nil, &Error{key, err}
	}
	c := &Config{file: whole, Name: file.Name, Listen: file.Listen, Discovery: file.Discovery, DiscoveryInFile: file.Discovery,
		Management: file.Mgmt, MemoryMB: defaultMemoryMB, MaxDescriptors: defaultMaxDescriptors}
	for name, to := range map[string]*string{
		"ROUTER_NAME": &c.Name, "ROUTER_LISTEN": &c.Listen, "ROUTER_DISCOVERY": &c.Discovery,
		"ROUTER_MGMT": &c.Management} {
		if v := getenv(name); v != "" {
			*to = v
		}
	}
	for _, a := range []struct{ key, addr string }{{"listen", c.Listen}, {"discovery", c.Discovery},
		{"discovery", cmp.Or(c.DiscoveryInFile, c.Discovery)}} {
		if _, _, err := net.SplitHostPort(a.addr); err != nil {
			return nil, &Error{a.key, err}
		}
	}
	if c.Management != "" {
		if _, _, err := net.SplitHostPort(c.Management); err != nil {
			return nil, &Error{"mgmt", err}
		}
	}
	if c.Seed, err = strconv.ParseUint(file.Seed, 16, 64); err != nil {
		return nil, &Error{"seed", err}
	}
	if v := file.Limits.MemoryMB; v != nil {
		if c.MemoryMB = *v; *v < 1 {
			return nil, &Error{"limits.memory_mb", fmt.Errorf("%d is not positive", *v)}
		}
	}
	if v := file.Limits.Sockets; v != nil {
		if c.MaxDescriptors = *v; *v < MinDescriptors {
			return nil, &Error{"limits.sockets", fmt.Errorf("%d is under %d", *v, MinDescriptors)}
		}
	}
	if file.Known != nil {
		c.InitialList = *file.Known
	}
	if len(file.Settings) == 0 {
		return nil, &Error{"settings", errors.New("is missing")}
	}
	return c, c.parseSettings(file.Settings)
}

// parseSettings reads the settings twice: as the simulator's text, by the parser that the simulator's host uses,
// and for the names that only the sockets need.
func (c *Config) parseSettings(raw json.RawMessage) error {
	var names struct {
		Areas   []string `json:"areas"`
		Skus    []string `json:"skus"`
		Classes []struct {
			Name string `json:"name"`
		} `json:"classes"`
		Tenants []struct {
			Name string `json:"name"`
		} `json:"tenants"`
		Reporting struct {
			Fields []string `json:"fields"`
			How    string   `json:"how"`
		} `json:"reporting"`
		Limits struct {
			KeepAlive balancer.Micros `json:"keepalive"`
		} `json:"limits"`
	}
	if err := json.Unmarshal(raw, &names); err != nil {
		key := "settings"
		if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) && wrong.Field != "" {
			key += "." + wrong.Field
		}
		return &Error{key, err}
	}
	text, err := wire.SettingsText(raw)
	if err != nil {
		return &Error{"settings", err}
	}
	if c.Settings, err = wire.ParseSettings(text); err == nil {
		err = c.Settings.Validate()
	}
	if err != nil {
		return &Error{"settings", err} // its message names the key
	}
	c.Zones, c.Kinds = names.Areas, names.Skus
	for i, class := range names.Classes {
		if class.Name == "" {
			return &Error{fmt.Sprintf("settings.classes.%d.name", i), errors.New("is missing")}
		}
		c.Classes = append(c.Classes, class.Name)
	}
	for _, t := range names.Tenants {
		c.Tenants = append(c.Tenants, t.Name)
	}
	if names.Reporting.How != "none" {
		c.LoadFields = names.Reporting.Fields
	}
	c.LoadOnResponses = names.Reporting.How == "answers"
	if c.KeepAliveTimeout = time.Duration(names.Limits.KeepAlive) * time.Microsecond; c.KeepAliveTimeout <= 0 {
		c.KeepAliveTimeout = defaultKeepAlive
	}
	return nil
}
