package config

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"

	"birchmoor/internal/dataplane/discovery"
)

// file is the content of the configuration file. Its settings are parsed apart, by parseSettings.
type file struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"mgmt"`
	Seed       string `json:"seed"`
	Limits     struct {
		MemoryMB       *int `json:"memory_mb"`
		MaxDescriptors *int `json:"sockets"`
	} `json:"limits"`
	Known    *discovery.List `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Read reads the configuration file at the path in ROUTER_CONFIG. The variables ROUTER_NAME, ROUTER_LISTEN,
// ROUTER_DISCOVERY and ROUTER_MGMT override its values where they are not empty.
func Read(getenv func(string) string) (*Config, error) { return ReadWithSettings(getenv, nil) }

// ReadWithSettings is like Read, but uses the given settings, unless nil, in place of those in the file.
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
		var keys map[string]json.RawMessage
		if err := json.Unmarshal(text, &keys); err != nil {
			return nil, fmt.Errorf("%s: %w", path, &Error{"file", err})
		}
		keys["settings"] = settings
		text, err = json.Marshal(keys)
		if err != nil {
			return nil, &Error{"settings", err}
		}
	}
	c, err := Parse(text, getenv)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

// Parse parses the text of a configuration file and applies the environment's overrides. All errors are *Error.
func Parse(text []byte, getenv func(string) string) (*Config, error) {
	var fileValues any
	var f file
	err := json.Unmarshal(text, &fileValues)
	if err == nil {
		err = json.Unmarshal(text, &f)
	}
	if err != nil {
		return nil, &Error{cmp.Or(mistypedKey(err), "file"), err}
	}
	c := &Config{
		Name:            f.Name,
		Listen:          f.Listen,
		Discovery:       f.Discovery,
		Management:      f.Management,
		MemoryMB:        defaultMemoryMB,
		MaxDescriptors:  defaultMaxDescriptors,
		DiscoveryInFile: f.Discovery,
		fileValues:      fileValues,
	}
	c.override(getenv)
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	c.Seed, err = strconv.ParseUint(f.Seed, 16, 64)
	if err != nil {
		return nil, &Error{"seed", err}
	}
	if err := c.setLimits(&f); err != nil {
		return nil, err
	}
	if f.Known != nil {
		c.InitialList = *f.Known
	}
	if len(f.Settings) == 0 {
		return nil, &Error{"settings", errors.New("is missing")}
	}
	return c, c.parseSettings(f.Settings)
}

// mistypedKey returns the key whose value has the wrong type, or "" if err is another error.
func mistypedKey(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		return typeError.Field
	}
	return ""
}

// override replaces values by those of the environment.
func (c *Config) override(getenv func(string) string) {
	for name, field := range map[string]*string{
		"ROUTER_NAME":      &c.Name,
		"ROUTER_LISTEN":    &c.Listen,
		"ROUTER_DISCOVERY": &c.Discovery,
		"ROUTER_MGMT":      &c.Management,
	} {
		if value := getenv(name); value != "" {
			*field = value
		}
	}
}

func (c *Config) checkAddresses() error {
	for _, setting := range []struct{ key, address string }{
		{"listen", c.Listen},
		{"discovery", c.Discovery},
		{"discovery", cmp.Or(c.DiscoveryInFile, c.Discovery)},
		{"mgmt", c.Management},
	} {
		if setting.key == "mgmt" && setting.address == "" {
			continue
		}
		if _, _, err := net.SplitHostPort(setting.address); err != nil {
			return &Error{setting.key, err}
		}
	}
	return nil
}

func (c *Config) setLimits(f *file) error {
	if v := f.Limits.MemoryMB; v != nil {
		c.MemoryMB = *v
		if *v < 1 {
			return &Error{"limits.memory_mb", fmt.Errorf("%d is not positive", *v)}
		}
	}
	if v := f.Limits.MaxDescriptors; v != nil {
		c.MaxDescriptors = *v
		if *v < MinDescriptors {
			return &Error{"limits.sockets", fmt.Errorf("%d is below the minimum of %d", *v, MinDescriptors)}
		}
	}
	return nil
}
