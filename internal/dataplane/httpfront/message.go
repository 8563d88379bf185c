package httpfront

import (
	"bytes"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"

	"birchmoor/balancer"
)

// message is a client's request as it is forwarded to endpoints. The remaining time is added for each attempt.
type message struct {
	method, uri, host string
	header            http.Header // end-to-end headers
	body              []byte      // the complete body, or the beginning of upload
	upload            *upload     // the rest of a streamed body; nil if body is complete
	bodyCharges       []charge    // for the memory of body
}

// releaseBody releases the charges for the memory of the body. Further calls have no effect.
func (m *message) releaseBody() {
	for i := range m.bodyCharges {
		m.bodyCharges[i].release()
	}
}

// timeLeft returns the client's time for its answer. For a streamed body it counts from the body's last byte. deadline
// is that of the attempt, for a body that is complete.
func (m *message) timeLeft(now, deadline balancer.Micros) balancer.Micros {
	if m.upload != nil {
		return m.upload.timeLeft(now)
	}
	return deadline - now
}

// millisLeft converts the remaining time to milliseconds as they are sent to an endpoint, rounded up: it returns 0 only
// if no time is left.
func millisLeft(left balancer.Micros) balancer.Micros { return (max(0, left) + 999) / 1000 }

// bytes returns the encoded request, for a streamed body with its beginning. leftMs is the remaining time in
// milliseconds, which header X-Expires-In-Ms tells the endpoint; for 0 or less the header is left out.
func (m *message) bytes(leftMs int64) []byte {
	var b bytes.Buffer
	b.Grow(512 + len(m.body))
	b.WriteString(m.method + " " + m.uri + " HTTP/1.1\r\nHost: " + m.host + "\r\n")
	_ = m.header.Write(&b) // writing to memory does not fail
	if leftMs > 0 {
		b.WriteString("X-Expires-In-Ms: " + strconv.FormatInt(leftMs, 10) + "\r\n")
	}
	switch {
	case m.upload != nil && m.upload.length < 0:
		b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
		fmt.Fprintf(&b, "%x\r\n", len(m.body))
		b.Write(m.body)
		b.WriteString("\r\n")
		return b.Bytes()
	case m.upload != nil:
		b.WriteString("Content-Length: " + strconv.FormatInt(m.upload.length, 10) + "\r\n")
	case len(m.body) > 0 || m.method != http.MethodGet:
		b.WriteString("Content-Length: " + strconv.Itoa(len(m.body)) + "\r\n")
	}
	b.WriteString("\r\n")
	b.Write(m.body)
	return b.Bytes()
}

// parseLoad parses a load report of the form "TEXT name=value, name=value", and returns its values in the order of
// fields. A value that is missing or invalid is NaN, never 0, which would mean an idle endpoint. The result is nil if
// no value is valid.
func parseLoad(fields []string, text string) []float32 {
	text = strings.TrimPrefix(strings.TrimSpace(text), "TEXT ")
	load := make([]float32, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	found := false
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		number, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if err != nil || !(number >= 0) || math.IsInf(number, 0) {
			continue
		}
		for i, f := range fields {
			if f == strings.TrimSpace(name) {
				load[i] = float32(number)
				found = true
			}
		}
	}
	if !found {
		return nil
	}
	return load
}
