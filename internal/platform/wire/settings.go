package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"birchmoor/balancer"
)

// settingsReader holds the pairs of a settings text and the first error in it.
type settingsReader struct {
	pairs map[string]string
	err   error
}

// fail notes the first error.
func (t *settingsReader) fail(key, value, reason string) {
	if t.err == nil {
		t.err = &balancer.SettingError{Key: key, Value: value, Reason: reason}
	}
}

// get returns the parsed value of a key, or def if the key is absent.
func get[T any](t *settingsReader, key string, def T, what string, parse func(string) (T, error)) T {
	text, ok := t.pairs[key]
	if !ok {
		return def
	}
	v, err := parse(text)
	if err != nil {
		t.fail(key, text, "not "+what)
		return def
	}
	return v
}

func (t *settingsReader) number(key string, def float64) float64 {
	return get(t, key, def, "a finite number", func(s string) (float64, error) {
		v, err := strconv.ParseFloat(s, 64)
		if err == nil && (math.IsNaN(v) || math.IsInf(v, 0)) {
			err = strconv.ErrRange
		}
		return v, err
	})
}

func (t *settingsReader) integer(key string, def int64) int64 {
	return get(t, key, def, "a whole number", func(s string) (int64, error) {
		return strconv.ParseInt(s, 10, 64)
	})
}

func (t *settingsReader) flag(key string) bool {
	return get(t, key, false, "true or false", strconv.ParseBool)
}

// keyword returns the value that a word stands for; an unknown word is an error.
func keyword[T any](t *settingsReader, key string, def T, words map[string]T) T {
	return get(t, key, def, "a known word", func(s string) (T, error) {
		if v, ok := words[s]; ok {
			return v, nil
		}
		return def, strconv.ErrSyntax
	})
}

// maxListLength is the longest list of objects in settings.
const maxListLength = 256

// listLength returns the length of a list of objects, each of which must be there.
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

// items counts the comma-separated items of a list of plain values.
func items(text string) int {
	if text == "" {
		return 0
	}
	return strings.Count(text, ",") + 1
}

// fieldNames are the names of the figures of a load report in settings.
var fieldNames = map[string]balancer.Field{
	"busy_reqs": balancer.FieldInflight,
	"pending":   balancer.FieldQueue,
	"cpu_share": balancer.FieldUtil,
	"svc_ms":    balancer.FieldLatency,
	"served_ps": balancer.FieldServed,
	"failed_ps": balancer.FieldErrors,
}

// ParseSettings reads the settings text of a start event. Keys that it does not know are skipped. Errors are
// *balancer.SettingError and name the key on the wire.
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
		Zones:     items(t.pairs["areas"]),
		Kinds:     items(t.pairs["skus"]),
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
		at := fmt.Sprintf("tenants.%d.", i)
		s.Tenants = append(s.Tenants, balancer.Tenant{
			Name:      t.pairs[at+"name"],
			Allowance: t.number(at+"allowance-per-s", 0),
			Share:     t.number(at+"share", 0),
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

// reportFields returns the figures of a load report; an unknown one is balancer.FieldOther.
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

// class reads the class whose keys begin with a path.
func (t *settingsReader) class(at string) balancer.Class {
	for _, key := range [...]string{"target", "give-up", "repeat"} {
		if _, ok := t.pairs[at+key]; !ok {
			t.fail(at+key, "", "is missing")
		}
	}
	return balancer.Class{
		Name:               t.pairs[at+"name"],
		Idempotency:        keyword(t, at+"repeat", balancer.NotIdempotent, idempotencyNames),
		DedupScope:         keyword(t, at+"group", balancer.DedupCell, dedupScopeNames),
		DedupWindow:        t.integer(at+"window", 0),
		LatencyObjective:   t.integer(at+"target", 0),
		Timeout:            t.integer(at+"give-up", 0),
		PriorityWeight:     t.number(at+"credit", 1),
		LatePriorityWeight: t.number(at+"late-value", 0),
		Stream:             t.flag(at + "stream"),
	}
}
