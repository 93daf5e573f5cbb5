package commander

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/measurer"
)

const measureUsage = "compare scheduling, rebalancing and maintenance policies in virtual time"

func measureCommand() *cli.Command {
	return &cli.Command{
		Name:  "measure",
		Usage: measureUsage,
		Flags: []cli.Flag{
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "virtual time of one run",
				Value: 15 * time.Minute,
			},
			&cli.IntFlag{
				Name:  "seeds",
				Usage: "number of runs of each policy",
				Value: 5,
			},
			&cli.FloatFlag{
				Name:  "load",
				Usage: "mean demand as a fraction of the capacity without spare VMs",
				Value: 0.3,
			},
			&cli.StringFlag{
				Name:  "out",
				Usage: "directory for CSV files and plots; none are written if it is empty",
			},
		},
		Action: measure,
	}
}

func measure(ctx context.Context, cmd *cli.Command) error {
	cfg := measurer.Config{
		Duration: cmd.Duration("duration"),
		Seeds:    cmd.Int("seeds"),
		Load:     cmd.Float("load"),
	}
	results, err := measurer.Run(ctx, cfg, measurer.Policies())
	if err != nil {
		return err
	}
	if err := measurer.WriteTables(cmd.Root().Writer, results); err != nil {
		return err
	}
	dir := cmd.String("out")
	if dir == "" {
		return nil
	}
	return measurer.Export(dir, results)
}
