package admin

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"birchmoor/internal/platform/keys"
	"birchmoor/internal/store"
	"birchmoor/internal/store/replica"
)

const (
	maxRangeItems       = 10000 // in one answer
	maxWatchBatchEvents = 256
)

func (s *Server) getStatus(ctx context.Context, _ http.ResponseWriter, _ *http.Request) (any, error) {
	status, err := s.cfg.Store.Status(ctx)
	if err != nil {
		return nil, err
	}
	return s.cfg.Status(status), nil
}

func (s *Server) readRange(ctx context.Context, _ http.ResponseWriter, r *http.Request) (any, error) {
	query := r.URL.Query()
	limit, err := ParseNumber(query, "limit")
	if err != nil {
		return nil, err
	}
	if limit == 0 || limit > maxRangeItems {
		limit = maxRangeItems
	}
	from, end := rangeBounds(query)
	response := RangeResponse{Items: []store.Item{}, Stale: query.Get("stale") == "true"}
	response.CopyAge, err = s.cfg.Store.View(ctx, response.Stale, func(state *store.State) {
		response.Items, response.More = []store.Item{}, false // View may call this function several times
		state.Range(from, end, func(item store.Item) bool {
			if uint64(len(response.Items)) == limit {
				response.More = true
				return false
			}
			response.Items = append(response.Items, item)
			return true
		})
	})
	if err != nil {
		return nil, err
	}
	return response, nil
}

// rangeBounds returns the range of keys that a query selects: a single key, all keys with a prefix, or the keys from
// one up to, but not including, another.
func rangeBounds(query url.Values) (from, end string) {
	key, prefix := query.Get("key"), query.Get("prefix")
	switch {
	case query.Has("key"):
		return key, key + "\x00"
	case query.Has("prefix"):
		return prefix, store.PrefixEnd(prefix)
	}
	return query.Get("from"), query.Get("end")
}

func (s *Server) change(ctx context.Context, w http.ResponseWriter, r *http.Request) (any, error) {
	var request ChangeRequest
	if err := DecodeJSON(w, r, &request); err != nil {
		return nil, err
	}
	command := request.command()
	if countChanges(&command) != 1 {
		return nil, fmt.Errorf("%w: exactly one of txn, add, remove, grant, renew and end is required", ErrBadRequest)
	}
	if command.AddMember != nil {
		if err := checkNewMember(command.AddMember); err != nil {
			return nil, err
		}
	}
	result, err := s.cfg.Store.Do(ctx, command)
	if err != nil {
		return nil, err
	}
	return ChangeResponse{
		Revision:  result.Revision,
		Succeeded: result.Succeeded,
		MemberID:  result.MemberID,
		LeaseID:   result.LeaseID,
	}, nil
}

func countChanges(command *store.Command) int {
	count := 0
	for _, isSet := range []bool{
		command.Txn != nil, command.AddMember != nil, command.RemoveMember != nil,
		command.GrantLease != nil, command.RenewLease != nil, command.RevokeLease != nil,
	} {
		if isSet {
			count++
		}
	}
	return count
}

func checkNewMember(member *store.AddMember) error {
	if err := keys.CheckName(member.Name); err != nil {
		return fmt.Errorf("%w: %w", ErrBadRequest, err)
	}
	if _, _, err := net.SplitHostPort(member.Address); err != nil {
		return fmt.Errorf("%w: address: %w", ErrBadRequest, err)
	}
	return nil
}

func (s *Server) getLeases(ctx context.Context, _ http.ResponseWriter, _ *http.Request) (any, error) {
	leases := []LeaseInfo{}
	_, err := s.cfg.Store.View(ctx, false, func(state *store.State) { leases = listLeases(state) })
	if err != nil {
		return nil, err
	}
	return leases, nil
}

// listLeases returns all leases with their keys. The result is not nil.
func listLeases(state *store.State) []LeaseInfo {
	leases := []LeaseInfo{}
	index := map[uint64]int{}
	for _, lease := range state.Leases() {
		index[lease.ID] = len(leases)
		leases = append(leases, LeaseInfo{
			ID: lease.ID, TTLMillis: lease.TTLMillis, Owner: lease.Owner, Keys: []string{},
		})
	}
	state.Range("", "", func(item store.Item) bool {
		if i, ok := index[item.LeaseID]; ok && item.LeaseID != 0 {
			leases[i].Keys = append(leases[i].Keys, item.Key)
		}
		return true
	})
	return leases
}

func (s *Server) transferLeadership(ctx context.Context, _ http.ResponseWriter, _ *http.Request) (any, error) {
	if err := s.cfg.Store.TransferLeadership(ctx); err != nil {
		return nil, err
	}
	return struct{}{}, nil
}

func (s *Server) sendSnapshot(w http.ResponseWriter, r *http.Request) {
	state, err := s.cfg.Store.CloneState(r.Context())
	if err != nil {
		WriteError(w, err)
		return
	}
	w.Header().Set(revisionHeader, strconv.FormatUint(state.Revision(), 10))
	writeState(w, state)
}

// writeState sends a state. If writing fails, the reader detects the incomplete state by its checksum.
func writeState(w http.ResponseWriter, state *store.State) {
	w.Header().Set("Content-Type", "application/octet-stream")
	_ = state.Save(w)
}

// watch sends events as lines of JSON until the client disconnects.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	select {
	case s.watchSlots <- struct{}{}:
		defer func() { <-s.watchSlots }()
	default:
		WriteError(w, replica.ErrBusy)
		return
	}
	after, err := s.watchStart(r)
	if err != nil {
		WriteError(w, err)
		return
	}
	prefix := r.URL.Query().Get("prefix")
	controller := http.NewResponseController(w)
	encoder := json.NewEncoder(w)
	for started := false; ; started = true {
		events, through, err := s.cfg.Store.NextChanges(r.Context(), prefix, after, maxWatchBatchEvents)
		switch {
		case err != nil && !started:
			WriteError(w, err)
			return
		case err != nil && r.Context().Err() != nil:
			return
		case err != nil:
			_ = encoder.Encode(ErrorBody{Error: err.Error(), OldestRevision: oldestRevision(err)})
			return
		}
		after = through
		for i := range events {
			_ = controller.SetWriteDeadline(time.Now().Add(streamWriteTimeout))
			if err := encoder.Encode(&events[i]); err != nil {
				return
			}
		}
		if err := controller.Flush(); err != nil {
			return
		}
	}
}

// watchStart returns the revision after which a watch begins: the one in the query, or else the current one.
func (s *Server) watchStart(r *http.Request) (uint64, error) {
	query := r.URL.Query()
	if query.Has("after") {
		return ParseNumber(query, "after")
	}
	age, err := s.cfg.Store.View(r.Context(), false, func(*store.State) {})
	if err != nil {
		return 0, err
	}
	return age.Revision, nil
}
