package serverstate

import (
	"encoding/hex"
	"encoding/json"
	"os"
	"reflect"
	"strings"
	"testing"
)

// TestStoredFormsAreFrozen decodes keys and records that an earlier build wrote to the store, and checks that this
// build encodes the same bytes.
func TestStoredFormsAreFrozen(t *testing.T) {
	process := Process{ID: "s/1 a", Addr: "127.0.0.1:80", StartedMs: 1764700000123}
	guard := NewGuard("daemon-a")
	exclusion := func(kind ExclusionKind, server string) (string, []byte) {
		op, err := guard.Observe(kind, server)
		if err != nil {
			t.Fatal(err)
		}
		return op.Key, op.Value
	}
	start := StartReport{Format: 1, ReportedBy: "daemon-a", AgeMillis: 1500, WarmupMillis: 30000}
	snapshot := ModuleSnapshot{Format: 1, ReportedBy: "daemon-a", Data: []byte("\x01known")}
	cases := map[string]struct {
		encode func() (key string, value []byte)
		decode func(key string, value []byte) (any, error)
		want   any
	}{
		"drain": {
			encode: func() (string, []byte) { return exclusion(Drain, process.ServerName()) },
			decode: func(key string, value []byte) (any, error) {
				kind, server, _ := parseExclusionKey(key)
				parsed, _ := ParseProcess(server)
				return []any{kind, parsed, DecodeExclusion(value)}, nil
			},
			want: []any{Drain, process, ExclusionRecord{ReportedBy: "daemon-a"}},
		},
		"admin drain": {
			encode: func() (string, []byte) { return exclusion(AdminDrain, "s-1") },
			decode: func(key string, value []byte) (any, error) {
				kind, server, _ := parseExclusionKey(key)
				return []any{kind, server, DecodeExclusion(value)}, nil
			},
			want: []any{AdminDrain, "s-1", ExclusionRecord{ReportedBy: "daemon-a"}},
		},
		"start": {
			encode: func() (string, []byte) { return StartKey(process), start.Encode() },
			decode: func(key string, value []byte) (any, error) {
				parsed, _ := ParseStart(key)
				report, err := DecodeStartReport(value)
				return []any{parsed, report}, err
			},
			want: []any{process, start},
		},
		"module snapshot": {
			encode: func() (string, []byte) {
				op := snapshot.PutTxn(SnapshotKey("side car/1", "dns")).Then[0]
				return op.Key, op.Value
			},
			decode: func(key string, value []byte) (any, error) {
				sidecar, protocol, _ := ParseSnapshotKey(key)
				record, err := DecodeModuleSnapshot(value)
				return []any{sidecar, protocol, record}, err
			},
			want: []any{"side car/1", "dns", snapshot},
		},
	}
	golden, err := os.ReadFile("testdata/stored.golden")
	if err != nil {
		t.Fatal(err)
	}
	lines := strings.Split(strings.TrimSpace(string(golden)), "\n")
	if len(lines) != len(cases) {
		t.Errorf("the golden file has %d records for %d forms", len(lines), len(cases))
	}
	for _, line := range lines {
		fields := strings.Split(line, "\t")
		name, key := fields[0], fields[1]
		t.Run(name, func(t *testing.T) {
			value, err := hex.DecodeString(fields[2])
			if err != nil {
				t.Fatal(err)
			}
			form := cases[name]
			if got, err := form.decode(key, value); err != nil || !reflect.DeepEqual(got, form.want) {
				t.Errorf("decoded %+v (%v), want %+v", got, err, form.want)
			}
			if gotKey, got := form.encode(); gotKey != key || string(got) != string(value) {
				t.Errorf("encoded %q %x, want %q %x", gotKey, got, key, value)
			}
			if !IsServerKey(key) {
				t.Errorf("IsServerKey does not accept %q", key)
			}
		})
	}
}

// TestJSONFormsAreFrozen compares the JSON that operators read with the JSON that an earlier build wrote.
func TestJSONFormsAreFrozen(t *testing.T) {
	for want, value := range map[string]any{
		`{"by":"daemon-a"}`: ExclusionRecord{ReportedBy: "daemon-a"},
		`{"kind":"ban","server":"s-1","agreed":true,"by":"daemon-a","age_ms":-1}`: Exclusion{
			Kind: AdminDrain, Server: "s-1", Committed: true, ReportedBy: "daemon-a", AgeMillis: -1,
		},
		`{"by":"daemon-a","ago_ms":1500,"for_ms":30000}`: StartReport{
			Format: 1, ReportedBy: "daemon-a", AgeMillis: 1500, WarmupMillis: 30000,
		},
	} {
		if got, err := json.Marshal(value); err != nil || string(got) != want {
			t.Errorf("%T: %s (%v), want %s", value, got, err, want)
		}
	}
}

// Decoding does not panic on any bytes in the store, and a start report that decodes is the same after it is encoded
// and decoded again.
func FuzzRecords(f *testing.F) {
	f.Add(StartReport{ReportedBy: "a", AgeMillis: 5, WarmupMillis: 10}.Encode())
	f.Add(ModuleSnapshot{ReportedBy: "a", Data: []byte("x")}.PutTxn("known/a/").Then[0].Value)
	f.Fuzz(func(t *testing.T, value []byte) {
		if report, err := DecodeStartReport(value); err == nil {
			if again, err := DecodeStartReport(report.Encode()); err != nil || again != report {
				t.Fatal(report, again, err)
			}
		}
		if snapshot, err := DecodeModuleSnapshot(value); err == nil && len(snapshot.Data) == 0 {
			t.Fatal("a snapshot without data was decoded")
		}
		DecodeExclusion(value)
	})
}
