package serverstate

import (
	"testing"

	"birchmoor/internal/store"
)

// A start is reported once. It expires by the durations in its report, and a later report changes nothing.
func TestStartsExpireByTheirOwnReport(t *testing.T) {
	process := Process{ID: "s 1", Addr: "127.0.0.1:1"}
	a, b := NewStarts("a", 10), NewStarts("b", 10)
	if !a.Observe(10*second, process, 2*second, 10*second) || a.Observe(11*second, process, 0, 10*second) {
		t.Fatal("Observe did not record a new start, or recorded a known one")
	}
	txn := a.ReportTxn(12*second, process)
	if txn == nil || a.ReportTxn(19*second, process) != nil || b.ReportTxn(12*second, process) != nil {
		t.Fatal(txn)
	}
	event := store.Event{Revision: 7, Item: store.Item{Key: txn.Then[0].Key, Value: txn.Then[0].Value}}
	if _, changed := a.Apply(13*second, event, 0); changed {
		t.Error("Apply of the daemon's own report changed its state")
	}
	if got, changed := b.Apply(100*second, event, 0); !changed || got != process { // the clocks of the daemons differ
		t.Error("Apply of another daemon's report did not change the state")
	}
	if age, remaining, ok := b.Lookup(101*second, process); !ok || age != 5*second || remaining != 5*second {
		t.Error(age, remaining, ok)
	}
	if _, changed := b.Apply(102*second, store.Event{Revision: 9, Item: event.Item}, 0); changed {
		t.Error("Apply of a second report for a known start changed the state")
	}
	if len(b.Expired(105*second)) != 0 || len(b.Expired(106*second)) != 1 {
		t.Error("the start did not expire after the duration in its first report")
	}
	if txn := b.DeleteTxn(process); txn == nil || txn.If[0].ModRevision != 9 {
		t.Error(txn)
	}
	b.Apply(107*second, store.Event{Revision: 10, Deleted: true, Item: event.Item}, 0)
	if len(b.Expired(108*second)) != 0 || b.Len() != 0 {
		t.Error("the start is still tracked after the deletion of its report")
	}
}
