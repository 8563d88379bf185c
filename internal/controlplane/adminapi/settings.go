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

// SettingsRequest requests new settings, with or without a rollout, the settings of an earlier version, or the end of
// the running rollout. AbortBy takes precedence over Steps, and Steps over Rollback.
type SettingsRequest struct {
	Settings json.RawMessage `json:"settings,omitempty"`
	Rollback uint64          `json:"rollback,omitempty"` // earlier version to restore; 0: none
	Note     string          `json:"note,omitempty"`
	Steps    []rollout.Step  `json:"steps,omitempty"`     // of a rollout; empty: no rollout
	SettleMs int64           `json:"settle_ms,omitempty"` // how long a step is in effect before its evaluation
	AbortBy  string          `json:"call_off,omitempty"`  // operator who aborts the running rollout; empty: none
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

// notFound marks daemon.ErrNoRollout as an error of something that does not exist.
func notFound(err error) error {
	if errors.Is(err, daemon.ErrNoRollout) {
		return admin.NotFound(err)
	}
	return err
}
