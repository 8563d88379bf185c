package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"birchmoor/balancer"
)

// settingsReader reads values from the pairs of a settings text, and keeps the first error.
type settingsReader struct {
	pairs map[string]string
	err   error
}

// fail records an error, unless there is one already.
func (t *settingsReader) fail(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

// parseValue returns the parsed value of a key. It returns fallback if the key is absent, or if the value does not
// parse, which is an error that says what was expected.
func parseValue[T any](t *settingsReader, key string, fallback T, expected string, parse func(string) (T, error)) T {
	text, ok := t.pairs[key]
	if !ok {
		return fallback
	}
	v, err := parse(text)
	if err != nil {
		t.fail(key, text, "not "+expected)
		return fallback
	}
	return v
}

func (t *settingsReader) number(key string, fallback float64) float64 {
	return parseValue(t, key, fallback, "a finite number", func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
			err = strconv.ErrRange
		}
		return v, err
	})
}

func (t *settingsReader) integer(key string, fallback int64) int64 {
	return parseValue(t, key, fallback, "a whole number", func(s string) (int64, error) {
		return strconv.ParseInt(s, 10, 64)
	})
}

func (t *settingsReader) flag(key string) bool {
	return parseValue(t, key, false, "true or false", strconv.ParseBool)
}

// keyword returns the value that the word at a key stands for. An unknown word is an error.
func keyword[T any](t *settingsReader, key string, fallback T, values map[string]T) T {
	return parseValue(t, key, fallback, "a known word", func(s string) (T, error) {
		if v, ok := values[s]; ok {
			return v, nil
		}
		return fallback, strconv.ErrSyntax
	})
}

// maxListLength is the maximum length of a list of objects in settings.
const maxListLength = 256

// listLength returns the length of a list of objects. An object without any key is an error, and so is a missing length
// if required.
func (t *settingsReader) listLength(key string, required bool) int {
	countKey := key + ".count"
	if _, ok := t.pairs[countKey]; !ok && required {
		t.fail(countKey, "", "is missing")
	}
	n := t.integer(countKey, 0)
	if n < 0 || n > maxListLength {
		t.fail(countKey, strconv.FormatInt(n, 10), "out of range")
		return 0
	}
	for i := range int(n) {
		if !t.hasKeysUnder(fmt.Sprintf("%s.%d.", key, i)) {
			t.fail(countKey, strconv.FormatInt(n, 10), fmt.Sprintf("%s.%d is missing", key, i))
		}
	}
	return int(n)
}

func (t *settingsReader) hasKeysUnder(prefix string) bool {
	for key := range t.pairs {
		if strings.HasPrefix(key, prefix) {
			return true
		}
	}
	return false
}

// countItems returns the number of items in a comma-separated list.
func countItems(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

// fieldNames maps the names in reporting.fields to the fields of a load report.
var fieldNames = map[string]balancer.Field{
	"busy_reqs": balancer.FieldInflight,
	"pending":   balancer.FieldQueue,
	"cpu_share": balancer.FieldUtil,
	"svc_ms":    balancer.FieldLatency,
	"served_ps": balancer.FieldServed,
	"failed_ps": balancer.FieldErrors,
}

// ParseSettings parses the settings text of a start event. It skips unknown keys. Errors are *balancer.SettingError and
// name the key as in the text.
func ParseSettings(text string) (balancer.Settings, error) {
	pairs, err := parsePairs(text)
	if err != nil {
		return balancer.Settings{}, err
	}
	t := &settingsReader{pairs: pairs}
	s := balancer.Settings{
		Balancers: int(t.integer("peers-total", 1)),
		Position:  int(t.integer("position", 0)),
		Zone:      int(t.integer("zone", 0)),
		Zones:     countItems(t.pairs["areas"]),
		Kinds:     countItems(t.pairs["skus"]),
		Subscribe: keyword(t, "discovery", false, map[string]bool{"automatic": false, "subscribe": true}),
		Tick:      t.integer("tick", 0),
		Limits:    t.limits(),
		Contract:  t.contract(),
		Prices: balancer.Prices{
			CrossZone: t.number("prices.cross-zone", 0),
			Probe:     t.number("prices.probe", 0),
			Waste:     t.number("prices.waste", 0),
			LateFail:  t.number("prices.late-fail", 0),
		},
		Goal: balancer.Goal{
			Total:       t.number("goal.whole", 1),
			WorstWindow: t.number("goal.worst-window", 0),
			WorstClass:  t.number("goal.worst-class", 0),
			WorstTenant: t.number("goal.worst-tenant", 0),
		},
		OverQuotaWeight: t.number("over-share-worth", 1),
		WeightByWork:    keyword(t, "value-by", false, map[string]bool{"request": false, "work": true}),
		Fields:          t.reportFields(),
	}
	for i := range t.listLength("classes", true) {
		s.Classes = append(s.Classes, t.class(fmt.Sprintf("classes.%d.", i)))
	}
	for i := range t.listLength("tenants", false) {
		prefix := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, balancer.Tenant{
			Name:      t.pairs[prefix+"name"],
			Allowance: t.number(prefix+"allowance-per-s", 0),
			Share:     t.number(prefix+"share", 0),
		})
	}
	return s, t.err
}

