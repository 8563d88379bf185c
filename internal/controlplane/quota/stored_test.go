package quota

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"testing"
)

func readFixture(t *testing.T, name string) []byte {
	t.Helper()
	content, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return bytes.TrimSpace(content)
}

func readHexFixture(t *testing.T, name string) []byte {
	t.Helper()
	content, err := hex.DecodeString(string(readFixture(t, name)))
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// The tests below decode the records that source revision 7105f7a wrote and check that they are encoded as the same
// bytes again.

func TestConfigFormatUnchanged(t *testing.T) {
	fromFile, err := ParseFile("limits.toml", readFixture(t, "limits.toml"))
	if err != nil {
		t.Fatal(err)
	}
	fromFile.AssignGenerations(&Config{Version: 6})
	stored := &Config{}
	decoder := json.NewDecoder(bytes.NewReader(readFixture(t, "config.json")))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(stored); err != nil {
		t.Fatal(err)
	}
	if err := stored.Check(); err != nil {
		t.Error(err)
	}
	if !reflect.DeepEqual(fromFile, stored) {
		t.Errorf("limits.toml parses as %+v, want the stored config %+v", fromFile, stored)
	}
	encoded, err := json.MarshalIndent(stored, "", "  ")
	if err != nil || !bytes.Equal(encoded, readFixture(t, "config.json")) {
		t.Errorf("stored config is encoded as %s, error %v, want the bytes of config.json", encoded, err)
	}
	want := &Limit{
		Name:             "bookings",
		Generation:       7,
		Kind:             Rate,
		Unit:             Cost,
		Window:           2e9,
		Fallback:         Fair,
		FallbackFraction: 0.2,
		FallbackTimeout:  300e9,
		MinProcesses:     300,
		ReserveFraction:  0.25,
		Classes:          []string{"confirm", "search"},
		Paths:            []string{"/book", "/pay"},
		PartitionBy:      []string{"header:X-Org", "path:2"},
		Nodes: []Node{
			{Capacity: 50 * AmountUnit, Weight: 1},
			{Path: "acme", Capacity: 40 * AmountUnit, Guaranteed: 10 * AmountUnit, Weight: 2},
			{Path: "acme/vienna", Parent: 1, Capacity: 40 * AmountUnit, Guaranteed: 2 * AmountUnit, Weight: 1},
		},
	}
	if !reflect.DeepEqual(stored.Limits[0], want) {
		t.Errorf("decoded limit %+v, want %+v", stored.Limits[0], want)
	}
}

func TestDemandFormatUnchanged(t *testing.T) {
	stored := readHexFixture(t, "demand.cbor.hex")
	got, err := DecodeDemand(stored)
	want := Demand{ConfigVersion: 7, SeenRevision: 42, Nodes: map[string]NodeDemand{
		"bookings@7/":            {Wanted: 1_500_000, InUse: 250_000, Admitted: 11, Rejected: 3},
		"bookings@7/acme/vienna": {Wanted: 7},
	}}
	if err != nil || !reflect.DeepEqual(got, want) || !bytes.Equal(Encode(got), stored) {
		t.Errorf("decoded %+v, error %v; encoded %x", got, err, Encode(got))
	}
}

func TestGrantFormatUnchanged(t *testing.T) {
	stored := readHexFixture(t, "grant.cbor.hex")
	got, err := DecodeGrant(stored)
	want := Grant{DepartedForNanos: 5_000_000_000, Quotas: map[string]Quota{
		"bookings@7/":            {Amount: 2_000_000, Previous: 3_000_000, Linger: 60_000_000_000},
		"bookings@7/acme/vienna": {Amount: 9},
	}}
	if err != nil || !reflect.DeepEqual(got, want) || !bytes.Equal(Encode(got), stored) {
		t.Errorf("decoded %+v, error %v; encoded %x", got, err, Encode(got))
	}
}

func TestKeysUnchanged(t *testing.T) {
	var stored []string
	if err := json.Unmarshal(readFixture(t, "keys.json"), &stored); err != nil {
		t.Fatal(err)
	}
	l := &Limit{Name: "bookings", Generation: 7, Nodes: []Node{{}, {Path: "acme"}, {Path: "acme/vienna"}}}
	p := Process{Host: "host-1", Session: 17}
	keys := []string{Prefix, ConfigKey, AllocationKey, p.DemandKey(), p.GrantKey(), l.Key(0), l.Key(2)}
	if !slices.Equal(keys, stored) {
		t.Errorf("keys are %q, want the stored %q", keys, stored)
	}
}
