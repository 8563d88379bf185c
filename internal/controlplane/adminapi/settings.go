package adminapi

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"time"

	"birchmoor/internal/controlplane/daemon"
	"birchmoor/internal/controlplane/rollout"
	"birchmoor/internal/store/admin"
)

// SettingsRequest asks for new settings, for those of an earlier version, or for the end of a rollout.
type SettingsRequest struct {
	Settings json.RawMessage `json:"settings,omitempty"`
	Rollback uint64          `json:"rollback,omitempty"` // the version to put in force again
	Note     string          `json:"note,omitempty"`
	Steps    []rollout.Step  `json:"steps,omitempty"`     // of a rollout; none: in force everywhere at once
	SettleMs int64           `json:"settle_ms,omitempty"` // of each step
	AbortBy  string          `json:"call_off,omitempty"`  // who aborts the rollout that is running
}

func (s *server) settingsHistory(ctx context.Context, _ http.ResponseWriter, _ *http.Request) (any, error) {
	return s.Settings.History(ctx)
}

func (s *server) changeSettings(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var request SettingsRequest
	if err := admin.DecodeJSON(w, r, &request); err != nil {
		return nil, err
	}
	if request.AbortBy != "" {
		return daemon.Version{}, notFound(s.Settings.CancelRollout(ctx, request.AbortBy))
	}
	if len(request.Steps) > 0 {
		settle := time.Duration(request.SettleMs) * time.Millisecond
		_, err := s.Settings.StartRollout(ctx, request.Settings, request.Steps, settle, request.Note)
		return daemon.Version{}, err
	}
	version, err := s.putSettings(ctx, &request)
	version.Settings = nil
	return version, err
}

func (s *server) putSettings(ctx context.Context, request *SettingsRequest) (daemon.Version, error) {
	if request.Rollback != 0 {
		return s.Settings.Rollback(ctx, request.Rollback)
	}
	return s.Settings.Put(ctx, request.Settings, request.Note)
}

func (s *server) rollout(ctx context.Context, _ http.ResponseWriter, _ *http.Request) (any, error) {
	plan, _, err := s.Settings.Plan(ctx)
	return plan, notFound(err)
}

// notFound marks errors that say that something does not exist.
func notFound(err error) error {
	if errors.Is(err, daemon.ErrNoRollout) {
		return admin.NotFound(err)
	}
	return err
}
