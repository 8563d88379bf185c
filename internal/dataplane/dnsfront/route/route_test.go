package route

import "testing"

func TestFindPrefersMostSpecificRule(t *testing.T) {
	table := New([]Class{
		0: {},
		1: {Suffixes: []string{"example.org"}},
		2: {Suffixes: []string{"example.org."}, Types: []uint16{28}},
		3: {Suffixes: []string{"Slots.Example.org", "b.test"}},
		4: {Suffixes: []string{"example.org"}, Opcodes: []int{5}},
		5: {Suffixes: []string{"example.org"}, TCP: true},
	})
	for _, test := range []struct {
		q    Query
		want int
	}{
		{Query{Name: "x.net.", Type: 1}, 0},
		{Query{Name: "EXAMPLE.org.", Type: 1}, 1},
		{Query{Name: "a.example.org.", Type: 28}, 2},
		{Query{Name: "notexample.org.", Type: 1}, 0}, // a suffix matches only complete labels
		{Query{Name: "s7.slots.example.org.", Type: 28}, 3},
		{Query{Name: "b.test.", Type: 1}, 3},
		{Query{Name: "example.org.", Opcode: 5}, 4},
		{Query{Name: "a.example.org.", Type: 1, TCP: true}, 5},
		{Query{Name: "a.example.org.", Type: 28, TCP: true}, 2},
		{Query{Name: ".", Type: 1}, 0},
	} {
		if got, ok := table.Find(test.q); !ok || got != test.want {
			t.Errorf("Find(%+v): class %d, found %v; want class %d", test.q, got, ok, test.want)
		}
	}
	if _, ok := table.Find(Query{Name: "x.net.", Opcode: 4}); ok {
		t.Error("Find returns a class for a NOTIFY query, though no class has that opcode")
	}
}
