package httpfront

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"runtime"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/bytebudget"
	"birchmoor/internal/testutil/sidecartest"
)

// headForms are the lines of heads that take much memory for their bytes: the text of line i.
var headForms = map[string]func(i int) string{
	"short different names": func(i int) string { return fmt.Sprintf("f%d:\r\n", i) },
	"one name":              func(int) string { return "a:\r\n" },
	"one name, values":      func(i int) string { return fmt.Sprintf("a:%d\r\n", i) },
	"usual fields":          func(i int) string { return fmt.Sprintf("X-Field-%d: some value %d\r\n", i, i) },
	"long values":           func(i int) string { return fmt.Sprintf("X-%d: %s\r\n", i, strings.Repeat("v", 2000)) },
}

// headLines returns lines of a form, of up to size bytes together.
func headLines(line func(i int) string, size int) string {
	var b strings.Builder
	for i := 0; b.Len()+len(line(i)) <= size; i++ {
		b.WriteString(line(i))
	}
	return b.String()
}

// heldBytes returns how much more memory is in use after a call than before, while what it returns is referenced.
func heldBytes(call func() any) int64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	result := call()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(result)
	return int64(after.HeapAlloc) - int64(before.HeapAlloc)
}

// newTestMeter returns a meter with a budget of its own, for which it does not wait.
func newTestMeter(budgetBytes int) *headMeter {
	budget := bytebudget.New(budgetBytes)
	return &headMeter{budget: budget, acquire: budget.TryAcquire}
}

// TestEstimateOfHeadCoversItsMemory guards against heads that take more memory than they are charged for. It compares
// the estimate with what the record, the parsed request, a forwarded header and an encoded copy take.
func TestEstimateOfHeadCoversItsMemory(t *testing.T) {
	const heads = 20
	type heldHead struct {
		recorded []byte
		request  *http.Request
		header   http.Header
		encoded  []byte
	}
	for name, line := range headForms {
		t.Run(name, func(t *testing.T) {
			text := "GET /look HTTP/1.1\r\nHost: a\r\n" + headLines(line, MaxHeaderBytes-64) + "\r\n"
			meter := newTestMeter(1 << 30)
			if err := meter.begin([]byte(text)); err != nil {
				t.Fatal(err)
			}
			held := heldBytes(func() any {
				var all []heldHead
				for range heads {
					r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(text)))
					if err != nil {
						t.Fatal(err)
					}
					header := http.Header{}
					for name, values := range r.Header {
						header[name] = values
					}
					msg := message{method: r.Method, uri: r.RequestURI, host: r.Host, header: header}
					all = append(all, heldHead{append(make([]byte, 0, 2*len(text)), text...), r, header, msg.bytes(1)})
				}
				return all
			})
			if held > int64(heads*meter.estimate) {
				t.Errorf("a head of %d bytes takes %d bytes of memory, more than its estimate %d", len(text), held/heads,
					meter.estimate)
			}
		})
	}
}

// TestHeadIsCountedUpToItsEnd expects the same estimate however a head is divided into reads, and none for the body.
func TestHeadIsCountedUpToItsEnd(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX-Sum: 1\r\n\r\n"
	want := len(strings.ReplaceAll(head, "\n", ""))*headMemoryPerByte + 3*headMemoryPerLine
	text := head + strings.Repeat("\n", 1000)
	for size := 1; size <= len(head)+1; size++ {
		var meter headMeter
		if err := meter.begin(nil); err != nil {
			t.Fatal(err)
		}
		for rest := []byte(text); len(rest) > 0; {
			n := min(size, len(rest))
			if err := meter.count(rest[:n]); err != nil {
				t.Fatal(err)
			}
			rest = rest[n:]
		}
		if meter.estimate != want || meter.counting {
			t.Errorf("in pieces of %d bytes: estimate %d, still counting %v; want %d, false", size, meter.estimate,
				meter.counting, want)
		}
	}
}

// TestChargeOfHead expects a head to be charged as it arrives once it is over maxUnbudgetedHead, and its charge to be
// released once.
func TestChargeOfHead(t *testing.T) {
	meter := newTestMeter(2 * maxUnbudgetedHead)
	budget := meter.budget
	line := bytes.Repeat([]byte("x"), maxUnbudgetedHead/headMemoryPerByte)
	for i, want := range []struct {
		charged int
		err     error
	}{{0, nil}, {2 * len(line) * headMemoryPerByte, nil}, {2 * len(line) * headMemoryPerByte, errNoHeadMemory}} {
		err := meter.count(line)
		if i == 0 {
			err = meter.begin(line)
		}
		if !errors.Is(err, want.err) || meter.charged != want.charged {
			t.Errorf("after %d pieces: error %v, %d bytes charged; want %v, %d", i+1, err, meter.charged, want.err,
				want.charged)
		}
	}
	taken := meter.end()
	meter.release()
	taken.release()
	taken.release()
	if !budget.TryAcquire(2*maxUnbudgetedHead) || budget.TryAcquire(1) {
		t.Error("after the release, the budget is not free as a whole")
	}
}

