package follower

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/admin"
	"birchmoor/internal/store/changefeed"
)

// A follower with a partial copy reads other keys from a replica and never reports them as absent. Its copy follows
// changes of the subscription. After a restart without a replica, it serves the retained keys and does not treat the
// file as a complete copy.
func TestPartialFollowerReadsTheRestFromReplica(t *testing.T) {
	replica, addr := startReplica(t, nil)
	for i := range 5 {
		put(t, replica, fmt.Sprint("a/", i), "v")
		put(t, replica, fmt.Sprint("b/", i), "w")
	}
	dir := t.TempDir()
	narrow := changefeed.Subscription{
		Interest:     prefixInterest("a/"),
		Retained:     store.Interest{Keys: []string{"a/1"}},
		SizePrefixes: []string{"b/"},
	}
	f := openFollower(t, dir, narrow, addr)
	eventually(t, "the size of b/ is known", func() bool { return f.prefixKeyCount.Load() == 5 })
	put(t, replica, "b/new", "n")
	put(t, replica, "a/1", "changed")
	for key, want := range map[string]string{
		"a/1": "changed", "a/9": absentValue, "b/1": "w", "b/new": "n", "b/9": absentValue,
	} {
		if got, err := f.read(t, key, false); err != nil || got != want {
			t.Errorf("up-to-date read of %s: got %q, error %v", key, got, err)
		}
		got, err := f.read(t, key, true)
		if isHeld := strings.HasPrefix(key, "a/"); isHeld && (err != nil || got != want) || !isHeld && !isNotHeld(err) {
			t.Errorf("stale read of %s from the follower's copy: got %q, error %v", key, got, err)
		}
	}
	eventually(t, "the size of b/ has changed", func() bool { return f.prefixKeyCount.Load() == 6 })
	checkFullReads(t, f)

	wide := narrow
	wide.Interest = prefixInterest("a/", "b/")
	f.subscribe(wide)
	f.eventuallyReads(t, "b/1", "w")
	put(t, replica, "b/1", "again")
	f.eventuallyReads(t, "b/1", "again")
	f.subscribe(narrow)
	f.eventuallyNotHeld(t, "b/1")
	put(t, replica, "a/1", "last")
	f.eventuallyReads(t, "a/1", "last")
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}

	file, err := os.ReadFile(filepath.Join(dir, "copy"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.Load(bytes.NewReader(file)); err == nil {
		t.Error("store.Load accepted the file of a partial copy")
	}
	f = openFollower(t, dir, narrow, refusedAddress(t))
	if got, err := f.read(t, "a/1", true); err != nil || got != "last" {
		t.Errorf("read of a retained key after a restart: %q, error %v, want \"last\"", got, err)
	}
	if got, err := f.read(t, "a/2", true); !isNotHeld(err) {
		t.Errorf("read of a key that is not retained: %q, error %v, want a NotHeldError", got, err)
	}
	if err := f.Close(); err != nil {
		t.Fatal(err)
	}
	f = openFollower(t, dir, narrow, addr)
	f.eventuallyReads(t, "a/2", "v")
	if err := f.Close(); err != nil {
		t.Error(err)
	}
}

// checkFullReads checks that a follower that holds 5 of 11 keys reads all of them, and rejects a watch of keys that it
// does not hold.
func checkFullReads(t *testing.T, f *testFollower) {
	t.Helper()
	if _, _, err := f.NextChanges(t.Context(), "b/", 0, 1); !isNotHeld(err) {
		t.Errorf("watch of keys that are not held: error %v, want a NotHeldError", err)
	}
	if state, err := f.CloneState(t.Context()); err != nil || state.Len() != 11 || state.Interest() != nil {
		t.Errorf("CloneState did not return a complete state with 11 keys: error %v", err)
	}
	if status, err := f.Status(t.Context()); err != nil || status.Interest == nil || status.Keys != 5 {
		t.Errorf("status %+v, error %v; want an interest and 5 keys", status, err)
	}
	count := 0
	_, err := f.View(t.Context(), false, func(state *store.State) {
		count = 0
		state.Range("a/", "c", func(store.Item) bool { count++; return true })
	})
	if err != nil || count != 11 {
		t.Errorf("read of a range beyond the copy: %d keys, error %v, want 11 keys", count, err)
	}
}

// Replicas of an older version ignore interests. A follower of such a replica holds all keys; a follower of a newer one
// holds a partial copy, and each can start with the file of the other. A follower of the older version still receives
// the stream that it expects.
func TestFollowerOfReplicasOfTwoVersions(t *testing.T) {
	replica, addr := startReplica(t, nil)
	put(t, replica, "a/1", "v")
	put(t, replica, "b/1", "w")
	subscription := changefeed.Subscription{Interest: prefixInterest("a/"), Retained: *prefixInterest("a/")}
	dir := t.TempDir()
	oldVersionAddr := startOldVersionProxy(t, addr)
	for i, start := range []struct {
		addr     string
		holdsAll bool
	}{
		{oldVersionAddr, true}, {addr, false}, {oldVersionAddr, true}, {oldVersionAddr, true}, {addr, false}, {addr, false},
	} {
		f := openFollower(t, dir, subscription, start.addr)
		eventually(t, fmt.Sprintf("start %d holds all: %v", i, start.holdsAll), func() bool {
			status, err := f.Status(t.Context())
			return err == nil && status.Following != "" && (status.Interest == nil) == start.holdsAll
		})
		value := fmt.Sprint("v", i)
		put(t, replica, "a/1", value)
		put(t, replica, "b/1", value)
		f.eventuallyReads(t, "a/1", value)
		if start.holdsAll {
			f.eventuallyReads(t, "b/1", value)
		} else {
			f.eventuallyNotHeld(t, "b/1")
		}
		put(t, f, "a/2", value)
		if got, err := f.read(t, "a/2", true); err != nil || got != value {
			t.Errorf("the follower does not read its own write: got %q, error %v", got, err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	checkOldVersionStream(t, addr)
}

// checkOldVersionStream requests a stream as a follower of the older version does, and checks its lines.
func checkOldVersionStream(t *testing.T, addr string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/follow?after=1", nil)
	if err != nil {
		t.Fatal(err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	events, heartbeats := 0, 0
	for lines := bufio.NewScanner(response.Body); events < 3 || heartbeats < 2; {
		if !lines.Scan() {
			t.Fatal(lines.Err())
		}
		var line admin.StreamLine
		err := json.Unmarshal(lines.Bytes(), &line)
		if err != nil || len(line.Events) > 0 || line.Through > 0 {
			t.Fatalf("line %s is not one of the older version, error %v", lines.Text(), err)
		}
		if line.Event != nil {
			events++
		}
		if line.Heartbeat != nil {
			heartbeats++
		}
	}
	if response.Header.Get(admin.ScopedHeader) != "" {
		t.Error("the replica marked a stream of all keys as one of an interest")
	}
}

// A replica rejects an interest that exceeds a limit, and names the limit.
func TestInterestOutOfBoundsIsRejected(t *testing.T) {
	_, addr := startReplica(t, nil)
	tooManyPrefixes := url.Values{}
	for i := range store.MaxInterestEntries + 1 {
		tooManyPrefixes.Add("prefix", fmt.Sprint(i, "/"))
	}
	tooManyBytes := url.Values{}
	for range 20 {
		tooManyBytes.Add("key", strings.Repeat("k", store.DefaultLimits.KeyBytes))
	}
	for want, query := range map[string]url.Values{
		"129 prefixes and keys are more than 128": tooManyPrefixes,
		"10240 bytes are more than 8192":          tooManyBytes,
		"is not of 1 to 512 bytes":                {"prefix": {""}},
		"5 prefixes are more than 4":              {"sum": {"a", "b", "c", "d", "e"}},
	} {
		response, err := http.Get("http://" + addr + "/v1/follow?" + query.Encode())
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusBadRequest || !strings.Contains(string(body), want) {
			t.Errorf("want a bad request with the text %q, got %s %s", want, response.Status, body)
		}
	}
}

// The first copy is saved for the next start even if the interest is narrowed immediately afterwards. A later change of
// a retained key replaces it by the narrower copy.
func TestFirstCopyIsSavedBeforeItIsNarrowed(t *testing.T) {
	replica, addr := startReplica(t, nil)
	put(t, replica, "a/1", "v")
	put(t, replica, "b/1", "w")
	dir := t.TempDir()
	wide := changefeed.Subscription{Interest: prefixInterest("a/", "b/"), Retained: *prefixInterest("a/", "b/")}
	narrow := changefeed.Subscription{Interest: prefixInterest("a/"), Retained: *prefixInterest("a/")}
	startAndNarrow := func(newValue string) {
		t.Helper()
		f := openFollower(t, dir, wide, addr)
		f.subscribe(narrow)
		f.eventuallyNotHeld(t, "b/1")
		if newValue != "" {
			put(t, f, "a/1", newValue)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	readSaved := func() (string, error) {
		t.Helper()
		f := openFollower(t, dir, narrow, refusedAddress(t))
		defer func() { _ = f.Close() }()
		return f.read(t, "b/1", true)
	}
	startAndNarrow("")
	if got, err := readSaved(); err != nil || got != "w" {
		t.Errorf("the next start read %q, error %v, want \"w\"", got, err)
	}
	startAndNarrow("changed")
	if got, err := readSaved(); !isNotHeld(err) {
		t.Errorf("after a change the next start read %q, error %v, want a NotHeldError", got, err)
	}
}

// Guards against a restart without a change that the previous process had acted on: a limit took effect up to two
// seconds before it was saved to the copy's file, so a process that was killed in between restarted without it.
func TestDurableKeysAreSavedBeforeTheyTakeEffect(t *testing.T) {
	replica, addr := startReplica(t, nil)
	put(t, replica, "limit", "first")
	dir := t.TempDir()
	subscription := changefeed.Subscription{
		Interest: prefixInterest("l"),
		Retained: store.Interest{Prefixes: []string{"l"}},
		Durable:  store.Interest{Keys: []string{"limit"}},
	}
	savedLimit := func() string {
		file, err := os.ReadFile(filepath.Join(dir, copyFileName))
		if err != nil {
			return err.Error()
		}
		saved, err := store.LoadSubset(bytes.NewReader(file))
		if err != nil {
			return err.Error()
		}
		item, _ := saved.Get("limit")
		return string(item.Value)
	}
	inEffect := make(chan string, 10) // each value that takes effect, followed by the value saved at that moment
	recordEffect := func(value string) {
		inEffect <- value
		inEffect <- savedLimit()
	}
	f, err := Open(Config{
		Name: "h", Dir: dir, FirstCopyTimeout: testTimeout, Log: slog.New(slog.DiscardHandler),
		Replicas:     []Replica{{Name: "a", Addr: addr}},
		Subscription: func() changefeed.Subscription { return subscription },
		OnReset: func(state *store.State) {
			item, _ := state.Get("limit")
			recordEffect(string(item.Value))
		},
		OnEvent: func(event store.Event) { recordEffect(string(event.Item.Value)) },
	})
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	for _, value := range []string{"first", "second", "third"} {
		if value != "first" {
			put(t, replica, "limit", value)
		}
		if got, saved := <-inEffect, <-inEffect; got != value || saved != value {
			t.Errorf("value %q took effect while %q was saved, want %q for both", got, saved, value)
		}
	}
}
