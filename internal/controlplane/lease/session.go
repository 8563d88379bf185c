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
	Done    Outcome = iota
	Gone            // there is no such session
	Unknown         // or refused
)

// Defect is a fault that is put in so that a test shows that it is found.
type Defect int

// The faults of a session.
const (
	NoDefect         Defect = iota
	FromAnswer              // entitled from the answer's arrival
	NoSkew                  // the clocks' rates are taken to be equal, and nothing is given away
	RenewAfterEnd           // a renewal that the store refused counts
	KeepThroughGrant        // places of an earlier session are held to live on in the next
)

// Session is one daemon's. It is for one goroutine at a time.
type Session struct {
	rules  Rules
	plant  Defect
	id     uint64 // 0: none
	until  int64
	sent   int64       // when the request under way was first sent; 0: none is
	asks   RequestKind // which that is
	due    int64       // when the next is to be sent
	fails  int
	number uint64 // of sessions there were
}

// NewSession returns one that is to be granted.
func NewSession(r Rules, p Defect) *Session {
	if p == NoSkew {
		r.Skew, r.Margin = 0, 0
	}
	return &Session{rules: r, plant: p}
}

// ID is the store's lease, 0 if there is none.
func (s *Session) ID() uint64 { return s.id }

// ValidUntil is when the entitlement of all its places ends, unless it is renewed; 0: there is none.
func (s *Session) ValidUntil() int64 { return s.until }

// Generation counts the sessions that there were: a place is of one of them.
func (s *Session) Generation() uint64 { return s.number }

// Rules are those that it goes by.
func (s *Session) Rules() Rules { return s.rules }

// Next says what is to be sent now, or when to ask again. What it returns counts as sent: the request's effect, however late it
// comes, is after now. An instant of 0 is none: an answer is waited for.
func (s *Session) Next(now int64) (RequestKind, int64) {
	if s.asks != NoRequest {
		return NoRequest, 0
	}
	if now < s.due {
		return NoRequest, s.due
	}
	s.sent, s.asks = now, RenewRequest
	if s.id == 0 {
		s.asks = GrantRequest
	}
	return s.asks, 0
}

// HandleResponse takes what became of the request under way, and the id of the session that was granted.
func (s *Session) HandleResponse(now int64, o Outcome, id uint64) {
	ask, sent := s.asks, s.sent
	if ask == NoRequest {
		return
	}
	s.asks = NoRequest
	if s.plant == FromAnswer {
		sent = now
	}
	every := s.rules.TTL / 3
	switch {
	case o == Done && (ask == RenewRequest || id != 0):
		if ask == GrantRequest {
			s.id = id
			s.number++
		}
		s.until, s.due, s.fails = max(s.until, sent+s.rules.Validity()), sent+every, 0
	case o == Gone && ask == RenewRequest && s.plant == RenewAfterEnd:
		s.until, s.due = sent+s.rules.Validity(), sent+every
	case o == Gone && ask == RenewRequest:
		s.Reset()
		s.due = now
	default: // it is tried again soon, and less and less often
		s.fails++
		s.due = now + every>>max(0, 4-min(s.fails, 4))
	}
}

// Reset forgets the session: it has ended, or is to be let end. A request under way is answered to nobody.
func (s *Session) Reset() { s.id, s.until, s.asks, s.due = 0, 0, NoRequest, 0 }
