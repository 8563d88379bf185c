package usage

import (
	"net"
	"testing"

	"birchmoor/internal/store"
)

// A meter counts what it is told, apart by purpose, direction and file; none at all counts nothing; and neither takes memory.
func TestRecorderCountsByPurpose(t *testing.T) {
	m := New(Prefix{"a/", ServerReports}, Prefix{"a", Tasks})
	c := &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "a/x"}}}}
	count := func(m *Recorder) {
		m.Count(Heartbeats, In, 1, 70)
		m.Count(Heartbeats, Out, 2, 5)
		m.CountProposal(c)
		m.CountApplied(c, 30)
		m.CountWrite(CopyFile, 1, 900)
	}
	count(m)
	r := m.Read()
	if got, want := r.Purposes[Heartbeats], (PurposeUsage{Purpose: "beats", MessagesIn: 1, BytesIn: 70, MessagesOut: 2, BytesOut: 5}); got != want {
		t.Errorf("%+v, and not %+v", got, want)
	}
	if got, want := r.Purposes[ServerReports], (PurposeUsage{Purpose: "words", Proposed: 1, Applied: 1, AppliedBytes: 30}); got != want {
		t.Errorf("%+v, and not %+v", got, want)
	}
	if got, want := r.Written[CopyFile], (FileUsage{"copy", 1, 900}); got != want {
		t.Errorf("%+v, and not %+v", got, want)
	}
	if got := m.KeyPurpose("ab"); got != Tasks {
		t.Errorf("a key of the second prefix is for %v", got)
	}
	if p := r.Process; p.CPUUserSeconds < 0 || p.HeapBytes <= 0 || p.ResidentBytes <= p.HeapBytes/2 || p.Descriptors < 3 || p.Goroutines < 1 {
		t.Errorf("the process: %+v", p)
	}
	var none *Recorder
	count(none)
	if r := none.Read(); r.Purposes[Heartbeats] != (PurposeUsage{Purpose: "beats"}) || r.Written[CopyFile] != (FileUsage{File: "copy"}) || r.Seconds != 0 {
		t.Errorf("no meter counted %+v", r)
	}
	for _, m := range []*Recorder{m, none} {
		if n := testing.AllocsPerRun(100, func() { count(m) }); n != 0 {
			t.Errorf("counting takes memory %v times", n)
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
		t.Errorf("%+v, and not %+v", got, want)
	}
	if got, want := here.Read().Connections, (Connections{Opened: 1, BytesIn: 5}); got != want {
		t.Errorf("%+v, and not %+v", got, want)
	}
	var none *Recorder
	if none.WrapConn(raw) != raw || none.WrapListener(ln) != ln {
		t.Error("without a meter something is between")
	}
}
