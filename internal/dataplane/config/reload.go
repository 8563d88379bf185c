package config

import (
	"errors"
	"fmt"
)

// CheckReload says what a file lacks that the one in force has, or where it has something of another kind.
func (c *Config) CheckReload(old *Config) error { return checkReplacement("", old.file, c.file) }

// removableKeys are the keys that a file may leave out though the one before had them.
var removableKeys = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true}

// checkReplacement says what a file lacks that the one in force has, or where it has something of another kind. At the
// start what is missing has a default; a file that loses a key while we run has been cut or mistyped. Every
// item of a list must have the keys that all items had.
func checkReplacement(at string, old, next any) error {
	wrong := func(reason string) error {
		if at == "" {
			at = ".file"
		}
		return &Error{at[1:], errors.New(reason)}
	}
	switch old := old.(type) {
	case nil:
	case map[string]any:
		next, ok := next.(map[string]any)
		if !ok {
			return wrong("is no object")
		}
		for key, value := range old {
			item, ok := next[key]
			if !ok && !removableKeys[key] {
				return &Error{(at + "." + key)[1:], errors.New("is missing")}
			}
			if ok {
				if err := checkReplacement(at+"."+key, value, item); err != nil {
					return err
				}
			}
		}
	case []any:
		next, ok := next.([]any)
		if !ok && at != ".known.instances" { // which may be empty, written as null
			return wrong("is no list")
		}
		if len(old) == 0 {
			return nil
		}
		common := commonItem(old)
		for i, item := range next {
			if err := checkReplacement(fmt.Sprintf("%s.%d", at, i), common, item); err != nil {
				return err
			}
		}
	default:
		if fmt.Sprintf("%T", old) != fmt.Sprintf("%T", next) {
			return wrong(fmt.Sprintf("is %v, of another kind than before", next))
		}
	}
	return nil
}

// commonItem returns an item with the keys that all items of a list have.
func commonItem(list []any) any {
	first, ok := list[0].(map[string]any)
	if !ok {
		return list[0]
	}
	common := map[string]any{}
	for key, value := range first {
		common[key] = value
		for _, item := range list[1:] {
			if other, ok := item.(map[string]any); !ok || other[key] == nil {
				delete(common, key)
			}
		}
	}
	return common
}
