package config

import (
	"errors"
	"fmt"
)

// Follows says what a file lacks that the one in force has, or where it has something of another kind.
func (c *Config) Follows(old *Config) error { return follows("", old.file, c.file) }

// optional are the keys that a file may leave out though the one before had them.
var optional = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true}

// follows says what a file lacks that the one in force has, or where it has something of another kind. At the
// start what is missing has a default; a file that loses a key while we run has been cut or mistyped. Every
// item of a list must have the keys that all items had.
func follows(at string, old, next any) error {
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
			if !ok && !optional[key] {
				return &Error{(at + "." + key)[1:], errors.New("is missing")}
			}
			if ok {
				if err := follows(at+"."+key, value, item); err != nil {
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
		common := shared(old)
		for i, item := range next {
			if err := follows(fmt.Sprintf("%s.%d", at, i), common, item); err != nil {
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

// shared returns an item with the keys that all items of a list have.
func shared(list []any) any {
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
