package config

import (
	"errors"
	"fmt"
	"reflect"
)

// CheckReload returns an *Error if the file lacks a key that the current one has, or has a value of another type.
// At the start a missing key has its default; a file that loses one while the sidecar runs was truncated or
// mistyped.
func (c *Config) CheckReload(current *Config) error { return checkValue("", current.file, c.file) }

// removableKeys may be missing in a file though the current one has them.
var removableKeys = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true}

// initialListPath is a list that may be null if it is empty.
const initialListPath = ".known.instances"

// checkValue compares the value at a path, such as ".limits.sockets", with the current one.
func checkValue(path string, current, next any) error {
	switch current := current.(type) {
	case nil:
		return nil
	case map[string]any:
		return checkObject(path, current, next)
	case []any:
		return checkList(path, current, next)
	}
	if reflect.TypeOf(current) != reflect.TypeOf(next) {
		return errorAt(path, fmt.Sprintf("is %v, of another kind than before", next))
	}
	return nil
}

func checkObject(path string, current map[string]any, next any) error {
	object, ok := next.(map[string]any)
	if !ok {
		return errorAt(path, "is no object")
	}
	for key, value := range current {
		item, ok := object[key]
		if !ok && !removableKeys[key] {
			return errorAt(path+"."+key, "is missing")
		}
		if !ok {
			continue
		}
		if err := checkValue(path+"."+key, value, item); err != nil {
			return err
		}
	}
	return nil
}

// checkList compares each item with the keys that all current items have.
func checkList(path string, current []any, next any) error {
	list, ok := next.([]any)
	if !ok && path != initialListPath {
		return errorAt(path, "is no list")
	}
	if len(current) == 0 {
		return nil
	}
	common := commonItem(current)
	for i, item := range list {
		if err := checkValue(fmt.Sprintf("%s.%d", path, i), common, item); err != nil {
			return err
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

// errorAt returns an *Error for a path; the empty one is that of the file.
func errorAt(path, reason string) error {
	if path == "" {
		path = ".file"
	}
	return &Error{path[1:], errors.New(reason)}
}
