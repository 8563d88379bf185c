// Package route decides which class a DNS query belongs to. It does no I/O, holds no state, and imports only the
// standard library.
package route

import (
	"cmp"
	"slices"
	"strings"
)

// Query is what the class of a query depends on.
type Query struct {
	Name   string // fully qualified, in any case
	Type   uint16
	Opcode int
	TCP    bool // the client came over TCP
}

// Class says which queries belong to a class. An empty field matches all queries, except Opcodes.
type Class struct {
	Suffixes []string // names equal to or below one of them, in any case, with or without a final dot
	Types    []uint16
	Opcodes  []int // empty: QUERY alone
	UDP, TCP bool  // the client's transport; both false: either
}

// Table finds the class of a query. It may be used from any goroutine.
type Table struct{ rules []rule }

// rule matches the queries of a class below one suffix.
type rule struct {
	class    int
	suffix   string // in lower case, with a dot at both ends; "." for all names
	types    []uint16
	opcodes  []int
	udp, tcp bool
}

// opcodeQuery is the operation QUERY (RFC 1035, 4.1.1).
const opcodeQuery = 0

// New returns the table of classes, which are identified by their indexes.
//
// The most specific rule counts: the one with the most labels in its suffix, then one with types before one
// without, then one with a transport before one without, then the class that comes first.
func New(classes []Class) *Table {
	t := &Table{}
	for i, c := range classes {
		t.rules = append(t.rules, rulesOf(i, c)...)
	}
	slices.SortStableFunc(t.rules, func(a, b rule) int {
		return cmp.Or(
			cmp.Compare(strings.Count(b.suffix, "."), strings.Count(a.suffix, ".")),
			trueFirst(len(a.types) > 0, len(b.types) > 0),
			trueFirst(a.udp != a.tcp, b.udp != b.tcp))
	})
	return t
}

// rulesOf returns the rules of a class, one for each suffix.
func rulesOf(class int, c Class) []rule {
	suffixes := c.Suffixes
	if len(suffixes) == 0 {
		suffixes = []string{"."}
	}
	opcodes := c.Opcodes
	if len(opcodes) == 0 {
		opcodes = []int{opcodeQuery}
	}
	rules := make([]rule, 0, len(suffixes))
	for _, suffix := range suffixes {
		rules = append(rules, rule{
			class:   class,
			suffix:  canonicalName(suffix),
			types:   c.Types,
			opcodes: opcodes,
			udp:     c.UDP || !c.TCP,
			tcp:     c.TCP || !c.UDP,
		})
	}
	return rules
}

// trueFirst compares so that true sorts before false.
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

// canonicalName returns a name in lower case with a dot at both ends, so that a suffix matches complete labels only.
func canonicalName(name string) string {
	name = strings.ToLower(strings.Trim(name, "."))
	if name == "" {
		return "."
	}
	return "." + name + "."
}

// Find returns the index of a query's class, or false if it belongs to none.
func (t *Table) Find(q Query) (int, bool) {
	name := canonicalName(q.Name)
	for i := range t.rules {
		if t.rules[i].matches(name, q) {
			return t.rules[i].class, true
		}
	}
	return 0, false
}

// matches reports whether a query for a canonical name belongs to the rule's class.
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
