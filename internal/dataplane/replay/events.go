package replay

import (
	"fmt"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/capture"
	"birchmoor/internal/platform/snapshot"
)

// feed passes a recorded event to the module.
func (p *player) feed(rec *capture.Record) error {
	module := p.balancer
	now := rec.At
	switch rec.Kind {
	case capture.KindUpdateEndpoints:
		p.nameEndpoints(rec)
		module.UpdateEndpoints(now, rec.List, rec.Entries)
	case capture.KindRequest:
		in, err := p.request(rec)
		if err != nil {
			return fmt.Errorf("replay: restoring the rules of request %d: %w", rec.Request.ID, err)
		}
		module.Request(now, in)
	case capture.KindResponseStarted:
		module.ResponseStarted(now, rec.ID, rec.Attempt, rec.Time)
	case capture.KindUploadComplete:
		module.UploadComplete(now, rec.ID, now+rec.Time)
	case capture.KindOutcome:
		module.Outcome(now, balancer.Outcome{
			ID:            rec.ID,
			Attempt:       rec.Attempt,
			Endpoint:      rec.Endpoint,
			Status:        rec.Status,
			Latency:       rec.Time,
			Answered:      rec.Flag,
			NotReplayable: rec.NotReplayable,
			Load:          rec.Load,
		})
	case capture.KindClientDisconnected:
		module.ClientDisconnected(now, rec.ID)
	case capture.KindTimer:
		module.Timer(now, rec.Token)
	case capture.KindProbeCompleted:
		module.ProbeCompleted(now, rec.Endpoint, rec.Status, rec.Time, rec.Load)
	case capture.KindDrainEndpoint:
		module.DrainEndpoint(rec.Endpoint, now-rec.Time)
	case capture.KindUndrainEndpoint:
		module.UndrainEndpoint(now, rec.Endpoint, now-rec.Time)
	case capture.KindSetCapacityShare:
		module.SetCapacityShare(rec.Part)
	case capture.KindPeerEjected:
		module.PeerEjected(now, rec.Endpoint, rec.Time)
	case capture.KindReload:
		if p.options.Settings != nil {
			return nil // the settings of this replay stay in force
		}
		var settings balancer.Settings
		if err := snapshot.Unmarshal(rec.Blob, &settings); err != nil {
			return fmt.Errorf("replay: decoding the settings of a reload: %w", err)
		}
		_, _ = module.Reload(settings) // it rejects the same settings as it did when they were recorded
	case capture.KindRestore:
		var state balancer.Snapshot
		if err := snapshot.Unmarshal(rec.Blob, &state); err != nil {
			return fmt.Errorf("replay: decoding a snapshot that was restored: %w", err)
		}
		_, _ = module.Restore(now, &state, rec.Time) // it rejects the same snapshots as it did when they were recorded
	}
	return nil
}

// request returns a recorded request. If it arrived under earlier rules than the current ones, it has these, unless the
// replay has settings of its own.
func (p *player) request(rec *capture.Record) (balancer.Request, error) {
	req := rec.Request
	if rec.Rules == nil || p.options.Settings != nil {
		return req, nil
	}
	var state balancer.RulesState
	if err := snapshot.Unmarshal(rec.Rules, &state); err != nil {
		return req, err
	}
	var err error
	req.Rules, err = p.balancer.RestoreRules(state)
	return req, err
}

func (p *player) nameEndpoints(rec *capture.Record) {
	for i, e := range rec.Entries {
		if rec.Names[i] != "" {
			p.names[e.ID] = rec.Names[i]
		}
	}
}
