package config

import (
	"errors"
	"fmt"
	"reflect"
)

// CheckReload returns an *Error if c's file lacks a key that the file of the current configuration has, or has a value
// of another type there. At the start a missing key has its default; but a file that loses a key while the sidecar runs
// was truncated or has a typing error.
func (c *Config) CheckReload(current *Config) error {
	return checkValue("", current.fileValues, c.fileValues)
}

// removableKeys are the keys that a reload may remove.
var removableKeys = map[string]bool{"aim-stretch": true, "passes-deadline": true, "warm-keys": true}

// initialListPath is the path of the only list that may be null in place of empty.
const initialListPath = ".known.instances"

// checkValue compares the next value at a path, such as ".limits.sockets", with the current one.
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
		return errorAt(path, fmt.Sprintf("is %v, which has another type than the current value", next))
	}
	return nil
}

func checkObject(path string, current map[string]any, next any) error {
	object, ok := next.(map[string]any)
	if !ok {
		return errorAt(path, "is not an object")
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

// checkList requires that each item of the next list has the keys that all items of the current list have.
func checkList(path string, current []any, next any) error {
	list, ok := next.([]any)
	if !ok && path != initialListPath {
		return errorAt(path, "is not a list")
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

// commonItem returns an item that has only the keys that all items of a list have.
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

// errorAt returns an *Error for a path. An empty path stands for the file as a whole.
func errorAt(path, reason string) error {
	if path == "" {
		path = ".file"
	}
	return &Error{path[1:], errors.New(reason)}
}
