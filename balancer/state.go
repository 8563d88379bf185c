package balancer

// forgottenEndpoint stands for the endpoint of an attempt that is no longer listed.
const forgottenEndpoint = -1

// Snapshot is all that a balancer decides from, as data. Instants are given as ages: microseconds before At,
// negative for what lies ahead. Start times of endpoints are the exception: they are by discovery's clock, and name
// a process. Classes and tenants go by name, endpoints by the host's ID; whoever stores a snapshot for another
// process must store the names that the IDs stand for.
//
// Resume makes a balancer that continues exactly as the one in the snapshot; Restore takes from it what a new
// process may believe. The tags are those of the stored form: a change of their meaning is a new version of it.
type Snapshot struct {
	At      Micros       `cbor:"1,keyasint"`
	Random  uint64       `cbor:"2,keyasint"`           // the state of the generator
	Rules   []RulesState `cbor:"3,keyasint"`           // the current ones first, then those of open requests
	Classes []ClassState `cbor:"4,keyasint"`           // by slot
	Tenants []RateState  `cbor:"5,keyasint,omitempty"` // in the order of the settings

	Endpoints []EndpointState `cbor:"6,keyasint,omitempty"`
	Pool      []int           `cbor:"7,keyasint,omitempty"` // indices in Endpoints, the latest report last
	Drains    []DrainState    `cbor:"8,keyasint,omitempty"` // by ID
	Undrained []DrainState    `cbor:"9,keyasint,omitempty"` // drain ended, and sent nothing since

	Listed        bool      `cbor:"10,keyasint,omitempty"`
	Subscribed    bool      `cbor:"11,keyasint,omitempty"`
	ReportsLate   bool      `cbor:"12,keyasint,omitempty"`
	NextPoll      Micros    `cbor:"13,keyasint,omitempty"`
	PollBackoff   Micros    `cbor:"14,keyasint,omitempty"`
	CapacityValid Micros    `cbor:"15,keyasint,omitempty"`
	CapacityShare float64   `cbor:"16,keyasint,omitempty"`
	Capacity      float64   `cbor:"17,keyasint,omitempty"`
	WarmEndpoints float64   `cbor:"18,keyasint,omitempty"`
	RetryBudget   float64   `cbor:"19,keyasint,omitempty"`
	ReportTime    float64   `cbor:"20,keyasint,omitempty"`
	ReportChanges float64   `cbor:"21,keyasint,omitempty"`
	HintTrust     float64   `cbor:"22,keyasint,omitempty"`
	LatencyTrend  float64   `cbor:"23,keyasint,omitempty"`
	RepeatProbes  int       `cbor:"24,keyasint,omitempty"`
	RepeatProbed  uint32    `cbor:"25,keyasint,omitempty"`
	FleetPace     MeanState `cbor:"26,keyasint"`
	MeanWork      MeanState `cbor:"27,keyasint"`
	RejectionRate MeanState `cbor:"28,keyasint"`
	LateReports   MeanState `cbor:"29,keyasint"`
	TypicalLoad   MeanState `cbor:"30,keyasint"`
	ServiceTime   MeanState `cbor:"31,keyasint"`
	Demand        RateState `cbor:"32,keyasint"`
	SentWork      RateState `cbor:"33,keyasint"`

	// Records of requests; empty in a snapshot for another process.
	Slots         []RequestState `cbor:"34,keyasint,omitempty"`
	Free          []int          `cbor:"35,keyasint,omitempty"` // slots to use again, the next one last
	Waiting       []int          `cbor:"36,keyasint,omitempty"` // slots that wait for probes
	PendingProbes int            `cbor:"37,keyasint,omitempty"`
	ProbeRound    uint32         `cbor:"38,keyasint,omitempty"`
	Logged        []LoggedState  `cbor:"39,keyasint,omitempty"` // by topic

	ApertureSeed        uint64  `cbor:"40,keyasint,omitempty"`
	Aperture            []int   `cbor:"41,keyasint,omitempty"` // indices in Endpoints; none if it is all of them
	SlowStartCorrection float64 `cbor:"42,keyasint,omitempty"` // absent in earlier versions: 1

	LastPoll Micros `cbor:"43,keyasint,omitempty"`
}

