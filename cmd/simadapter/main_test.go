package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settings = `classes.count=1
prices.probe=1000
classes.0.give-up=500000
classes.0.repeat=pure
classes.0.target=250000
contract.cold-from=0.2
contract.ramp-time=1000000
limits.most-tries=3
limits.probes=true
limits.cancel=true
reporting.fields=busy_reqs
reporting.how=probe
`

// record returns an event record with the given fields.
func record(code byte, fields ...any) []byte {
	var b bytes.Buffer
	for _, f := range fields {
		if s, ok := f.(string); ok {
			f = []byte(s)
		}
		if err := binary.Write(&b, binary.BigEndian, f); err != nil {
			panic(err)
		}
	}
	encoded := binary.BigEndian.AppendUint32([]byte{code}, uint32(b.Len()))
	return append(encoded, b.Bytes()...)
}

func batch(number uint32, now uint64, records ...[]byte) []byte {
	body := bytes.Join(records, nil)
	b := binary.BigEndian.AppendUint32(nil, number)
	b = binary.BigEndian.AppendUint32(b, uint32(16+len(body)))
	b = binary.BigEndian.AppendUint64(b, now)
	return append(b, body...)
}

func selectInstance(i uint32) []byte { return record(27, i) }

func start(text string) []byte { return record(16, uint64(5), uint32(len(text)), text) }

func endpointList(ids ...uint32) []byte {
	fields := []any{uint8(0), uint32(len(ids))}
	for _, id := range ids {
		fields = append(fields, id, uint8(0), uint8(0), uint16(0), uint8(0), float32(1), uint64(0))
	}
	return record(26, fields...)
}

// cachedListUpdate returns an update that refers to endpoint list 0.
func cachedListUpdate() []byte { return record(17, uint32(1), uint8(0), uint8(3)) }

func request(id uint64, deadline uint64) []byte {
	return record(18, id, uint64(0), deadline, uint32(0), uint8(0), uint16(0), uint8(0))
}

func outcome(id uint64, endpoint uint32, status uint16, answered uint8) []byte {
	return record(20, id, uint16(0), endpoint, status, uint32(3000), answered, uint8(0))
}

// runBatches runs the adapter on the given batches and returns what it wrote.
func runBatches(t *testing.T, batches ...[]byte) (out, stderr string, err error) {
	t.Helper()
	var stdoutBuffer, stderrBuffer bytes.Buffer
	err = run(bytes.NewReader(bytes.Join(batches, nil)), &stdoutBuffer, &stderrBuffer)
	return stdoutBuffer.String(), stderrBuffer.String(), err
}

// actionCodes returns the batch number of one reply and the codes of its records.
func actionCodes(t *testing.T, reply []byte) (number uint32, codes []byte) {
	t.Helper()
	if int(binary.BigEndian.Uint32(reply[4:])) != len(reply) {
		t.Fatalf("a reply of %d bytes has the size %d in its header", len(reply), binary.BigEndian.Uint32(reply[4:]))
	}
	for offset := 12; offset < len(reply); {
		codes = append(codes, reply[offset])
		offset += 5 + int(binary.BigEndian.Uint32(reply[offset+1:]))
	}
	if int(binary.BigEndian.Uint32(reply[8:])) != len(codes) {
		t.Fatalf("a reply with %d records has the count %d in its header", len(codes),
			binary.BigEndian.Uint32(reply[8:]))
	}
	return binary.BigEndian.Uint32(reply), codes
}

func TestEmptyBatchGetsEmptyReply(t *testing.T) {
	out, _, err := runBatches(t, batch(1, 100))
	if err != nil || out != "\x00\x00\x00\x01\x00\x00\x00\x0c\x00\x00\x00\x00" {
		t.Errorf("reply %x, error %v, want a header alone", out, err)
	}
}

func TestRequestIsSentToOneEndpoint(t *testing.T) {
	out, stderr, err := runBatches(t, batch(7, 1000, selectInstance(3), start(settings), endpointList(11, 12),
		cachedListUpdate(), request(5, 500_000)))
	if err != nil || stderr != "" {
		t.Fatal(stderr, err)
	}
	number, codes := actionCodes(t, []byte(out))
	if number != 7 || codes[0] != 92 || bytes.Count(codes, []byte{80}) != 1 {
		t.Errorf("reply to batch %d with codes %v, want batch 7 and one deliver record (80)", number, codes)
	}
}

