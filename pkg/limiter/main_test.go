package limiter

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed and number of checks; command-line flags override them.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "15"} {
		if err := flag.Set(name, value); err != nil {
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
