package main

import (
	"errors"
	"fmt"
)

// Values of --plant other than the name of a defect.
const (
	listDefects = "list"
	allDefects  = "all"
)

func unknownDefectError(name string) error {
	return fmt.Errorf("--plant: %q is not the name of a defect; --plant list prints them", name)
}

// errNoDefectBuild is returned when --plant names a defect that only a build with the tag planted contains.
var errNoDefectBuild = errors.New("--plant: this program was not built with -tags planted")
