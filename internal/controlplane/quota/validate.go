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
	MaxNodes  = 4096 // in one limit, with its root

	maxPartitionLevels = 4
	maxPathSegment     = 16
	maxAmount          = 1e9 // in units of the limit
	maxWeight          = 1e6
	maxReserveFraction = 0.5
	minWindow          = int64(time.Millisecond)
	maxWindow          = int64(31 * 24 * time.Hour)
)

// Errors that callers distinguish.
var (
	ErrInvalidName   = errors.New("must be 1 to 64 characters of a-z, 0-9, '.', '_' and '-'")
	ErrLimitNotFound = errors.New("no such limit")
)

// fieldError is the error of an invalid field of a limit. The key is the one that an operator writes in the file of
// limits.
type fieldError struct{ key, reason string }

// Error implements error.
func (e *fieldError) Error() string { return e.key + ": " + e.reason }

func invalidField(key, format string, args ...any) error {
	return &fieldError{key: key, reason: fmt.Sprintf(format, args...)}
}

// Check returns an error that names the first invalid limit and its field, or nil if the configuration is valid.
func (c *Config) Check() error {
	if len(c.Limits) > MaxLimits {
		return fmt.Errorf("%d limits exceed the maximum of %d", len(c.Limits), MaxLimits)
	}
	seen := map[string]bool{}
	for _, l := range c.Limits {
		if err := l.Check(); err != nil {
			return fmt.Errorf("limit %s: %w", l.Name, err)
		}
		if seen[l.Name] {
			return fmt.Errorf("limit %s: name is used by two limits", l.Name)
		}
		seen[l.Name] = true
	}
	return nil
}

// Check returns an error that names the key of the first invalid field, or nil if the limit is valid.
func (l *Limit) Check() error {
	if lease.CheckName(l.Name) != nil {
		return invalidField("name", "%q: %v", l.Name, ErrInvalidName)
	}
	if len(l.Nodes) == 0 || len(l.Nodes) > MaxNodes {
		return invalidField("part", "number of nodes is %d, must be 1 to %d", len(l.Nodes), MaxNodes)
	}
	if l.Window < minWindow || l.Window > maxWindow {
		return invalidField("burst, window or longest", "duration must be 1ms to 744h")
	}
	if err := l.checkKind(); err != nil {
		return err
	}
	if l.Unit != Requests && l.Unit != Cost {
		return invalidField("of", "%q is neither requests nor cost", l.Unit)
	}
	if err := l.checkFallback(); err != nil {
		return err
	}
	if l.FallbackTimeout < 0 || l.ReserveFraction < 0 || l.ReserveFraction > maxReserveFraction {
		return invalidField("for or reserve", "value is out of range")
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
			return invalidField("burst", "a burst of less than one request or ms of cost would reject all requests")
		}
	case Window, Concurrency:
	default:
		return invalidField("kind", "%q is not a kind of limit", l.Kind)
	}
	return nil
}

func (l *Limit) checkFallback() error {
	switch l.Fallback {
	case Strict, Open:
		return nil
	case Fair:
		valid := l.FallbackFraction > 0 && l.FallbackFraction <= 1 // false for NaN
		if !valid {
			return invalidField("part", "%g must be greater than 0 and at most 1", l.FallbackFraction)
		}
		if l.MinProcesses < 1 {
			return invalidField("hosts", "is missing: processes that cannot reach the store divide the limit by it")
		}
		return nil
	default:
		return invalidField("without", "%q is none of strict, fair and open", l.Fallback)
	}
}

func (l *Limit) checkPartitionBy() error {
	if len(l.PartitionBy) > maxPartitionLevels {
		return invalidField("by", "%d levels exceed the maximum of %d", len(l.PartitionBy), maxPartitionLevels)
	}
	for _, text := range l.PartitionBy {
		if !validPartitionKey(text) {
			return invalidField("by", "%q is none of header:NAME, class and path:N", text)
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

// checkNodes checks each node by itself, and that the guarantees of a node's parts do not exceed the node's capacity.
func (l *Limit) checkNodes() error {
	guaranteed := make([]Amount, len(l.Nodes)) // by node, the sum of the guarantees of its parts
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
			return invalidField(fmt.Sprintf("part.%q", n.Path),
				"guarantees (least) of its parts are %s in total, more than its most of %s",
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
		return invalidField(key, "is defined twice, or has no parent")
	case !isRoot && strings.Count(n.Path, "/") >= len(l.PartitionBy):
		return invalidField(key, "path has more levels than the setting by")
	case n.Capacity < 1 || n.Capacity > maxAmount*AmountUnit || n.Guaranteed < 0 || n.Guaranteed > n.Capacity:
		return invalidField(key, "most or least is out of range")
	case !(n.Weight > 0) || n.Weight > maxWeight: //nolint:staticcheck // NaN is invalid, too
		return invalidField(key+".weight", "%g is out of range", n.Weight)
	}
	return nil
}
