package lease

// RequestKind is the kind of a request that the owner of a Session must send to the store.
type RequestKind int

// The kinds of requests. A Session has at most one request in flight.
const (
	NoRequest    RequestKind = iota
	GrantRequest             // grants a new session for Rules.TTL
	RenewRequest             // renews the session with Session.ID
)

// Outcome is the outcome of a request to the store.
type Outcome int

// The outcomes of a request. A request with OutcomeUnknown may have been applied.
const (
	Succeeded       Outcome = iota
	SessionNotFound         // the store has no session with this ID
	OutcomeUnknown          // no response arrived, or the store rejected the request for another reason
)

// Defect is a defect injected into a Session, so that a test can show that it is detected.
type Defect int

// Injected defects of a Session.
const (
	NoDefect               Defect = iota
	ValidFromResponse             // the validity starts when the response arrives, instead of when the request was sent
	IgnoreSkew                    // Rules.MaxClockSkew and Rules.Margin are taken as 0
	AcceptRejectedRenewal         // a renewal with SessionNotFound extends the validity
	KeepEntriesAcrossGrant        // entries of an earlier session count as the next one's; no code implements this
)

// renewalsPerTTL is the number of renewals sent within the TTL of a session, so that two successive renewals may fail
// before the session expires.
const renewalsPerTTL = 3

// maxBackoffShift sets the backoff after failed requests: the delay doubles from 1/8 of the renewal interval up to the
// whole interval.
const maxBackoffShift = 4

// Session is the state of one daemon's session, and decides when to grant and renew it. It is not safe for concurrent
// use. All instants are nanoseconds of the holder's clock.
type Session struct {
	rules      Rules
	defect     Defect
	id         uint64      // of the store's lease; 0: there is no session
	validUntil int64       // 0: the session is not valid
	sentAt     int64       // when the latest request was sent
	pending    RequestKind // the request in flight, or NoRequest
	nextDue    int64       // when the next request is due
	failures   int         // consecutive failed requests
	generation uint64      // number of sessions granted so far
}

// NewSession returns a Session without a session at the store: its first request is a GrantRequest.
func NewSession(rules Rules, defect Defect) *Session {
	if defect == IgnoreSkew {
		rules.MaxClockSkew, rules.Margin = 0, 0
	}
	return &Session{rules: rules, defect: defect}
}

// ID returns the ID of the session, which is that of its lease at the store, or 0 if there is no session.
func (s *Session) ID() uint64 { return s.id }

// ValidUntil returns the instant at which all leases of the session cease to be valid, unless it is renewed first. 0
// or a past instant means that the session is not valid.
func (s *Session) ValidUntil() int64 { return s.validUntil }

// Generation returns the number of sessions granted so far. A queue entry belongs to the generation in which it was
// created, and is lost once a later session is granted.
func (s *Session) Generation() uint64 { return s.generation }

// Rules returns the timing parameters of the session, after the effect of an injected defect.
func (s *Session) Rules() Rules { return s.rules }

// Next returns the request to send now, or NoRequest and the instant at which to call Next again. The instant is 0
// while a request is in flight: Next is then to be called after HandleResponse. A returned request counts as sent at
// now; that is safe because the store applies it later than now, whatever the delay.
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

// HandleResponse records the outcome of the request in flight, at the instant now. id is the ID of the session that a
// successful GrantRequest created, and is not used otherwise. Without a request in flight the call has no effect.
func (s *Session) HandleResponse(now int64, outcome Outcome, id uint64) {
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
	case outcome == Succeeded && (kind == RenewRequest || id != 0):
		if kind == GrantRequest {
			s.id = id
			s.generation++
		}
		s.validUntil = max(s.validUntil, sentAt+s.rules.Validity())
		s.nextDue = sentAt + interval
		s.failures = 0
	case outcome == SessionNotFound && kind == RenewRequest && s.defect == AcceptRejectedRenewal:
		s.validUntil = sentAt + s.rules.Validity()
		s.nextDue = sentAt + interval
	case outcome == SessionNotFound && kind == RenewRequest:
		s.Reset()
		s.nextDue = now
	default:
		s.failures++
		s.nextDue = now + interval>>max(0, maxBackoffShift-s.failures)
	}
}

// Reset forgets the session, which has ended, is about to be revoked or is left to expire at the store. A response to
// the request in flight is ignored, and the next request is a GrantRequest.
func (s *Session) Reset() {
	s.id = 0
	s.validUntil = 0
	s.pending = NoRequest
	s.nextDue = 0
}
