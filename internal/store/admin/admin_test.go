package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/serverstate"
)

// startReplica starts a cluster of one replica and returns a client of its socket, the replica and the URL of its
// server for followers.
func startReplica(t *testing.T) (client *Client, replica *engine.Engine, followersURL string) {
	t.Helper()
	cfg := engine.Config{
		Name: "a", Dir: t.TempDir(), TickInterval: 5 * time.Millisecond, DiskOptions: disk.Options{NoSync: true},
	}
	cfg.Limits = store.Limits{
		KeyBytes: 64, ValueBytes: 256, TotalBytes: 1 << 20, TxnOps: 8, HistoryEvents: 20, HistoryBytes: 1 << 16,
		Leases: 4, Results: 100, Members: 3,
	}
	replica, err := engine.Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "s.sock")
	server, err := Listen(path, Config{Store: replica})
	if err != nil {
		t.Fatal(err)
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	followerCfg := FollowerConfig{
		Allowed:      allowOwnKey,
		SnapshotAges: func() map[string]time.Duration { return nil },
	}
	followers, err := ServeFollowers(listener, replica, followerCfg, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = followers.Close()
		_ = server.Close()
		_ = replica.Kill()
	})
	return Dial(path), replica, "http://" + listener.Addr().String()
}

func putRequest(key, value string) ChangeRequest {
	id := store.RequestID{Client: 9, Seq: uint64(time.Now().UnixNano())}
	return ChangeRequest{ID: id, Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(value)}}}}
}

// An invalid request and a request that the store cannot execute are rejected with different statuses. Neither changes
// the store.
func TestRejectedRequestsChangeNothing(t *testing.T) {
	client, replica, followersURL := startReplica(t)
	ctx := t.Context()
	if _, err := client.Change(ctx, putRequest("k", "v")); err != nil {
		t.Fatal(err)
	}
	revision := func() uint64 {
		age, err := replica.View(ctx, false, func(*store.State) {})
		if err != nil {
			t.Fatal(err)
		}
		return age.Revision
	}
	before := revision()
	badName := &store.AddMember{Name: "no name", Address: "127.0.0.1:1"}
	badAddress := &store.AddMember{Name: "b", Address: "nowhere"}
	for name, test := range map[string]struct {
		request ChangeRequest
		status  int
	}{
		"no change":          {ChangeRequest{}, http.StatusBadRequest},
		"two changes":        {ChangeRequest{Txn: &store.Txn{}, GrantMillis: 5}, http.StatusBadRequest},
		"a key too long":     {putRequest(string(bytes.Repeat([]byte("k"), 65)), "v"), http.StatusBadRequest},
		"a value too long":   {putRequest("k", string(make([]byte, 257))), http.StatusBadRequest},
		"an invalid name":    {ChangeRequest{AddMember: badName}, http.StatusBadRequest},
		"an invalid address": {ChangeRequest{AddMember: badAddress}, http.StatusBadRequest},
		"an unknown lease":   {ChangeRequest{RenewLease: 77}, http.StatusConflict},
		"the last member":    {ChangeRequest{RemoveMember: 1}, http.StatusConflict},
	} {
		var rejected *ResponseError
		_, err := client.Change(ctx, test.request)
		if !errors.As(err, &rejected) || rejected.Status != test.status || rejected.OutcomeUnknown != nil {
			t.Errorf("change with %s: error %v, want a rejection with a known outcome", name, err)
		}
	}
	// A follower may change only server state and what FollowerConfig allows.
	for name, body := range map[string]string{
		"settings": `{"id":{"Client":1,"Seq":1},"txn":{"then":[{"key":"config/current","value":"e30="}]}}`,
		"a range":  `{"id":{"Client":1,"Seq":2},"txn":{"then":[{"key":"out/ban/a","delete":true,"end":"z"}]}}`,
		"in the else": `{"id":{"Client":1,"Seq":3},"txn":{"if":[{"key":"k","modified":9}],` +
			`"else":[{"key":"k","delete":true}]}}`,
		"a member":         `{"id":{"Client":1,"Seq":4},"remove":1}`,
		"an unknown field": `{"id":{"Client":1,"Seq":5},"txn":{},"more":1}`,
		"no JSON":          `{`,
	} {
		response, err := http.Post(followersURL+ChangePath, "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("follower's change of %s: got %s %s, want a bad request", name, response.Status, text)
		}
	}
	if after := revision(); after != before {
		t.Errorf("rejected requests changed the store's revision from %d to %d", before, after)
	}
	for _, query := range []string{"timeout=-1s", "timeout=1h", "timeout=x"} {
		response, err := http.Get(followersURL + RevisionPath + "?" + query)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest {
			t.Errorf("query %s: got %s, want a bad request", query, response.Status)
		}
	}
}

// A follower's stream begins with a heartbeat that names the cluster, and has each change once and in order. A stream
// that would begin before the retained history reports an error instead.
func TestFollowerStreamSendsEachChangeOnce(t *testing.T) {
	client, _, followersURL := startReplica(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	openStream := func(after uint64) *json.Decoder {
		t.Helper()
		url := followersURL + StreamPath + "?" + StreamQuery(nil, after, nil).Encode()
		request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil || response.StatusCode != http.StatusOK {
			t.Fatal(response, err)
		}
		t.Cleanup(func() { _ = response.Body.Close() })
		return json.NewDecoder(response.Body)
	}
	nextLine := func(decoder *json.Decoder) (line StreamLine) {
		t.Helper()
		if err := decoder.Decode(&line); err != nil {
			t.Fatal(err)
		}
		return line
	}
	const changes = 15
	key := serverstate.ExclusionKey(serverstate.AdminDrain, "s")
	makeChanges := func(value string) {
		t.Helper()
		for range changes {
			if _, err := client.Change(ctx, putRequest(key, value)); err != nil {
				t.Fatal(err)
			}
		}
	}
	decoder := openStream(0)
	if line := nextLine(decoder); line.Heartbeat == nil || line.Heartbeat.Cluster == 0 {
		t.Fatalf("the first line %+v is not a heartbeat that names the cluster", line)
	}
	makeChanges("v")
	for lastRevision := uint64(0); lastRevision < changes; {
		line := nextLine(decoder)
		if line.Event == nil {
			continue
		}
		if line.Event.Revision != lastRevision+1 || line.Event.Item.Key != key {
			t.Fatalf("got event %+v after revision %d", line.Event, lastRevision)
		}
		lastRevision = line.Event.Revision
	}
	makeChanges("w")
	for decoder := openStream(1); ; {
		line := nextLine(decoder)
		if line.Error != nil && line.Error.OldestRevision > 1 {
			break
		}
		if line.Event != nil {
			t.Fatalf("got event %+v although changes before it are compacted", line.Event)
		}
	}
	response, err := client.Range(ctx, url.Values{"key": {key}})
	if err != nil || len(response.Items) != 1 || response.Items[0].Version != 2*changes {
		t.Error(response, err)
	}
}
