package demonstrator

import (
	"testing"
	"time"
)

// Guards against reading the processor time from the wrong field: spaces or parentheses
// in the process name shift the fields.
func TestParseStatSkipsTheName(t *testing.T) {
	got, err := parseStat("7 (a) b) S 1 7 7 0 -1 4194560 1 2 3 4 150 50 9 9 20 0 1 0")
	if err != nil || got != 2*time.Second {
		t.Fatalf("got %s, %v, want 2s", got, err)
	}
	if _, err := parseStat("7 (a) S 1"); err == nil {
		t.Fatal("a short line was accepted")
	}
}
