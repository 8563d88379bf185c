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

// lane is a protocol as this process runs it.
type lane struct {
	name    string // "" is HTTP
	config  *config.Config
	derive  func(*config.Config) (*config.Config, error)
	figures *metrics.Registry
	loop    *core.EventLoop
	up      core.Upstream
	front   core.Frontend
	kept    snapshot.File
}

// httpLane is the lane that every sidecar has.
func httpLane(c *config.Config, h *Host, clk core.Clock, watch func(bool)) (*lane, error) {
	n := &lane{derive: func(c *config.Config) (*config.Config, error) {
		d := *c
		d.Known = c.Known.ForProtocol("")
		return &d, nil
	}, figures: metrics.New(c.Classes...), kept: h.Kept}
	n.config, _ = n.derive(c)
	up := httpfront.NewUpstream(n.config, clk, &n.figures.AttemptsSent, h.Log)
	n.up = up
	var err error
	if n.loop, err = core.New(n.config, clk, up, watch, n.figures, h.Tap, h.Log); err != nil {
		return nil, err
	}
	front := httpfront.NewServer(n.config, n.loop, h.Socket, n.figures, h.Log)
	if h.Limits != nil {
		front.Limit(h.Limits)
	}
	n.front = front
	return n, nil
}

// laneOf is the lane of a protocol beside HTTP.
func laneOf(p core.Protocol, c *config.Config, h *Host, clk core.Clock) (*lane, error) {
	log := h.Log.With("protocol", p.Name())
	n := &lane{name: p.Name(), derive: p.Config, kept: h.Kept}
	var err error
	if n.config, err = n.derive(c); err != nil {
		return nil, err
	}
	if n.kept.Path != "" {
		n.kept.Path += "." + n.name
	}
	n.figures = metrics.NewForProtocol(n.name, n.config.Classes...)
	n.up = p.NewUpstream(n.config, clk, n.figures, log)
	if n.loop, err = core.New(n.config, clk, n.up, func(bool) {}, n.figures, nil, log); err != nil {
		return nil, err
	}
	n.front = p.NewFrontend(n.loop, n.figures, log)
	return n, nil
}

// share sets this process's part of the limits.
func (n *lane) share(part float64) {
	n.front.SetCapacityShare(n.config, part)
	n.up.SetCapacityShare(n.config, part)
	n.loop.SetCapacityShare(part)
}

// lanes are all protocols of a process, HTTP first.
type lanes []*lane

// told passes on a list.
func (ls lanes) told(watch context.Context, list discovery.List) {
	for _, n := range ls {
		n.loop.WatchEvent(watch, list.ForProtocol(n.name))
	}
}

// cached passes on a list of an old process.
func (ls lanes) cached(ctx context.Context, list discovery.List) {
	for _, n := range ls {
		n.loop.ApplyCachedList(ctx, list.ForProtocol(n.name)) // fails only where the loop has ended
	}
}

// list is what all hold.
func (ls lanes) list(ctx context.Context) (discovery.List, error) {
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

// drain makes another daemon's word on a process bind.
func (ls lanes) drain(ctx context.Context, p discovery.Process, drains bool) error {
	for _, n := range ls {
		if err := n.loop.ApplyDrain(ctx, p, drains); err != nil {
			return err
		}
	}
	return nil
}

// begun has another daemon's word that a process began count.
func (ls lanes) begun(ctx context.Context, s core.Start) error {
	for _, n := range ls {
		if err := n.loop.ApplyStart(ctx, s); err != nil {
			return err
		}
	}
	return nil
}

// mark makes an operator's call bind in all. An ID that one of them knows is known; the others keep a ban for the case
// that it comes to them.
func (ls lanes) mark(ctx context.Context, m maintenance.Override, force bool) error {
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
func (ls lanes) reload(ctx context.Context, c *config.Config) error {
	next := make([]*config.Config, len(ls))
	for i, n := range ls {
		var err error
		if next[i], err = n.derive(c); err != nil {
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
