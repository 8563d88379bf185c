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

// A follower holds what it subscribes to, reads the rest from a replica, never reports a key of the rest as
// absent, and holds more or less when its subscription changes. The next start uses what it saved, and does not
// take it for everything.
func TestPartialFollowerReadsTheRestFromReplica(t *testing.T) {
	replica, addr := startReplica(t, nil)
	for i := range 5 {
		put(t, replica, fmt.Sprint("a/", i), "v")
		put(t, replica, fmt.Sprint("b/", i), "w")
	}
	dir := t.TempDir()
	narrow := changefeed.Subscription{
		Interest:     prefixes("a/"),
		Retained:     store.Interest{Keys: []string{"a/1"}},
		SizePrefixes: []string{"b/"},
	}
	f := openFollower(t, dir, narrow, addr)
	eventually(t, "the size of b/ is known", func() bool { return f.prefixKeys.Load() == 5 })
	put(t, replica, "b/new", "n")
	put(t, replica, "a/1", "changed")
	for key, want := range map[string]string{"a/1": "changed", "a/9": absent, "b/1": "w", "b/new": "n", "b/9": absent} {
		if got, err := f.read(t, key, false); err != nil || got != want {
			t.Errorf("%s: %q, %v", key, got, err)
		}
		got, err := f.read(t, key, true)
		if isHeld := strings.HasPrefix(key, "a/"); isHeld && (err != nil || got != want) || !isHeld && !isNotHeld(err) {
			t.Errorf("%s, as this copy has it: %q, %v", key, got, err)
		}
	}
	eventually(t, "the size of b/ has changed", func() bool { return f.prefixKeys.Load() == 6 })
	checkReadsOfEverything(t, f)

	wide := narrow
	wide.Interest = prefixes("a/", "b/")
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
		t.Error("a part is taken for a complete state")
	}
	f = openFollower(t, dir, narrow, refusedAddress(t))
	if got, err := f.read(t, "a/1", true); err != nil || got != "last" {
		t.Errorf("a retained key: %q, %v", got, err)
	}
	if got, err := f.read(t, "a/2", true); !isNotHeld(err) {
		t.Errorf("a key that is not retained: %q, %v", got, err)
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

// checkReadsOfEverything checks that a follower of a part of eleven keys reads all of them, and watches none
// that it lacks.
func checkReadsOfEverything(t *testing.T, f *testFollower) {
	t.Helper()
	if _, _, err := f.NextChanges(t.Context(), "b/", 0, 1); !isNotHeld(err) {
		t.Errorf("a watch of what is not held: %v", err)
	}
	if state, err := f.CloneState(t.Context()); err != nil || state.Len() != 11 || state.Interest() != nil {
		t.Errorf("the complete state: %v", err)
	}
	if status, err := f.Status(t.Context()); err != nil || status.Interest == nil || status.Keys != 5 {
		t.Errorf("%+v, %v", status, err)
	}
	count := 0
	_, err := f.View(t.Context(), false, func(state *store.State) {
		count = 0
		state.Range("a/", "c", func(store.Item) bool { count++; return true })
	})
	if err != nil || count != 11 {
		t.Errorf("a range over more than it holds: %d, %v", count, err)
	}
}

// A follower of a replica of a version that does not know interests holds everything, as followers of that
// version do; of one that does, a part. What a follower of either kind saved is of use to the other. A follower
// of the older version is served as before.
func TestFollowerOfReplicasOfTwoVersions(t *testing.T) {
	replica, addr := startReplica(t, nil)
	put(t, replica, "a/1", "v")
	put(t, replica, "b/1", "w")
	subscription := changefeed.Subscription{Interest: prefixes("a/"), Retained: *prefixes("a/")}
	dir := t.TempDir()
	old := startProxyOfOldVersion(t, addr)
	for i, c := range []struct {
		addr     string
		holdsAll bool
	}{{old, true}, {addr, false}, {old, true}, {old, true}, {addr, false}, {addr, false}} {
		f := openFollower(t, dir, subscription, c.addr)
		eventually(t, fmt.Sprintf("start %d holds all: %v", i, c.holdsAll), func() bool {
			status, err := f.Status(t.Context())
			return err == nil && status.Following != "" && (status.Interest == nil) == c.holdsAll
		})
		value := fmt.Sprint("v", i)
		put(t, replica, "a/1", value)
		put(t, replica, "b/1", value)
		f.eventuallyReads(t, "a/1", value)
		if c.holdsAll {
			f.eventuallyReads(t, "b/1", value)
		} else {
			f.eventuallyNotHeld(t, "b/1")
		}
		put(t, f, "a/2", value)
		if got, err := f.read(t, "a/2", true); err != nil || got != value {
			t.Errorf("the follower does not see its own change: %q, %v", got, err)
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	checkStreamOfOldVersion(t, addr)
}

// checkStreamOfOldVersion requests a stream as followers of the older version do.
func checkStreamOfOldVersion(t *testing.T, addr string) {
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
			t.Fatalf("%s, %v", lines.Text(), err)
		}
		if line.Event != nil {
			events++
		}
		if line.Heartbeat != nil {
			heartbeats++
		}
	}
	if response.Header.Get(admin.ScopedHeader) != "" {
		t.Error("a follower of everything is sent a part")
	}
}

// An interest that is out of bounds is rejected with the reason.
func TestInterestOutOfBoundsIsRejected(t *testing.T) {
	_, addr := startReplica(t, nil)
	many := url.Values{}
	for i := range store.MaxInterestEntries + 1 {
		many.Add("prefix", fmt.Sprint(i, "/"))
	}
	long := url.Values{}
	for range 20 {
		long.Add("key", strings.Repeat("k", store.DefaultLimits.KeyBytes))
	}
	for want, query := range map[string]url.Values{
		"129 prefixes and keys are more than 128": many,
		"10240 bytes are more than 8192":          long,
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
			t.Errorf("%s: %s %s", want, response.Status, body)
		}
	}
}

