package lease

// RequestKind is what a session wants sent.
type RequestKind int

// What there is to send. One request is under way at a time.
const (
	NoRequest    RequestKind = iota
	GrantRequest             // a session, for Rules.TTL
	RenewRequest             // ID
)

// Outcome of a request.
type Outcome int

// The outcomes. An Unknown one may have been done.
const (
	Succeeded       Outcome = iota
	SessionNotFound         // there is no such session
	OutcomeUnknown          // or refused
)

// Defect is a fault that is put in so that a test shows that it is found.
type Defect int

// The faults of a session.
const (
	NoDefect               Defect = iota
	ValidFromResponse             // entitled from the answer's arrival
	IgnoreSkew                    // the clocks' rates are taken to be equal, and nothing is given away
	AcceptRejectedRenewal         // a renewal that the store refused counts
	KeepEntriesAcrossGrant        // places of an earlier session are held to live on in the next
)

// Session is one daemon's. It is for one goroutine at a time.
type Session struct {
	rules      Rules
	defect     Defect
	id         uint64 // 0: none
	validUntil int64
	sentAt     int64       // when the request under way was first sent; 0: none is
	pending    RequestKind // which that is
	nextDue    int64       // when the next is to be sent
	failures   int
	generation uint64 // of sessions there were
}

// NewSession returns one that is to be granted.
func NewSession(r Rules, p Defect) *Session {
	if p == IgnoreSkew {
		r.Skew, r.Margin = 0, 0
	}
	return &Session{rules: r, defect: p}
}

// ID is the store's lease, 0 if there is none.
func (s *Session) ID() uint64 { return s.id }

// ValidUntil is when the entitlement of all its places ends, unless it is renewed; 0: there is none.
func (s *Session) ValidUntil() int64 { return s.validUntil }

// Generation counts the sessions that there were: a place is of one of them.
func (s *Session) Generation() uint64 { return s.generation }

// Rules are those that it goes by.
func (s *Session) Rules() Rules { return s.rules }

// Next says what is to be sent now, or when to ask again. What it returns counts as sent: the request's effect, however late it
// comes, is after now. An instant of 0 is none: an answer is waited for.
func (s *Session) Next(now int64) (RequestKind, int64) {
	if s.pending != NoRequest {
		return NoRequest, 0
	}
	if now < s.nextDue {
		return NoRequest, s.nextDue
	}
	s.sentAt, s.pending = now, RenewRequest
	if s.id == 0 {
		s.pending = GrantRequest
	}
	return s.pending, 0
}

// HandleResponse takes what became of the request under way, and the id of the session that was granted.
func (s *Session) HandleResponse(now int64, o Outcome, id uint64) {
	ask, sent := s.pending, s.sentAt
	if ask == NoRequest {
		return
	}
	s.pending = NoRequest
	if s.defect == ValidFromResponse {
		sent = now
	}
	every := s.rules.TTL / 3
	switch {
	case o == Succeeded && (ask == RenewRequest || id != 0):
		if ask == GrantRequest {
			s.id = id
			s.generation++
		}
		s.validUntil, s.nextDue, s.failures = max(s.validUntil, sent+s.rules.Validity()), sent+every, 0
	case o == SessionNotFound && ask == RenewRequest && s.defect == AcceptRejectedRenewal:
		s.validUntil, s.nextDue = sent+s.rules.Validity(), sent+every
	case o == SessionNotFound && ask == RenewRequest:
		s.Reset()
		s.nextDue = now
	default: // it is tried again soon, and less and less often
		s.failures++
		s.nextDue = now + every>>max(0, 4-min(s.failures, 4))
	}
}

// Reset forgets the session: it has ended, or is to be let end. A request under way is answered to nobody.
func (s *Session) Reset() { s.id, s.validUntil, s.pending, s.nextDue = 0, 0, NoRequest, 0 }
