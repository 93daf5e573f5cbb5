// Command comfreyford contains the entry daemon, the operators' command line and the emulators
// of the platform and its workers in one binary.
package main

import (
	"os"

	"github.com/comfreyford/comfreyford/internal/commander"
)

func main() {
	os.Exit(commander.Main(os.Args, os.Stdout, os.Stderr))
}
