package sidecar

import (
	"context"
	"errors"
	"fmt"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/dataplane/httpfront"
	"birchmoor/internal/dataplane/maintenance"
	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/platform/snapshot"
)

// httpName is the protocol name of HTTP in the entries of discovery's list.
const httpName = ""

// protocolStack runs one protocol: its event loop, its client side and its upstream side.
type protocolStack struct {
	name         string
	config       *config.Config
	deriveConfig func(*config.Config) (*config.Config, error)
	metrics      *metrics.Registry
	loop         *core.EventLoop
	upstream     core.Upstream
	frontend     core.Frontend
	snapshotFile snapshot.File
}

// protocolStacks are the stacks of all protocols of a process. That of HTTP is the first.
type protocolStacks []*protocolStack

// newStacks returns the stacks of HTTP and of the host's further protocols. HTTP's event loop calls setWatch to
// subscribe to changes of discovery's list (true) or to end the subscription (false).
func newStacks(cfg *config.Config, host *Host, setWatch func(bool)) (protocolStacks, error) {
	clock := core.NewClock()
	httpStack, err := newHTTPStack(cfg, host, clock, setWatch)
	if err != nil {
		return nil, err
	}
	stacks := protocolStacks{httpStack}
	for _, protocol := range host.Protocols {
		stack, err := newStack(protocol, cfg, host, clock)
		if err != nil {
			return nil, err
		}
		stacks = append(stacks, stack)
	}
	return stacks, nil
}

func newHTTPStack(cfg *config.Config, host *Host, clock core.Clock, setWatch func(bool)) (*protocolStack, error) {
	httpConfig, err := deriveHTTPConfig(cfg)
	if err != nil {
		return nil, err
	}
	registry := metrics.New(cfg.Classes...)
	upstream := httpfront.NewUpstream(httpConfig, clock, registry, host.Log)
	loop, err := core.New(httpConfig, clock, upstream, setWatch, registry, host.Tap, host.Log)
	if err != nil {
		return nil, err
	}
	server := httpfront.NewServer(httpConfig, loop, host.Socket, registry, host.Log)
	if host.Limiter != nil {
		server.SetLimiter(host.Limiter)
	}
	return &protocolStack{
		name:         httpName,
		config:       httpConfig,
		deriveConfig: deriveHTTPConfig,
		metrics:      registry,
		loop:         loop,
		upstream:     upstream,
		frontend:     server,
		snapshotFile: host.SnapshotFile,
	}, nil
}

// deriveHTTPConfig returns the configuration of HTTP's event loop: the initial list has only the entries of HTTP.
func deriveHTTPConfig(cfg *config.Config) (*config.Config, error) {
	httpConfig := *cfg
	httpConfig.InitialList = cfg.InitialList.ForProtocol(httpName)
	return &httpConfig, nil
}

// newStack returns the stack of a protocol other than HTTP.
func newStack(protocol core.Protocol, cfg *config.Config, host *Host, clock core.Clock) (*protocolStack, error) {
	protocolConfig, err := protocol.Config(cfg)
	if err != nil {
		return nil, err
	}
	log := host.Log.With("protocol", protocol.Name())
	registry := metrics.NewForProtocol(protocol.Name(), protocolConfig.Classes...)
	upstream := protocol.NewUpstream(protocolConfig, clock, registry, log)
	neverWatch := func(bool) {} // only HTTP's event loop controls the watch
	loop, err := core.New(protocolConfig, clock, upstream, neverWatch, registry, nil, log)
	if err != nil {
		return nil, err
	}
	file := host.SnapshotFile
	if file.Path != "" {
		file.Path += "." + protocol.Name()
	}
	return &protocolStack{
		name:         protocol.Name(),
		config:       protocolConfig,
		deriveConfig: protocol.Config,
		metrics:      registry,
		loop:         loop,
		upstream:     upstream,
		frontend:     protocol.NewFrontend(loop, registry, log),
		snapshotFile: file,
	}, nil
}

// setCapacityShare sets this process's share of the limits, from 0 to 1.
func (s *protocolStack) setCapacityShare(share float64) {
	s.frontend.SetCapacityShare(s.config, share)
	s.upstream.SetCapacityShare(s.config, share)
	s.loop.SetCapacityShare(share)
}

func (ss protocolStacks) http() *protocolStack { return ss[0] }

// watchEvent passes a list that a watch received on to all event loops, to each the entries of its protocol.
func (ss protocolStacks) watchEvent(watch context.Context, list discovery.List) {
	for _, stack := range ss {
		stack.loop.WatchEvent(watch, list.ForProtocol(stack.name))
	}
}

// applyCachedList passes the list of an old process on to all event loops, to each the entries of its protocol.
func (ss protocolStacks) applyCachedList(ctx context.Context, list discovery.List) {
	for _, stack := range ss {
		_ = stack.loop.ApplyCachedList(ctx, list.ForProtocol(stack.name)) // fails only once the loop has ended
	}
}

// list returns the current entries of all protocols in one list.
func (ss protocolStacks) list(ctx context.Context) (discovery.List, error) {
	all := discovery.List{Reset: true}
	for _, stack := range ss {
		list, err := stack.loop.List(ctx)
		if err != nil {
			return discovery.List{}, err
		}
		all.Instances = append(all.Instances, list.Instances...)
	}
	return all, nil
}

// applyDrain applies another daemon's report that a process drains or no longer drains, in all protocols.
func (ss protocolStacks) applyDrain(ctx context.Context, process discovery.Process, drains bool) error {
	for _, stack := range ss {
		if err := stack.loop.ApplyDrain(ctx, process, drains); err != nil {
			return err
		}
	}
	return nil
}

// applyStart applies another daemon's report of a start in all protocols.
func (ss protocolStacks) applyStart(ctx context.Context, start core.ProcessStart) error {
	for _, stack := range ss {
		if err := stack.loop.ApplyStart(ctx, start); err != nil {
			return err
		}
	}
	return nil
}

// applyOverride applies an operator's override in all protocols. It fails with maintenance.ErrUnknownEndpoint only if
// no protocol knows the ID. Otherwise protocols that do not know it keep a drain in case they list the endpoint later.
func (ss protocolStacks) applyOverride(ctx context.Context, override maintenance.Override, force bool) error {
	unknown := 0
	for _, stack := range ss {
		err := stack.loop.ApplyOverride(ctx, override, force)
		switch {
		case errors.Is(err, maintenance.ErrUnknownEndpoint):
			unknown++
		case err != nil:
			return err
		}
	}
	if unknown == len(ss) {
		return maintenance.ErrUnknownEndpoint
	}
	if unknown == 0 || !override.Drained {
		return nil
	}
	for _, stack := range ss { // has no effect in protocols that have applied the drain already
		if err := stack.loop.ApplyOverride(ctx, override, true); err != nil {
			return err
		}
	}
	return nil
}

// reload applies a new configuration in all protocols. It changes nothing if one of them cannot derive its own
// configuration.
func (ss protocolStacks) reload(ctx context.Context, cfg *config.Config) error {
	derived := make([]*config.Config, len(ss))
	for i, stack := range ss {
		protocolConfig, err := stack.deriveConfig(cfg)
		if err != nil {
			return fmt.Errorf("%s: %w", stack.name, err)
		}
		derived[i] = protocolConfig
	}
	for i, stack := range ss {
		if err := stack.loop.Reload(ctx, derived[i]); err != nil {
			return err
		}
	}
	return nil
}
