package usage

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"
)

// TestReadingJSONIsFrozen counts the same as an earlier build did, and compares the encoded reading with that build's.
func TestReadingJSONIsFrozen(t *testing.T) {
	want, err := os.ReadFile("testdata/reading.golden.json")
	if err != nil {
		t.Fatal(err)
	}
	recorder := New()
	n := 0
	for purpose := range purposeCount {
		n++
		recorder.Count(purpose, In, n, 100+n)
		recorder.Count(purpose, Out, 20+n, 200+n)
		recorder.proposed[purpose].Add(uint64(300 + n))
		recorder.applied[purpose].messages.Add(uint64(400 + n))
		recorder.applied[purpose].bytes.Add(uint64(500 + n))
	}
	for file := range fileCount {
		n++
		recorder.CountWrite(file, n, 1000+n)
	}
	recorder.connections.Add(3)
	recorder.connBytes[In].Add(7)
	recorder.connBytes[Out].Add(8)
	reading := recorder.ReadCounters()
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
	decoder := json.NewDecoder(bytes.NewReader(want))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&decoded); err != nil || !bytes.Equal(encode(decoded), want) {
		t.Errorf("the reading does not survive decoding and encoding: decoded %+v (error %v)", decoded, err)
	}
}
