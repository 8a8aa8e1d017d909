package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	started time.Time
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

// line writes one line with the time since the start.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}
