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

// httpName is the name of HTTP among the protocols.
const httpName = ""

// protocolStack is a protocol as this process runs it: its event loop, and both its sides.
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

// protocolStacks are all protocols of a process, HTTP first.
type protocolStacks []*protocolStack

// newStacks returns the stacks of HTTP and the host's further protocols. setWatch subscribes to changes of discovery's
// list, or ends the subscription.
func newStacks(c *config.Config, h *Host, setWatch func(bool)) (protocolStacks, error) {
	clock := core.NewClock()
	first, err := newHTTPStack(c, h, clock, setWatch)
	if err != nil {
		return nil, err
	}
	stacks := protocolStacks{first}
	for _, p := range h.Protocols {
		s, err := newStack(p, c, h, clock)
		if err != nil {
			return nil, err
		}
		stacks = append(stacks, s)
	}
	return stacks, nil
}

func newHTTPStack(c *config.Config, h *Host, clock core.Clock, setWatch func(bool)) (*protocolStack, error) {
	own, err := deriveHTTPConfig(c)
	if err != nil {
		return nil, err
	}
	registry := metrics.New(c.Classes...)
	upstream := httpfront.NewUpstream(own, clock, &registry.AttemptsSent, h.Log)
	loop, err := core.New(own, clock, upstream, setWatch, registry, h.Tap, h.Log)
	if err != nil {
		return nil, err
	}
	server := httpfront.NewServer(own, loop, h.Socket, registry, h.Log)
	if h.Limiter != nil {
		server.SetLimiter(h.Limiter)
	}
	return &protocolStack{
		name:         httpName,
		config:       own,
		deriveConfig: deriveHTTPConfig,
		metrics:      registry,
		loop:         loop,
		upstream:     upstream,
		frontend:     server,
		snapshotFile: h.SnapshotFile,
	}, nil
}

func deriveHTTPConfig(c *config.Config) (*config.Config, error) {
	own := *c
	own.InitialList = c.InitialList.ForProtocol(httpName)
	return &own, nil
}

// newStack returns the stack of a protocol besides HTTP.
func newStack(p core.Protocol, c *config.Config, h *Host, clock core.Clock) (*protocolStack, error) {
	own, err := p.Config(c)
	if err != nil {
		return nil, err
	}
	log := h.Log.With("protocol", p.Name())
	registry := metrics.NewForProtocol(p.Name(), own.Classes...)
	upstream := p.NewUpstream(own, clock, registry, log)
	neverWatch := func(bool) {} // HTTP's stack does
	loop, err := core.New(own, clock, upstream, neverWatch, registry, nil, log)
	if err != nil {
		return nil, err
	}
	file := h.SnapshotFile
	if file.Path != "" {
		file.Path += "." + p.Name()
	}
	return &protocolStack{
		name:         p.Name(),
		config:       own,
		deriveConfig: p.Config,
		metrics:      registry,
		loop:         loop,
		upstream:     upstream,
		frontend:     p.NewFrontend(loop, registry, log),
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

// watchEvent passes on a list that a watch received.
func (ss protocolStacks) watchEvent(watch context.Context, list discovery.List) {
	for _, s := range ss {
		s.loop.WatchEvent(watch, list.ForProtocol(s.name))
	}
}

// applyCachedList passes on the list of an old process.
func (ss protocolStacks) applyCachedList(ctx context.Context, list discovery.List) {
	for _, s := range ss {
		_ = s.loop.ApplyCachedList(ctx, list.ForProtocol(s.name)) // fails only once the loop has ended
	}
}

// list returns the current list of all protocols.
func (ss protocolStacks) list(ctx context.Context) (discovery.List, error) {
	all := discovery.List{Reset: true}
	for _, s := range ss {
		list, err := s.loop.List(ctx)
		if err != nil {
			return discovery.List{}, err
		}
		all.Instances = append(all.Instances, list.Instances...)
	}
	return all, nil
}

// applyDrain applies another daemon's report of a drain.
func (ss protocolStacks) applyDrain(ctx context.Context, p discovery.Process, drains bool) error {
	for _, s := range ss {
		if err := s.loop.ApplyDrain(ctx, p, drains); err != nil {
			return err
		}
	}
	return nil
}

// applyStart applies another daemon's report of a start.
func (ss protocolStacks) applyStart(ctx context.Context, start core.Start) error {
	for _, s := range ss {
		if err := s.loop.ApplyStart(ctx, start); err != nil {
			return err
		}
	}
	return nil
}

// applyOverride applies an operator's override in all protocols. An ID is known if one of them knows it; the others
// keep a drain in case the endpoint is listed for them later.
func (ss protocolStacks) applyOverride(ctx context.Context, o maintenance.Override, force bool) error {
	unknown := 0
	for _, s := range ss {
		err := s.loop.ApplyOverride(ctx, o, force)
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
	if unknown == 0 || !o.Drained {
		return nil
	}
	for _, s := range ss { // without effect where it is applied already
		if err := s.loop.ApplyOverride(ctx, o, true); err != nil {
			return err
		}
	}
	return nil
}

// reload applies a new configuration in all protocols. It changes nothing if one of them cannot derive its own.
func (ss protocolStacks) reload(ctx context.Context, c *config.Config) error {
	derived := make([]*config.Config, len(ss))
	for i, s := range ss {
		own, err := s.deriveConfig(c)
		if err != nil {
			return fmt.Errorf("%s: %w", s.name, err)
		}
		derived[i] = own
	}
	for i, s := range ss {
		if err := s.loop.Reload(ctx, derived[i]); err != nil {
			return err
		}
	}
	return nil
}
