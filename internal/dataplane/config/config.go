// Package config reads a sidecar's configuration file and the environment variables that override it, at the start and
// at each reload. It may import balancer, discovery, management and wire.
package config

import (
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/platform/management"
)

// Config is the configuration of a sidecar, as read from its file and the environment.
type Config struct {
	Name           string
	Listen         string         // address at which clients connect
	Discovery      string         // address of discovery
	Management     string         // address at which operators connect; empty if there is none
	Seed           uint64         // of the decision module's random numbers
	MemoryMB       int            // memory limit
	MaxDescriptors int            // limit of open file descriptors
	InitialList    discovery.List // endpoint list in effect until discovery sends one

	Settings         balancer.Settings
	Classes          []string      // names of classes in requests, in the order of the settings
	Tenants          []string      // names of tenants in requests, in the order of the settings
	Zones            []string      // names of zones in endpoint lists, in the order of the settings
	Kinds            []string      // names of machine types in endpoint lists, in the order of the settings
	LoadFields       []string      // fields of a load report, in its order; empty if endpoints send no load reports
	LoadOnResponses  bool          // whether responses carry load reports, in addition to probes
	KeepAliveTimeout time.Duration // idle time after which an endpoint closes a connection

	DiscoveryInFile string // discovery's address in the file, without the environment's override
	fileValues      any    // all of the file, as decoded JSON, for CheckReload
}

// Error is an invalid part of the configuration.
type Error struct {
	Key string // in the file, such as limits.sockets; "file" for the file as a whole; or an environment variable
	Err error
}

// Error implements error and names the key.
func (e *Error) Error() string { return "configuration: " + e.Key + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MinDescriptors is the minimum of Config.MaxDescriptors.
const MinDescriptors = 64

const (
	defaultMemoryMB       = 192
	defaultMaxDescriptors = 1024
	defaultKeepAlive      = 15 * time.Second
)

// reservedDescriptors is the number of file descriptors that connections of clients and to endpoints cannot use: they
// are for standard streams, listeners, the Go runtime, calls of discovery, files and operators' connections. Without
// them, idle clients could use up all descriptors while discovery is down.
const reservedDescriptors = 20 + management.MaxConns

const minClientConns = 8

// bufferedMemoryDivisor divides the memory limit to give the maximum size of all buffered request bodies, and the same
// for the heads of requests, for the bodies of responses and for their heads.
const bufferedMemoryDivisor = 12

// MaxClientConns returns how many client connections may be open. As many connections to endpoints may be open, since
// each request in flight has one of each; probes and hedged requests need further ones. share is the part of the
// sidecar's limits that this process may use, from 0 to 1: two processes share them during a handover.
func (c *Config) MaxClientConns(share float64) int {
	return max(minClientConns, (int(float64(c.MaxDescriptors)*share)-reservedDescriptors)/2)
}

// MaxUpstreamConns returns how many connections to endpoints may be open. share is as in MaxClientConns.
func (c *Config) MaxUpstreamConns(share float64) int { return c.MaxClientConns(share) }

// MaxBufferedBytes returns how many bytes of request bodies may be buffered at a time; the same number applies to the
// memory of the heads of requests, to the bodies of responses and to the memory of their heads. share is as in
// MaxClientConns.
func (c *Config) MaxBufferedBytes(share float64) int {
	return int(float64(c.MemoryMB<<20) * share / bufferedMemoryDivisor)
}
