package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/platform/wire"
)

// Values of reporting.how that this package distinguishes.
const (
	reportingNone        = "none"
	reportingOnResponses = "answers"
)

// socketSettings are the settings that the sockets need, beside those of the decision module.
type socketSettings struct {
	Zones   []string `json:"areas"`
	Kinds   []string `json:"skus"`
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

// parseSettings parses the settings twice: once for the sockets, and once for the decision module, with the parser that
// the simulator's adapter uses.
func (c *Config) parseSettings(raw json.RawMessage) error {
	var s socketSettings
	if err := json.Unmarshal(raw, &s); err != nil {
		key := "settings"
		if field := mistypedKey(err); field != "" {
			key += "." + field
		}
		return &Error{key, err}
	}
	text, err := wire.SettingsText(raw)
	if err != nil {
		return &Error{"settings", err}
	}
	c.Settings, err = wire.ParseSettings(text)
	if err == nil {
		err = c.Settings.Validate()
	}
	if err != nil {
		return &Error{"settings", err} // err names the key
	}
	return c.setSocketSettings(s)
}

// setSocketSettings takes over the settings that the sockets need. It returns an *Error if a class has no name.
func (c *Config) setSocketSettings(s socketSettings) error {
	c.Zones, c.Kinds = s.Zones, s.Kinds
	for i, class := range s.Classes {
		if class.Name == "" {
			return &Error{fmt.Sprintf("settings.classes.%d.name", i), errors.New("is missing")}
		}
		c.Classes = append(c.Classes, class.Name)
	}
	for _, tenant := range s.Tenants {
		c.Tenants = append(c.Tenants, tenant.Name)
	}
	if s.Reporting.How != reportingNone {
		c.LoadFields = s.Reporting.Fields
	}
	c.LoadOnResponses = s.Reporting.How == reportingOnResponses
	c.KeepAliveTimeout = time.Duration(s.Limits.KeepAlive) * time.Microsecond
	if c.KeepAliveTimeout <= 0 {
		c.KeepAliveTimeout = defaultKeepAlive
	}
	return nil
}
