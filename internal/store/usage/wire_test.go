package usage

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// TestReadingJSONIsFrozen counts what an earlier build counted, and compares the reading with the one that it
// wrote.
func TestReadingJSONIsFrozen(t *testing.T) {
	want, err := os.ReadFile("testdata/reading.golden.json")
	if err != nil {
		t.Fatal(err)
	}
	m := New()
	n := 0
	for p := range purposeCount {
		n++
		m.Count(p, In, n, 100+n)
		m.Count(p, Out, 20+n, 200+n)
		m.proposed[p].Add(uint64(300 + n))
		m.applied[p].messages.Add(uint64(400 + n))
		m.applied[p].bytes.Add(uint64(500 + n))
	}
	for f := range fileCount {
		n++
		m.CountWrite(f, n, 1000+n)
	}
	m.connections.Add(3)
	m.connBytes[In].Add(7)
	m.connBytes[Out].Add(8)
	reading := m.ReadCounters()
	reading.Seconds = 12.5
	reading.Process = Process{
		CPUUserSeconds: 1.5, CPUSystemSeconds: 0.25, HeapBytes: 9, ResidentBytes: 10, Descriptors: 11, Goroutines: 12,
	}
	encode := func(r Reading) []byte {
		b, err := json.MarshalIndent(r, "", " ")
		if err != nil {
			t.Fatal(err)
		}
		return append(b, '\n')
	}
	if got := encode(reading); !bytes.Equal(got, want) {
		t.Errorf("encoded\n%s\nwant\n%s", got, want)
	}
	var decoded Reading
	d := json.NewDecoder(bytes.NewReader(want))
	d.DisallowUnknownFields()
	if err := d.Decode(&decoded); err != nil || !bytes.Equal(encode(decoded), want) {
		t.Errorf("decoded %+v (%v)", decoded, err)
	}
}
