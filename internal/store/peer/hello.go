package peer

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"time"

	"birchmoor/internal/store/replica"
	"birchmoor/internal/store/usage"

	"github.com/fxamacker/cbor/v2"
)

// Protocol is the highest version of the protocol that this build knows. Two sides use the lower of their versions.
const Protocol = 1

// Hello is the first frame on a connection, by which the side that opened it identifies itself.
type Hello struct {
	Protocol      int           `cbor:"1,keyasint"`
	From          replica.Hello `cbor:"2,keyasint"`
	Name          string        `cbor:"3,keyasint"` // name of the sender
	RecipientName string        `cbor:"4,keyasint"` // name of the member that the sender expects to reach
	RecipientID   uint64        `cbor:"5,keyasint"` // member ID of the recipient
	Address       string        `cbor:"6,keyasint"` // address of the sender, for a recipient that knows no members yet
}

// HelloReply is the reply to a Hello.
type HelloReply struct {
	Rejection string        `cbor:"1,keyasint,omitempty"` // why the hello was rejected; empty if it was admitted
	From      replica.Hello `cbor:"2,keyasint"`
	Name      string        `cbor:"3,keyasint"` // name of the replying replica
}

// answerHello reads the hello on an accepted connection and replies to it. It reports whether the hello was admitted.
// certifiedName is the name in the sender's certificate, or empty on plain TCP.
func (t *Transport) answerHello(conn net.Conn, r *bufio.Reader, certifiedName string) (Hello, bool) {
	hello, err := t.readHello(r)
	if err != nil {
		t.Stats.InvalidFrames.Add(1)
		return hello, false
	}
	rejection := t.admit(hello, certifiedName)
	// built after admit, which may assign this replica's identity
	reply := HelloReply{From: t.host.Hello(), Name: t.name}
	if rejection != nil {
		reply.Rejection = rejection.Error()
		t.Stats.HellosRejected.Add(1)
		t.log.Warn("hello of a store peer rejected", "peer", hello.Name, "reason", rejection)
	}
	if err := t.writeCBOR(conn, kindHelloReply, &reply); err != nil {
		return hello, false
	}
	return hello, reply.Rejection == ""
}

func (t *Transport) readHello(r io.Reader) (Hello, error) {
	var hello Hello
	kind, payload, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return hello, err
	}
	if kind != kindHello {
		return hello, ErrInvalidFrame
	}
	if err := cbor.Unmarshal(payload, &hello); err != nil {
		return hello, err
	}
	t.meter.Count(usage.Other, usage.In, 1, frameHeaderBytes+len(payload))
	return hello, nil
}

// admit returns why a hello is rejected, or nil. The text of the error is sent to the peer.
func (t *Transport) admit(hello Hello, certifiedName string) error {
	switch {
	case t.keys != nil && certifiedName != hello.Name:
		return fmt.Errorf("the certificate is for %q, and the hello from %q", certifiedName, hello.Name)
	case hello.RecipientName != t.name:
		return fmt.Errorf("this is %q, not %q", t.name, hello.RecipientName)
	case hello.Protocol < 1:
		return fmt.Errorf("protocol %d", hello.Protocol)
	}
	return t.host.Admit(hello)
}

// sendHello sends a hello on a connection that this side opened, and waits for the reply. It returns an error if either
// side rejects the other.
func (l *link) sendHello(conn net.Conn) error {
	t := l.transport
	if err := conn.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	err := t.writeCBOR(conn, kindHello, &Hello{
		Protocol:      Protocol,
		From:          t.host.Hello(),
		Name:          t.name,
		RecipientName: l.peer.Name,
		RecipientID:   l.memberID,
		Address:       t.address,
	})
	if err != nil {
		return err
	}
	reply, err := t.readReply(conn)
	if err != nil {
		return err
	}
	if reply.Rejection != "" {
		t.Stats.HellosRejected.Add(1)
		return fmt.Errorf("hello rejected by %q: %s", l.peer.Name, reply.Rejection)
	}
	if err := t.host.Admit(Hello{Protocol: Protocol, From: reply.From, Name: reply.Name}); err != nil {
		t.Stats.HellosRejected.Add(1)
		t.log.Warn("hello of a store peer rejected", "peer", reply.Name, "reason", err)
		return err
	}
	return conn.SetDeadline(time.Time{})
}

func (t *Transport) readReply(r io.Reader) (HelloReply, error) {
	var reply HelloReply
	kind, payload, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return reply, err
	}
	t.meter.Count(usage.Other, usage.In, 1, frameHeaderBytes+len(payload))
	if kind != kindHelloReply {
		return reply, ErrInvalidFrame
	}
	return reply, cbor.Unmarshal(payload, &reply)
}

// writeCBOR writes a frame whose payload is a value encoded in CBOR.
func (t *Transport) writeCBOR(w io.Writer, kind frameKind, value any) error {
	payload, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	t.meter.Count(usage.Other, usage.Out, 1, frameHeaderBytes+len(payload))
	_, err = w.Write(appendFrame(nil, kind, payload))
	return err
}
