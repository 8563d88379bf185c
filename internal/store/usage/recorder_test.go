package usage

import (
	"net"
	"testing"

	"birchmoor/internal/store"
)

// A recorder counts by purpose, direction and file; a nil one counts nothing; and neither allocates.
func TestRecorderCountsByPurpose(t *testing.T) {
	recorder := New(Prefix{"a/", ServerReports}, Prefix{"a", Tasks})
	c := &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "a/x"}}}}
	count := func(m *Recorder) {
		m.Count(Heartbeats, In, 1, 70)
		m.Count(Heartbeats, Out, 2, 5)
		m.CountProposal(c)
		m.CountApplied(c, 30)
		m.CountWrite(CopyFile, 1, 900)
	}
	count(recorder)
	r := recorder.Read()
	wantHeartbeats := PurposeUsage{Purpose: "beats", MessagesIn: 1, BytesIn: 70, MessagesOut: 2, BytesOut: 5}
	if got, want := r.Purposes[Heartbeats], wantHeartbeats; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	wantReports := PurposeUsage{Purpose: "words", Proposed: 1, Applied: 1, AppliedBytes: 30}
	if got, want := r.Purposes[ServerReports], wantReports; got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := r.Written[CopyFile], (FileUsage{"copy", 1, 900}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got := recorder.KeyPurpose("ab"); got != Tasks {
		t.Errorf("a key of the second prefix is for %v", got)
	}
	p := r.Process
	validMemory := p.HeapBytes > 0 && p.ResidentBytes > p.HeapBytes/2
	if p.CPUUserSeconds < 0 || !validMemory || p.Descriptors < 3 || p.Goroutines < 1 {
		t.Errorf("the process: %+v", p)
	}
	var none *Recorder
	count(none)
	empty := none.Read()
	noHeartbeats, nothingWritten := PurposeUsage{Purpose: "beats"}, FileUsage{File: "copy"}
	if empty.Purposes[Heartbeats] != noHeartbeats || empty.Written[CopyFile] != nothingWritten || empty.Seconds != 0 {
		t.Errorf("a nil recorder counted %+v", empty)
	}
	for _, m := range []*Recorder{recorder, none} {
		if n := testing.AllocsPerRun(100, func() { count(m) }); n != 0 {
			t.Errorf("counting allocates %v times", n)
		}
	}
}

// What crosses a connection is counted at both ends, and the ends can still be closed one way.
func TestRecorderCountsConnectionBytes(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	here, there := New(), New()
	in := here.WrapListener(ln)
	defer in.Close()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := there.WrapConn(raw)
	defer c.Close()
	s, err := in.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	if _, err := c.Write([]byte("hello")); err != nil {
		t.Fatal(err)
	}
	if err := c.(interface{ CloseWrite() error }).CloseWrite(); err != nil {
		t.Fatal(err)
	}
	b := make([]byte, 10)
	for err == nil {
		_, err = s.Read(b)
	}
	if got, want := there.Read().Connections, (Connections{Opened: 1, BytesOut: 5}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	if got, want := here.Read().Connections, (Connections{Opened: 1, BytesIn: 5}); got != want {
		t.Errorf("got %+v, want %+v", got, want)
	}
	var none *Recorder
	if none.WrapConn(raw) != raw || none.WrapListener(ln) != ln {
		t.Error("a nil recorder wraps")
	}
}
