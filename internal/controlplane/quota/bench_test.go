package quota

import (
	"fmt"
	"testing"
)

// BenchmarkTake is what limits cost a request: finding which it is of, and taking of its shares, with so many limits in force of which
// all are of every request, or, of a thousand, ten.
func BenchmarkTake(b *testing.B) {
	for _, n := range []int{0, 1, 10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			conf := &Config{Version: 1}
			grant := Grant{Quotas: map[string]Quota{}}
			for i := range n {
				l := &Limit{Name: fmt.Sprint("l", i), Generation: 1, Kind: Rate, Unit: Requests, Window: 1e9, Fallback: Strict, PartitionBy: []string{"header:X-Org"},
					Nodes: []Node{{Capacity: 1e6 * AmountUnit, Weight: 1}, {Path: "acme", Capacity: 1e6 * AmountUnit, Weight: 1}}}
				if n == 1000 {
					l.Classes = []string{fmt.Sprint("c", i%100)}
				}
				conf.Limits = append(conf.Limits, l)
				grant.Quotas[l.Key(1)] = Quota{Amount: 1e6 * AmountUnit}
			}
			m, h := NewMatcher(conf), NewConsumer(Rules{ReportInterval: 1e6}, NoDefect)
			h.SetConfig(0, conf)
			h.SetSession(0, 1, 1<<62)
			h.ApplyGrant(0, 1, 1, grant)
			r := &Request{Class: "c1", Path: "/c1/x", Header: func(string) string { return "acme" }, PriorityWeight: 1}
			now := int64(1e9)
			b.ReportAllocs()
			for b.Loop() {
				now += 100_000
				var buf [16]Charge
				t, no := h.Reserve(now, m.Match(buf[:0], r), 1)
				if no != nil {
					b.Fatal(no)
				}
				h.Complete(now, t)
			}
		})
	}
}
