package messagelab

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"time"
)

// Clients that misbehave. Their own requests are not judged; those of others are.

const (
	crowdOfEachKind = 40
	crowdPause      = 200 * time.Millisecond
	floodFor        = 3 * time.Second
)

// crowdKind is a client of a crowd: it sends text, in pieces if slow is set, and then holds its connection.
type crowdKind struct {
	name string
	text func(id string) string
	slow bool // a few bytes at a time
}

var crowdKinds = []crowdKind{
	{"stops within a long request", func(id string) string {
		return postHead(id, 400_000) + strings.Repeat("b", 200_000)
	}, false},
	{"stops within a usual request", func(id string) string {
		return postHead(id, 60_000) + strings.Repeat("b", 30_000)
	}, false},
	{"writes slowly", func(id string) string { return postHead(id, 2000) + strings.Repeat("b", 2000) }, true},
	{"many short fields", func(id string) string {
		var fields strings.Builder
		for i := range 1500 {
			fmt.Fprintf(&fields, "a%x:b\r\n", i)
		}
		return "GET /search/" + id + " HTTP/1.1\r\nHost: a\r\n" + fields.String()
	}, false},
	{"reads a long answer slowly", func(id string) string {
		p := crowdPlan(id)
		p.class, p.answerBytes = classes[0], 3_000_000
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\n\r\n",
			p.target(), id, p.class.name)
	}, false},
}

// crowdPlan returns the plan of a request that its server answers at once.
func crowdPlan(id string) plan {
	return plan{id: id, class: classes[1], serverReads: -1, form: steady, answerFraming: byLength, answerBytes: 10}
}

func postHead(id string, length int) string {
	p := crowdPlan(id)
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: a\r\nX-Trace-Id: %s\r\nX-Qos: %s\r\nContent-Length: %d\r\n\r\n",
		p.target(), id, p.class.name, length)
}

// crowd runs clients of all kinds at a sidecar until ctx ends.
func (r *run) crowd(ctx context.Context, sidecar int) {
	for number := range crowdOfEachKind * len(crowdKinds) {
		kind := crowdKinds[number%len(crowdKinds)]
		r.clients.Go(func() {
			for sent := 0; ctx.Err() == nil; sent++ {
				r.misbehave(ctx, sidecar, kind, fmt.Sprintf("crowd%d-%d-%d", sidecar, number, sent))
				pause(ctx, crowdPause)
			}
		})
	}
}

// misbehave opens a connection, sends the kind's text and holds the connection until the sidecar closes it.
func (r *run) misbehave(ctx context.Context, sidecar int, kind crowdKind, id string) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", r.sidecars[sidecar].addr)
	if err != nil {
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	rate := 0
	if kind.slow {
		rate = 1500
	}
	if writeAtRate(conn, kind.text(id), rate) != nil {
		return
	}
	_, _ = readAtRate(conn, 10_000) // ends when the sidecar closes the connection
}

// flood sends small and unsound requests at full speed for a while, one connection after the other.
func (r *run) flood(ctx context.Context, sidecar int, rng *rand.Rand) {
	ctx, cancel := context.WithTimeout(ctx, floodFor)
	defer cancel()
	for n := 0; ctx.Err() == nil; n++ {
		r.floodOnce(ctx, sidecar, rng, n)
	}
}

func (r *run) floodOnce(ctx context.Context, sidecar int, rng *rand.Rand, n int) {
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", r.sidecars[sidecar].addr)
	if err != nil {
		pause(ctx, redialDelay)
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	text := "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"
	switch rng.IntN(3) {
	case 0:
		name := fmt.Sprintf("x%x", rng.Uint64())
		text = fmt.Sprintf("GET /%s/1 HTTP/1.1\r\nHost: a\r\nX-Trace-Id: f%d\r\nX-Qos: %s\r\n\r\n", name, n, name)
	case 1:
		text = fmt.Sprintf("GET /search/%d HTTP/1.1\r\nHost: a\r\nX-Trace-Id: f-%x\r\nX-Customer: c%x\r\n"+
			"X-Expires-In-Ms: x\r\n\r\n", n, rng.Uint64(), rng.Uint64())
	}
	go func() { _, _ = io.Copy(io.Discard, bufio.NewReader(conn)) }() // ends with the connection
	pipelined := strings.Repeat(text, 50)
	for range 100 {
		if _, err := io.WriteString(conn, pipelined); err != nil {
			return
		}
	}
}
