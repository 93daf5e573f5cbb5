package journaler

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for rapid; a flag on the command line overrides it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
