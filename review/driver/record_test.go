package driver

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that says what was sent, answered and run. Times are seconds since the
// start of the case.
type record struct {
	begun time.Time

	mu   sync.Mutex
	file *os.File
	w    *bufio.Writer
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: f, w: bufio.NewWriter(f)}, nil
}

func (r *record) line(format string, args ...any) {
	r.at(time.Now(), format, args...)
}

// at writes a line with the time of an event.
func (r *record) at(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.w, "%8.3f %s\n", t.Sub(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to the record and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.w.Flush()
	_ = r.file.Close()
}