// TestStalledHeadsOfRequestsStayWithinMemory guards against clients that take the sidecar over its memory limit by
// heads that do not end: hundreds of connections held heads that took twenty times their bytes, and no budget counted
// them.
func TestStalledHeadsOfRequestsStayWithinMemory(t *testing.T) {
	const crowd = 200
	endpoint := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	f := startFront(t, readyInstances(endpoint), longTimeouts...)
	budgetBytes := f.eventLoop.ConfigSnapshot().MaxBufferedBytes(1)
	head := "GET /look HTTP/1.1\r\n" + headLines(headForms["short different names"], MaxHeaderBytes-512)
	held := heldBytes(func() any {
		var conns []net.Conn
		for range crowd {
			c := f.connect(t)
			write(t, c, head)
			conns = append(conns, c)
		}
		waitUntil(t, "all connections are read from, and heads rejected", func() bool {
			return (f.headsRejected.Value() > 0 || countReading(f) == crowd) && countInState(f, stateNew) == 0
		})
		c := f.connect(t)
		r := sidecartest.IdempotentRequest(900_000)
		write(t, c, encode(t, r))
		if resp, _ := readAnswer(t, c, r); resp.StatusCode != http.StatusOK {
			t.Errorf("a usual request among stalled heads got %s, want 200", resp.Status)
		}
		return conns
	})
	const perConnection = maxUnbudgetedHead + 16<<10 // buffers, the connection itself and the client's side of it
	if limit := int64(budgetBytes + crowd*perConnection); held > limit {
		t.Errorf("%d stalled heads take %d bytes of memory, more than %d", crowd, held, limit)
	}
	waitUntil(t, "all heads have timed out", func() bool { return countInState(f, stateReading) == 0 })
	waitUntil(t, "their charges are released", func() bool {
		free := f.heads.TryAcquire(budgetBytes)
		if free {
			f.heads.Release(budgetBytes)
		}
		return free
	})
}

// TestHeadWithoutMemoryIsAnswered guards against a request whose connection is closed without an answer since there is
// no memory for its head, wherever on its connection the request stands.
func TestHeadWithoutMemoryIsAnswered(t *testing.T) {
	endpoint := sidecartest.HTTPEndpoint(t, func(http.ResponseWriter, *http.Request) {})
	long := sidecartest.IdempotentRequest(900_000)
	long.Header.Set("X-Props", strings.Repeat("x", MaxHeaderBytes/2))
	usual := sidecartest.IdempotentRequest(900_000)
	for _, tc := range []struct {
		name  string
		first string // sent before the long request, and answered with 200
		wait  bool   // the long request is sent once that is answered
	}{
		{"new connection", "", false},
		{"after a request", encode(t, usual), true},
		{"behind a readiness check", "GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			f := startFront(t, readyInstances(endpoint), longTimeouts...)
			for _, want := range []int{http.StatusServiceUnavailable, http.StatusOK} {
				if want == http.StatusServiceUnavailable {
					f.heads.Resize(1) // the byte that is held is all of the budget
					f.heads.TryAcquire(1)
				} else {
					f.heads.Resize(1 << 20)
				}
				c := f.connect(t)
				answers := bufio.NewReader(c)
				if !tc.wait {
					write(t, c, tc.first+encode(t, long))
				} else {
					write(t, c, tc.first)
				}
				if tc.first != "" {
					resp, err := http.ReadResponse(answers, nil)
					if err != nil {
						t.Fatal(err)
					}
					_, _ = io.Copy(io.Discard, resp.Body)
				}
				if tc.wait {
					write(t, c, encode(t, long))
				}
				resp, err := http.ReadResponse(answers, nil)
				if err != nil || resp.StatusCode != want {
					t.Errorf("answer %v, error %v; want status %d", resp, err, want)
				}
			}
			if n := f.headsRejected.Value(); n != 1 {
				t.Errorf("%d rejected heads were counted, want 1", n)
			}
		})
	}
}

