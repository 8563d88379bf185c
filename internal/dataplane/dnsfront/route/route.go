// Package route decides which class a DNS query belongs to. It does no I/O, holds no state between queries, and imports
// only the standard library.
package route

import (
	"cmp"
	"slices"
	"strings"
)

// Query holds the properties of a query that determine its class.
type Query struct {
	Name   string // fully qualified, in any case
	Type   uint16
	Opcode int
	TCP    bool // whether the client sent it over TCP
}

// Class defines which queries belong to a class: those that match all fields. Each field matches all queries if it is
// empty, except for Opcodes.
type Class struct {
	Suffixes []string // the name is one of them or below one, in any case; a final dot is optional
	Types    []uint16
	Opcodes  []int // if empty, only QUERY matches
	UDP, TCP bool  // the client's transport; if both are false, either matches
}

// Table finds the class of a query. It may be used from any goroutine.
type Table struct{ rules []rule }

// rule matches the queries of a class at or below one suffix.
type rule struct {
	classIndex int
	suffix     string // in lower case, with a dot at both ends; "." for all names
	types      []uint16
	opcodes    []int
	udp, tcp   bool // the transports that match
}

// opcodeQuery is the opcode of a standard query (RFC 1035, 4.1.1).
const opcodeQuery = 0

// New returns a table of classes, which Find identifies by their indexes in classes.
//
// If several classes match a query, the most specific rule wins: the one with the most labels in its suffix; among
// those, one with types; among those, one with a transport; among those, the one of the class that comes first.
func New(classes []Class) *Table {
	t := &Table{}
	for i, c := range classes {
		t.rules = append(t.rules, newRules(i, c)...)
	}
	slices.SortStableFunc(t.rules, func(a, b rule) int {
		return cmp.Or(
			cmp.Compare(strings.Count(b.suffix, "."), strings.Count(a.suffix, ".")),
			trueFirst(len(a.types) > 0, len(b.types) > 0),
			trueFirst(a.udp != a.tcp, b.udp != b.tcp))
	})
	return t
}

// newRules returns the rules of the class with an index, one rule for each suffix.
func newRules(classIndex int, definition Class) []rule {
	suffixes := definition.Suffixes
	if len(suffixes) == 0 {
		suffixes = []string{"."}
	}
	opcodes := definition.Opcodes
	if len(opcodes) == 0 {
		opcodes = []int{opcodeQuery}
	}
	rules := make([]rule, 0, len(suffixes))
	for _, suffix := range suffixes {
		rules = append(rules, rule{
			classIndex: classIndex,
			suffix:     canonicalName(suffix),
			types:      definition.Types,
			opcodes:    opcodes,
			udp:        definition.UDP || !definition.TCP,
			tcp:        definition.TCP || !definition.UDP,
		})
	}
	return rules
}

// trueFirst compares two values for sorting true before false.
func trueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// canonicalName returns a name in lower case with a dot at both ends, so that suffixes match only complete labels.
func canonicalName(name string) string {
	name = strings.ToLower(strings.Trim(name, "."))
	if name == "" {
		return "."
	}
	return "." + name + "."
}

// Find returns the index of the class that a query belongs to. It returns false if the query belongs to none.
func (t *Table) Find(q Query) (int, bool) {
	name := canonicalName(q.Name)
	for i := range t.rules {
		if t.rules[i].matches(name, q) {
			return t.rules[i].classIndex, true
		}
	}
	return 0, false
}

// matches reports whether a query matches the rule. name is its canonical name.
func (r *rule) matches(name string, q Query) bool {
	if !strings.HasSuffix(name, r.suffix) || !slices.Contains(r.opcodes, q.Opcode) {
		return false
	}
	if len(r.types) > 0 && !slices.Contains(r.types, q.Type) {
		return false
	}
	if q.TCP {
		return r.tcp
	}
	return r.udp
}