// RulesState are settings and the slots of their classes.
type RulesState struct {
	Settings Settings `cbor:"1,keyasint"`
	Slots    []int    `cbor:"2,keyasint"`
}

// MeanState is a moving average: its value and its number of samples.
type MeanState struct {
	V float64 `cbor:"1,keyasint,omitempty"`
	N float64 `cbor:"2,keyasint,omitempty"`
}

// RateState is a decaying sum; Name is set for a tenant's.
type RateState struct {
	Sum  float64 `cbor:"1,keyasint,omitempty"`
	Age  Micros  `cbor:"2,keyasint,omitempty"`
	Name string  `cbor:"3,keyasint,omitempty"`
}

// ClassState is what was observed of a class.
type ClassState struct {
	Name           string    `cbor:"1,keyasint"`
	InUse          bool      `cbor:"2,keyasint,omitempty"`
	Open           int       `cbor:"3,keyasint,omitempty"`
	PriorityWeight float64   `cbor:"4,keyasint,omitempty"`
	Work           MeanState `cbor:"5,keyasint"`
	Demand         RateState `cbor:"6,keyasint"`
	OnTime         MeanState `cbor:"7,keyasint"`
	LastForced     Micros    `cbor:"8,keyasint,omitempty"`
}

// DrainState is an endpoint that operators drained, or brought back into service, and how long ago.
type DrainState struct {
	ID  uint32 `cbor:"1,keyasint"`
	Age Micros `cbor:"2,keyasint"`
}

// LoggedState is a topic of the log and the age of its latest line.
type LoggedState struct {
	Topic string `cbor:"1,keyasint"`
	Age   Micros `cbor:"2,keyasint"`
}

// EndpointState is what is known of an endpoint.
type EndpointState struct {
	ID        uint32  `cbor:"1,keyasint"`
	Zone      uint8   `cbor:"2,keyasint,omitempty"`
	Kind      uint8   `cbor:"3,keyasint,omitempty"`
	Cell      uint16  `cbor:"4,keyasint,omitempty"`
	State     State   `cbor:"5,keyasint,omitempty"`
	Weight    float32 `cbor:"6,keyasint,omitempty"`
	StartTime Micros  `cbor:"7,keyasint,omitempty"` // by discovery's clock

	WarmingUp       bool      `cbor:"8,keyasint,omitempty"`
	HasLoad         bool      `cbor:"9,keyasint,omitempty"`
	Probing         bool      `cbor:"10,keyasint,omitempty"`
	SlowStart       Micros    `cbor:"11,keyasint,omitempty"`
	SlowStartBudget float64   `cbor:"12,keyasint,omitempty"`
	BudgetRefilled  Micros    `cbor:"13,keyasint,omitempty"`
	Inflight        int       `cbor:"14,keyasint,omitempty"`
	Streaming       int       `cbor:"15,keyasint,omitempty"`
	LastSend        Micros    `cbor:"16,keyasint,omitempty"`
	SilentSince     Micros    `cbor:"17,keyasint,omitempty"`
	ReportSum       float32   `cbor:"18,keyasint,omitempty"`
	ProbeRound      uint32    `cbor:"19,keyasint,omitempty"`
	LastProbe       Micros    `cbor:"20,keyasint,omitempty"`
	LastReport      Micros    `cbor:"21,keyasint,omitempty"`
	OthersLoad      float64   `cbor:"22,keyasint,omitempty"`
	OwnAtReport     int       `cbor:"23,keyasint,omitempty"`
	RTT             MeanState `cbor:"24,keyasint,omitempty"`
	Pace            MeanState `cbor:"25,keyasint,omitempty"`
	PaceLearned     Micros    `cbor:"26,keyasint,omitempty"`
	EjectedUntil    Micros    `cbor:"27,keyasint,omitempty"`

	FailureRuns []FailureRunState `cbor:"28,keyasint,omitempty"` // those that are not empty

	// Head is the age of the newest bucket, in buckets; all that are older than the window count the same.
	Head       Micros        `cbor:"29,keyasint,omitempty"`
	Buckets    []BucketState `cbor:"30,keyasint,omitempty"` // those that are not empty
	Base       float64       `cbor:"31,keyasint,omitempty"`
	Current    float64       `cbor:"32,keyasint,omitempty"`
	LastForced Micros        `cbor:"33,keyasint,omitempty"`
}

