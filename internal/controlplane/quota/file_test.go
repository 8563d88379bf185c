package quota

import (
	"strings"
	"testing"
)

const sampleFile = `
[limit.bookings]
rate = 50.0
burst = "2s"
classes = ["confirm"]
by = ["header:X-Org", "header:X-Customer"]
without = "fair"
part = 0.2
hosts = 300
[limit.bookings.parts."acme"]
least = 10.0
most = 40.0
weight = 2.0
[limit.bookings.parts."acme/vienna"]
least = 2.0
[limit.bookings.parts."other"]
most = 20.0
[limit.day]
amount = 10000.0
window = "24h"
`

func TestParseFile(t *testing.T) {
	c, err := ParseFile("x.toml", []byte(sampleFile))
	if err != nil {
		t.Fatal(err)
	}
	l := c.Limits[0]
	if len(c.Limits) != 2 || l.Kind != Rate || l.Window != 2e9 || len(l.Nodes) != 4 {
		t.Fatalf("first limit is %+v, want one of 2 limits, a rate with 4 nodes", l)
	}
	if vienna := l.Nodes[2]; vienna.Path != "acme/vienna" || vienna.Parent != 1 || vienna.Capacity != 40*AmountUnit {
		t.Fatalf("parsed node %+v, want acme/vienna with the capacity of its parent", vienna)
	}
	m := NewMatcher(c)
	for want, names := range map[string][2]string{
		"acme/vienna": {"acme", "vienna"},
		"acme":        {"acme", "x"},
		"other":       {"nobody", "vienna"},
		"":            {"", "vienna"},
	} {
		got := m.Match(nil, &Request{Class: "confirm", Header: func(n string) string {
			if n == "X-Org" {
				return names[0]
			}
			return names[1]
		}})
		if len(got) != 2 || l.Nodes[got[0].Node].Path != want {
			t.Errorf("header values %v: charges are %+v", names, got)
		}
	}
	if got := m.Match(nil, &Request{Class: "look"}); len(got) != 1 || got[0].Limit.Name != "day" {
		t.Errorf("class without a limit of its own: charges are %+v, want one of limit day", got)
	}
}

func TestParseFileNamesInvalidKeys(t *testing.T) {
	const parts = "[limit.a]\nrate = 5.0\nby = [\"class\"]\n"
	for text, want := range map[string]string{
		"[limit.a]\nrate = 1.0\nmore = 2":                                        "x.toml:3: limit.a.more",
		"\n[limit.a]\nwindow = \"1s\"":                                           "x.toml:2: limit.a.rate, amount, at_once",
		"[limit.a]\nrate = 1.0\namount = 2.0":                                    "exactly one of them must be set",
		"[limit.a]\namount = 2.0":                                                "limit.a.window: is missing",
		"[limit.a]\nat_once = 2.0":                                               "limit.a.longest: is missing",
		"[limit.a]\nrate = 0.5":                                                  "limit.a.burst",
		"[limit.a]\nrate = -5.0":                                                 "limit.a",
		"[limit.a]\nrate = 5.0\nwindow = \"1s\"":                                 "can only be set with",
		"[limit.a]\nrate = 5.0\nwithout = \"maybe\"":                             "limit.a.without",
		"[limit.a]\nrate = 5.0\nwithout = \"fair\"\npart = 0.5":                  "limit.a.hosts: is missing",
		"[limit.a]\nrate = 5.0\nby = [\"cookie:x\"]":                             "limit.a.by",
		"[limit.a]\nrate = 5.0\n[limit.a.parts.\"x\"]\nmost = 1.0":               "more levels than the setting by",
		parts + "[limit.a.parts.\"x/y\"]\nmost = 1.0":                            "has the parent",
		parts + "[limit.a.parts.\"x\"]\nleast = 9.0":                             "most or least is out of range",
		parts + "[limit.a.parts.x]\nleast = 3.0\n[limit.a.parts.y]\nleast = 3.0": "are 6 in total, more than its most of 5",
		"[limit.\"A B\"]\nrate = 5.0":                                            "name",
		"[limit.a]\nrate = 5.0\nburst = \"soon\"":                                "x.toml:3",
	} {
		if _, err := ParseFile("x.toml", []byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: error %v, want one that contains %q", text, err, want)
		}
	}
}
