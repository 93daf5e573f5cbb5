package journaler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed; flags on the command line win.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		os.Exit(2)
	}
	os.Exit(m.Run())
}
