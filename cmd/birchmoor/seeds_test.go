package main

import "testing"

func TestParseSeedRange(t *testing.T) {
	for text, want := range map[string][2]uint64{
		"1-50": {1, 50}, "0-0": {0, 0}, "7-7": {7, 7},
		"": {}, "5": {}, "5-1": {}, "a-b": {}, "1-": {}, "-1": {},
		"1-18446744073709551615": {}, "1-18446744073709551616": {},
	} {
		from, to, err := parseSeedRange(text)
		valid := want[1] > 0 || text == "0-0"
		if (err == nil) != valid || from != want[0] || to != want[1] {
			t.Errorf("parseSeedRange(%q) = %d, %d, %v, want %v", text, from, to, err, want)
		}
	}
}
