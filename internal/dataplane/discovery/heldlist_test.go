package discovery_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"birchmoor/internal/dataplane/discovery"
	"birchmoor/internal/testutil/sidecartest"
)

// TestListIsTakenBeforeItsChunkEnds guards against a list, and so a drain, that waits for bytes after it: a list was not
// taken before its chunk was complete, or before the trailer of the last one. Discovery writes the next list only once
// the one before was taken.
func TestListIsTakenBeforeItsChunkEnds(t *testing.T) {
	const lists = 4
	var lines []string
	for i := range lists {
		lines = append(lines, sidecartest.ListLine(int64(8+i), i == 0, sidecartest.ReadyInstance("s-1", "127.0.0.1:1"))+"\n")
	}
	stream := strings.Join(lines, "")
	ownChunks := ""
	for _, line := range lines {
		ownChunks += fmt.Sprintf("%x\r\n%s\r\n", len(line), line)
	}
	const chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	oneChunk := fmt.Sprintf("%x\r\n%s", len(stream), stream)
	for name, response := range map[string]string{
		"length":             fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(stream), stream),
		"close":              "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + stream,
		"close, HTTP/1.0":    "HTTP/1.0 200 OK\r\n\r\n" + stream,
		"one chunk":          chunkedHead + oneChunk,
		"chunks":             chunkedHead + ownChunks,
		"a missing trailer":  chunkedHead + oneChunk + "\r\n0\r\n",
		"interim responses":  "HTTP/1.1 103 Early Hints\r\n\r\n" + chunkedHead + oneChunk,
		"a long chunk after": chunkedHead + ownChunks + "100000\r\n ",
	} {
		for _, call := range []struct {
			name       string
			generation int64
			want       []int64
		}{
			{"watch", 7, []int64{8, 9, 10, 11}},
			{"complete list", discovery.NoGeneration, []int64{8}}, // the watcher takes no more than one
		} {
			t.Run(name+", "+call.name, func(t *testing.T) {
				t.Parallel()
				taken := make(chan struct{}, lists)
				addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
					if _, err := sidecartest.ReadRequest(r); err != nil {
						return
					}
					rest := response
					for _, line := range lines {
						end := strings.Index(rest, line) + len(line)
						_, _ = io.WriteString(c, rest[:end])
						rest = rest[end:]
						if strings.HasPrefix(rest, "\r\n0\r\n") {
							_, _ = io.WriteString(c, rest)
							rest = ""
						}
						if _, ok := <-taken; !ok {
							return
						}
					}
					_, _ = io.WriteString(c, rest)
					_, _ = r.ReadByte() // until the watcher closes the connection
				})
				received := make(chan discovery.List, 2*lists)
				w := discovery.NewWatcher(addr, call.generation, 16, func(ctx context.Context, l discovery.List) {
					if ctx.Err() == nil { // otherwise a timeout has brought the list
						received <- l
					}
				}, sidecartest.DiscardLog)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go w.Run(ctx)
				for _, generation := range call.want {
					if got := sidecartest.Receive(t, received, "a list that was written").Generation; got != generation {
						t.Fatalf("generation %d, want %d", got, generation)
					}
					taken <- struct{}{}
				}
				close(taken)
			})
		}
	}
}