// TestWaitForHeadMemoryEndsWithHeadDeadline guards against a client that gets the answer to a head without end late,
// because the head begins to wait for memory just before its deadline.
func TestWaitForHeadMemoryEndsWithHeadDeadline(t *testing.T) {
	for _, tc := range []struct {
		name    string
		hasLeft bool
		left    time.Duration // until the head's deadline; used if hasLeft is set
		want    time.Duration
	}{
		{"no byte before", false, 0, headMemoryTimeout},
		{"long before the deadline", true, RequestTimeout, headMemoryTimeout},
		{"just before the deadline", true, headMemoryTimeout / 5, headMemoryTimeout / 5},
		{"after the deadline", true, -time.Second, 0},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := &Server{heads: bytebudget.New(1), clients: newClients(1, nil, nil, sidecartest.DiscardLog)}
				s.heads.TryAcquire(1)
				c := &client{}
				if tc.hasLeft {
					c.headDeadline = time.Now().Add(tc.left)
				}
				startedAt := time.Now()
				if s.acquireHeadMemory(c, 1) {
					t.Error("memory was granted beyond the budget")
				}
				if waited := time.Since(startedAt); waited != tc.want {
					t.Errorf("waited %v, want %v", waited, tc.want)
				}
			})
		})
	}
}

// TestHeadsOfAnswersAreCharged guards against endpoints that take the sidecar over its memory limit by heads of answers
// that have many lines: each was read up to 128 KiB, and no budget counted them.
func TestHeadsOfAnswersAreCharged(t *testing.T) {
	lines := headLines(headForms["short different names"], 32<<10)
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		for {
			if _, err := sidecartest.ReadRequest(r); err != nil {
				return
			}
			// The head of the interim answer is not charged any more once the final one arrives.
			_, _ = io.WriteString(c, "HTTP/1.1 103 Hints\r\n"+lines+"\r\nHTTP/1.1 200 OK\r\n"+lines+
				"Content-Length: 2\r\n\r\nok")
		}
	})
	u := newTestUpstream(t)
	meter := newTestMeter(1 << 30)
	if err := meter.begin([]byte("HTTP/1.1 200 OK\r\n" + lines + "Content-Length: 2\r\n\r\n")); err != nil {
		t.Fatal(err)
	}
	u.headBudget.Resize(meter.estimate + maxUnbudgetedHead)
	first := u.sendAttempt(keyedPost("x"), newTarget(addr))
	if first.Status != balancer.OK {
		t.Fatalf("status %v, want OK", first.Status)
	}
	if !u.headBudget.TryAcquire(maxUnbudgetedHead) || u.headBudget.TryAcquire(1) {
		t.Error("the charge of the answer is not its estimate")
	}
	if second := u.sendAttempt(keyedPost("x"), newTarget(addr)); second.Status != balancer.Reset {
		t.Errorf("an answer whose head the budget does not cover: status %v, want Reset", second.Status)
	}
	first.Release()
	u.headBudget.Release(maxUnbudgetedHead)
	third := u.sendAttempt(keyedPost("x"), newTarget(addr))
	if third.Status != balancer.OK {
		t.Errorf("after the release: status %v, want OK", third.Status)
	}
	third.Release()
	if !u.headBudget.TryAcquire(meter.estimate+maxUnbudgetedHead) || u.headBudget.TryAcquire(1) {
		t.Error("after all answers were released, the budget is not free as a whole")
	}
}

// TestIncompleteHeadOfAnswerIsReleased expects no charge to stay after an attempt whose answer's head does not end.
func TestIncompleteHeadOfAnswerIsReleased(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\n" + headLines(headForms["usual fields"], 32<<10)
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, _ = io.WriteString(c, head)
	})
	u := newTestUpstream(t)
	u.headBudget.Resize(1 << 30)
	if r := u.sendAttempt(keyedPost("x"), newTarget(addr)); r.Status != balancer.Reset {
		t.Errorf("status %v, want Reset", r.Status)
	}
	if !u.headBudget.TryAcquire(1<<30) || u.headBudget.TryAcquire(1) {
		t.Error("a charge stays after the attempt")
	}
}

// TestHeadsOfAnswersWithManyLinesAreParsed expects that a long head is still served if there is memory for it.
func TestHeadsOfAnswersWithManyLinesAreParsed(t *testing.T) {
	lines := headLines(headForms["usual fields"], MaxHeaderBytes)
	want, err := textproto.NewReader(bufio.NewReader(strings.NewReader(lines + "\r\n"))).ReadMIMEHeader()
	if err != nil {
		t.Fatal(err)
	}
	addr := sidecartest.RawEndpoint(t, func(c *net.TCPConn, r *bufio.Reader) {
		_, _ = sidecartest.ReadRequest(r)
		_, _ = io.WriteString(c, strings.Replace(sidecartest.OKResponse, "\r\n", "\r\n"+lines, 1))
	})
	r := newTestUpstream(t).sendAttempt(keyedPost("x"), newTarget(addr))
	if r.Status != balancer.OK {
		t.Fatalf("status %v, want OK", r.Status)
	}
	defer r.Release()
	for name, values := range want {
		if got := r.Content.(*upstreamAnswer).header[name]; fmt.Sprint(got) != fmt.Sprint(values) {
			t.Errorf("field %s is %q, want %q", name, got, values)
		}
	}
}