func TestInstanceRestartedInOneBatchForgetsRequests(t *testing.T) {
	out, _, err := runBatches(t,
		batch(1, 1000, selectInstance(3), start(settings), endpointList(11), cachedListUpdate(), request(5, 500_000)),
		batch(2, 2000, selectInstance(3), record(25), start(settings), endpointList(12), cachedListUpdate(),
			outcome(5, 11, 500, 0), request(6, 500_000)))
	if err != nil {
		t.Fatal(err)
	}
	firstReplyBytes := int(binary.BigEndian.Uint32([]byte(out)[4:]))
	_, codes := actionCodes(t, []byte(out)[firstReplyBytes:])
	if bytes.Count(codes, []byte{80}) != 1 || bytes.IndexByte(codes, 81) >= 0 || bytes.IndexByte(codes, 82) >= 0 {
		t.Errorf("the restarted instance acted on a request of before: codes %v", codes)
	}
}

func TestInstancesDoNotAffectEachOther(t *testing.T) {
	script := func(instances ...uint32) [][]byte {
		var batches [][]byte
		var records [][]byte
		records = append(records, endpointList(11, 12, 13))
		for _, i := range instances {
			records = append(records, selectInstance(i), start(settings), cachedListUpdate())
		}
		batches = append(batches, batch(1, 1000, records...))
		for n := range uint64(30) {
			records = nil
			for _, i := range instances {
				records = append(records, selectInstance(i), request(100*uint64(i)+n, 1000*n+500_000))
			}
			batches = append(batches, batch(uint32(n+2), 1000*n+2000, records...))
		}
		return batches
	}
	together, _, _ := runBatches(t, script(1, 2)...)
	again, _, _ := runBatches(t, script(1, 2)...)
	if together != again {
		t.Fatal("two runs with the same batches differ")
	}
	alone := ""
	for _, i := range []uint32{1, 2} {
		out, _, _ := runBatches(t, script(i)...)
		alone += out
	}
	countRecords := func(s string) map[string]int {
		seen := map[string]int{}
		for rest := []byte(s); len(rest) > 0; {
			n := int(binary.BigEndian.Uint32(rest[4:]))
			for offset := 12; offset < n; {
				size := 5 + int(binary.BigEndian.Uint32(rest[offset+1:]))
				seen[string(rest[offset:offset+size])]++
				offset += size
			}
			rest = rest[n:]
		}
		return seen
	}
	countsTogether, countsAlone := countRecords(together), countRecords(alone)
	if len(countsTogether) != len(countsAlone) {
		t.Fatalf("instances wrote %d different records in one process, %d in a process each",
			len(countsTogether), len(countsAlone))
	}
	for encodedRecord, n := range countsTogether {
		if countsAlone[encodedRecord] != n {
			t.Errorf("record %x: written %d times in one process, %d times in a process each",
				encodedRecord, n, countsAlone[encodedRecord])
		}
	}
}

func TestMalformedBatchEndsRun(t *testing.T) {
	validBatch := batch(1, 1000, selectInstance(3), start(settings))
	for _, c := range []struct {
		name  string
		input []byte
		want  string
	}{
		{"event before instance", batch(2, 1000, record(22, uint32(1))), "timeout_fired at byte 16"},
		{"event before begin", batch(2, 1000, selectInstance(4), record(22, uint32(1))), "instance 4 has not begun"},
		{"truncated", batch(2, 1000, selectInstance(3))[:20], "batch at byte 20"},
		{"overrun", batch(2, 1000, []byte{18, 0, 0, 1, 0}), "request at byte 17"},
	} {
		out, _, err := runBatches(t, validBatch, c.input)
		if err == nil || !strings.Contains(err.Error(), c.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want one line with the record and its offset", c.name, err)
		}
		if number, _ := actionCodes(t, []byte(out)); number != 1 {
			t.Errorf("%s: a reply to the malformed batch was written", c.name)
		}
	}
}

func TestUnknownEventIsReportedOnce(t *testing.T) {
	_, stderr, err := runBatches(t, batch(1, 1000, record(99, uint32(1)), record(99), selectInstance(3),
		start(settings)))
	if err != nil || strings.Count(stderr, "\n") != 1 || !strings.Contains(stderr, "event 99") {
		t.Errorf("standard error %q, error %v, want one line that names event 99", stderr, err)
	}
}

func TestInvalidSettingsAreReportedAsError(t *testing.T) {
	for _, text := range []string{
		strings.Replace(settings, "repeat=pure", "repeat=never", 1),
		strings.Replace(settings, "target=250000", "target=-1", 1),
	} {
		out, _, err := runBatches(t, batch(1, 1000, selectInstance(3), start(text)))
		if err != nil {
			t.Fatal(err)
		}
		if _, codes := actionCodes(t, []byte(out)); codes[len(codes)-1] != 89 {
			t.Errorf("reply with codes %v, want an exception record (89) at the end", codes)
		}
	}
}
