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

// Protocol is the version of the protocol. A side that knows a higher one uses the lower of both.
const Protocol = 1

// Hello is the first frame on a connection.
type Hello struct {
	Protocol      int           `cbor:"1,keyasint"`
	From          replica.Hello `cbor:"2,keyasint"`
	Name          string        `cbor:"3,keyasint"` // of the sender
	RecipientName string        `cbor:"4,keyasint"`
	RecipientID   uint64        `cbor:"5,keyasint"` // member
	Address       string        `cbor:"6,keyasint"` // of the sender, for a recipient that knows no members yet
}

// HelloReply answers a Hello.
type HelloReply struct {
	Rejection string        `cbor:"1,keyasint,omitempty"` // reason, or empty if the hello was admitted
	From      replica.Hello `cbor:"2,keyasint"`
	Name      string        `cbor:"3,keyasint"`
}

// answerHello reads the hello on an accepted connection and replies to it. It reports whether the hello was admitted.
// The name of the sender's certificate is empty without keys.
func (t *Transport) answerHello(c net.Conn, r *bufio.Reader, certified string) (Hello, bool) {
	hello, err := t.readHello(r)
	if err != nil {
		t.Stats.InvalidFrames.Add(1)
		return hello, false
	}
	rejection := t.admit(hello, certified)
	reply := HelloReply{From: t.host.Hello(), Name: t.name} // after admit, which may assign this replica's identity
	if rejection != nil {
		reply.Rejection = rejection.Error()
		t.Stats.HellosRejected.Add(1)
		t.log.Warn("hello of a store peer rejected", "peer", hello.Name, "reason", rejection)
	}
	if err := t.writeCBOR(c, kindHelloReply, &reply); err != nil {
		return hello, false
	}
	return hello, reply.Rejection == ""
}

func (t *Transport) readHello(r io.Reader) (Hello, error) {
	var hello Hello
	kind, b, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return hello, err
	}
	if kind != kindHello {
		return hello, ErrInvalidFrame
	}
	if err := cbor.Unmarshal(b, &hello); err != nil {
		return hello, err
	}
	t.meter.Count(usage.Other, usage.In, 1, frameHeaderBytes+len(b))
	return hello, nil
}

// admit returns why a hello is rejected.
func (t *Transport) admit(hello Hello, certified string) error {
	switch {
	case t.keys != nil && certified != hello.Name:
		return fmt.Errorf("the certificate is for %q, and the hello from %q", certified, hello.Name)
	case hello.RecipientName != t.name:
		return fmt.Errorf("this is %q, not %q", t.name, hello.RecipientName)
	case hello.Protocol < 1:
		return fmt.Errorf("protocol %d", hello.Protocol)
	}
	return t.host.Admit(hello)
}

// sendHello sends a hello on a connection that this side opened, and handles the reply. It returns an error if either
// side rejects the other.
func (l *link) sendHello(c net.Conn) error {
	t := l.transport
	if err := c.SetDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	err := t.writeCBOR(c, kindHello, &Hello{
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
	reply, err := t.readReply(c)
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
	return c.SetDeadline(time.Time{})
}

func (t *Transport) readReply(r io.Reader) (HelloReply, error) {
	var reply HelloReply
	kind, b, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return reply, err
	}
	t.meter.Count(usage.Other, usage.In, 1, frameHeaderBytes+len(b))
	if kind != kindHelloReply {
		return reply, ErrInvalidFrame
	}
	return reply, cbor.Unmarshal(b, &reply)
}

func (t *Transport) writeCBOR(w io.Writer, kind frameKind, v any) error {
	b, err := cbor.Marshal(v)
	if err != nil {
		return err
	}
	t.meter.Count(usage.Other, usage.Out, 1, frameHeaderBytes+len(b))
	_, err = w.Write(appendFrame(nil, kind, b))
	return err
}
