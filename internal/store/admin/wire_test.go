package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"reflect"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/replica"
)

// TestMessagesAreFrozen decodes requests, answers and lines of streams that an earlier build wrote, compares their
// values, and checks that encoding them yields the same bytes.
func TestMessagesAreFrozen(t *testing.T) {
	const age = 1500 * time.Microsecond
	id := store.RequestID{Client: 7, Seq: 8}
	item := store.Item{Key: "k/1", Value: []byte("v"), CreateRevision: 2, ModRevision: 3, Version: 2, LeaseID: 5}
	put := store.Event{Revision: 3, Item: item}
	deletion := store.Event{Revision: 4, Deleted: true, Item: store.Item{Key: "k/1"}}
	txn := &store.Txn{
		If:        []store.Compare{{Key: "k/1", ModRevision: 3}},
		Then:      []store.Op{{Key: "k/1", Value: []byte("v"), LeaseID: 5}},
		Else:      []store.Op{{Key: "k/", Delete: true, RangeEnd: "k0"}},
		KeyLimits: []store.KeyLimit{{Prefix: "k/", MaxKeys: 4}},
		Owner:     "daemon-a",
	}
	messages := map[string]any{
		"fault": &ErrorBody{Error: "what went wrong", OutcomeUnknown: &id, OldestRevision: 12, LeaseNotFound: true},
		"items": &RangeResponse{
			Items: []store.Item{item}, More: true, Stale: true,
			CopyAge: engine.CopyAge{Revision: 9, Confirmed: true, Age: age, Stale: true},
		},
		"change":         &ChangeResponse{Revision: 9, Succeeded: true, MemberID: 2, LeaseID: 5},
		"request txn":    &ChangeRequest{ID: id, Txn: txn},
		"request add":    &ChangeRequest{ID: id, AddMember: &store.AddMember{Name: "b", Address: "127.0.0.1:1"}},
		"request remove": &ChangeRequest{ID: id, RemoveMember: 2},
		"request grant":  &ChangeRequest{ID: id, GrantMillis: 5000, Owner: "daemon-a"},
		"request renew":  &ChangeRequest{ID: id, RenewLease: 5, Owner: "daemon-a"},
		"request end":    &ChangeRequest{ID: id, RevokeLease: 5, Owner: "daemon-a"},
		"lease":          &LeaseInfo{ID: 5, TTLMillis: 5000, Owner: "daemon-a", Keys: []string{"k/1"}},
		"line event":     &StreamLine{Event: &put},
		"line deletion":  &StreamLine{Event: &deletion},
		"line events":    &StreamLine{Events: []store.Event{put, deletion}, Through: 4},
		"line through":   &StreamLine{Through: 6},
		"line fault":     &StreamLine{Error: &ErrorBody{Error: "compacted", OldestRevision: 12}},
		"line beat": &StreamLine{Heartbeat: &Heartbeat{
			Cluster: 11, Revision: 9, Confirmed: true, Age: age,
			Ages:        []KeyAge{{Key: "known/h/", Age: time.Second}},
			PrefixSizes: map[string]store.PrefixSize{"known/": {Keys: 3, Bytes: 40}},
		}},
	}
	golden, err := os.ReadFile("testdata/messages.golden")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(golden)), "\n")
	if len(lines) != len(messages) {
		t.Errorf("there are %d golden messages, but %d test cases", len(lines), len(messages))
	}
	for _, line := range lines {
		name, text, _ := strings.Cut(line, "\t")
		t.Run(name, func(t *testing.T) {
			want := messages[name]
			got := reflect.New(reflect.TypeOf(want).Elem()).Interface()
			decoder := json.NewDecoder(strings.NewReader(text))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(got); err != nil || !reflect.DeepEqual(got, want) {
				t.Errorf("decoded as %+v (error %v), want %+v", got, err, want)
			}
			if encoded, err := json.Marshal(want); err != nil || string(encoded) != text {
				t.Errorf("encoded as %s (error %v), want %s", encoded, err, text)
			}
		})
	}
}

