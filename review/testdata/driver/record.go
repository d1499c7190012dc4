package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run to record.txt.
type record struct {
	mu    sync.Mutex
	begun time.Time
	file  *os.File
	out   *bufio.Writer
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{begun: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// add writes one line with the time since the start of the case.
func (re *record) add(format string, args ...any) {
	re.addAt(time.Now(), format, args...)
}

func (re *record) addAt(at time.Time, format string, args ...any) {
	re.mu.Lock()
	defer re.mu.Unlock()
	fmt.Fprintf(re.out, "%8.3f  %s\n", at.Sub(re.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (re *record) close() {
	re.mu.Lock()
	defer re.mu.Unlock()
	_ = re.out.Flush()
	_ = re.file.Close()
}
