package follower

import (
	"bytes"
	"context"
	"encoding/hex"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"sync"
	"testing"

	"birchmoor/internal/store"
	"birchmoor/internal/store/changefeed"
)

// goldenCopies returns the files that an earlier build wrote for its copies, by name.
func goldenCopies(t *testing.T) map[string][]byte {
	t.Helper()
	golden, err := os.ReadFile("testdata/copies.golden")
	if err != nil {
		t.Fatal(err)
	}
	copies := map[string][]byte{}
	for line := range strings.Lines(string(golden)) {
		name, text, _ := strings.Cut(strings.TrimSpace(line), "\t")
		if copies[name], err = hex.DecodeString(text); err != nil {
			t.Fatal(err)
		}
	}
	return copies
}

// TestCopyFileIsFrozen opens followers with files that an earlier build wrote, of a complete and of a partial copy. It
// checks what the copies hold and that writing them yields the same bytes.
func TestCopyFileIsFrozen(t *testing.T) {
	partialInterest := &store.Interest{Prefixes: []string{"out/"}, Keys: []string{"known/h/"}}
	wantItems := []store.Item{
		{Key: "known/h/", Value: []byte("w"), CreateRevision: 1, ModRevision: 1, Version: 1},
		{Key: "out/ban/y", Value: []byte("z"), CreateRevision: 2, ModRevision: 2, Version: 1},
	}
	for name, file := range goldenCopies(t) {
		t.Run(name, func(t *testing.T) {
			dir := t.TempDir()
			path := filepath.Join(dir, "copy")
			if err := os.WriteFile(path, file, 0o600); err != nil {
				t.Fatal(err)
			}
			f, err := Open(Config{
				Name: "h", Dir: dir, Replicas: []Replica{{Name: "a", Addr: refusedAddress(t)}},
				Log: slog.New(slog.DiscardHandler),
			})
			if err != nil {
				t.Fatal(err)
			}
			var copied *store.State
			if _, err := f.View(t.Context(), true, func(s *store.State) { copied = s }); err != nil {
				t.Fatal(err)
			}
			if err := f.Close(); err != nil {
				t.Fatal(err)
			}
			if copied.Cluster() != 7 || copied.Revision() != 2 {
				t.Errorf("got revision %d of cluster %x, want revision 2 of cluster 7", copied.Revision(),
					copied.Cluster())
			}
			wantInterest := partialInterest
			if name == "copy all" {
				wantInterest = nil
			}
			if got := copied.Interest(); !reflect.DeepEqual(got, wantInterest) {
				t.Errorf("interest %+v, want %+v", got, wantInterest)
			}
			var items []store.Item
			copied.Range("", "", func(i store.Item) bool { items = append(items, i); return true })
			if !reflect.DeepEqual(items, wantItems) {
				t.Errorf("items %+v, want %+v", items, wantItems)
			}
			if err := writeFile(path, copied, nil); err != nil {
				t.Fatal(err)
			}
			if rewritten, err := os.ReadFile(path); err != nil || !bytes.Equal(rewritten, file) {
				t.Errorf("the rewritten file (error %v) has\n%x\nwant\n%x", err, rewritten, file)
			}
		})
	}
}

// TestRequestsAreFrozen compares the requests of a follower with those of an earlier build, both with a copy on its
// disk and without one.
func TestRequestsAreFrozen(t *testing.T) {
	golden, err := os.ReadFile("testdata/requests.golden")
	if err != nil {
		t.Fatal(err)
	}
	want := strings.Split(strings.TrimSuffix(string(golden), "\n"), "\n")
	var mu sync.Mutex
	var requests []string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			t.Error(err)
		}
		mu.Lock()
		requests = append(requests, r.Method+" "+r.URL.String()+" "+string(body))
		mu.Unlock()
		w.WriteHeader(http.StatusBadRequest)
		_, _ = io.WriteString(w, `{"error":"no"}`)
	}))
	defer server.Close()
	withCopy := t.TempDir()
	if err := os.WriteFile(filepath.Join(withCopy, "copy"), goldenCopies(t)["copy part"], 0o600); err != nil {
		t.Fatal(err)
	}
	subscription := changefeed.Subscription{
		Interest:     &store.Interest{Prefixes: []string{"out/"}, Keys: []string{"known/h/"}},
		SizePrefixes: []string{"known/"},
	}
	sentRequests := func() []string {
		mu.Lock()
		defer mu.Unlock()
		return slices.Compact(slices.Sorted(slices.Values(requests)))
	}
	for _, dir := range []string{withCopy, t.TempDir()} {
		f, err := Open(Config{
			Name: "h", Dir: dir, Replicas: []Replica{{Name: "a", Addr: server.Listener.Addr().String()}},
			Log: slog.New(slog.DiscardHandler), Subscription: func() changefeed.Subscription { return subscription },
		})
		if err != nil {
			t.Fatal(err)
		}
		id := store.RequestID{Client: 7, Seq: 8}
		for _, command := range []store.Command{
			{ID: id, Txn: &store.Txn{Then: []store.Op{{Key: "out/ban/y", Value: []byte("z")}}}},
			{ID: id, GrantLease: &store.GrantLease{TTLMillis: 5000, Owner: "h"}},
			{ID: id, RenewLease: &store.RenewLease{LeaseID: 3, Owner: "h"}},
			{ID: id, RevokeLease: &store.RevokeLease{LeaseID: 3, Owner: "h"}},
		} {
			if _, err := f.Do(t.Context(), command); err == nil {
				t.Error("Do returned no error for a rejected command")
			}
		}
		isSent := func(prefix string) func() bool {
			return func() bool {
				hasPrefix := func(request string) bool { return strings.HasPrefix(request, prefix) }
				return slices.ContainsFunc(sentRequests(), hasPrefix)
			}
		}
		ctx, cancel := context.WithCancel(t.Context())
		readErr := make(chan error, 1)
		go func() {
			_, err := f.View(ctx, false, func(*store.State) {})
			readErr <- err
		}()
		eventually(t, "a read is sent", isSent("GET /v1/revision"))
		cancel()
		if err := <-readErr; err == nil {
			t.Error("View returned no error for a rejected read")
		}
		if dir == withCopy {
			eventually(t, "a stream is requested", isSent("GET /v1/follow"))
		} else {
			eventually(t, "a copy is requested", isSent("GET /v1/copy"))
		}
		if err := f.Close(); err != nil {
			t.Fatal(err)
		}
	}
	if got := sentRequests(); !slices.Equal(got, want) {
		t.Errorf("sent requests\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
}
