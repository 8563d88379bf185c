// Package stricttoml decodes TOML files that people write. Unknown keys are errors, and errors name the file, the line
// and the key. It imports nothing of this module.
package stricttoml

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Error is an error in the content of a file.
type Error struct {
	Path       string
	Line       int    // from 1; 0 if the key is not in the file
	Key        string // such as servers[1].speed; empty for the file as a whole
	Reason     string
	UnknownKey bool // the key is unknown; all known keys of the file were decoded
}

// Error implements error. It returns the path, the line, the key and the reason.
func (e *Error) Error() string {
	var b strings.Builder
	b.WriteString(e.Path)
	if e.Line > 0 {
		fmt.Fprintf(&b, ":%d", e.Line)
	}
	b.WriteString(": ")
	if e.Key != "" {
		b.WriteString(e.Key + ": ")
	}
	b.WriteString(e.Reason)
	return b.String()
}

// Decode decodes text into v. The path and the kind of files, such as "scenarios", appear only in errors. The returned
// error is an *Error, or several joined ones if there are unknown keys.
func Decode(path, kind string, text []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields().Decode(v)
	if err == nil {
		return nil
	}
	var unknownKeys *toml.StrictMissingError
	if errors.As(err, &unknownKeys) {
		return joinUnknownKeys(path, kind, unknownKeys)
	}
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		line, _ := decodeErr.Position()
		return &Error{
			Path:   path,
			Line:   line,
			Key:    strings.Join(decodeErr.Key(), "."),
			Reason: strings.TrimPrefix(decodeErr.Error(), "toml: "),
		}
	}
	return &Error{Path: path, Reason: err.Error()}
}

// joinUnknownKeys returns an *Error for each unknown key, joined.
func joinUnknownKeys(path, kind string, unknownKeys *toml.StrictMissingError) error {
	var errs []error
	for i := range unknownKeys.Errors {
		decodeErr := &unknownKeys.Errors[i]
		line, _ := decodeErr.Position()
		errs = append(errs, &Error{
			Path:       path,
			Line:       line,
			Key:        strings.Join(decodeErr.Key(), "."),
			Reason:     "is not a key of " + kind,
			UnknownKey: true,
		})
	}
	return errors.Join(errs...)
}
