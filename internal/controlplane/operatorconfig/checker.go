package operatorconfig

import (
	"fmt"
	"path/filepath"
	"time"
)

// checker sets defaults of a file's values and collects the errors of those out of range.
type checker struct {
	path string
	errs []error
}

// invalid adds an error of a key.
func (c *checker) invalid(key, format string, args ...any) {
	c.errs = append(c.errs, &Error{Path: c.path, Key: key, Reason: fmt.Sprintf(format, args...)})
}

// dir checks a folder, which has no default, and makes it absolute or relative to the working folder.
func (c *checker) dir(key string, v *string) {
	switch {
	case *v == "":
		c.invalid(key, "is missing")
	case !filepath.IsAbs(*v):
		*v = filepath.Join(filepath.Dir(c.path), *v)
	}
}

func (c *checker) number(key string, v *int, fallback, lowest, highest int) {
	if *v == 0 {
		*v = fallback
	}
	if *v < lowest || *v > highest {
		c.invalid(key, "%d is not within %d and %d", *v, lowest, highest)
	}
}

func (c *checker) duration(key string, v *Duration, fallback, shortest, longest time.Duration) {
	if *v == 0 {
		*v = Duration(fallback)
	}
	if d := time.Duration(*v); d < shortest || d > longest {
		c.invalid(key, "%v is not within %v and %v", d, shortest, longest)
	}
}
