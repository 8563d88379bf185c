// Package config reads a sidecar's configuration, at its start and at each reload. It may import balancer,
// discovery, management and wire.
package config

import (
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/management"
)

// Config is the configuration of a sidecar.
type Config struct {
	Name           string
	Listen         string // where clients connect
	Discovery      string
	Management     string // where operators connect; empty: nowhere
	Seed           uint64
	MemoryMB       int
	MaxDescriptors int            // file descriptors
	InitialList    discovery.List // of endpoints

	Settings         balancer.Settings
	Classes          []string // names as on the sockets, in the order of the settings
	Tenants          []string
	Zones            []string
	Kinds            []string
	LoadFields       []string      // of a load report
	LoadOnResponses  bool          // responses carry load reports, too
	KeepAliveTimeout time.Duration // an endpoint closes a connection that is idle for so long

	DiscoveryInFile string // without the environment's override
	file            any    // the complete file
}

// Error says which part of the configuration is invalid.
type Error struct {
	Key string
	Err error
}

// Error implements error and names the key.
func (e *Error) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the reason.
func (e *Error) Unwrap() error { return e.Err }

// MinDescriptors is the lower bound of MaxDescriptors.
const MinDescriptors = 64

const (
	defaultMemoryMB       = 192
	defaultMaxDescriptors = 1024
	defaultKeepAlive      = 15 * time.Second
)

// reservedDescriptors are for neither clients nor endpoints: standard streams, listeners, the runtime, calls of
// discovery, files and operators' connections. Idle clients, which may fill their own part while discovery is down,
// cannot take these.
const reservedDescriptors = 20 + management.MaxConns

const minClientConns = 8

// bufferedMemoryDivisor is the part of the memory that request bodies may take, and that responses may.
const bufferedMemoryDivisor = 12

// MaxClientConns is how many connections of clients may be open. As many are for connections to endpoints: an open
// request has one of each, and probes and hedged requests need more. The part is this process's of the limits: two
// processes share them while one takes over from the other.
func (c *Config) MaxClientConns(part float64) int {
	return max(minClientConns, (int(float64(c.MaxDescriptors)*part)-reservedDescriptors)/2)
}

// MaxUpstreamConns is how many connections to endpoints may be open.
func (c *Config) MaxUpstreamConns(part float64) int { return c.MaxClientConns(part) }

// MaxBufferedBytes is how many bytes of request bodies may be buffered, and how many of responses.
func (c *Config) MaxBufferedBytes(part float64) int {
	return int(float64(c.MemoryMB<<20) * part / bufferedMemoryDivisor)
}
