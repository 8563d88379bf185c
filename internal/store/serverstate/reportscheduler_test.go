package serverstate

import (
	"fmt"
	"testing"

	"birchmoor/internal/store"

	"pgregory.net/rapid"
)

// Any number of daemons that hear a word at about the same time make one change of it, and one again each time that it is due;
// of their proposals the share that comes to nothing is that of the store's delay in the spread. Once nobody hears the word any
// more it ends, once, not before its time.
func TestReportSchedulerMakesOneChangeOfManyDaemons(t *testing.T) {
	const ms = int64(1e6)
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "daemons")
		delay := rapid.Int64Range(1, 20).Draw(t, "delay") * ms
		late := rapid.Int64Range(0, 100).Draw(t, "late")
		rules := ReportSchedule{Spread: 200 * ms, RenewInterval: 2000 * ms, Retention: 5000 * ms, MaxObserved: 4}
		var all []*ReportScheduler
		for i := range n {
			all = append(all, NewReportScheduler(fmt.Sprint("d", i), rules))
		}
		type change struct {
			at   int64
			rev  uint64
			gone bool
		}
		var changes []change
		rev, told, shown, proposed, ended := uint64(0), int64(0), 0, 0, int64(0)
		const unheard = 5000
		for now := ms; now < 14_000*ms; now += ms {
			for ; shown < len(changes) && changes[shown].at+delay <= now; shown++ {
				for _, d := range all {
					d.Committed(now, "k", changes[shown].rev, changes[shown].gone)
				}
			}
			for i, d := range all {
				switch {
				case now/ms == 1+int64(i)*late/int64(n):
					d.Observe(now, "k")
				case now/ms == unheard:
					d.Withdraw("k")
				}
				speak, end := d.Due(now)
				if len(speak) > 0 {
					proposed++
					if uint64(0) == rev || now-told >= rules.RenewInterval { // the comparison of a transaction
						rev, told = rev+1, now
						changes = append(changes, change{now, rev, false})
					}
				}
				if len(end) > 0 && ended == 0 {
					if ended = now; now-told < rules.Retention {
						t.Fatalf("ended %d ms after it was told", (now-told)/ms)
					}
					changes = append(changes, change{now, rev + 1, true})
				}
			}
		}
		if rev != 3 || ended == 0 {
			t.Fatalf("%d changes while it was heard for 5 s, ended at %d ms", rev, ended/ms)
		}
		if extra := proposed - int(rev); float64(extra) > 3*(4+4*float64(n)*float64(delay)/float64(rules.Spread)) {
			t.Fatalf("%d proposals for %d changes by %d daemons at a delay of %d ms", proposed, rev, n, delay/ms)
		}
		for _, d := range all {
			if len(d.reports) > 0 {
				t.Fatal("it is still held")
			}
		}
	})
}

func TestReportSchedulerLimitsObservedReports(t *testing.T) {
	d := NewReportScheduler("a", ReportSchedule{Spread: 1, Retention: 9, MaxObserved: 2})
	for i, want := range []bool{false, false, true, false} {
		if _, full := d.Observe(1, fmt.Sprint(i)); full != want {
			t.Errorf("word %d: full %v", i, full)
		}
	}
	d.Withdraw("0")
	if due, _ := d.Observe(1, "9"); due == 0 || d.Observes("2") {
		t.Error("room that was made is not used, or a word over the bound is heard")
	}
}

// A process that began is told once, ends by its own word, and a late word changes nothing.
func TestStartsExpireByTheirOwnReport(t *testing.T) {
	const s = int64(1e9)
	p := Process{ID: "s 1", Addr: "127.0.0.1:1"}
	a, b := NewStarts("a", 10), NewStarts("b", 10)
	if !a.Observe(10*s, p, 2*s, 10*s) || a.Observe(11*s, p, 0, 10*s) {
		t.Fatal("news is not told from what is known")
	}
	txn := a.ReportTxn(12*s, p)
	if txn == nil || a.ReportTxn(19*s, p) != nil || b.ReportTxn(12*s, p) != nil {
		t.Fatal(txn)
	}
	e := store.Event{Revision: 7, Item: store.Item{Key: txn.Then[0].Key, Value: txn.Then[0].Value}}
	if _, news := a.Apply(13*s, e, 0); news {
		t.Error("its own word is news")
	}
	if q, news := b.Apply(100*s, e, 0); !news || q != p { // by another clock
		t.Error("another's word is none")
	}
	if ago, left, ok := b.Lookup(101*s, p); !ok || ago != 5*s || left != 5*s {
		t.Error(ago, left, ok)
	}
	if _, news := b.Apply(102*s, store.Event{Revision: 9, Item: e.Item}, 0); news {
		t.Error("a late word is news")
	}
	if len(b.Expired(105*s)) != 0 || len(b.Expired(106*s)) != 1 {
		t.Error("it does not end by its own word")
	}
	if end := b.DeleteTxn(p); end == nil || end.If[0].ModRevision != 9 {
		t.Error(end)
	}
	b.Apply(107*s, store.Event{Revision: 10, Deleted: true, Item: e.Item}, 0)
	if len(b.Expired(108*s)) != 0 || b.Len() != 0 {
		t.Error("it is still held")
	}
}

func FuzzRecords(f *testing.F) {
	f.Add(StartReport{ReportedBy: "a", AgoMillis: 5, WarmupMillis: 10}.Encode())
	f.Add(ModuleSnapshot{ReportedBy: "a", Data: []byte("x")}.PutTxn("known/a/").Then[0].Value)
	f.Fuzz(func(t *testing.T, b []byte) {
		if s, err := DecodeStartReport(b); err == nil {
			if again, err := DecodeStartReport(s.Encode()); err != nil || again != s {
				t.Fatal(s, again, err)
			}
		}
		if p, err := DecodeModuleSnapshot(b); err == nil && len(p.Data) == 0 {
			t.Fatal("an empty picture")
		}
		DecodeExclusion(b)
	})
}