// FailureRunState is a run of failures. Part is -1 for all requests, else the slot of a class or, behind all
// classes, the index of a tenant.
type FailureRunState struct {
	Part             int    `cbor:"1,keyasint,omitempty"`
	Streak           int    `cbor:"2,keyasint,omitempty"`
	EjectedUntil     Micros `cbor:"3,keyasint,omitempty"`
	EjectionDuration Micros `cbor:"4,keyasint,omitempty"`
	Trial            bool   `cbor:"5,keyasint,omitempty"`
}

// BucketState is a part of a breaker's window; Back is its distance from the newest, in buckets.
type BucketState struct {
	Back     int   `cbor:"1,keyasint,omitempty"`
	Requests int32 `cbor:"2,keyasint,omitempty"`
	Accepts  int32 `cbor:"3,keyasint,omitempty"`
	Failures int32 `cbor:"4,keyasint,omitempty"`
}

// RequestState is the record of a request, or of a free slot the token alone.
type RequestState struct {
	Token         uint32         `cbor:"1,keyasint"`
	ID            uint64         `cbor:"2,keyasint,omitempty"`
	Deadline      Micros         `cbor:"3,keyasint,omitempty"`
	Hint          Micros         `cbor:"4,keyasint,omitempty"`
	HasHint       bool           `cbor:"5,keyasint,omitempty"`
	Retry         bool           `cbor:"6,keyasint,omitempty"`
	Write         bool           `cbor:"7,keyasint,omitempty"`
	BodyStreaming bool           `cbor:"8,keyasint,omitempty"`
	Tenant        uint16         `cbor:"9,keyasint,omitempty"`
	Class         uint8          `cbor:"10,keyasint,omitempty"`
	Rules         int            `cbor:"11,keyasint,omitempty"` // an index in Snapshot.Rules
	Slot          int            `cbor:"12,keyasint,omitempty"`
	Arrived       Micros         `cbor:"13,keyasint,omitempty"`
	Work          float64        `cbor:"14,keyasint,omitempty"`
	LogHint       float64        `cbor:"15,keyasint,omitempty"`
	Priority      float64        `cbor:"16,keyasint,omitempty"`
	PriorityAge   Micros         `cbor:"17,keyasint,omitempty"`
	Waiting       bool           `cbor:"18,keyasint,omitempty"`
	Ended         bool           `cbor:"19,keyasint,omitempty"`
	Responding    bool           `cbor:"20,keyasint,omitempty"`
	OnTime        float64        `cbor:"21,keyasint,omitempty"`
	Attempts      []AttemptState `cbor:"22,keyasint,omitempty"`
}

// AttemptState is one send of a request.
type AttemptState struct {
	Endpoint     int     `cbor:"1,keyasint,omitempty"` // an index in Snapshot.Endpoints, or forgottenEndpoint
	Zone         uint8   `cbor:"2,keyasint,omitempty"`
	Cell         uint16  `cbor:"3,keyasint,omitempty"`
	Age          Micros  `cbor:"4,keyasint,omitempty"`
	Expected     float64 `cbor:"5,keyasint,omitempty"`
	ExpectedWork float64 `cbor:"6,keyasint,omitempty"`
	Pending      bool    `cbor:"7,keyasint,omitempty"`
	Streaming    bool    `cbor:"8,keyasint,omitempty"`
	MayHaveRun   bool    `cbor:"9,keyasint,omitempty"`
}
