package changefeed

import (
	"encoding/json"
	"reflect"
	"testing"

	"birchmoor/internal/store"
)

// TestChangeJSONIsFrozen compares the encoding of events with that of an earlier build.
func TestChangeJSONIsFrozen(t *testing.T) {
	put := store.Item{Key: "k/1", Value: []byte("v"), CreateRevision: 2, ModRevision: 3, Version: 2, LeaseID: 5}
	for want, event := range map[string]store.Event{
		`{"revision":3,"item":{"key":"k/1","value":"dg==","created":2,"modified":3,"version":2,"lease":5}}`: {
			Revision: 3, Item: put,
		},
		`{"revision":4,"deleted":true,"item":{"key":"k/1","value":null,"created":0,"modified":0,"version":0}}`: {
			Revision: 4, Deleted: true, Item: store.Item{Key: "k/1"},
		},
	} {
		if got := (&Change{Event: event}).JSON(); string(got) != want {
			t.Errorf("event %+v: encoded as %s, want %s", event, got, want)
		}
		var decoded store.Event
		if err := json.Unmarshal([]byte(want), &decoded); err != nil || !reflect.DeepEqual(decoded, event) {
			t.Errorf("event %s: decoded as %+v (error %v), want %+v", want, decoded, err, event)
		}
	}
}
