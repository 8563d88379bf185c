package main

import (
	"strings"
	"testing"
)

// An invalid flag is reported on one line, with the flag and its value, before a process is started.
func TestLabChainRejectsInvalidFlags(t *testing.T) {
	for _, c := range []struct{ args, want string }{
		{"--depth 0", "--depth: 0 is not within"},
		{"--depth 21", "--depth: 21"},
		{"--servers 0", "--servers: 0"},
		{"--rate 0", "--rate: 0"},
		{"--rate NaN", "--rate: NaN"},
		{"--rate 5001", "--rate: 5001"},
		{"--for 0s", "--for: 0s"},
		{"--for 2h", "--for: 2h"},
		{"--rate 5000 --for 50m", "--for: 50m0s at --rate 5000"},
		{"--attempts 3,0", "--attempts: 0"},
		{"--attempts 11", "--attempts: 11"},
		{"--class write", `--class: "write"`},
		{"--fail root", `--fail: "root"`},
		{"--fail leaf --how slowly", `--how: "slowly"`},
		{"--fail leaf --share 0.5,1.5", "--share: 1.5"},
		{"--fail leaf --share NaN", "--share: NaN"},
		{"--json --markdown", "--markdown"},
		{"--warm=-1s", "--warm: -1s"},
	} {
		code, out, errs := birchmoor(append([]string{"lab", "chain"}, strings.Fields(c.args)...)...)
		if code != exitUsage || !strings.Contains(errs, c.want) || strings.Count(errs, "\n") != 1 || out != "" {
			t.Errorf("%s: exit %d, output %q, errors %q", c.args, code, out, errs)
		}
	}
}
