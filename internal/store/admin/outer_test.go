package admin

import (
	"testing"

	"birchmoor/internal/lease"
	"birchmoor/internal/store"
)

// A follower has leases and places of its own name, and nothing else of tasks, members or settings.
func TestWhatAFollowerMay(t *testing.T) {
	place := func(host string, l uint64) []store.Op {
		return []store.Op{{Key: lease.PlaceKey("one", host, "1"), Lease: l}}
	}
	for name, x := range map[string]struct {
		q  Request
		ok bool
	}{
		"a lease of its own":         {Request{Grant: 5000, Owner: "f"}, true},
		"of another's name":          {Request{Grant: 5000, Owner: "g"}, false},
		"of nobody's":                {Request{Grant: 5000}, false},
		"too long":                   {Request{Grant: 1 << 40, Owner: "f"}, false},
		"renewed":                    {Request{Renew: 7, Owner: "f"}, true},
		"another's renewed":          {Request{Renew: 7, Owner: "g"}, false},
		"two things":                 {Request{Renew: 7, End: 7, Owner: "f"}, false},
		"a place":                    {Request{Txn: &store.Txn{Owner: "f", Then: place("f", 7)}}, true},
		"another's place":            {Request{Txn: &store.Txn{Owner: "f", Then: place("g", 7)}}, false},
		"a place for good":           {Request{Txn: &store.Txn{Owner: "f", Then: place("f", 0)}}, false},
		"a place as nobody":          {Request{Txn: &store.Txn{Then: place("f", 7)}}, false},
		"a place as another":         {Request{Txn: &store.Txn{Owner: "g", Then: place("g", 7)}}, false},
		"its own removed":            {Request{Txn: &store.Txn{Owner: "f", Then: []store.Op{{Key: lease.PlaceKey("one", "f", "1"), Delete: true}}}}, true},
		"another's removed":          {Request{Txn: &store.Txn{Owner: "f", Else: []store.Op{{Key: lease.PlaceKey("one", "g", "1"), Delete: true}}}}, false},
		"an order of operators'":     {Request{Txn: &store.Txn{Owner: "f", Then: []store.Op{{Key: lease.OrderPrefix + "one"}}}}, false},
		"the end of the holding-off": {Request{Txn: &store.Txn{Owner: "f", Then: []store.Op{{Key: lease.HoldKey, Delete: true}}}}, false},
		"settings":                   {Request{Txn: &store.Txn{Owner: "f", Then: []store.Op{{Key: "config/current"}}}}, false},
		"what is told of servers":    {Request{Txn: &store.Txn{Then: []store.Op{{Key: "out/drain/x"}}}}, true},
		"a range":                    {Request{Txn: &store.Txn{Owner: "f", Then: []store.Op{{Key: "task/", End: "task0", Delete: true}}}}, false},
		"a member":                   {Request{Add: &store.Join{Name: "f"}}, false},
	} {
		if err := followerMay(&x.q, "f"); (err == nil) != x.ok {
			t.Errorf("%s: %v", name, err)
		}
	}
}
