package handover

import (
	"io"
	"net"
	"testing"
	"time"
)

// A message of the other process must not wait for the rest of the next one, wherever that is cut.
func TestMessageIsHandledBeforeTheNextOneIsComplete(t *testing.T) {
	ours, theirs := net.Pipe()
	handled := make(chan message, 1)
	ended := make(chan error, 1)
	go func() {
		ended <- newConversation(ours).run(func(m message) message {
			handled <- m
			return message{}
		})
	}()
	go func() { _, _ = io.Copy(io.Discard, theirs) }() // the replies
	const line = `{"op":"ids","seq":1,"ids":["a"]}` + "\n"
	unsent := line
	for cut := range line {
		if _, err := io.WriteString(theirs, unsent+line[:cut]); err != nil {
			t.Fatal(err)
		}
		unsent = line[cut:]
		select {
		case m := <-handled:
			if m.Op != opIDs || len(m.Requests) != 1 {
				t.Errorf("cut after %d bytes: message %+v", cut, m)
			}
		case <-time.After(time.Minute):
			t.Fatalf("cut after %d bytes: the message before was not handled", cut)
		}
	}
	_ = theirs.Close()
	if err := <-ended; err != nil {
		t.Errorf("the conversation ended with %v", err)
	}
}
