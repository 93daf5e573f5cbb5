package commander

import (
	"cmp"
	"context"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/prober"
)

// This file measures the latency that an entry daemon adds. It starts an installation as the
// demo does. The results depend on what else runs on the machine, so the load average is
// reported with each of them.

const latencyUsage = "measure the latency that an entry daemon adds on loopback"

func latencyCommand() *cli.Command {
	return &cli.Command{
		Name:  "latency",
		Usage: latencyUsage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "seed of the arrivals",
				Value: 1,
			},
			&cli.IntSliceFlag{
				Name:  "rate",
				Usage: "requests per second, ascending; repeated or separated by commas",
				Value: []int{500, 1000, 2000, 4000, 6000, 8000, 12_000, 16_000, 24_000},
			},
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "length of one run",
				Value: 2 * time.Second,
			},
			&cli.IntFlag{
				Name:  "rounds",
				Usage: "runs of each path at half load",
				Value: 5,
			},
			&cli.StringFlag{
				Name:  "out",
				Usage: "`FILE` for the results as CSV; none is written if it is empty",
			},
			&cli.StringFlag{
				Name:  "profile",
				Usage: "`FILE` for a CPU profile of the entry daemon at half load; profiling is off if it is empty",
			},
		},
		Action: runLatency,
	}
}

func parseLatency(cmd *cli.Command) (prober.Config, error) {
	cfg := prober.Config{
		Log:      cmd.Root().Writer,
		Seed:     cmd.Uint64("seed"),
		Rates:    cmd.IntSlice("rate"),
		Duration: cmd.Duration("duration"),
		Rounds:   cmd.Int("rounds"),
		Profile:  cmd.String("profile"),
	}
	err := cmp.Or(
		noArguments(cmd),
		checkBounds(cmd, "duration", cfg.Duration, 100*time.Millisecond, time.Minute),
		checkBounds(cmd, "rounds", cfg.Rounds, 1, 100),
	)
	if err == nil && (len(cfg.Rates) == 0 || !slices.IsSorted(cfg.Rates)) {
		err = fmt.Errorf("latency: --rate: got %v, want ascending rates", cfg.Rates)
	}
	for _, rate := range cfg.Rates {
		err = cmp.Or(err, checkBounds(cmd, "rate", rate, 2, 200_000))
	}
	return cfg, err
}

func runLatency(ctx context.Context, cmd *cli.Command) error {
	cfg, err := parseLatency(cmd)
	if err != nil {
		return err
	}
	if cfg.Program, err = os.Executable(); err != nil {
		return fmt.Errorf("latency: %w", err)
	}
	report, err := prober.Run(ctx, cfg)
	if err != nil {
		return fmt.Errorf("latency: %w", err)
	}
	if err := report.WriteTable(cmd.Root().Writer); err != nil {
		return fmt.Errorf("latency: %w", err)
	}
	if out := cmd.String("out"); out != "" {
		if err := report.WriteCSV(out); err != nil {
			return fmt.Errorf("latency: %w", err)
		}
	}
	return nil
}
