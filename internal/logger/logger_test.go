package logger_test

import (
	"bytes"
	"encoding/json"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/logger"
)

// slowWriter blocks until it is released.
type slowWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (w *slowWriter) Write(b []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.buffer.Write(b)
}

func TestFloodNeverBlocksAndKeepsWarnings(t *testing.T) {
	w := &slowWriter{
		release: make(chan struct{}),
	}
	log := logger.New(w, "test", hclog.Info)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for i := range 20_000 {
			log.Info("flood", "n", i)
		}
		log.Warn("watching the store failed, trying again")
	}()
	select {
	case <-done:
	case <-time.After(30 * time.Second):
		t.Fatal("logging blocks while the output is blocked")
	}
	close(w.release)
	log.Close()
	text := w.buffer.String()
	if !strings.Contains(text, "watching the store failed, trying again") {
		t.Error("a warning was displaced by ordinary lines")
	}
	if !strings.Contains(text, "log lines dropped") {
		t.Error("dropped lines are not reported")
	}
	for _, line := range strings.Split(strings.TrimSpace(text), "\n") {
		if !json.Valid([]byte(line)) {
			t.Fatalf("line is not JSON: %s", line)
		}
	}
}

func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	log := logger.New(&out, "test", hclog.Info)
	log.Info("first")
	log.Debug("hidden")
	log.Close()
	log.Info("after the end")
	if text := out.String(); !strings.Contains(text, "first") || strings.Contains(text, "hidden") || strings.Contains(text, "after the end") {
		t.Errorf("output is %q", text)
	}
}
