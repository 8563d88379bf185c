package dnsfront

import (
	"encoding/binary"
	"net"
	"testing"

	"github.com/miekg/dns"

	"birchmoor/balancer"
	"birchmoor/internal/dataplane/core"
	"birchmoor/internal/testutil/sidecartest"
)

// frameOf returns a message as it is sent over TCP.
func frameOf(t *testing.T, message *dns.Msg) []byte {
	t.Helper()
	raw, err := message.Pack()
	if err != nil {
		t.Fatal(err)
	}
	return appendFrame(nil, raw)
}

// A query over TCP must not wait for the rest of the next one, wherever that is cut.
func TestQueryIsAnsweredBeforeTheNextOneIsComplete(t *testing.T) {
	sidecar := startDefaultSidecar(t, startServer(t, nil))
	conn, err := net.Dial("tcp", sidecar.addr)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	setReadTimeout(t, conn, sidecartest.WaitTimeout)
	query := addressQuery()
	query.Id = 0
	frame := frameOf(t, query)
	unsent := frame
	for id := range uint16(len(frame)) {
		// The rest of this query goes out with a beginning of the next one, which is longer each time.
		query.Id = id + 1
		next := frameOf(t, query)
		if _, err := conn.Write(append(unsent, next[:id]...)); err != nil {
			t.Fatal(err)
		}
		unsent = next[id:]
		answer, err := readFrame(conn, nil)
		if err != nil || binary.BigEndian.Uint16(answer) != id {
			t.Fatalf("after query %d and %d bytes of the next one: answer %x, %v", id, id, answer, err)
		}
	}
}

// An answer over TCP must not wait for the rest of the next one, wherever that is cut.
func TestAnswerIsPassedOnBeforeTheNextOneIsComplete(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	answered := make(chan struct{})
	cut := make(chan int, 1)
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		for {
			var frames [2][]byte
			for i := range frames {
				raw, err := readFrame(conn, nil)
				query := new(dns.Msg)
				if err != nil || query.Unpack(raw) != nil {
					return
				}
				packed, _ := answerWith(query, 1).Pack() // of a query that was unpacked
				frames[i] = appendFrame(nil, packed)
			}
			at := <-cut
			_, _ = conn.Write(append(frames[0], frames[1][:at]...))
			<-answered
			_, _ = conn.Write(frames[1][at:])
		}
	}()
	target := testUpstream(t, 8).Target(listener.Addr().String())
	for at := range 30 {
		cut <- at
		replies := make(chan core.Reply, 2)
		for range 2 {
			go func() { replies <- sendAttempt(t, target, addressQuery(), true, always) }()
		}
		for i := range 2 {
			if reply := sidecartest.Receive(t, replies, "an answer"); reply.Status != balancer.OK {
				t.Fatalf("cut after %d bytes: answer %d: status %v, want OK", at, i, reply.Status)
			}
			if i == 0 {
				answered <- struct{}{}
			}
		}
	}
}
