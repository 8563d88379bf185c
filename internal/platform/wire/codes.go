// Package wire decodes the simulator's binary event frames, encodes replies with actions, and converts settings from
// and to the simulator's text. The simulator's own names of events and actions are given next to their codes.
package wire

import (
	"fmt"

	"birchmoor/balancer"
)

// Code identifies the kind of an event or of an action, which have separate codes.
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

// Codes of actions. A comment gives the simulator's name where it differs.
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

// eventNames are the simulator's names of events.
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

// String returns the simulator's name of an event. For actions it is not meaningful.
func (c Code) String() string {
	if name, ok := eventNames[c]; ok {
		return name
	}
	return fmt.Sprintf("event %d", uint8(c))
}

// statuses maps the simulator's status codes to the outcomes of attempts and probes.
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

// endpointStates maps the simulator's codes to the states of endpoints.
var endpointStates = map[uint8]balancer.State{
	0: balancer.Ready,
	1: balancer.Draining,
	3: balancer.Removed,
}

// listKinds maps the simulator's codes to the kinds of endpoint list updates.
var listKinds = map[uint8]balancer.ListKind{
	0: balancer.ListDelta,
	2: balancer.ListFailed,
	3: balancer.ListCached,
	4: balancer.ListFull,
}