// parsePairs splits a settings text into its lines of the form path=value.
func parsePairs(text string) (map[string]string, error) {
	pairs := map[string]string{}
	for i, line := range strings.Split(text, "\n") {
		line = strings.TrimSuffix(line, "\r")
		if line == "" {
			continue
		}
		key, value, ok := strings.Cut(line, "=")
		if !ok {
			return nil, &balancer.SettingError{Key: fmt.Sprintf("line %d", i+1), Value: line,
				Reason: "not of the form path=value"}
		}
		pairs[key] = value
	}
	return pairs, nil
}

func (t *settingsReader) limits() balancer.Limits {
	return balancer.Limits{
		Cancel:         t.flag("limits.cancel"),
		Probes:         t.flag("limits.probes"),
		HedgedRequests: t.flag("limits.second-copies"),
		RetryAfter:     t.flag("limits.retry-after"),
		PeerMessages:   t.flag("limits.may-tell"),
		MaxAttempts:    int(t.integer("limits.most-tries", 1)),
		MaxOpen:        int(t.integer("limits.most-held", math.MaxInt32)),
		MaxRetryAfter:  t.integer("limits.max-retry-after", 0),
		DialTimeout:    t.integer("limits.dial-timeout", 0),
	}
}

const defaultPollInterval balancer.Micros = 10_000_000

func (t *settingsReader) contract() balancer.Contract {
	return balancer.Contract{
		DrainGrace:        t.integer("contract.drain-grace", 0),
		InitialCapacity:   t.number("contract.cold-from", 1),
		SlowStartDuration: t.integer("contract.ramp-time", 0),
		OverloadMultiple:  t.number("contract.fall-multiple", 1),
		OverloadWindow:    t.integer("contract.overload-for", 0),
		PollInterval:      t.integer("contract.ask-within", defaultPollInterval),
		AnswerSlack:       t.integer("contract.answer-slack", 0),
	}
}

// reportFields returns the fields of a load report in their order. An unknown one is balancer.FieldOther. It returns
// nil if there are no load reports.
func (t *settingsReader) reportFields() []balancer.Field {
	reported := keyword(t, "reporting.how", false, map[string]bool{"answers": true, "probe": true, "none": false})
	names := t.pairs["reporting.fields"]
	if !reported || names == "" {
		return nil
	}
	var fields []balancer.Field
	for _, name := range strings.Split(names, ",") {
		fields = append(fields, fieldNames[name])
	}
	return fields
}

var idempotencyNames = map[string]balancer.Idempotency{
	"pure":        balancer.Idempotent,
	"token":       balancer.WithIdempotencyKey,
	"side_effect": balancer.NotIdempotent,
}

var dedupScopeNames = map[string]balancer.DedupScope{
	"all":  balancer.DedupAll,
	"zone": balancer.DedupZone,
	"cell": balancer.DedupCell,
}

// class reads the class whose keys begin with prefix.
func (t *settingsReader) class(prefix string) balancer.Class {
	for _, key := range [...]string{"target", "give-up", "repeat"} {
		if _, ok := t.pairs[prefix+key]; !ok {
			t.fail(prefix+key, "", "is missing")
		}
	}
	return balancer.Class{
		Name:               t.pairs[prefix+"name"],
		Idempotency:        keyword(t, prefix+"repeat", balancer.NotIdempotent, idempotencyNames),
		DedupScope:         keyword(t, prefix+"group", balancer.DedupCell, dedupScopeNames),
		DedupWindow:        t.integer(prefix+"window", 0),
		LatencyObjective:   t.integer(prefix+"target", 0),
		Timeout:            t.integer(prefix+"give-up", 0),
		PriorityWeight:     t.number(prefix+"credit", 1),
		LatePriorityWeight: t.number(prefix+"late-value", 0),
		Stream:             t.flag(prefix + "stream"),
	}
}
