// Package stricttoml reads TOML files of people: unknown keys are errors, and errors name file, line and key.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is a fault of a file.
type Error struct {
	Path   string
	Line   int    // from 1; 0 if the key is not written
	Key    string // such as servers[1].speed
	Reason string

	UnknownKey bool // a key that is not known; all others were read
}

// Error tells the place, the key and the reason.
func (e *Error) Error() string {
	s := e.Path
	if e.Line > 0 {
		s += fmt.Sprintf(":%d", e.Line)
	}
	if s += ": "; e.Key != "" {
		s += e.Key + ": "
	}
	return s + e.Reason
}

// Decode reads text into v; path and what, such as "scenarios", are for errors. All of them are joined, each an
// *Error.
func Decode(path, what string, text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	if unknown := (*toml.StrictMissingError)(nil); errors.As(err, &unknown) {
		var all []error
		for _, e := range unknown.Errors {
			line, _ := e.Position()
			all = append(all, &Error{path, line, strings.Join(e.Key(), "."), "is not a key of " + what, true})
		}
		return errors.Join(all...)
	}
	if wrong := (*toml.DecodeError)(nil); errors.As(err, &wrong) {
		line, _ := wrong.Position()
		return &Error{path, line, strings.Join(wrong.Key(), "."), strings.TrimPrefix(wrong.Error(), "toml: "), false}
	}
	return &Error{Path: path, Reason: err.Error()}
}
