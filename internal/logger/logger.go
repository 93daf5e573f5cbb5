// Package logger writes structured logs without ever blocking the caller.
//
// Lines wait in a bounded queue for one goroutine that writes them. When the queue is full,
// lines are dropped; their number is logged after the next line that is written. Part of
// the queue is reserved for warnings and errors, so that a flood of other lines does not
// displace them.
package logger

import (
	"bytes"
	"io"
	"strconv"
	"sync"

	"github.com/hashicorp/go-hclog"
)

const (
	// queueLines bounds the number of lines that wait.
	queueLines = 4096
	// reservedLines is the part of the queue that only warnings and errors may use.
	reservedLines = 512
)

// Logger is an hclog.Logger whose lines are written in the background.
type Logger struct {
	hclog.Logger
	writer *writer
}

// New returns a Logger that writes JSON lines to out until Close.
func New(out io.Writer, name string, level hclog.Level) *Logger {
	w := &writer{
		out:   out,
		lines: make(chan []byte, queueLines),
		done:  make(chan struct{}),
	}
	go w.run()
	urgent := &urgentWriter{
		writer: w,
	}
	return &Logger{
		Logger: hclog.New(&hclog.LoggerOptions{
			Name:       name,
			Level:      level,
			JSONFormat: true,
			Output: hclog.NewLeveledWriter(w, map[hclog.Level]io.Writer{
				hclog.Warn:  urgent,
				hclog.Error: urgent,
			}),
		}),
		writer: w,
	}
}

// Close writes the lines that wait and stops the writer. Later lines are discarded.
func (l *Logger) Close() {
	l.writer.close()
}

type writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu      sync.Mutex
	closed  bool
	dropped int
}

// Write queues a line that is neither a warning nor an error. It never blocks.
func (w *writer) Write(line []byte) (int, error) {
	w.enqueue(line, queueLines-reservedLines)
	return len(line), nil
}

func (w *writer) enqueue(line []byte, limit int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	if len(w.lines) >= limit {
		w.dropped++
		return
	}
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped++
	}
}

func (w *writer) run() {
	defer close(w.done)
	for line := range w.lines {
		w.out.Write(line) //nolint:errcheck // there is nowhere to report a failure to
		if n := w.takeDropped(); n > 0 {
			w.out.Write([]byte(`{"@level":"warn","@message":"log lines dropped","lines":` + strconv.Itoa(n) + "}\n")) //nolint:errcheck // as above
		}
	}
}

func (w *writer) takeDropped() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.dropped
	w.dropped = 0
	return n
}

func (w *writer) close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	<-w.done
}

// urgentWriter queues warnings and errors, which may use the whole queue.
type urgentWriter struct {
	writer *writer
}

// Write implements io.Writer. It never blocks.
func (u *urgentWriter) Write(line []byte) (int, error) {
	u.writer.enqueue(line, queueLines)
	return len(line), nil
}
