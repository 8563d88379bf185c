package limit

import (
	"slices"
	"strconv"
	"strings"
)

// Request is what limits read of one.
type Request struct {
	Class  string
	Path   string
	Cost   Amount // by what its client expects; 0: it says nothing
	Header func(name string) string
	Worth  float64 // of its class, by the greatest of all classes: 0 to 1
}

// Matcher finds which shares a request is of. It never changes, and any goroutine may use it.
type Matcher struct {
	Conf   *Conf
	limits []matched
}

type matched struct {
	l  *Limit
	at map[string]int // nodes by path
}

// NewMatcher returns that of limits that were checked.
func NewMatcher(c *Conf) *Matcher {
	m := &Matcher{Conf: c}
	for _, l := range c.Limits {
		x := matched{l, make(map[string]int, len(l.Nodes))}
		for i, n := range l.Nodes {
			x.at[n.Path] = i
		}
		m.limits = append(m.limits, x)
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
	for i := range m.limits {
		x := &m.limits[i]
		l := x.l
		if len(l.Classes) > 0 && !slices.Contains(l.Classes, r.Class) ||
			len(l.Paths) > 0 && !slices.ContainsFunc(l.Paths, func(p string) bool { return strings.HasPrefix(r.Path, p) }) {
			continue
		}
		c := Charge{l, x.node(r), One}
		if l.Of == Cost && r.Cost > 0 {
			c.Amount = r.Cost
		}
		buf = append(buf, c)
	}
	return buf
}

// node is the deepest that all names of the request are known for; "other" stands for those that are not.
func (x *matched) node(r *Request) int {
	at, path := 0, ""
	for _, by := range x.l.By {
		name := nameBy(by, r)
		if name == "" {
			return at
		}
		next, ok := x.at[path+name]
		if !ok {
			name = "other"
			next, ok = x.at[path+name]
		}
		if !ok {
			return at
		}
		at, path = next, path+name+"/"
	}
	return at
}

func nameBy(by string, r *Request) string {
	kind, arg, _ := strings.Cut(by, ":")
	switch kind {
	case "class":
		return r.Class
	case "header":
		if r.Header != nil {
			return r.Header(arg)
		}
	case "path":
		n, _ := strconv.Atoi(arg)
		parts := strings.Split(strings.TrimPrefix(r.Path, "/"), "/")
		if n <= len(parts) {
			return parts[n-1]
		}
	}
	return ""
}
