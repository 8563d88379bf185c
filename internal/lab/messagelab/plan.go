package messagelab

import (
	"fmt"
	"math/rand/v2"
	"net/url"
	"strconv"
	"time"
)

// class is a class of the sidecars' settings.
type class struct {
	name          string
	notIdempotent bool
	timeoutMillis int
}

var classes = []class{{"search", false, 1200}, {"confirm", true, 1500}, {"reschedule", true, 1000}}

// longestTimeout is the longest timeout of a class.
const longestTimeout = 1500 * time.Millisecond

// settings are the sidecars' settings, with the classes above.
const settings = `{"peers-total":3,"areas":["a"],"skus":["m1"],"discovery":"automatic","classes":[
	{"name":"search","repeat":"pure","target":400000,"give-up":1200000,"credit":1.0},
	{"name":"confirm","repeat":"side_effect","target":600000,"give-up":1500000,"credit":2.0},
	{"name":"reschedule","repeat":"side_effect","target":500000,"give-up":1000000,"credit":1.0}],
	"contract":{"drain-grace":500000,"cold-from":0.2,"ramp-time":2000000,"fall-multiple":2.5,
	"overload-for":2000000,"ask-within":10000000},
	"limits":{"cancel":true,"probes":false,"second-copies":true,"retry-after":true,"most-tries":3,
	"most-held":2000,"max-retry-after":400000,"dial-timeout":1000000,"keepalive":15000000},
	"reporting":{"how":"none"},"tenants":[]}`

// longMessageBytes is the size beyond which only the first bytes of an answer are timed.
const longMessageBytes = 64 << 10

// form is how a server paces its answer.
type form string

const (
	steady   form = "steady"
	lateHead form = "late-head" // pauses within the head
	lateBody form = "late-body" // pauses after the head
	lumps    form = "lumps"     // pauses after each quarter of the body
)

// framing is how the length of a message is known.
type framing string

const (
	byLength framing = "length"
	byChunks framing = "chunked"
	byClose  framing = "close" // answers only
)

// plan is what client and server do for one request. The server reads its part from the request's query.
type plan struct {
	id    string
	class class
	wait  time.Duration // the client's time for its answer

	requestBytes   int
	requestFraming framing
	writeRate      int           // of the client, in bytes a second; 0 for no limit
	leaveAfter     time.Duration // from the start, when the client closes its connection; 0: it stays
	comesAgain     bool          // the client sends the same request again after it has left
	readRate       int           // of the client for its answer, in bytes a second; 0 for no limit

	serverReads    int // bytes that the server reads at once; -1 for all
	serverReadRate int // of the server beyond serverReads, in bytes a second; 0: it stops reading
	work           time.Duration
	form           form
	answerFraming  framing
	answerBytes    int
	pause          time.Duration
}

// drawPlan draws the plan of a request. About half of all requests are short and usual.
func drawPlan(rng *rand.Rand, id string) *plan {
	p := &plan{
		id: id, class: classes[rng.IntN(len(classes))], requestFraming: byLength, serverReads: -1,
		work: time.Duration(2+rng.IntN(15)) * time.Millisecond, form: steady, answerFraming: byLength,
		answerBytes: 200 + rng.IntN(3000),
	}
	p.wait = time.Duration(p.class.timeoutMillis*(45+rng.IntN(50))/100) * time.Millisecond
	if p.class.notIdempotent {
		p.requestBytes = 50 + rng.IntN(6000)
	}
	kind := rng.IntN(100)
	switch {
	case kind < 50:
	case kind < 75:
		p.drawLongAnswer(rng)
	case kind < 90:
		p.drawLongRequest(rng)
	default:
		if rng.IntN(2) == 0 {
			p.drawLongRequest(rng)
		}
		p.work = time.Duration(50+rng.IntN(200)) * time.Millisecond
		p.leaveAfter = time.Duration(1+rng.IntN(200)) * time.Millisecond
		p.comesAgain = p.class.notIdempotent && rng.IntN(2) == 0
	}
	return p
}

func (p *plan) drawLongAnswer(rng *rand.Rand) {
	p.form = []form{steady, lateHead, lateBody, lumps}[rng.IntN(4)]
	p.answerFraming = []framing{byLength, byChunks, byClose}[rng.IntN(3)]
	p.answerBytes = longMessageBytes + 1 + rng.IntN(300_000)
	p.pause = time.Duration(100+rng.IntN(800)) * time.Millisecond
	switch {
	case p.form == lateHead:
		p.pause = p.wait / 4 // the head has to come within the client's time
	case rng.IntN(4) == 0: // the body has to come within it as well
		p.answerBytes = 10_000 + rng.IntN(50_000)
		p.pause = p.wait / 8
	}
	if rng.IntN(8) == 0 {
		p.readRate = 30_000 + rng.IntN(200_000)
	}
}

func (p *plan) drawLongRequest(rng *rand.Rand) {
	p.class = classes[1+rng.IntN(2)]
	p.wait = time.Duration(500+rng.IntN(p.class.timeoutMillis-500)) * time.Millisecond
	p.requestFraming = []framing{byLength, byChunks}[rng.IntN(2)]
	p.requestBytes = 70_000 + rng.IntN(900_000)
	switch rng.IntN(5) {
	case 0:
		p.serverReads = 4000 + rng.IntN(16_000)
	case 1:
		p.serverReads = 4000 + rng.IntN(16_000)
		p.serverReadRate = 70_000 + rng.IntN(60_000)
	case 2:
		p.requestBytes = 70_000 + rng.IntN(100_000)
		p.writeRate = 64_000 + rng.IntN(200_000)
	case 3:
		p.requestBytes = 1_000_000 + rng.IntN(2_500_000)
	}
}

// usual reports whether nothing about the request is slow or long, so that it is to be served like any other.
func (p *plan) usual() bool {
	return p.leaveAfter == 0 && p.form == steady && p.serverReads < 0 && p.requestBytes < longMessageBytes &&
		p.answerBytes < longMessageBytes
}

// answerIsLong reports whether only the first bytes of the answer are timed.
func (p *plan) answerIsLong() bool { return p.answerBytes > longMessageBytes }

// target returns the path and query of the request.
func (p *plan) target() string {
	query := url.Values{
		"reads":   {strconv.Itoa(p.serverReads)},
		"rate":    {strconv.Itoa(p.serverReadRate)},
		"work":    {p.work.String()},
		"form":    {string(p.form)},
		"framing": {string(p.answerFraming)},
		"bytes":   {strconv.Itoa(p.answerBytes)},
		"pause":   {p.pause.String()},
	}
	return "/" + p.class.name + "/" + p.id + "?" + query.Encode()
}

// serverPlan returns the server's part of the plan in a request's query.
func serverPlan(id string, query url.Values) (*plan, error) {
	p := &plan{id: id, form: form(query.Get("form")), answerFraming: framing(query.Get("framing"))}
	numbers := map[string]*int{"reads": &p.serverReads, "rate": &p.serverReadRate, "bytes": &p.answerBytes}
	for name, value := range numbers {
		n, err := strconv.Atoi(query.Get(name))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		*value = n
	}
	for name, value := range map[string]*time.Duration{"work": &p.work, "pause": &p.pause} {
		d, err := time.ParseDuration(query.Get(name))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		*value = d
	}
	return p, nil
}

// content returns the body of a message of a request: each request has another one.
func content(id string, size int) []byte {
	line := []byte(id + "\n")
	body := make([]byte, 0, size+len(line))
	for len(body) < size {
		body = append(body, line...)
	}
	return body[:size]
}
