package quota

import (
	"slices"
	"strconv"
	"strings"
)

// Request is what limits read of one.
type Request struct {
	Class          string
	Path           string
	Cost           Amount // by what its client expects; 0: it says nothing
	Header         func(name string) string
	PriorityWeight float64 // of its class, by the greatest of all classes: 0 to 1
}

// Matcher finds which shares a request is of. It never changes, and any goroutine may use it.
type Matcher struct {
	Config   *Config
	byClass  map[string][]*limitMatcher // of classes that limits name, with those that name none
	anyClass []*limitMatcher            // that name none
}

type limitMatcher struct {
	limit       *Limit
	partitionBy []partitionKey
	children    []map[string]int // nodes by their last name, by node
}

// partitionKey is what names a level of parts.
type partitionKey struct {
	kind    string
	arg     string
	segment int
}

// NewMatcher returns that of limits that were checked.
func NewMatcher(c *Config) *Matcher {
	m := &Matcher{Config: c, byClass: map[string][]*limitMatcher{}}
	for _, l := range c.Limits {
		for _, class := range l.Classes {
			m.byClass[class] = nil
		}
	}
	for _, l := range c.Limits {
		x := &limitMatcher{limit: l, children: make([]map[string]int, len(l.Nodes))}
		for i, n := range l.Nodes[1:] {
			if x.children[n.Parent] == nil {
				x.children[n.Parent] = map[string]int{}
			}
			x.children[n.Parent][n.Path[strings.LastIndexByte(n.Path, '/')+1:]] = i + 1
		}
		for _, text := range l.PartitionBy {
			kind, arg, _ := strings.Cut(text, ":")
			n, _ := strconv.Atoi(arg)
			x.partitionBy = append(x.partitionBy, partitionKey{kind, arg, n})
		}
		if len(l.Classes) == 0 {
			m.anyClass = append(m.anyClass, x)
		}
		for class := range m.byClass {
			if len(l.Classes) == 0 || slices.Contains(l.Classes, class) {
				m.byClass[class] = append(m.byClass[class], x)
			}
		}
	}
	return m
}

// Charge is what a request takes of a share.
type Charge struct {
	Limit  *Limit
	Node   int
	Amount Amount
}

// Match appends what a request takes.
func (m *Matcher) Match(buf []Charge, r *Request) []Charge {
	all, named := m.byClass[r.Class]
	if !named {
		all = m.anyClass
	}
	for _, x := range all {
		l := x.limit
		if len(l.Paths) > 0 && !slices.ContainsFunc(l.Paths, func(p string) bool { return strings.HasPrefix(r.Path, p) }) {
			continue
		}
		c := Charge{l, x.node(r), AmountUnit}
		if l.Unit == Cost && r.Cost > 0 {
			c.Amount = r.Cost
		}
		buf = append(buf, c)
	}
	return buf
}

// node is the deepest that all names of the request are known for; "other" stands for those that are not.
func (x *limitMatcher) node(r *Request) int {
	at := 0
	for _, b := range x.partitionBy {
		name := b.name(r)
		if name == "" || x.children[at] == nil {
			return at
		}
		next, ok := x.children[at][name]
		if !ok {
			next, ok = x.children[at]["other"]
		}
		if !ok {
			return at
		}
		at = next
	}
	return at
}

func (b *partitionKey) name(r *Request) string {
	switch b.kind {
	case "class":
		return r.Class
	case "header":
		if r.Header != nil {
			return r.Header(b.arg)
		}
	case "path":
		rest := strings.TrimPrefix(r.Path, "/")
		for n := 1; ; n++ {
			part, more, found := strings.Cut(rest, "/")
			if n == b.segment {
				return part
			}
			if !found {
				return ""
			}
			rest = more
		}
	}
	return ""
}
