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

// protocolStack is a protocol as this process runs it.
type protocolStack struct {
	name         string // "" is HTTP
	config       *config.Config
	deriveConfig func(*config.Config) (*config.Config, error)
	metrics      *metrics.Registry
	loop         *core.EventLoop
	upstream     core.Upstream
	frontend     core.Frontend
	snapshotFile snapshot.File
}

// newHTTPStack is the lane that every sidecar has.
func newHTTPStack(c *config.Config, h *Host, clk core.Clock, watch func(bool)) (*protocolStack, error) {
	n := &protocolStack{deriveConfig: func(c *config.Config) (*config.Config, error) {
		d := *c
		d.Known = c.Known.ForProtocol("")
		return &d, nil
	}, metrics: metrics.New(c.Classes...), snapshotFile: h.SnapshotFile}
	n.config, _ = n.deriveConfig(c)
	up := httpfront.NewUpstream(n.config, clk, &n.metrics.AttemptsSent, h.Log)
	n.upstream = up
	var err error
	if n.loop, err = core.New(n.config, clk, up, watch, n.metrics, h.Tap, h.Log); err != nil {
		return nil, err
	}
	front := httpfront.NewServer(n.config, n.loop, h.Socket, n.metrics, h.Log)
	if h.Limiter != nil {
		front.Limit(h.Limiter)
	}
	n.frontend = front
	return n, nil
}

// newStack is the lane of a protocol beside HTTP.
func newStack(p core.Protocol, c *config.Config, h *Host, clk core.Clock) (*protocolStack, error) {
	log := h.Log.With("protocol", p.Name())
	n := &protocolStack{name: p.Name(), deriveConfig: p.Config, snapshotFile: h.SnapshotFile}
	var err error
	if n.config, err = n.deriveConfig(c); err != nil {
		return nil, err
	}
	if n.snapshotFile.Path != "" {
		n.snapshotFile.Path += "." + n.name
	}
	n.metrics = metrics.NewForProtocol(n.name, n.config.Classes...)
	n.upstream = p.NewUpstream(n.config, clk, n.metrics, log)
	if n.loop, err = core.New(n.config, clk, n.upstream, func(bool) {}, n.metrics, nil, log); err != nil {
		return nil, err
	}
	n.frontend = p.NewFrontend(n.loop, n.metrics, log)
	return n, nil
}

// setCapacityShare sets this process's part of the limits.
func (n *protocolStack) setCapacityShare(part float64) {
	n.frontend.SetCapacityShare(n.config, part)
	n.upstream.SetCapacityShare(n.config, part)
	n.loop.SetCapacityShare(part)
}

// protocolStacks are all protocols of a process, HTTP first.
type protocolStacks []*protocolStack

// watchEvent passes on a list.
func (ls protocolStacks) watchEvent(watch context.Context, list discovery.List) {
	for _, n := range ls {
		n.loop.WatchEvent(watch, list.ForProtocol(n.name))
	}
}

// applyCachedList passes on a list of an old process.
func (ls protocolStacks) applyCachedList(ctx context.Context, list discovery.List) {
	for _, n := range ls {
		n.loop.ApplyCachedList(ctx, list.ForProtocol(n.name)) // fails only where the loop has ended
	}
}

// list is what all hold.
func (ls protocolStacks) list(ctx context.Context) (discovery.List, error) {
	whole := discovery.List{Reset: true}
	for _, n := range ls {
		l, err := n.loop.List(ctx)
		if err != nil {
			return discovery.List{}, err
		}
		whole.Instances = append(whole.Instances, l.Instances...)
	}
	return whole, nil
}

// applyDrain makes another daemon's word on a process bind.
func (ls protocolStacks) applyDrain(ctx context.Context, p discovery.Process, drains bool) error {
	for _, n := range ls {
		if err := n.loop.ApplyDrain(ctx, p, drains); err != nil {
			return err
		}
	}
	return nil
}

// applyStart has another daemon's word that a process began count.
func (ls protocolStacks) applyStart(ctx context.Context, s core.Start) error {
	for _, n := range ls {
		if err := n.loop.ApplyStart(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// applyOverride makes an operator's call bind in all. An ID that one of them knows is known; the others keep a ban for the case
// that it comes to them.
func (ls protocolStacks) applyOverride(ctx context.Context, m maintenance.Override, force bool) error {
	unknown := 0
	for _, n := range ls {
		err := n.loop.ApplyOverride(ctx, m, force)
		if errors.Is(err, maintenance.ErrUnknownEndpoint) {
			unknown++
		} else if err != nil {
			return err
		}
	}
	if unknown == len(ls) {
		return maintenance.ErrUnknownEndpoint
	}
	if unknown > 0 && m.Drained {
		for _, n := range ls { // those that have it change nothing
			if err := n.loop.ApplyOverride(ctx, m, true); err != nil {
				return err
			}
		}
	}
	return nil
}

// reload takes a new configuration, in all or in none.
func (ls protocolStacks) reload(ctx context.Context, c *config.Config) error {
	next := make([]*config.Config, len(ls))
	for i, n := range ls {
		var err error
		if next[i], err = n.deriveConfig(c); err != nil {
			return fmt.Errorf("%s: %w", n.name, err)
		}
	}
	for i, n := range ls {
		if err := n.loop.Reload(ctx, next[i]); err != nil {
			return err
		}
	}
	return nil
}
