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

// TestStoredFormatsUnchanged decodes what revision 7105f7a wrote and encodes the same bytes again.
func TestStoredFormatsUnchanged(t *testing.T) {
	t.Run("file of limits and stored config", func(t *testing.T) {
		fromFile, err := Read("limits.toml", readFixture(t, "limits.toml"))
		if err != nil {
			t.Fatal(err)
		}
		fromFile.After(&Config{Version: 6})
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
			t.Errorf("the file of limits reads as %+v, stored is %+v", fromFile, stored)
		}
		encoded, err := json.MarshalIndent(stored, "", "  ")
		if err != nil || !bytes.Equal(encoded, readFixture(t, "config.json")) {
			t.Errorf("encoded as %s, error %v", encoded, err)
		}
		want := &Limit{
			Name: "bookings", Gen: 7, Kind: Rate, Of: Cost, Span: 2e9, Without: Fair, Part: 0.2, For: 300e9, Hosts: 300,
			Reserve: 0.25, Classes: []string{"confirm", "search"}, Paths: []string{"/book", "/pay"},
			By: []string{"header:X-Org", "path:2"},
			Nodes: []Node{
				{Most: 50 * AmountUnit, Weight: 1},
				{Path: "acme", Most: 40 * AmountUnit, Least: 10 * AmountUnit, Weight: 2},
				{Path: "acme/vienna", Parent: 1, Most: 40 * AmountUnit, Least: 2 * AmountUnit, Weight: 1},
			},
		}
		if !reflect.DeepEqual(stored.Limits[0], want) {
			t.Errorf("decoded %+v, not %+v", stored.Limits[0], want)
		}
	})
	t.Run("demand", func(t *testing.T) {
		stored := readHexFixture(t, "demand.cbor.hex")
		got, err := DecodeDemand(stored)
		want := Demand{Conf: 7, Seen: 42, Of: map[string]Wants{
			"bookings@7/":            {Want: 1_500_000, Floor: 250_000, Taken: 11, Refused: 3},
			"bookings@7/acme/vienna": {Want: 7},
		}}
		if err != nil || !reflect.DeepEqual(got, want) || !bytes.Equal(Encode(got), stored) {
			t.Errorf("decoded %+v, error %v; encoded %x", got, err, Encode(got))
		}
	})
	t.Run("grant", func(t *testing.T) {
		stored := readHexFixture(t, "grant.cbor.hex")
		got, err := DecodeGrant(stored)
		want := Grant{Age: 5_000_000_000, Of: map[string]Quota{
			"bookings@7/":            {Amount: 2_000_000, Was: 3_000_000, Linger: 60_000_000_000},
			"bookings@7/acme/vienna": {Amount: 9},
		}}
		if err != nil || !reflect.DeepEqual(got, want) || !bytes.Equal(Encode(got), stored) {
			t.Errorf("decoded %+v, error %v; encoded %x", got, err, Encode(got))
		}
	})
	t.Run("keys", func(t *testing.T) {
		var stored []string
		if err := json.Unmarshal(readFixture(t, "keys.json"), &stored); err != nil {
			t.Fatal(err)
		}
		l := &Limit{Name: "bookings", Gen: 7, Nodes: []Node{{}, {Path: "acme"}, {Path: "acme/vienna"}}}
		p := Process{Host: "host-1", Session: 17}
		keys := []string{Prefix, ConfigKey, AllocationKey, p.DemandKey(), p.GrantKey(), l.Key(0), l.Key(2)}
		if !slices.Equal(keys, stored) {
			t.Errorf("keys are %q, stored are %q", keys, stored)
		}
	})
}