// What a first copy had is saved for the next start even if the interest is narrowed at once, until something
// changes of what is retained.
func TestFirstCopyIsSavedBeforeItIsNarrowed(t *testing.T) {
	replica, addr := startReplica(t, nil)
	put(t, replica, "a/1", "v")
	put(t, replica, "b/1", "w")
	dir := t.TempDir()
	wide := changefeed.Subscription{Interest: prefixes("a/", "b/"), Retained: *prefixes("a/", "b/")}
	narrow := changefeed.Subscription{Interest: prefixes("a/"), Retained: *prefixes("a/")}
	run := func(change string) {
		t.Helper()
		f := openFollower(t, dir, wide, addr)
		f.subscribe(narrow)
		f.eventuallyNotHeld(t, "b/1")
		if change != "" {
			put(t, f, "a/1", change)
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
	run("")
	if got, err := readSaved(); err != nil || got != "w" {
		t.Errorf("the next start has %q, %v", got, err)
	}
	run("changed")
	if got, err := readSaved(); !isNotHeld(err) {
		t.Errorf("after a change the next start has %q, %v", got, err)
	}
}

// Guards against a start that does not know what the process before it acted on: a limit was in force up to two seconds
// before it was in the copy's file, and a process that was killed in between started without it.
func TestDurableKeysAreSavedBeforeTheyTakeEffect(t *testing.T) {
	replica, addr := startReplica(t, nil)
	put(t, replica, "limit", "first")
	dir := t.TempDir()
	subscription := changefeed.Subscription{
		Interest: prefixes("l"),
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
	inEffect := make(chan string, 10) // and then what is saved at that moment
	takesEffect := func(value string) {
		inEffect <- value
		inEffect <- savedLimit()
	}
	f, err := Open(Config{
		Name: "h", Dir: dir, FirstCopyTimeout: testTimeout, Log: slog.New(slog.DiscardHandler),
		Replicas:     []Replica{{Name: "a", Addr: addr}},
		Subscription: func() changefeed.Subscription { return subscription },
		OnReset: func(state *store.State) {
			item, _ := state.Get("limit")
			takesEffect(string(item.Value))
		},
		OnEvent: func(event store.Event) { takesEffect(string(event.Item.Value)) },
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
			t.Errorf("%q is in effect, and the next start would have %q; put was %q", got, saved, value)
		}
	}
}
