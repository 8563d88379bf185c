package operatorconfig

import (
	"fmt"
	"path/filepath"
	"time"
)

// checker sets the defaults of a file's values and collects the errors of the values that are out of range. For its
// methods the zero value stands for a key that is not in the file.
type checker struct {
	path string
	errs []error
}

// invalid adds the error of a key, with a reason that follows the key in the text.
func (c *checker) invalid(key, format string, args ...any) {
	c.errs = append(c.errs, &Error{Path: c.path, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// dir checks that a path is set, which has no default, and makes a relative one relative to the folder of the file.
func (c *checker) dir(key string, value *string) {
	switch {
	case *value == "":
		c.invalid(key, "is missing")
	case !filepath.IsAbs(*value):
		*value = filepath.Join(filepath.Dir(c.path), *value)
	}
}

// number sets the default of a number and checks that it is within two bounds, which it may reach.
func (c *checker) number(key string, value *int, defaultValue, minValue, maxValue int) {
	if *value == 0 {
		*value = defaultValue
	}
	if *value < minValue || *value > maxValue {
		c.invalid(key, "%d is not within %d and %d", *value, minValue, maxValue)
	}
}

// duration sets the default of a duration and checks that it is within two bounds, which it may reach.
func (c *checker) duration(key string, value *Duration, defaultValue, minValue, maxValue time.Duration) {
	if *value == 0 {
		*value = Duration(defaultValue)
	}
	if d := time.Duration(*value); d < minValue || d > maxValue {
		c.invalid(key, "%v is not within %v and %v", d, minValue, maxValue)
	}
}
