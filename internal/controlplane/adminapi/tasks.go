package adminapi

import (
	"context"
	"fmt"
	"net/http"

	"birchmoor/internal/controlplane/lease"
	"birchmoor/internal/controlplane/leasetask"
	"birchmoor/internal/store/admin"
)

// OverrideRequest requests an operator's override of a task.
type OverrideRequest struct {
	Task string `json:"task"`
	lease.TaskOverride
}

func (s *server) listTasks(ctx context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	name := r.URL.Query().Get("task")
	tasks, err := s.Tasks.List(ctx, name)
	if err == nil && name != "" && len(tasks) == 0 {
		err = admin.NotFound(fmt.Errorf("%s: %w", name, leasetask.ErrTaskNotFound))
	}
	return tasks, err
}

func (s *server) overrideTask(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var request OverrideRequest
	if err := admin.DecodeJSON(w, r, &request); err != nil {
		return nil, err
	}
	if err := s.Tasks.SetOverride(ctx, request.Task, request.TaskOverride); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}
