package sidecar

import (
	"context"
	"errors"
	"io"
)

// Reasons for which a sidecar does not serve, as operators are told.
var (
	errStopping       = errors.New("stopping")
	errNoEndpoint     = errors.New("no endpoint is known to serve")
	errOldStillServes = errors.New("the old process still serves")
)

// Status returns nil if this process serves, or why it does not.
func (n *instance) Status() error {
	switch {
	case n.closing.Load():
		return errStopping
	case !n.stacks.http().loop.Ready():
		return errNoEndpoint
	case !n.serving.Load():
		return errOldStillServes
	}
	return nil
}

// Stats writes the metrics.
func (n *instance) Stats(w io.Writer) error {
	for _, s := range n.stacks {
		if err := s.metrics.WriteText(w); err != nil {
			return err
		}
	}
	return nil
}

// Maintain drains an endpoint or ends that.
func (n *instance) Maintain(ctx context.Context, id string, drained bool) error {
	return n.overrides.Set(ctx, id, drained)
}
