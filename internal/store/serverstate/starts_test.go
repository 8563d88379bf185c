package serverstate

import (
	"testing"

	"birchmoor/internal/store"
)

// A start is reported once, expires by its own report, and a late report changes nothing.
func TestStartsExpireByTheirOwnReport(t *testing.T) {
	process := Process{ID: "s 1", Addr: "127.0.0.1:1"}
	a, b := NewStarts("a", 10), NewStarts("b", 10)
	if !a.Observe(10*second, process, 2*second, 10*second) || a.Observe(11*second, process, 0, 10*second) {
		t.Fatal("a new start is not told apart from a known one")
	}
	txn := a.ReportTxn(12*second, process)
	if txn == nil || a.ReportTxn(19*second, process) != nil || b.ReportTxn(12*second, process) != nil {
		t.Fatal(txn)
	}
	event := store.Event{Revision: 7, Item: store.Item{Key: txn.Then[0].Key, Value: txn.Then[0].Value}}
	if _, changed := a.Apply(13*second, event, 0); changed {
		t.Error("the daemon's own report is news")
	}
	if got, changed := b.Apply(100*second, event, 0); !changed || got != process { // by another clock
		t.Error("another daemon's report is not news")
	}
	if ago, left, ok := b.Lookup(101*second, process); !ok || ago != 5*second || left != 5*second {
		t.Error(ago, left, ok)
	}
	if _, changed := b.Apply(102*second, store.Event{Revision: 9, Item: event.Item}, 0); changed {
		t.Error("a late report is news")
	}
	if len(b.Expired(105*second)) != 0 || len(b.Expired(106*second)) != 1 {
		t.Error("it does not expire by its own report")
	}
	if txn := b.DeleteTxn(process); txn == nil || txn.If[0].ModRevision != 9 {
		t.Error(txn)
	}
	b.Apply(107*second, store.Event{Revision: 10, Deleted: true, Item: event.Item}, 0)
	if len(b.Expired(108*second)) != 0 || b.Len() != 0 {
		t.Error("it is not forgotten")
	}
}
