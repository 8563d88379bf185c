package config_test

import (
	"os"
	"reflect"
	"testing"
	"time"

	"birchmoor/internal/dataplane/config"
	"birchmoor/internal/dataplane/discovery"
)

// The keys of the configuration file must not change. testdata/config.json has all of them; the test expects the values
// that version 7105f7a reads from it.
func TestParseReadsAllKeysOfFile(t *testing.T) {
	text, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse(text, func(string) string { return "" })
	if err != nil {
		t.Fatal(err)
	}
	initialList := discovery.List{Generation: 7, Reset: true, Instances: []discovery.Instance{{
		ID: "s-1", Addr: "10.0.0.1:80", Zone: "a", Kind: "m1", Cell: 7, Lifecycle: "up", Weight: 0.5, StartedMs: 5,
	}}}
	for _, tc := range []struct {
		name      string
		got, want any
	}{
		{"name", c.Name, "n0"},
		{"listen", c.Listen, "127.0.0.1:8080"},
		{"discovery", c.Discovery, "127.0.0.1:81"},
		{"discovery of the file", c.DiscoveryInFile, "127.0.0.1:81"},
		{"mgmt", c.Management, "127.0.0.1:82"},
		{"seed", c.Seed, uint64(0x8c1f30d27a5be964)},
		{"memory_mb", c.MemoryMB, 100},
		{"sockets", c.MaxDescriptors, 500},
		{"known", c.InitialList, initialList},
		{"classes", c.Classes, []string{"look", "book"}},
		{"tenants", c.Tenants, []string{"acme"}},
		{"areas", c.Zones, []string{"a", "b"}},
		{"skus", c.Kinds, []string{"m1"}},
		{"fields", c.LoadFields, []string{"busy_reqs", "cpu_share"}},
		{"how", c.LoadOnResponses, true},
		{"keepalive", c.KeepAliveTimeout, 7 * time.Second},
		{"balancers", c.Settings.Balancers, 3},
		{"classes of the module", len(c.Settings.Classes), 2},
		{"client connections", c.MaxClientConns(1), 234},
		{"upstream connections of a half", c.MaxUpstreamConns(0.5), 109},
		{"bytes of bodies", c.MaxBufferedBytes(1), 100 << 20 / 12},
	} {
		if !reflect.DeepEqual(tc.got, tc.want) {
			t.Errorf("%s: read %v, want %v", tc.name, tc.got, tc.want)
		}
	}
}
