package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file record.txt of a case.
type record struct {
	start time.Time

	mu sync.Mutex
	f  *os.File
	b  *bufio.Writer
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), f: f, b: bufio.NewWriter(f)}, nil
}

// line writes a line with the time since the start.
func (r *record) line(format string, a ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.b, "%8.3f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.b, format, a...)
	_ = r.b.WriteByte('\n')
}

// note writes a line to the record and to standard output.
func (r *record) note(format string, a ...any) {
	r.line(format, a...)
	fmt.Printf(format+"\n", a...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.b.Flush()
	_ = r.f.Close()
}
