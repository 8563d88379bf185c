package main

import (
	"errors"
	"fmt"
)

// Values of --plant that name no single defect.
const (
	listDefects = "list"
	allDefects  = "all"
)

func unknownDefectError(name string) error {
	return fmt.Errorf("--plant %q is not a fault: list names them", name)
}

// errNoDefectBuild says that this program has no defects to enable.
var errNoDefectBuild = errors.New("--plant: this program was not built with -tags planted")
