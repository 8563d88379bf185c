package usage

import (
	"net"
	"testing"

	"birchmoor/internal/store"
)

// A recorder counts by purpose, direction and file. A nil recorder counts nothing. Neither allocates memory.
func TestRecorderCountsByPurpose(t *testing.T) {
	recorder := New(Prefix{"a/", ServerReports}, Prefix{"a", Tasks})
	command := &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "a/x"}}}}
	recordAll := func(r *Recorder) {
		r.Count(Heartbeats, In, 1, 70)
		r.Count(Heartbeats, Out, 2, 5)
		r.CountProposal(command)
		r.CountApplied(command, 30)
		r.CountWrite(CopyFile, 1, 900)
	}
	recordAll(recorder)
	reading := recorder.Read()
	wantHeartbeats := PurposeUsage{Purpose: "beats", MessagesIn: 1, BytesIn: 70, MessagesOut: 2, BytesOut: 5}
	if got, want := reading.Purposes[Heartbeats], wantHeartbeats; got != want {
		t.Errorf("heartbeats: got %+v, want %+v", got, want)
	}
	wantReports := PurposeUsage{Purpose: "words", Proposed: 1, Applied: 1, AppliedBytes: 30}
	if got, want := reading.Purposes[ServerReports], wantReports; got != want {
		t.Errorf("server reports: got %+v, want %+v", got, want)
	}
	if got, want := reading.Written[CopyFile], (FileUsage{"copy", 1, 900}); got != want {
		t.Errorf("copy file: got %+v, want %+v", got, want)
	}
	if got := recorder.KeyPurpose("ab"); got != Tasks {
		t.Errorf("a key with only the second prefix has the purpose %v, want Tasks", got)
	}
	process := reading.Process
	validMemory := process.HeapBytes > 0 && process.ResidentBytes > process.HeapBytes/2
	if process.CPUUserSeconds < 0 || !validMemory || process.Descriptors < 3 || process.Goroutines < 1 {
		t.Errorf("implausible resources of the process: %+v", process)
	}
	var nilRecorder *Recorder
	recordAll(nilRecorder)
	emptyReading := nilRecorder.Read()
	noHeartbeats, nothingWritten := PurposeUsage{Purpose: "beats"}, FileUsage{File: "copy"}
	if emptyReading.Purposes[Heartbeats] != noHeartbeats || emptyReading.Written[CopyFile] != nothingWritten ||
		emptyReading.Seconds != 0 {
		t.Errorf("a nil recorder counted %+v", emptyReading)
	}
	for _, r := range []*Recorder{recorder, nilRecorder} {
		if allocs := testing.AllocsPerRun(100, func() { recordAll(r) }); allocs != 0 {
			t.Errorf("counting allocated memory %v times", allocs)
		}
	}
}

// Both ends of a connection count its bytes, and a wrapped connection can still be closed in one direction.
func TestRecorderCountsConnectionBytes(t *testing.T) {
	tcpListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	serverRecorder, clientRecorder := New(), New()
	listener := serverRecorder.WrapListener(tcpListener)
	defer listener.Close()
	tcpConn, err := net.Dial("tcp", tcpListener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	clientConn := clientRecorder.WrapConn(tcpConn)
	defer clientConn.Close()
	serverConn, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer serverConn.Close()
	if _, err := clientConn.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if err := clientConn.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	buffer := make([]byte, 10)
	for err == nil {
		_, err = serverConn.Read(buffer)
	}
	if got, want := clientRecorder.Read().Connections, (Connections{Opened: 1, BytesOut: 5}); got != want {
		t.Errorf("connections of the client: got %+v, want %+v", got, want)
	}
	if got, want := serverRecorder.Read().Connections, (Connections{Opened: 1, BytesIn: 5}); got != want {
		t.Errorf("connections of the server: got %+v, want %+v", got, want)
	}
	var nilRecorder *Recorder
	if nilRecorder.WrapConn(tcpConn) != tcpConn || nilRecorder.WrapListener(tcpListener) != tcpListener {
		t.Error("a nil recorder wrapped a connection or a listener")
	}
}
