package peer

import (
	"bufio"
	"bytes"
	"net"
	"testing"
	"time"
)

// A frame must not wait for the rest of the next one, wherever that is cut, nor for the reader's buffer.
func TestFrameIsReadBeforeTheNextOneIsComplete(t *testing.T) {
	reading, writing := net.Pipe()
	defer func() { _ = reading.Close() }()
	defer func() { _ = writing.Close() }()
	if err := reading.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	payload := bytes.Repeat([]byte("p"), 40)
	frame := appendFrame(nil, kindMessage, payload)
	cuts := make(chan int)
	go func() {
		unsent := frame
		for cut := range cuts {
			if _, err := writing.Write(append(bytes.Clone(unsent), frame[:cut]...)); err != nil {
				return
			}
			unsent = frame[cut:]
		}
	}()
	defer close(cuts)
	r := bufio.NewReaderSize(reading, bufferBytes)
	for cut := range frame {
		cuts <- cut // the writer waits for the next one with the rest of the frame unsent
		if kind, got, err := readFrame(r, maxFrameBytes); kind != kindMessage || !bytes.Equal(got, payload) || err != nil {
			t.Fatalf("before a frame cut after %d bytes: %c, %d bytes, %v", cut, kind, len(got), err)
		}
	}
}
