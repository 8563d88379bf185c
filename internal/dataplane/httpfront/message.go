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

// message is a client's request as it is forwarded, but for the time left.
type message struct {
	method, uri, host string
	header            http.Header // end-to-end headers
	body              []byte      // the complete body, or the beginning of upload
	upload            *upload     // nil if body is complete
}

// millisLeft returns the time left as it is sent to an endpoint, in milliseconds rounded up: 0 only if none is left.
func millisLeft(left balancer.Micros) balancer.Micros { return (max(0, left) + 999) / 1000 }

// bytes returns the request in one piece, with the time that is left for it in milliseconds, if any.
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

// parseLoad reads a load report of the form "TEXT name=value, name=value" in the order of fields. A figure that is
// missing or invalid is NaN, never zero; a report without any valid figure is nil.
func parseLoad(fields []string, text string) []float32 {
	text = strings.TrimPrefix(strings.TrimSpace(text), "TEXT ")
	load := make([]float32, len(fields))
	for i := range load {
		load[i] = float32(math.NaN())
	}
	found := false
	for _, pair := range strings.Split(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(strings.TrimSpace(value), 32)
		if err != nil || !(v >= 0) || math.IsInf(v, 0) {
			continue
		}
		for i, f := range fields {
			if f == strings.TrimSpace(name) {
				load[i] = float32(v)
				found = true
			}
		}
	}
	if !found {
		return nil
	}
	return load
}
