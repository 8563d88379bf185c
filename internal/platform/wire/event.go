package wire

import "birchmoor/balancer"

// Event is one decoded record. Only Code, Offset and the fields that are listed for its code are valid. Slices are
// valid until the next call of Decoder.Next.
type Event struct {
	Code     Code
	Offset   int                 // of the record in its frame
	Instance uint32              // EventSelectInstance
	Seed     uint64              // EventStart
	Config   string              // EventStart: settings text
	Kind     balancer.ListKind   // EventEndpointUpdate
	Entries  []balancer.Endpoint // EventEndpointUpdate
	Request  balancer.Request    // EventRequest
	Outcome  balancer.Outcome    // EventOutcome; parts of it: EventResponseStarted, EventClientDisconnected
	Token    uint32              // EventTimer
	Endpoint uint32              // EventProbeResult
	Status   balancer.Status     // EventProbeResult
	Latency  balancer.Micros     // EventProbeResult
	Load     []float32           // EventProbeResult
	From     uint16              // EventPeerMessage
	Data     []byte              // EventPeerMessage
}
