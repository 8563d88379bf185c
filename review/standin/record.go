package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt, one line an event, with the time since the start.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{file: file, start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to standard output.
func (r *record) say(format string, args ...any) {
	r.add(format, args...)
	fmt.Printf(format+"\n", args...)
}
