// Package standin holds the stand-ins for the users' platform that the cases of this review
// start: the metadata store, the service for machines, the workers and the clients. They follow
// the pages of the platform's protocol and run in the process of a case. The daemons of
// comfreyford are processes of their own.
package standin

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0 // the rule held
	Broken = 1 // the rule was broken
	NotRun = 2 // the case could not run
)

// Record is the list of what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	began time.Time
	file  *os.File
	out   *bufio.Writer
}

// NewRecord creates record.txt in the present folder.
func NewRecord() (*Record, error) {
	f, err := os.Create("record.txt")
	if err != nil {
		return nil, err
	}
	return &Record{
		began: time.Now(),
		file:  f,
		out:   bufio.NewWriter(f),
	}, nil
}

// Now returns the time since the record began.
func (r *Record) Now() time.Duration { return time.Since(r.began) }

// Add writes a line with the present time.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close writes what is left.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
