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

// duration is written as Go does: "5m".
type duration time.Duration

// UnmarshalText reads one.
func (d *duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	*d = duration(v)
	return err
}

// file is a file of limits.
type file struct {
	Limit map[string]*fileLimit `toml:"limit"`
}

type fileLimit struct {
	Rate        float64   `toml:"rate"`   // a second
	Burst       *duration `toml:"burst"`  // so long a time's rate may come at once
	Amount      float64   `toml:"amount"` // in any
	Window      duration  `toml:"window"` // of this length
	Concurrency float64   `toml:"at_once"`
	MaxDuration duration  `toml:"longest"` // that one of them lasts

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
	Capacity   float64 `toml:"most"` // 0: as much as the whole that it is part of
	Guaranteed float64 `toml:"least"`
	Weight     float64 `toml:"weight"` // 0: 1
}

// ParseFile reads a file of limits, TOML strictly read. All faults are joined, each a *strict.Error.
func ParseFile(path string, text []byte) (*Config, error) {
	var f file
	if err := stricttoml.Decode(path, "files of limits", text, &f); err != nil {
		return nil, err
	}
	c := &Config{}
	var faults []error
	for _, name := range slices.Sorted(maps.Keys(f.Limit)) {
		l, err := f.Limit[name].limit(name)
		if err == nil {
			err = l.Check()
		}
		if err != nil {
			key, reason, _ := strings.Cut(err.Error(), ": ")
			faults = append(faults, &stricttoml.Error{Path: path, Line: lineOf(text, name), Key: "limit." + name + "." + key, Reason: reason})
			continue
		}
		c.Limits = append(c.Limits, l)
	}
	if len(faults) > 0 {
		return nil, errors.Join(faults...)
	}
	if err := c.Check(); err != nil {
		return nil, &stricttoml.Error{Path: path, Reason: err.Error()}
	}
	return c, nil
}

// lineOf is the line at which a limit begins, 0 if it is not found.
func lineOf(text []byte, name string) int {
	n := 0
	for line := range strings.Lines(string(text)) {
		n++
		if strings.HasPrefix(strings.TrimSpace(line), "[limit."+name+"]") || strings.HasPrefix(strings.TrimSpace(line), `[limit."`+name+`"]`) {
			return n
		}
	}
	return 0
}

func amount(v float64) Amount {
	return Amount(math.Round(min(max(v, -1), 2*maxAmount) * float64(AmountUnit)))
}

func (f *fileLimit) limit(name string) (*Limit, error) {
	l := &Limit{Name: name, Unit: Unit(f.Unit), Fallback: FallbackMode(f.Fallback), FallbackFraction: f.FallbackFraction, FallbackTimeout: int64(f.FallbackTimeout), MinProcesses: f.MinProcesses, ReserveFraction: f.ReserveFraction,
		Classes: f.Classes, Paths: f.Paths, PartitionBy: f.PartitionBy}
	if l.Unit == "" {
		l.Unit = Requests
	}
	if l.Fallback == "" {
		l.Fallback = Strict
	}
	set := 0
	for _, v := range []float64{f.Rate, f.Amount, f.Concurrency} {
		if v != 0 {
			set++
		}
	}
	most := f.Rate + f.Amount + f.Concurrency
	switch {
	case set != 1:
		return nil, errors.New("rate, amount, at_once: one of them is needed")
	case f.Rate != 0:
		l.Kind, l.Window = Rate, int64(time.Second)
		if f.Burst != nil {
			l.Window = int64(*f.Burst)
		}
	case f.Amount != 0:
		l.Kind, l.Window = Window, int64(f.Window)
		if f.Window == 0 {
			return nil, errors.New("window: is missing")
		}
	default:
		l.Kind, l.Window = Concurrency, int64(f.MaxDuration)
		if f.MaxDuration == 0 {
			return nil, errors.New("longest: is missing: for so long what the gone had under way counts")
		}
	}
	if f.Burst != nil && l.Kind != Rate || f.Window != 0 && l.Kind != Window || f.MaxDuration != 0 && l.Kind != Concurrency {
		return nil, errors.New("burst, window, longest: go with rate, amount and at_once in turn")
	}
	l.Nodes = []Node{{Capacity: amount(most), Weight: 1}}
	at := map[string]int{"": 0}
	for _, path := range slices.Sorted(maps.Keys(f.Parts)) { // "a" comes before "a/b"
		p := f.Parts[path]
		parent := ""
		if i := strings.LastIndexByte(path, '/'); i >= 0 {
			parent = path[:i]
		}
		of, ok := at[parent]
		if !ok || path == "" || strings.Contains(path, "//") {
			return nil, fmt.Errorf("parts.%q: is part of %q, which is none", path, parent)
		}
		n := Node{Path: path, Parent: of, Capacity: amount(p.Capacity), Guaranteed: amount(p.Guaranteed), Weight: p.Weight}
		if p.Capacity == 0 {
			n.Capacity = l.Nodes[of].Capacity
		}
		if p.Weight == 0 {
			n.Weight = 1
		}
		at[path] = len(l.Nodes)
		l.Nodes = append(l.Nodes, n)
	}
	return l, nil
}
