package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"path/filepath"
	"testing"
	"time"

	"birchmoor/internal/store"
	"birchmoor/internal/store/disk"
	"birchmoor/internal/store/engine"
	"birchmoor/internal/store/serverstate"
)

// startReplica is a replica alone with its socket, and where followers reach it.
func startReplica(t *testing.T) (c *Client, e *engine.Engine, outer string) {
	t.Helper()
	cfg := engine.Config{Name: "a", Dir: t.TempDir(), TickInterval: 5 * time.Millisecond, DiskOptions: disk.Options{NoSync: true},
		Limits: store.Limits{KeyBytes: 64, ValueBytes: 256, TotalBytes: 1 << 20, TxnOps: 8, HistoryEvents: 20, HistoryBytes: 1 << 16, Leases: 4, Results: 100, Members: 3}}
	e, err := engine.Open(cfg)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "s.sock")
	s, err := Listen(path, Config{Store: e})
	if err != nil {
		t.Fatal(err)
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	o, err := ServeFollowers(ln, e, FollowerConfig{Allowed: ownKeysAllowed, SnapshotAges: func() map[string]time.Duration { return nil }}, nil)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { o.Close(); s.Close(); e.Kill() })
	return Dial(path), e, "http://" + ln.Addr().String()
}

func put(key, value string) ChangeRequest {
	return ChangeRequest{ID: store.RequestID{Client: 9, Seq: uint64(time.Now().UnixNano())}, Txn: &store.Txn{Then: []store.Op{{Key: key, Value: []byte(value)}}}}
}

// What operators say wrongly is told apart from what the store cannot do, and changes nothing.
func TestRejectedRequestsChangeNothing(t *testing.T) {
	c, e, outer := startReplica(t)
	ctx := t.Context()
	if _, err := c.Change(ctx, put("k", "v")); err != nil {
		t.Fatal(err)
	}
	revision := func() uint64 {
		a, err := e.View(ctx, false, func(*store.State) {})
		if err != nil {
			t.Fatal(err)
		}
		return a.Revision
	}
	before := revision()
	for what, tc := range map[string]struct {
		r    ChangeRequest
		want int
	}{
		"nothing to do":      {ChangeRequest{}, http.StatusBadRequest},
		"two things":         {ChangeRequest{Txn: &store.Txn{}, GrantMillis: 5}, http.StatusBadRequest},
		"a key too long":     {put(string(bytes.Repeat([]byte("k"), 65)), "v"), http.StatusBadRequest},
		"a value too long":   {put("k", string(make([]byte, 257))), http.StatusBadRequest},
		"a name that is no":  {ChangeRequest{AddMember: &store.AddMember{Name: "no name", Address: "127.0.0.1:1"}}, http.StatusBadRequest},
		"an address of none": {ChangeRequest{AddMember: &store.AddMember{Name: "b", Address: "nowhere"}}, http.StatusBadRequest},
		"a lease of nobody":  {ChangeRequest{RenewLease: 77}, http.StatusConflict},
		"the last member":    {ChangeRequest{RemoveMember: 1}, http.StatusConflict},
	} {
		var told *ResponseError
		if _, err := c.Change(ctx, tc.r); !errors.As(err, &told) || told.Status != tc.want || told.OutcomeUnknown != nil {
			t.Errorf("%s: %v", what, err)
		}
	}
	// A follower may change what daemons tell each other of servers, and nothing else.
	for what, tc := range map[string]struct {
		body string
		want int
	}{
		"settings":        {`{"id":{"Client":1,"Seq":1},"txn":{"then":[{"key":"config/current","value":"e30="}]}}`, http.StatusBadRequest},
		"a range":         {`{"id":{"Client":1,"Seq":2},"txn":{"then":[{"key":"out/ban/a","delete":true,"end":"z"}]}}`, http.StatusBadRequest},
		"in the else":     {`{"id":{"Client":1,"Seq":3},"txn":{"if":[{"key":"k","modified":9}],"else":[{"key":"k","delete":true}]}}`, http.StatusBadRequest},
		"a member":        {`{"id":{"Client":1,"Seq":4},"remove":1}`, http.StatusBadRequest},
		"an unknown word": {`{"id":{"Client":1,"Seq":5},"txn":{},"more":1}`, http.StatusBadRequest},
		"no JSON":         {`{`, http.StatusBadRequest},
	} {
		resp, err := http.Post(outer+"/v1/change", "application/json", bytes.NewReader([]byte(tc.body)))
		if err != nil {
			t.Fatal(err)
		}
		text, _ := io.ReadAll(resp.Body)
		resp.Body.Close()
		if resp.StatusCode != tc.want {
			t.Errorf("%s: %s %s", what, resp.Status, text)
		}
	}
	if after := revision(); after != before {
		t.Errorf("the store went from revision %d to %d", before, after)
	}
	for _, q := range []string{"timeout=-1s", "timeout=1h", "timeout=x"} {
		if resp, err := http.Get(outer + "/v1/revision?" + q); err != nil || resp.StatusCode != http.StatusBadRequest {
			t.Errorf("%s: %v %v", q, resp, err)
		} else {
			resp.Body.Close()
		}
	}
}

// A stream of a follower begins with a beat that names the cluster, has each change once and in order, and says so when it
// begins before what the history keeps.
func TestFollowerStreamSendsEachChangeOnce(t *testing.T) {
	c, _, outer := startReplica(t)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	stream := func(after uint64) *json.Decoder {
		r, _ := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/v1/follow?after=%d", outer, after), nil)
		resp, err := http.DefaultClient.Do(r)
		if err != nil || resp.StatusCode != http.StatusOK {
			t.Fatal(resp, err)
		}
		t.Cleanup(func() { resp.Body.Close() })
		return json.NewDecoder(resp.Body)
	}
	key := serverstate.ExclusionKey(serverstate.AdminDrain, "s")
	d := stream(0)
	var l StreamLine
	if err := d.Decode(&l); err != nil || l.Heartbeat == nil || l.Heartbeat.Cluster == 0 {
		t.Fatalf("%+v %v", l, err)
	}
	for range 15 {
		if _, err := c.Change(ctx, put(key, "v")); err != nil {
			t.Fatal(err)
		}
	}
	for last := uint64(0); last < 15; {
		l = StreamLine{}
		if err := d.Decode(&l); err != nil {
			t.Fatal(err)
		}
		if l.Event == nil {
			continue
		}
		if l.Event.Revision != last+1 || l.Event.Item.Key != key {
			t.Fatalf("%+v after %d", l.Event, last)
		}
		last = l.Event.Revision
	}
	for range 15 {
		if _, err := c.Change(ctx, put(key, "w")); err != nil {
			t.Fatal(err)
		}
	}
	for d := stream(1); ; {
		l = StreamLine{}
		if err := d.Decode(&l); err != nil {
			t.Fatal(err)
		}
		if l.Error != nil && l.Error.OldestRevision > 1 {
			break
		}
		if l.Event != nil {
			t.Fatalf("%+v, and changes before it are gone", l.Event)
		}
	}
	if i, err := c.Range(ctx, url.Values{"key": {key}}); err != nil || len(i.Items) != 1 || i.Items[0].Version != 30 {
		t.Error(i, err)
	}
}
