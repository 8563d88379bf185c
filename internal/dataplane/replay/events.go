package replay

import (
	"fmt"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/platform/snapshot"
)

// feed gives the module a recorded event.
func (p *player) feed(x *capture.Record) error {
	b := p.balancer
	at := x.At
	switch x.Kind {
	case capture.KindUpdateEndpoints:
		p.nameEndpoints(x)
		b.UpdateEndpoints(at, x.List, x.Entries)
	case capture.KindRequest:
		in, err := p.request(x)
		if err != nil {
			return fmt.Errorf("replay: rules of request %d: %w", x.Request.ID, err)
		}
		b.Request(at, in)
	case capture.KindResponseStarted:
		b.ResponseStarted(at, x.ID, x.Attempt, x.Time)
	case capture.KindUploadComplete:
		b.UploadComplete(at, x.ID, at+x.Time)
	case capture.KindOutcome:
		b.Outcome(at, balancer.Outcome{
			ID:            x.ID,
			Attempt:       x.Attempt,
			Endpoint:      x.Endpoint,
			Status:        x.Status,
			Latency:       x.Time,
			Answered:      x.Flag,
			NotReplayable: x.NotReplayable,
			Load:          x.Load,
		})
	case capture.KindClientDisconnected:
		b.ClientDisconnected(at, x.ID)
	case capture.KindTimer:
		b.Timer(at, x.Token)
	case capture.KindProbeCompleted:
		b.ProbeCompleted(at, x.Endpoint, x.Status, x.Time, x.Load)
	case capture.KindDrainEndpoint:
		b.DrainEndpoint(x.Endpoint, at-x.Time)
	case capture.KindUndrainEndpoint:
		b.UndrainEndpoint(at, x.Endpoint, at-x.Time)
	case capture.KindSetCapacityShare:
		b.SetCapacityShare(x.Part)
	case capture.KindPeerEjected:
		b.PeerEjected(at, x.Endpoint, x.Time)
	case capture.KindReload:
		if p.options.Settings != nil {
			return nil // those of this replay stay in force
		}
		var s balancer.Settings
		if err := snapshot.Unmarshal(x.Blob, &s); err != nil {
			return fmt.Errorf("replay: settings of a reload: %w", err)
		}
		_, _ = b.Reload(s) // settings that it rejected it rejects again
	case capture.KindRestore:
		var s balancer.Snapshot
		if err := snapshot.Unmarshal(x.Blob, &s); err != nil {
			return fmt.Errorf("replay: a recalled snapshot: %w", err)
		}
		_, _ = b.Restore(at, &s, x.Time) // a snapshot that it rejected it rejects again
	}
	return nil
}

// request returns a recorded request, with the rules that it arrived under if they were not the current ones.
func (p *player) request(x *capture.Record) (balancer.Request, error) {
	in := x.Request
	if x.Rules == nil || p.options.Settings != nil {
		return in, nil
	}
	var s balancer.RulesState
	if err := snapshot.Unmarshal(x.Rules, &s); err != nil {
		return in, err
	}
	var err error
	in.Rules, err = p.balancer.RestoreRules(s)
	return in, err
}

func (p *player) nameEndpoints(x *capture.Record) {
	for i, e := range x.Entries {
		if x.Names[i] != "" {
			p.names[e.ID] = x.Names[i]
		}
	}
}
