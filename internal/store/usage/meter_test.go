package usage

import (
	"net"
	"testing"

	"birchmoor/internal/store"
)

// A meter counts what it is told, apart by purpose, direction and file; none at all counts nothing; and neither takes memory.
func TestCounts(t *testing.T) {
	m := New(Prefix{"a/", Words}, Prefix{"a", Tasks})
	c := &store.Command{Txn: &store.Txn{Then: []store.Op{{Key: "a/x"}}}}
	count := func(m *Meter) {
		m.Count(Beats, In, 1, 70)
		m.Count(Beats, Out, 2, 5)
		m.Proposed(c)
		m.Applied(c, 30)
		m.Wrote(Copy, 1, 900)
	}
	count(m)
	r := m.Read()
	if got, want := r.Purposes[Beats], (Flow{Purpose: "beats", MessagesIn: 1, BytesIn: 70, MessagesOut: 2, BytesOut: 5}); got != want {
		t.Errorf("%+v, and not %+v", got, want)
	}
	if got, want := r.Purposes[Words], (Flow{Purpose: "words", Proposed: 1, Applied: 1, AppliedBytes: 30}); got != want {
		t.Errorf("%+v, and not %+v", got, want)
	}
	if got, want := r.Written[Copy], (Written{"copy", 1, 900}); got != want {
		t.Errorf("%+v, and not %+v", got, want)
	}
	if got := m.KeyPurpose("ab"); got != Tasks {
		t.Errorf("a key of the second prefix is for %v", got)
	}
	if p := r.Process; p.CPUUserSeconds < 0 || p.HeapBytes <= 0 || p.ResidentBytes <= p.HeapBytes/2 || p.Descriptors < 3 || p.Goroutines < 1 {
		t.Errorf("the process: %+v", p)
	}
	var none *Meter
	count(none)
	if r := none.Read(); r.Purposes[Beats] != (Flow{Purpose: "beats"}) || r.Written[Copy] != (Written{File: "copy"}) || r.Seconds != 0 {
		t.Errorf("no meter counted %+v", r)
	}
	for _, m := range []*Meter{m, none} {
		if n := testing.AllocsPerRun(100, func() { count(m) }); n != 0 {
			t.Errorf("counting takes memory %v times", n)
		}
	}
}

// What crosses a connection is counted at both ends, and the ends can still be closed one way.
func TestConnections(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	here, there := New(), New()
	in := here.Listener(ln)
	defer in.Close()
	raw, err := net.Dial("tcp", ln.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	c := there.Conn(raw)
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
	var none *Meter
	if none.Conn(raw) != raw || none.Listener(ln) != ln {
		t.Error("without a meter something is between")
	}
}
