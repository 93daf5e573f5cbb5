package commander

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/demonstrator"
)

// This file runs the demo. Only the demo, the latency command and the tests start processes;
// the entry daemon starts none.

const demoUsage = "run a whole installation on loopback under load and check its guarantees"

// errGuaranteeViolated makes the exit status 1. It is returned if a request was lost, ran
// twice or got a wrong answer, if a limit was exceeded, or if a request that ran was reported
// as not run.
var errGuaranteeViolated = errors.New("a guarantee was violated")

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: demoUsage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "seed of the load",
				Value: 1,
			},
			&cli.IntFlag{
				Name:  "requests",
				Usage: "number of requests",
				Value: 1500,
			},
			&cli.BoolFlag{
				Name:  "kill-entry",
				Usage: "kill one entry daemon with SIGKILL halfway through the run",
			},
		},
		Action: runDemo,
	}
}

func parseDemo(cmd *cli.Command) (demonstrator.Options, error) {
	options := demonstrator.Options{
		Seed:      cmd.Uint64("seed"),
		Requests:  cmd.Int("requests"),
		KillEntry: cmd.Bool("kill-entry"),
	}
	options.Zones = 2
	options.EntriesPerZone = 2
	options.Log = cmd.Root().Writer
	return options, cmp.Or(
		noArguments(cmd),
		checkBounds(cmd, "requests", options.Requests, 1, 100_000),
	)
}

func runDemo(ctx context.Context, cmd *cli.Command) error {
	options, err := parseDemo(cmd)
	if err != nil {
		return err
	}
	if options.Program, err = os.Executable(); err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	summary, err := demonstrator.Demo(ctx, options)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	line, err := json.Marshal(summary)
	if err != nil {
		return fmt.Errorf("demo: %w", err)
	}
	fmt.Fprintf(cmd.Root().Writer, "%s\n", line)
	if !summary.OK() {
		return fmt.Errorf("demo: %w", errGuaranteeViolated)
	}
	return nil
}
