package sidecar

import (
	"context"
	"errors"
	"io"
)

// Reasons why a sidecar does not serve, as reported to operators.
var (
	errStopping         = errors.New("stopping")
	errNoEndpoint       = errors.New("no endpoint is known to serve")
	errOldProcessServes = errors.New("the old process still serves")
)

// Status returns nil if this process serves, otherwise the reason why it does not.
func (n *instance) Status() error {
	switch {
	case n.closing.Load():
		return errStopping
	case !n.stacks.http().loop.Ready():
		return errNoEndpoint
	case !n.serving.Load():
		return errOldProcessServes
	}
	return nil
}

// Stats writes the metrics of all protocols as text.
func (n *instance) Stats(w io.Writer) error {
	for _, stack := range n.stacks {
		if err := stack.metrics.WriteText(w); err != nil {
			return err
		}
	}
	return nil
}

// Maintain begins or ends the administrative drain of an endpoint.
func (n *instance) Maintain(ctx context.Context, id string, drained bool) error {
	return n.overrides.Set(ctx, id, drained)
}
