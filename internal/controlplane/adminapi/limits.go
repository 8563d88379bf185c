package adminapi

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"birchmoor/internal/controlplane/quota"
	"birchmoor/internal/controlplane/quotasync"
	"birchmoor/internal/store/admin"
)

var errNoLimits = errors.New("this daemon shares no limits: its operator file has no [limits]")

func (s *server) listLimits(ctx context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	if s.Limits == nil {
		return nil, errNoLimits
	}
	st, err := s.Limits.Status(ctx, r.URL.Query().Get("limit"))
	return st, admin.Missing(err)
}

func (s *server) putLimits(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	if s.Limits == nil {
		return nil, errNoLimits
	}
	c := &quota.Config{}
	if err := admin.Decode(w, r, c); err != nil {
		return nil, err
	}
	return s.Limits.Put(ctx, c)
}

// Limits shows all limits, or the one of a name.
func (c *Client) Limits(ctx context.Context, name string) (s quotasync.Status, err error) {
	return s, c.Call(ctx, "GET", "/v1/limits", url.Values{"limit": {name}}, nil, &s)
}

// PutLimits puts limits in force.
func (c *Client) PutLimits(ctx context.Context, conf *quota.Config) (now quota.Config, err error) {
	return now, c.Call(ctx, "POST", "/v1/limits", nil, conf, &now)
}
