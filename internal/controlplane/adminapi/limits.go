package adminapi

import (
	"context"
	"errors"
	"net/http"

	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/store/admin"
)

var errNoLimits = errors.New("this daemon does not share limits: its operator file has no [limits] table")

func (s *server) listLimits(ctx context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	if s.Limits == nil {
		return nil, errNoLimits
	}
	status, err := s.Limits.Status(ctx, r.URL.Query().Get("limit"))
	return status, admin.NotFound(err)
}

func (s *server) putLimits(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	if s.Limits == nil {
		return nil, errNoLimits
	}
	config := &quota.Config{}
	if err := admin.DecodeJSON(w, r, config); err != nil {
		return nil, err
	}
	return s.Limits.Put(ctx, config)
}
