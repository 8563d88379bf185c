package main

import "fmt"

// Values of --plant that name no single defect.
const (
	listDefects = "list"
	allDefects  = "all"
)

func unknownDefectError(name string) error {
	return fmt.Errorf("--plant %q is not a fault: list names them", name)
}
