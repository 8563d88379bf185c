// Package wire reads and writes the simulator's binary frames and settings text. It makes no decisions. The wire's
// own names for events and actions are given beside their codes.
package wire

import (
	"fmt"

	"birchmoor/balancer"
)

// Code numbers an event or an action; the two have separate code spaces.
type Code uint8

// Codes of events.
const (
	EventStart              Code = 16
	EventEndpointUpdate     Code = 17
	EventRequest            Code = 18
	EventResponseStarted    Code = 19
	EventOutcome            Code = 20
	EventClientDisconnected Code = 21
	EventTimer              Code = 22
	EventProbeResult        Code = 23
	EventPeerMessage        Code = 24
	EventStop               Code = 25
	EventEndpointList       Code = 26
	EventSelectInstance     Code = 27
)

// Codes of actions.
const (
	ActionSend            Code = 80 // deliver
	ActionReject          Code = 81 // decline
	ActionFail            Code = 82
	ActionCancel          Code = 83 // revoke
	ActionSetTimer        Code = 84 // arm
	ActionProbe           Code = 85 // sound_out
	ActionReleaseEndpoint Code = 86 // let_go
	ActionSendPeerMessage Code = 87 // write_peer
	ActionLog             Code = 88 // trace
	ActionReportError     Code = 89 // exception
	ActionWatch           Code = 90 // track
	ActionRequestList     Code = 91 // list_all
	ActionSelectInstance  Code = 92 // as
)

// eventNames are the wire's own names of events.
var eventNames = map[Code]string{
	EventStart:              "begin",
	EventEndpointUpdate:     "membership",
	EventRequest:            "request",
	EventResponseStarted:    "headers",
	EventOutcome:            "answer",
	EventClientDisconnected: "cancelled_by_client",
	EventTimer:              "timeout_fired",
	EventProbeResult:        "health_result",
	EventPeerMessage:        "whisper",
	EventStop:               "stop",
	EventEndpointList:       "manifest",
	EventSelectInstance:     "instance",
}

// String returns the event's name on the wire.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}

// statuses are the wire's codes of how an attempt or a probe ended.
var statuses = map[uint16]balancer.Status{
	200: balancer.OK,
	410: balancer.NotSent,
	499: balancer.Cancelled,
	500: balancer.Error,
	502: balancer.ConnectFailed,
	503: balancer.Rejected,
	504: balancer.Timeout,
	598: balancer.Reset,
}

// endpointStates are the wire's codes of lifecycle states.
var endpointStates = map[uint8]balancer.State{
	0: balancer.Ready,
	1: balancer.Draining,
	3: balancer.Removed,
}

// listKinds are the wire's codes of updates of the endpoint list.
var listKinds = map[uint8]balancer.ListKind{
	0: balancer.ListDelta,
	2: balancer.ListFailed,
	3: balancer.ListCached,
	4: balancer.ListFull,
}
