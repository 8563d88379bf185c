package quota

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"

	"birchmoor/internal/platform/stricttoml"
)

// duration is a time.Duration that is written as time.ParseDuration accepts it, such as "5m".
type duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = duration(v)
	return err
}

// file is the TOML form of a Config, as an operator writes it.
type file struct {
	Limit map[string]*fileLimit `toml:"limit"`
}

type fileLimit struct {
	Rate        float64   `toml:"rate"`    // units per second
	Burst       *duration `toml:"burst"`   // what accrues at Rate in this time may be spent at once; default: 1s
	Amount      float64   `toml:"amount"`  // units in any interval of the length Window
	Window      duration  `toml:"window"`  // of Amount
	Concurrency float64   `toml:"at_once"` // units in flight
	MaxDuration duration  `toml:"longest"` // of a request under Concurrency

	Unit        string   `toml:"of"`
	Classes     []string `toml:"classes"`
	Paths       []string `toml:"paths"`
	PartitionBy []string `toml:"by"`

	Fallback         string   `toml:"without"`
	FallbackFraction float64  `toml:"part"`
	FallbackTimeout  duration `toml:"for"`
	MinProcesses     int      `toml:"hosts"`
	ReserveFraction  float64  `toml:"reserve"`

	Parts map[string]*filePart `toml:"parts"`
}

type filePart struct {
	Capacity   float64 `toml:"most"` // default: that of its parent
	Guaranteed float64 `toml:"least"`
	Weight     float64 `toml:"weight"` // default: 1
}

// ParseFile parses and checks a file of limits in TOML. Unknown keys are errors. The path is only used in errors. The
// error joins all invalid limits, each as a *stricttoml.Error.
func ParseFile(path string, text []byte) (*Config, error) {
	var f file
	if err := stricttoml.Decode(path, "files of limits", text, &f); err != nil {
		return nil, err
	}
	c := &Config{}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(f.Limit)) {
		l, err := f.Limit[name].toLimit(name)
		if err != nil {
			errs = append(errs, locateError(path, text, name, err))
			continue
		}
		c.Limits = append(c.Limits, l)
	}
	if len(errs) > 0 {
		return nil, errors.Join(errs...)
	}
	if err := c.Check(); err != nil {
		return nil, &stricttoml.Error{Path: path, Reason: err.Error()}
	}
	return c, nil
}

// locateError returns the error of a limit with its path, line and key in the file.
func locateError(path string, text []byte, name string, err error) error {
	located := &stricttoml.Error{Path: path, Line: lineOf(text, name), Key: "limit." + name, Reason: err.Error()}
	var field *fieldError
	if errors.As(err, &field) {
		located.Key += "." + field.key
		located.Reason = field.reason
	}
	return located
}

// lineOf returns the line at which a limit begins, or 0 if it is not found.
func lineOf(text []byte, name string) int {
	number := 0
	for line := range strings.Lines(string(text)) {
		number++
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[limit."+name+"]") || strings.HasPrefix(line, `[limit."`+name+`"]`) {
			return number
		}
	}
	return 0
}

// amountOf converts a number of units from the file. A number that is out of range is converted to an amount that is
// out of range, too, so that Check rejects it.
func amountOf(v float64) Amount {
	return Amount(math.Round(min(max(v, -1), 2*maxAmount) * float64(AmountUnit)))
}

// toLimit converts and checks a limit of the file. It sets the defaults of keys that the file does not have.
func (f *fileLimit) toLimit(name string) (*Limit, error) {
	l := &Limit{
		Name:             name,
		Unit:             Unit(f.Unit),
		Fallback:         FallbackMode(f.Fallback),
		FallbackFraction: f.FallbackFraction,
		FallbackTimeout:  int64(f.FallbackTimeout),
		MinProcesses:     f.MinProcesses,
		ReserveFraction:  f.ReserveFraction,
		Classes:          f.Classes,
		Paths:            f.Paths,
		PartitionBy:      f.PartitionBy,
	}
	if l.Unit == "" {
		l.Unit = Requests
	}
	if l.Fallback == "" {
		l.Fallback = Strict
	}
	capacity, err := f.setKind(l)
	if err != nil {
		return nil, err
	}
	l.Nodes, err = f.nodes(capacity)
	if err != nil {
		return nil, err
	}
	return l, l.Check()
}

// setKind sets the kind and the window of a limit by which of the three amounts is given, and returns that amount.
func (f *fileLimit) setKind(l *Limit) (capacity Amount, err error) {
	amountsGiven := 0
	for _, v := range []float64{f.Rate, f.Amount, f.Concurrency} {
		if v != 0 {
			amountsGiven++
		}
	}
	if amountsGiven != 1 {
		return 0, invalidField("rate, amount, at_once", "exactly one of them must be set")
	}
	switch {
	case f.Rate != 0:
		l.Kind = Rate
		l.Window = int64(time.Second)
		if f.Burst != nil {
			l.Window = int64(*f.Burst)
		}
	case f.Amount != 0:
		if f.Window == 0 {
			return 0, invalidField("window", "is missing")
		}
		l.Kind = Window
		l.Window = int64(f.Window)
	default:
		if f.MaxDuration == 0 {
			return 0, invalidField("longest", "is missing: requests of departed processes count for so long")
		}
		l.Kind = Concurrency
		l.Window = int64(f.MaxDuration)
	}
	misplaced := f.Burst != nil && l.Kind != Rate ||
		f.Window != 0 && l.Kind != Window ||
		f.MaxDuration != 0 && l.Kind != Concurrency
	if misplaced {
		return 0, invalidField("burst, window, longest", "can only be set with rate, amount and at_once, respectively")
	}
	return amountOf(f.Rate + f.Amount + f.Concurrency), nil
}

// nodes returns the root, which has the given capacity, and the parts, every part after its parent.
func (f *fileLimit) nodes(capacity Amount) ([]Node, error) {
	nodes := []Node{{Capacity: capacity, Weight: 1}}
	indexOf := map[string]int{"": 0}
	for _, path := range slices.Sorted(maps.Keys(f.Parts)) { // "a" sorts before "a/b"
		part := f.Parts[path]
		parentPath := ""
		if i := strings.LastIndexByte(path, '/'); i >= 0 {
			parentPath = path[:i]
		}
		parent, ok := indexOf[parentPath]
		if !ok || path == "" || strings.Contains(path, "//") {
			return nil, invalidField(fmt.Sprintf("parts.%q", path), "has the parent %q, which is not a part",
				parentPath)
		}
		n := Node{
			Path:       path,
			Parent:     parent,
			Capacity:   amountOf(part.Capacity),
			Guaranteed: amountOf(part.Guaranteed),
			Weight:     part.Weight,
		}
		if part.Capacity == 0 {
			n.Capacity = nodes[parent].Capacity
		}
		if part.Weight == 0 {
			n.Weight = 1
		}
		indexOf[path] = len(nodes)
		nodes = append(nodes, n)
	}
	return nodes, nil
}
