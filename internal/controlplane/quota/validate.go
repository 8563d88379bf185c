package quota

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"time"

	"birchmoor/internal/controlplane/lease"
)

// Bounds of a Config.
const (
	MaxLimits = 1024
	MaxNodes  = 4096 // of one limit

	maxPartitionLevels = 4
	maxPathSegment     = 16
	maxAmount          = 1e9 // units
	maxWeight          = 1e6
	maxReserveFraction = 0.5
	minWindow          = int64(time.Millisecond)
	maxWindow          = int64(31 * 24 * time.Hour)
)

// Errors that callers tell apart.
var (
	ErrInvalidName   = errors.New("1 to 64 of a-z, 0-9, '.', '_' and '-'")
	ErrLimitNotFound = errors.New("no such limit")
)

// fieldError is an invalid field of a limit. Its key is that of the file of limits.
type fieldError struct{ key, reason string }

// Error returns the key and the reason.
func (e *fieldError) Error() string { return e.key + ": " + e.reason }

func invalidField(key, format string, args ...any) error {
	return &fieldError{key: key, reason: fmt.Sprintf(format, args...)}
}

// Check returns an error that names what is invalid in any of the limits.
func (c *Config) Check() error {
	if len(c.Limits) > MaxLimits {
		return fmt.Errorf("%d limits are more than %d", len(c.Limits), MaxLimits)
	}
	seen := map[string]bool{}
	for _, l := range c.Limits {
		if err := l.Check(); err != nil {
			return fmt.Errorf("limit %s: %w", l.Name, err)
		}
		if seen[l.Name] {
			return fmt.Errorf("limit %s: stands twice", l.Name)
		}
		seen[l.Name] = true
	}
	return nil
}

// Check returns an error that names the key of the first invalid field.
func (l *Limit) Check() error {
	if lease.CheckName(l.Name) != nil {
		return invalidField("name", "%q: %v", l.Name, ErrInvalidName)
	}
	if len(l.Nodes) == 0 || len(l.Nodes) > MaxNodes {
		return invalidField("part", "%d parts are not within 1 and %d", len(l.Nodes), MaxNodes)
	}
	if l.Window < minWindow || l.Window > maxWindow {
		return invalidField("burst, window or longest", "not within 1ms and 744h")
	}
	if err := l.checkKind(); err != nil {
		return err
	}
	if l.Unit != Requests && l.Unit != Cost {
		return invalidField("of", "%q is not requests or cost", l.Unit)
	}
	if err := l.checkFallback(); err != nil {
		return err
	}
	if l.FallbackTimeout < 0 || l.ReserveFraction < 0 || l.ReserveFraction > maxReserveFraction {
		return invalidField("for or reserve", "out of range")
	}
	if err := l.checkPartitionBy(); err != nil {
		return err
	}
	return l.checkNodes()
}

func (l *Limit) checkKind() error {
	switch l.Kind {
	case Rate:
		if l.burstOf(l.Nodes[0].Capacity) < AmountUnit {
			return invalidField("burst", "a burst of less than one lets nothing through")
		}
	case Window, Concurrency:
	default:
		return invalidField("kind", "%q is not a kind", l.Kind)
	}
	return nil
}

func (l *Limit) checkFallback() error {
	switch l.Fallback {
	case Strict, Open:
		return nil
	case Fair:
		valid := l.FallbackFraction > 0 && l.FallbackFraction <= 1 // NaN is not
		if !valid {
			return invalidField("part", "%g is not over 0, and 1 at most", l.FallbackFraction)
		}
		if l.MinProcesses < 1 {
			return invalidField("hosts", "is missing: by how many a limit is divided without the store")
		}
		return nil
	default:
		return invalidField("without", "%q is not strict, fair or open", l.Fallback)
	}
}

func (l *Limit) checkPartitionBy() error {
	if len(l.PartitionBy) > maxPartitionLevels {
		return invalidField("by", "%d levels are more than %d", len(l.PartitionBy), maxPartitionLevels)
	}
	for _, text := range l.PartitionBy {
		if !validPartitionKey(text) {
			return invalidField("by", "%q is not header:NAME, class, or path:N", text)
		}
	}
	return nil
}

func validPartitionKey(text string) bool {
	if text == "class" {
		return true
	}
	kind, arg, _ := strings.Cut(text, ":")
	switch kind {
	case "header":
		return arg != ""
	case "path":
		segment, err := strconv.Atoi(arg)
		return err == nil && segment >= 1 && segment <= maxPathSegment
	default:
		return false
	}
}

// checkNodes checks each node by itself and that no node guarantees its parts more than its own capacity.
func (l *Limit) checkNodes() error {
	guaranteed := make([]Amount, len(l.Nodes)) // to the parts of each node
	seen := map[string]bool{}
	for i := range l.Nodes {
		n := &l.Nodes[i]
		if err := l.checkNode(i, seen[n.Path]); err != nil {
			return err
		}
		seen[n.Path] = true
		if i > 0 {
			guaranteed[n.Parent] += n.Guaranteed
		}
	}
	for i, sum := range guaranteed {
		n := &l.Nodes[i]
		if sum > n.Capacity {
			return invalidField(fmt.Sprintf("part.%q", n.Path), "its parts are promised %s, and it is %s",
				FormatAmount(sum), FormatAmount(n.Capacity))
		}
	}
	return nil
}

func (l *Limit) checkNode(i int, duplicate bool) error {
	n := &l.Nodes[i]
	isRoot := i == 0
	key := fmt.Sprintf("part.%q", n.Path)
	if isRoot {
		key = "the limit"
	}
	switch {
	case isRoot != (n.Path == ""), !isRoot && (n.Parent < 0 || n.Parent >= i), duplicate:
		return invalidField(key, "stands twice, or is part of nothing")
	case !isRoot && strings.Count(n.Path, "/") >= len(l.PartitionBy):
		return invalidField(key, "is of more levels than by names")
	case n.Capacity < 1 || n.Capacity > maxAmount*AmountUnit || n.Guaranteed < 0 || n.Guaranteed > n.Capacity:
		return invalidField(key, "most and least are out of range")
	case !(n.Weight > 0) || n.Weight > maxWeight: //nolint:staticcheck // NaN is invalid, too
		return invalidField(key+".weight", "%g is not over 0", n.Weight)
	}
	return nil
}
