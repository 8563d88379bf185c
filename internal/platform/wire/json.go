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

// SettingsText converts settings from a JSON object to the simulator's text, which has a line path=value for each plain
// value, in sorted order.
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

// appendLines appends the lines of the value at a path, which begins with a dot. The order of an object's keys is
// random.
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
		return append(lines, path[1:]+"="+plainValue(v))
	}
}

// appendList appends the lines of a list: for a list of objects, a line with their number and the lines of each; for a
// list of plain values, one line.
func appendList(lines []string, path string, list []any) []string {
	if len(list) > 0 {
		if _, isObject := list[0].(map[string]any); isObject {
			lines = append(lines, fmt.Sprintf("%s.count=%d", path[1:], len(list)))
			for i, item := range list {
				lines = appendLines(lines, path+"."+strconv.Itoa(i), item)
			}
			return lines
		}
	}
	values := make([]string, len(list))
	for i, item := range list {
		values[i] = plainValue(item)
	}
	return append(lines, path[1:]+"="+strings.Join(values, ","))
}

// plainValue formats a value for the text. It replaces commas and line ends, which separate values there, and spaces by
// underscores.
func plainValue(v any) string {
	return strings.NewReplacer(" ", "_", ",", "_", "\n", "_", "\r", "_").Replace(fmt.Sprint(v))
}
