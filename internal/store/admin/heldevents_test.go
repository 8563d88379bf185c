package admin

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"birchmoor/internal/store"
)

// TestWatchTakesEventBeforeItsChunkEnds guards against an event that a watching client gets only with later ones: the
// server writes each event of one chunk once the client has taken the event before.
func TestWatchTakesEventBeforeItsChunkEnds(t *testing.T) {
	path := filepath.Join(t.TempDir(), "s")
	listener, err := net.Listen("unix", path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	taken := make(chan struct{})
	const events = 3
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = http.ReadRequest(bufio.NewReader(conn))
		_, _ = fmt.Fprint(conn, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100000\r\n")
		for i := range events {
			line, _ := json.Marshal(store.Event{Revision: uint64(i + 1)})
			_, _ = fmt.Fprintf(conn, "%s\n", line)
			<-taken
		}
	}()
	errEnough := errors.New("all events were taken")
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	next := uint64(1)
	err = Dial(path).Watch(ctx, nil, func(event store.Event) error {
		if event.Revision != next {
			t.Errorf("event of revision %d, want %d", event.Revision, next)
		}
		taken <- struct{}{}
		if next++; next > events {
			return errEnough
		}
		return nil
	})
	if !errors.Is(err, errEnough) {
		t.Errorf("after %d events: %v, want %v", next-1, err, errEnough)
	}
}
