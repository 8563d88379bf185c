// Package route decides which class a DNS query belongs to. It does no I/O and holds no state.
package route

import (
	"cmp"
	"slices"
	"strings"
)

// Query is what a route may go by.
type Query struct {
	Name   string // fully qualified, in any case
	Type   uint16
	Opcode int
	TCP    bool // the client came over TCP
}

// Class is one class of queries. What is left empty lets everything pass, but for Opcodes.
type Class struct {
	Suffixes []string // names at or under one of them, in any case, with or without a final dot
	Types    []uint16
	Opcodes  []int // none: 0, QUERY
	UDP, TCP bool  // clients' transports; both false: either
}

// Table finds the class of a query. It may be used by many goroutines at once.
type Table struct{ rules []rule }

// rule is a class under one suffix.
type rule struct {
	class    int
	suffix   string // in lower case, with a dot at both ends; "." for all names
	types    []uint16
	opcodes  []int
	udp, tcp bool
}

// New returns the table of classes, which are called by their places.
//
// The most specific rule counts: the one with the most labels in its suffix, then one that names types before one that
// takes all, then one that names a transport, then the class that comes first.
func New(classes []Class) *Table {
	t := &Table{}
	for i, c := range classes {
		suffixes, opcodes := c.Suffixes, c.Opcodes
		if len(suffixes) == 0 {
			suffixes = []string{"."}
		}
		if len(opcodes) == 0 {
			opcodes = []int{0}
		}
		for _, s := range suffixes {
			t.rules = append(t.rules, rule{class: i, suffix: canonicalName(s), types: c.Types, opcodes: opcodes,
				udp: c.UDP || !c.TCP, tcp: c.TCP || !c.UDP})
		}
	}
	slices.SortStableFunc(t.rules, func(a, b rule) int {
		return cmp.Or(
			cmp.Compare(strings.Count(b.suffix, "."), strings.Count(a.suffix, ".")),
			trueFirst(len(a.types) > 0, len(b.types) > 0),
			trueFirst(a.udp != a.tcp, b.udp != b.tcp))
	})
	return t
}

// trueFirst puts what holds before what does not.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

// canonicalName gives a name a dot at both ends, so that a suffix ends at a label's beginning.
func canonicalName(name string) string {
	name = strings.ToLower(strings.Trim(name, "."))
	if name == "" {
		return "."
	}
	return "." + name + "."
}

// Find returns the place of the query's class, or false if it belongs to none.
func (t *Table) Find(q Query) (int, bool) {
	name := canonicalName(q.Name)
	for i := range t.rules {
		r := &t.rules[i]
		if strings.HasSuffix(name, r.suffix) && slices.Contains(r.opcodes, q.Opcode) &&
			(len(r.types) == 0 || slices.Contains(r.types, q.Type)) && (r.tcp && q.TCP || r.udp && !q.TCP) {
			return r.class, true
		}
	}
	return 0, false
}
