package balancer

// Micros is an instant or a duration in microseconds. Instants share one arbitrary origin that the host decides on;
// the host's clock never runs backwards.
type Micros = int64

// State is the lifecycle state of an endpoint, by discovery.
type State uint8

// The states of an endpoint.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	ID        uint32
	Zone      uint8
	Kind      uint8
	Cell      uint16
	State     State
	Weight    float32
	StartTime Micros // of its latest start; 0 for long ago
}

// ListKind says how the entries of an update of the endpoint list are to be read.
type ListKind uint8

// The kinds of update.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as it was last known; it may be old
	ListFailed                 // a call of discovery failed; no entries
)

// Request is a client's request. It gets one final answer: an outcome that answers it, a rejection or a failure.
type Request struct {
	ID            uint64
	Key           uint64
	Deadline      Micros // the instant at which the client gives this attempt up
	Hint          Micros // expected work; used if HasHint
	HasHint       bool
	Retry         bool // marked as a retry by the client
	Write         bool
	BodyStreaming bool // the body is still coming: UploadComplete reports its end, and the deadline from then on
	Tenant        uint16
	Class         uint8  // an index in the classes of Rules
	Rules         *Rules // nil: the current ones
}

// Status says how an attempt or a probe ended.
type Status uint8

// The ways an attempt may end. Rejected, ConnectFailed and NotSent prove that it never ran; all others but OK leave
// that open.
const (
	OK            Status = iota
	Error                // an error returned by the endpoint
	Rejected             // by the endpoint, before it ran
	Timeout              // no answer in time
	ConnectFailed        // no connection in time
	Reset                // the connection broke
	Cancelled            // by the balancer
	NotSent              // for a reason of this host's own
)

// Outcome reports how an attempt ended. Load is valid during the call only.
type Outcome struct {
	ID            uint64
	Attempt       int // of the request's, counted from 0 as they were sent
	Endpoint      uint32
	Status        Status
	Latency       Micros
	Answered      bool // the request has its final answer
	NotReplayable bool // the body was streamed and cannot be sent again
	Load          []float32
}

// Actions is what a balancer asks of its host. Calls come from within event methods, in the order in which they are
// to take effect.
type Actions interface {
	// Send starts an attempt. A timeout of 0 is none but the client's deadline.
	Send(id uint64, endpoint uint32, timeout Micros)
	// Reject gives a final answer that promises that a retry is harmless.
	Reject(id uint64, retryAfter Micros)
	// Fail gives a final answer that promises nothing.
	Fail(id uint64)
	// Cancel stops waiting for an attempt; its outcome still comes.
	Cancel(id uint64, attempt int)
	// Timer asks for a Timer event with this token after a delay.
	Timer(delay Micros, token uint32)
	// Probe asks an endpoint for its load.
	Probe(endpoint uint32)
	// Watch subscribes to changes of the endpoint list, or ends the subscription.
	Watch(on bool)
	// Log records a line for on-call staff.
	Log(line string)
}
