package quota

import (
	"slices"
	"strconv"
	"strings"
)

// otherPart is the name of the part that is charged for requests whose value names no part.
const otherPart = "other"

// Request holds the properties of a request that limits depend on.
type Request struct {
	Class          string
	Path           string
	Cost           Amount                   // the cost that its client expects; 0 if the client states none
	Header         func(name string) string // returns the value of a header, or ""; may be nil
	PriorityWeight float64                  // of its class, relative to the largest of all classes: 0 to 1
}

// Charge is the amount of a node's quota that a request needs. Node is an index in Limit.Nodes.
type Charge struct {
	Limit  *Limit
	Node   int
	Amount Amount
}

// Matcher finds the nodes that a request is charged to. It is immutable and safe for concurrent use.
type Matcher struct {
	Config   *Config
	byClass  map[string][]*limitMatcher // for each class that a limit names, including the limits of all classes
	anyClass []*limitMatcher            // the limits of all classes
}

type limitMatcher struct {
	limit       *Limit
	partitionBy []partitionKey
	children    []map[string]int // by node, the indices of its parts by the last name of their paths
}

// partitionKind says which property of a request names the part that it is charged to.
type partitionKind string

const (
	partitionByClass  partitionKind = "class"
	partitionByHeader partitionKind = "header"
	partitionByPath   partitionKind = "path"
)

// partitionKey is a parsed element of Limit.PartitionBy: it selects a request's part on one level.
type partitionKey struct {
	kind    partitionKind
	header  string
	segment int // of the path, from 1
}

// NewMatcher returns the matcher of a configuration, which must have passed Check and must not be changed afterwards.
func NewMatcher(c *Config) *Matcher {
	m := &Matcher{Config: c, byClass: map[string][]*limitMatcher{}}
	for _, l := range c.Limits {
		for _, class := range l.Classes {
			m.byClass[class] = nil
		}
	}
	for _, l := range c.Limits {
		lm := newLimitMatcher(l)
		if len(l.Classes) == 0 {
			m.anyClass = append(m.anyClass, lm)
		}
		for class := range m.byClass {
			if len(l.Classes) == 0 || slices.Contains(l.Classes, class) {
				m.byClass[class] = append(m.byClass[class], lm)
			}
		}
	}
	return m
}

func newLimitMatcher(l *Limit) *limitMatcher {
	m := &limitMatcher{limit: l, children: make([]map[string]int, len(l.Nodes))}
	for i, n := range l.Nodes[1:] {
		if m.children[n.Parent] == nil {
			m.children[n.Parent] = map[string]int{}
		}
		name := n.Path[strings.LastIndexByte(n.Path, '/')+1:]
		m.children[n.Parent][name] = i + 1
	}
	for _, text := range l.PartitionBy {
		m.partitionBy = append(m.partitionBy, parsePartitionKey(text))
	}
	return m
}

// parsePartitionKey parses an element of Limit.PartitionBy that validPartitionKey accepts.
func parsePartitionKey(text string) partitionKey {
	kind, arg, _ := strings.Cut(text, ":")
	key := partitionKey{kind: partitionKind(kind)}
	switch key.kind {
	case partitionByHeader:
		key.header = arg
	case partitionByPath:
		key.segment, _ = strconv.Atoi(arg)
	}
	return key
}

// Match appends to buf the charges of a request, one for each limit that applies to it, and returns the result.
func (m *Matcher) Match(buf []Charge, r *Request) []Charge {
	matchers, named := m.byClass[r.Class]
	if !named {
		matchers = m.anyClass
	}
	for _, lm := range matchers {
		if !lm.matchesPath(r.Path) {
			continue
		}
		c := Charge{Limit: lm.limit, Node: lm.node(r), Amount: AmountUnit}
		if lm.limit.Unit == Cost && r.Cost > 0 {
			c.Amount = r.Cost
		}
		buf = append(buf, c)
	}
	return buf
}

func (m *limitMatcher) matchesPath(path string) bool {
	if len(m.limit.Paths) == 0 {
		return true
	}
	return slices.ContainsFunc(m.limit.Paths, func(prefix string) bool { return strings.HasPrefix(path, prefix) })
}

// node returns the deepest node whose path matches the names of the request's parts. A name without a part of its own
// matches otherPart.
func (m *limitMatcher) node(r *Request) int {
	current := 0
	for i := range m.partitionBy {
		name := m.partitionBy[i].name(r)
		children := m.children[current]
		if name == "" || children == nil {
			return current
		}
		child, ok := children[name]
		if !ok {
			child, ok = children[otherPart]
		}
		if !ok {
			return current
		}
		current = child
	}
	return current
}

// name returns the name of the request's part on this level, or "" if it has none.
func (k *partitionKey) name(r *Request) string {
	switch k.kind {
	case partitionByClass:
		return r.Class
	case partitionByHeader:
		if r.Header != nil {
			return r.Header(k.header)
		}
	case partitionByPath:
		return pathSegment(r.Path, k.segment)
	}
	return ""
}

// pathSegment returns the segment of a path with the given number, from 1, or "" if the path is shorter.
func pathSegment(path string, number int) string {
	rest := strings.TrimPrefix(path, "/")
	for n := 1; ; n++ {
		segment, following, more := strings.Cut(rest, "/")
		if n == number {
			return segment
		}
		if !more {
			return ""
		}
		rest = following
	}
}
