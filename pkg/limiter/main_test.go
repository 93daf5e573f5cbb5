package limiter

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the number of checks; flags on the command line win.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15"} {
		if err := flag.Set(name, value); err != nil {
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
