package wire

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"sort"
	"strconv"
	"strings"
)

// SettingsText turns the settings object into the simulator's text: a line path=value for each plain value.
func SettingsText(raw json.RawMessage) (string, error) {
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	var tree map[string]any
	if err := d.Decode(&tree); err != nil && !errors.Is(err, io.EOF) {
		return "", err
	}
	lines := appendLines(nil, "", tree)
	sort.Strings(lines)
	return strings.Join(lines, "\n"), nil
}

// appendLines appends the lines of a value at a path, which begins with a dot. An object's keys are in no order.
func appendLines(lines []string, path string, v any) []string {
	switch v := v.(type) {
	case map[string]any:
		for k, item := range v {
			lines = appendLines(lines, path+"."+k, item)
		}
		return lines
	case []any:
		return appendList(lines, path, v)
	case nil:
		return lines
	default:
		return append(lines, path[1:]+"="+plain(v))
	}
}

// appendList appends a list: of objects their number and the lines of each, of plain values one line.
func appendList(lines []string, path string, list []any) []string {
	if len(list) > 0 {
		if _, objects := list[0].(map[string]any); objects {
			lines = append(lines, fmt.Sprintf("%s.count=%d", path[1:], len(list)))
			for i, item := range list {
				lines = appendLines(lines, path+"."+strconv.Itoa(i), item)
			}
			return lines
		}
	}
	words := make([]string, len(list))
	for i, item := range list {
		words[i] = plain(item)
	}
	return append(lines, path[1:]+"="+strings.Join(words, ","))
}

// plain writes a value for the text form, where commas and line ends separate.
func plain(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}
