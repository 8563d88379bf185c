package balancer

// forgottenEndpoint stands for the endpoint of an attempt if it is no longer listed.
const forgottenEndpoint = -1

// Snapshot is the whole state of a balancer as data. Fields of type Micros that stand for an instant hold its age: the
// microseconds from it to At, negative for an instant after At. The exceptions are At itself and the start times of
// endpoints, which are by discovery's clock and identify a process. Classes and tenants are identified by name and
// endpoints by the host's ID. Whoever stores a snapshot for another process must also store the names that the IDs
// stand for.
//
// Resume makes a balancer that continues exactly as the one in the snapshot. Restore takes over only what is valid for
// a new process. Most fields are copies of the field of Balancer with a like name, where the meaning is documented. The
// cbor tags are the keys of the stored form: a change of a key's meaning needs a new version of the form.
type Snapshot struct {
	At      Micros       `cbor:"1,keyasint"`
	Random  uint64       `cbor:"2,keyasint"`           // state of the random generator
	Rules   []RulesState `cbor:"3,keyasint"`           // current rules first, then earlier ones of open requests
	Classes []ClassState `cbor:"4,keyasint"`           // by class slot
	Tenants []RateState  `cbor:"5,keyasint,omitempty"` // in the order of the settings

	Endpoints []EndpointState `cbor:"6,keyasint,omitempty"`
	Pool      []int           `cbor:"7,keyasint,omitempty"` // indices in Endpoints, latest report last
	Drains    []DrainState    `cbor:"8,keyasint,omitempty"` // in the order of their IDs
	Undrained []DrainState    `cbor:"9,keyasint,omitempty"` // drain ended, and nothing sent to them since

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

	// Records of requests. They are absent in a snapshot made without requests.
	RequestSlots     []RequestState `cbor:"34,keyasint,omitempty"` // by request slot
	FreeRequestSlots []int          `cbor:"35,keyasint,omitempty"` // free request slots, next to be used last
	Waiting          []int          `cbor:"36,keyasint,omitempty"` // request slots of requests that wait for probes
	PendingProbes    int            `cbor:"37,keyasint,omitempty"`
	ProbeRound       uint32         `cbor:"38,keyasint,omitempty"`
	Logged           []LoggedState  `cbor:"39,keyasint,omitempty"` // in the order of their topics

	ApertureSeed        uint64  `cbor:"40,keyasint,omitempty"`
	Aperture            []int   `cbor:"41,keyasint,omitempty"` // indices in Endpoints; empty for all of them
	SlowStartCorrection float64 `cbor:"42,keyasint,omitempty"` // absent in earlier versions, which stands for 1

	LastPoll Micros `cbor:"43,keyasint,omitempty"`

	OwnLoad MeanState `cbor:"44,keyasint,omitempty"` // absent in earlier versions
}

// RulesState is Rules as data. ClassSlots has the class slot of each class in Settings.
type RulesState struct {
	Settings   Settings `cbor:"1,keyasint"`
	ClassSlots []int    `cbor:"2,keyasint"`
}

// MeanState is a moving average as data. Samples is at least settledSamples if the average started with a given value.
type MeanState struct {
	Value   float64 `cbor:"1,keyasint,omitempty"`
	Samples float64 `cbor:"2,keyasint,omitempty"`
}

// RateState is a rate meter: a decaying sum and the age of its latest update. Name is set for a tenant's meter.
type RateState struct {
	Sum  float64 `cbor:"1,keyasint,omitempty"`
	Age  Micros  `cbor:"2,keyasint,omitempty"`
	Name string  `cbor:"3,keyasint,omitempty"`
}

// ClassState is what a balancer has observed of a class. Records counts the
// records of its requests, including ended ones that still have an attempt in flight.
type ClassState struct {
	Name           string    `cbor:"1,keyasint"`
	InUse          bool      `cbor:"2,keyasint,omitempty"`
	Records        int       `cbor:"3,keyasint,omitempty"`
	PriorityWeight float64   `cbor:"4,keyasint,omitempty"`
	Work           MeanState `cbor:"5,keyasint"`
	Demand         RateState `cbor:"6,keyasint"`
	OnTime         MeanState `cbor:"7,keyasint"`
	LastForced     Micros    `cbor:"8,keyasint,omitempty"`
}

// DrainState is an endpoint for which an operator ordered a drain, or whose drain ended, and how long ago.
type DrainState struct {
	ID  uint32 `cbor:"1,keyasint"`
	Age Micros `cbor:"2,keyasint"`
}

// LoggedState is a topic of log lines and the age of its latest line.
type LoggedState struct {
	Topic string `cbor:"1,keyasint"`
	Age   Micros `cbor:"2,keyasint"`
}

// EndpointState is a balancer's record of an endpoint.
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

	FailureRuns []FailureRunState `cbor:"28,keyasint,omitempty"` // runs that are not empty

	// Head is the age of the breaker's newest bucket, in buckets. It is bucketCount for any age beyond the window.
	Head       Micros        `cbor:"29,keyasint,omitempty"`
	Buckets    []BucketState `cbor:"30,keyasint,omitempty"` // buckets that are not empty
	Base       float64       `cbor:"31,keyasint,omitempty"` // base latency
	Current    float64       `cbor:"32,keyasint,omitempty"` // current latency
	LastForced Micros        `cbor:"33,keyasint,omitempty"`

	SlowStartToken Micros `cbor:"34,keyasint,omitempty"` // time until it expires; 0 without one
}

// FailureRunState is a run of consecutive failures. Part is -1 for all requests, a class slot for a class, or for a
// tenant its index plus the number of class slots.
type FailureRunState struct {
	Part             int    `cbor:"1,keyasint,omitempty"`
	Streak           int    `cbor:"2,keyasint,omitempty"`
	EjectedUntil     Micros `cbor:"3,keyasint,omitempty"`
	EjectionDuration Micros `cbor:"4,keyasint,omitempty"`
	Trial            bool   `cbor:"5,keyasint,omitempty"`
}

// BucketState is one bucket of a breaker's window. Back is its distance from the newest bucket, in buckets.
type BucketState struct {
	Back     int   `cbor:"1,keyasint,omitempty"`
	Requests int32 `cbor:"2,keyasint,omitempty"`
	Accepts  int32 `cbor:"3,keyasint,omitempty"`
	Failures int32 `cbor:"4,keyasint,omitempty"`
}

// RequestState is the record of a request. For a free request slot it has only the token.
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
	Rules         int            `cbor:"11,keyasint,omitempty"` // index in Snapshot.Rules
	ClassSlot     int            `cbor:"12,keyasint,omitempty"` // class slot
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

// AttemptState is one attempt at a request.
type AttemptState struct {
	Endpoint     int     `cbor:"1,keyasint,omitempty"` // index in Snapshot.Endpoints, or forgottenEndpoint
	Zone         uint8   `cbor:"2,keyasint,omitempty"`
	Cell         uint16  `cbor:"3,keyasint,omitempty"`
	Age          Micros  `cbor:"4,keyasint,omitempty"`
	Expected     float64 `cbor:"5,keyasint,omitempty"`
	ExpectedWork float64 `cbor:"6,keyasint,omitempty"`
	Pending      bool    `cbor:"7,keyasint,omitempty"`
	Streaming    bool    `cbor:"8,keyasint,omitempty"`
	MayHaveRun   bool    `cbor:"9,keyasint,omitempty"`
}