// TestErrorResponsesAreFrozen compares the status, Retry-After header and fields of the answer to each kind of error
// with those of an earlier build. The text of an error is for people and may change.
func TestErrorResponsesAreFrozen(t *testing.T) {
	id := store.RequestID{Client: 7, Seq: 8}
	for _, test := range []struct {
		err    error
		status int
		fields string // other fields than the text
	}{
		{errors.New("any"), http.StatusServiceUnavailable, `{}`},
		{fmt.Errorf("x: %w", replica.ErrNoLeader), http.StatusServiceUnavailable, `{}`},
		{&engine.OutcomeUnknownError{ID: id}, http.StatusGatewayTimeout, `{"unknown":{"Client":7,"Seq":8}}`},
		{&store.CompactedError{Oldest: 12}, http.StatusGone, `{"oldest":12}`},
		{store.ErrTooLarge, http.StatusBadRequest, `{}`},
		{store.ErrBadKey, http.StatusBadRequest, `{}`},
		{ErrBadRequest, http.StatusBadRequest, `{}`},
		{store.ErrUnsupportedLevel, http.StatusPreconditionFailed, `{}`},
		{store.ErrFull, http.StatusInsufficientStorage, `{}`},
		{store.ErrInvalidMember, http.StatusConflict, `{}`},
		{store.ErrLeaseNotFound, http.StatusConflict, `{"no_lease":true}`},
		{store.ErrRequestExpired, http.StatusConflict, `{}`},
		{NotFound(errors.New("no such thing")), http.StatusNotFound, `{}`},
		{&store.NotHeldError{}, http.StatusMisdirectedRequest, `{}`},
	} {
		w := httptest.NewRecorder()
		WriteError(w, test.err)
		wantRetryAfter := ""
		if errors.Is(test.err, replica.ErrNoLeader) {
			wantRetryAfter = "1"
		}
		if retryAfter := w.Header().Get("Retry-After"); w.Code != test.status || retryAfter != wantRetryAfter {
			t.Errorf("%v: status %d, Retry-After %q; want %d, %q", test.err, w.Code, retryAfter, test.status,
				wantRetryAfter)
		}
		var fields map[string]json.RawMessage
		if err := json.Unmarshal(w.Body.Bytes(), &fields); err != nil {
			t.Fatal(err)
		}
		text, err := json.Marshal(test.err.Error())
		if err != nil {
			t.Fatal(err)
		}
		if !bytes.Equal(fields["error"], text) {
			t.Errorf("%v: the answer has the text %s", test.err, fields["error"])
		}
		delete(fields, "error")
		if got, err := json.Marshal(fields); err != nil || string(got) != test.fields {
			t.Errorf("%v: got fields %s (error %v), want %s", test.err, got, err, test.fields)
		}
	}
}

// TestPathsAreFrozen checks that each call is served at the method and path that earlier builds use, and that the
// queries of followers are the same.
func TestPathsAreFrozen(t *testing.T) {
	client, _, followersURL := startReplica(t)
	checkExists := func(client *http.Client, base, call string) {
		method, path, _ := strings.Cut(call, " ")
		request, err := http.NewRequestWithContext(t.Context(), method, base+path, strings.NewReader("{"))
		if err != nil {
			t.Fatal(err)
		}
		response, err := client.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		defer response.Body.Close()
		if response.StatusCode == http.StatusNotFound || response.StatusCode == http.StatusMethodNotAllowed {
			t.Errorf("%s is not served: %s", call, response.Status)
		}
	}
	for _, call := range []string{
		"GET /v1/status", "GET /v1/range", "GET /v1/watch?after=x", "GET /v1/snapshot", "POST /v1/change",
		"POST /v1/handover", "GET /v1/leases",
	} {
		checkExists(client.http, "http://store", call)
	}
	for _, call := range []string{"GET /v1/copy", "GET /v1/follow?after=x", "GET /v1/revision", "POST /v1/change"} {
		checkExists(http.DefaultClient, followersURL, call)
	}
	if ScopedHeader != "Store-Scoped" {
		t.Error(ScopedHeader)
	}
	interest := &store.Interest{Prefixes: []string{"a/", "b/"}, Keys: []string{"k"}}
	for want, got := range map[string]string{
		"key=k&prefix=a%2F&prefix=b%2F": CopyQuery(interest).Encode(),
		"key=%00":                       CopyQuery(&store.Interest{}).Encode(),
		"after=7":                       StreamQuery(nil, 7, []string{"s/"}).Encode(),
		"after=7&key=k&prefix=a%2F&prefix=b%2F&sum=s%2F": StreamQuery(interest, 7, []string{"s/"}).Encode(),
	} {
		if got != want {
			t.Errorf("got query %s, want %s", got, want)
		}
	}
}
