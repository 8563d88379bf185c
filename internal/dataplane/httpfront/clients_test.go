package httpfront

import (
	"fmt"
	"net"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"birchmoor/internal/platform/metrics"
	"birchmoor/internal/testutil/sidecartest"
)

// When there is no room, the connection goes that will be missed least, whichever came first.
func TestEvictionOrder(t *testing.T) {
	for _, tc := range []struct {
		name  string
		conns []string // in the order they come, a good second apart
		want  []int    // in the order they go
	}{
		{"silent ones first", []string{"kept", "half", "silent", "silent"}, []int{2, 3, 1, 0}},
		{"used long ago before just come", []string{"kept", "now"}, []int{0, 1}},
		{"used just now after just come", []string{"now", "kept now"}, []int{0, 1}},
		{"still writing after stopped", []string{"writes", "half", "kept"}, []int{1, 2, 0}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				k := newClients(100, nil, new(metrics.Counter), sidecartest.DiscardLog)
				hold := make(chan struct{})
				var all []*client
				k.serve = func(c *client) { all = append(all, c); <-hold }
				for i, kind := range tc.conns {
					here, there := net.Pipe()
					defer here.Close()
					k.add(there)
					synctest.Wait()
					c := all[i]
					switch kind {
					case "kept", "kept now":
						k.beginRequest(c)
						k.endRequest(c)
					case "half", "writes":
						c.lastReadAt.Store(time.Now().UnixMicro())
					}
					if i < len(tc.conns)-1 || kind != "now" && kind != "kept now" {
						time.Sleep(1200 * time.Millisecond)
					}
				}
				for i, c := range all {
					if tc.conns[i] == "writes" {
						c.lastReadAt.Store(time.Now().UnixMicro())
					}
				}
				time.Sleep(time.Millisecond)
				var got []int
				for range all {
					k.evict()
					for i, c := range all {
						if c.state == stateClosed && len(got) < len(all) && !slices.Contains(got, i) {
							got = append(got, i)
						}
					}
				}
				if fmt.Sprint(got) != fmt.Sprint(tc.want) {
					t.Errorf("went %v, want %v", got, tc.want)
				}
				close(hold)
				k.serving.Wait()
				if n := k.lenLocked(); n != 0 {
					t.Errorf("%d are left", n)
				}
			})
		})
	}
}
