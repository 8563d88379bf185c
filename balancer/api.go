package balancer

// Micros is an instant or a duration in microseconds. All instants count from one origin that the host chooses. The
// host's clock must never run backwards.
type Micros = int64

// State is the lifecycle state of an endpoint, as discovery reports it.
type State uint8

// The states of an endpoint. Only ready endpoints are sent requests and probes.
const (
	Ready State = iota
	Draining
	Removed
)

// Endpoint is one entry of the endpoint list. No decision reads Kind and Weight.
type Endpoint struct {
	ID        uint32
	Zone      uint8
	Kind      uint8  // machine type
	Cell      uint16 // group of endpoints that is the scope of DedupCell
	State     State
	Weight    float32
	StartTime Micros // start time of its process; 0 if it started long ago
}

// ListKind says how to read the entries of an endpoint list update.
type ListKind uint8

// The kinds of endpoint list update.
const (
	ListDelta  ListKind = iota // changed entries only
	ListFull                   // the complete list
	ListCached                 // the complete list as last known, which may be out of date
	ListFailed                 // a discovery call failed; the update has no entries
)

// Request is a client's request. It gets exactly one final answer: an endpoint's answer, a rejection or a failure. No
// decision reads Key, Retry and Write.
type Request struct {
	ID            uint64
	Key           uint64
	Deadline      Micros // when the client gives up on this request
	Hint          Micros // expected work, valid if HasHint is set
	HasHint       bool
	Retry         bool // the client marked it as a retry
	Write         bool
	BodyStreaming bool // the body is still arriving; UploadComplete reports its end and sets a new deadline
	Tenant        uint16
	Class         uint8  // index in the classes of Rules
	Rules         *Rules // the rules it arrived under; nil for the current ones
}

// Status says how an attempt or a probe ended.
type Status uint8

// The statuses of an attempt or a probe. Rejected, ConnectFailed and NotSent prove that the endpoint never ran the
// request. After OK it has run; after any other status it may have run.
const (
	OK            Status = iota
	Error                // the endpoint returned an error
	Rejected             // the endpoint rejected the request before running it
	Timeout              // no answer within the timeout
	ConnectFailed        // no connection could be made in time
	Reset                // the connection broke before the answer was complete
	Cancelled            // the balancer cancelled it
	NotSent              // the host could not send it, through no fault of the endpoint
)

// Outcome reports how an attempt ended. Load is valid only during the call that passes it.
type Outcome struct {
	ID            uint64
	Attempt       int // number of the attempt within its request, from 0 in the order of sending
	Endpoint      uint32
	Status        Status
	Latency       Micros
	Answered      bool // the client has the request's final answer
	NotReplayable bool // the body was streamed, so the request cannot be sent again
	Load          []float32
}

// Actions is implemented by the host and carries out the balancer's decisions. The balancer calls it from within its
// event methods. The host must apply the calls in order.
type Actions interface {
	// Send starts an attempt. With a timeout of 0 only the client's deadline limits it.
	Send(id uint64, endpoint uint32, timeout Micros)
	// Reject gives the final answer "rejected", which promises the client that a retry is harmless.
	Reject(id uint64, retryAfter Micros)
	// Fail gives the final answer "failed". The request may have run.
	Fail(id uint64)
	// Cancel stops waiting for an attempt. The host still reports its outcome.
	Cancel(id uint64, attempt int)
	// Timer requests a Timer event with this token after a delay.
	Timer(delay Micros, token uint32)
	// Probe requests a load report from an endpoint. ProbeCompleted reports the result.
	Probe(endpoint uint32)
	// Watch starts a subscription to changes of the endpoint list, or ends it.
	Watch(on bool)
	// Log writes a log line for operators.
	Log(line string)
}
