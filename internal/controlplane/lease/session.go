package lease

// RequestKind is the kind of request that a session wants sent to the store.
type RequestKind int

// The kinds of requests. At most one request is in flight.
const (
	NoRequest    RequestKind = iota
	GrantRequest             // grants a new session for Rules.TTL
	RenewRequest             // renews the session with Session.ID
)

// Outcome is how a request ended.
type Outcome int

// The outcomes. A request with OutcomeUnknown may have been applied.
const (
	Succeeded       Outcome = iota
	SessionNotFound         // the store has no such session
	OutcomeUnknown          // or the store rejected it for another reason
)

// Defect is a fault injected into a Session, so that a test can show that the fault is detected.
type Defect int

// The defects of a Session.
const (
	NoDefect               Defect = iota
	ValidFromResponse             // validity counts from the response's arrival
	IgnoreSkew                    // clocks are assumed to run at the same rate, without a margin
	AcceptRejectedRenewal         // a renewal that the store rejected extends the validity
	KeepEntriesAcrossGrant        // entries of an earlier session are taken to exist in the next
)

// renewalsPerTTL is how many times a session is renewed within its TTL: two renewals may fail before the session
// expires.
const renewalsPerTTL = 3

// maxBackoffShift bounds the backoff after failed requests: the delay grows from 1/8 of the renewal interval to the
// interval.
const maxBackoffShift = 4

// Session is the state of one daemon's session. It is for one goroutine at a time. Instants are nanoseconds of the
// holder's clock.
type Session struct {
	rules      Rules
	defect     Defect
	id         uint64 // 0: none
	validUntil int64
	sentAt     int64       // when the request in flight was sent
	pending    RequestKind // the request in flight
	nextDue    int64       // when the next request is to be sent
	failures   int         // requests that failed since the last success
	generation uint64      // sessions granted so far
}

// NewSession returns a session that is still to be granted.
func NewSession(r Rules, d Defect) *Session {
	if d == IgnoreSkew {
		r.Skew, r.Margin = 0, 0
	}
	return &Session{rules: r, defect: d}
}

// ID is the store's lease, 0 if there is none.
func (s *Session) ID() uint64 { return s.id }

// ValidUntil is when everything held by the session ceases to be valid, unless it is renewed; 0: it is not valid.
func (s *Session) ValidUntil() int64 { return s.validUntil }

// Generation counts the sessions that were granted: a queue entry belongs to one of them.
func (s *Session) Generation() uint64 { return s.generation }

// Rules are the session's timing rules.
func (s *Session) Rules() Rules { return s.rules }

// Next returns the request to send now, or NoRequest and when to call again; 0 means after HandleResponse. A
// request that it returns counts as sent at now: however late the request is applied, that is after now.
func (s *Session) Next(now int64) (RequestKind, int64) {
	if s.pending != NoRequest {
		return NoRequest, 0
	}
	if now < s.nextDue {
		return NoRequest, s.nextDue
	}
	s.sentAt = now
	s.pending = RenewRequest
	if s.id == 0 {
		s.pending = GrantRequest
	}
	return s.pending, 0
}

// HandleResponse takes the outcome of the request in flight, and the id of the session if one was granted.
func (s *Session) HandleResponse(now int64, o Outcome, id uint64) {
	kind, sentAt := s.pending, s.sentAt
	if kind == NoRequest {
		return
	}
	s.pending = NoRequest
	if s.defect == ValidFromResponse {
		sentAt = now
	}
	interval := s.rules.TTL / renewalsPerTTL
	switch {
	case o == Succeeded && (kind == RenewRequest || id != 0):
		if kind == GrantRequest {
			s.id = id
			s.generation++
		}
		s.validUntil = max(s.validUntil, sentAt+s.rules.Validity())
		s.nextDue = sentAt + interval
		s.failures = 0
	case o == SessionNotFound && kind == RenewRequest && s.defect == AcceptRejectedRenewal:
		s.validUntil = sentAt + s.rules.Validity()
		s.nextDue = sentAt + interval
	case o == SessionNotFound && kind == RenewRequest:
		s.Reset()
		s.nextDue = now
	default:
		s.failures++
		s.nextDue = now + interval>>max(0, maxBackoffShift-s.failures)
	}
}

// Reset forgets the session, because it has ended or is left to expire. A response to a request in flight is ignored.
func (s *Session) Reset() {
	s.id = 0
	s.validUntil = 0
	s.pending = NoRequest
	s.nextDue = 0
}
