package emulator

import (
	"encoding/base64"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/comfreyford/comfreyford/pkg/runner"
)

// FuzzParseBehaviour guards against values outside their bounds that reach the application.
func FuzzParseBehaviour(f *testing.F) {
	for _, seed := range []string{"/x", "/x?duration_ms=5&status=503&bytes=9", "/x?status=199", "/x?bytes=-1",
		"/x?duration_ms=9999999999999999999", "x", "", "/x?duration_ms=", "/x?%zz", "/x?status=200;bytes=1"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, path string) {
		b, err := parseBehaviour(path)
		if err != nil {
			return
		}
		if b.duration < 0 || b.duration > time.Hour || b.status < 200 || b.status > 599 || b.bytes < 0 || b.bytes > maxApplicationBytes {
			t.Fatalf("%q was read as %+v", path, b)
		}
	})
}

// FuzzParseTask guards against a header that makes the worker panic or admit a task without a
// session.
func FuzzParseTask(f *testing.F) {
	for _, seed := range []string{"", "e30=", "%%", base64.StdEncoding.EncodeToString([]byte(`{"id":"t","timeout":1}`)),
		base64.StdEncoding.EncodeToString([]byte(`{"id":1}`))} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, header string) {
		task, err := parseTask(header)
		if err != nil {
			return
		}
		w, err := NewWorker(WorkerConfig{Total: DefaultResources()})
		if err != nil {
			t.Fatal(err)
		}
		if _, _, err := w.admit(t.Context(), task); err == nil {
			t.Fatal("a task without a session was admitted")
		}
	})
}

// FuzzParseEcho guards against an answer that is accepted although other content follows the
// object.
func FuzzParseEcho(f *testing.F) {
	for _, seed := range []string{`{"identity":"a","xxhash":"0","length":1}` + "\n   ", `{}{}`, `{} x`, ``, `[]`} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, s string) {
		_, err := ParseEcho(strings.NewReader(s))
		if err == nil && !strings.HasSuffix(strings.TrimSpace(s), "}") && strings.TrimSpace(s) != "null" {
			t.Fatalf("%q was accepted", s)
		}
	})
}

// TestPaddedLength guards against answers that are shorter or longer than stated.
func TestPaddedLength(t *testing.T) {
	for _, length := range []int64{5, 6, 4096, 1_000_001} {
		n, err := io.Copy(io.Discard, &padded{
			head:   []byte("head\n"),
			length: length,
		})
		if err != nil || n != length {
			t.Fatalf("length is %d, %v, want %d", n, err, length)
		}
	}
}

// TestFitsDoesNotOverflow guards against declared resources so large that a sum overflows.
func TestFitsDoesNotOverflow(t *testing.T) {
	used := runner.Resources{Slots: 1, MemoryMB: 1}
	need := runner.Resources{Slots: 1, MemoryMB: 1<<63 - 1}
	if need.FitsIn(DefaultResources().Minus(used)) {
		t.Fatal("resources beyond the capacity fit")
	}
}
