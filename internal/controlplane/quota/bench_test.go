package quota

import (
	"fmt"
	"testing"
)

// BenchmarkReserve measures the overhead of limits on a request: matching it, and reserving and completing its charges.
// It runs with 0, 1 and 10 limits that all apply to the request, and with 1,000 limits of which 10 apply.
func BenchmarkReserve(b *testing.B) {
	for _, n := range []int{0, 1, 10, 1000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			config := &Config{Version: 1}
			grant := Grant{Quotas: map[string]Quota{}}
			for i := range n {
				l := newLimit(fmt.Sprint("l", i), Rate, 1e6, 1e9)
				l.PartitionBy = []string{"header:X-Org"}
				l.Nodes = append(l.Nodes, Node{Path: "acme", Capacity: 1e6 * AmountUnit, Weight: 1})
				if n == 1000 {
					l.Classes = []string{fmt.Sprint("c", i%100)}
				}
				config.Limits = append(config.Limits, l)
				grant.Quotas[l.Key(1)] = Quota{Amount: 1e6 * AmountUnit}
			}
			m, c := NewMatcher(config), NewConsumer(Rules{ReportInterval: 1e6}, NoDefect)
			c.SetConfig(0, config)
			c.SetSession(0, 1, 1<<62)
			c.ApplyGrant(0, 1, 1, grant)
			r := &Request{Class: "c1", Path: "/c1/x", Header: func(string) string { return "acme" }, PriorityWeight: 1}
			now := int64(1e9)
			b.ReportAllocs()
			for b.Loop() {
				now += 100_000
				var buf [16]Charge
				reservation, rejection := c.Reserve(now, m.Match(buf[:0], r), 1)
				if rejection != nil {
					b.Fatal(rejection)
				}
				c.Complete(now, reservation)
			}
		})
	}
}
