package commander

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/estimator"
)

const capacityUsage = "measure the memory, traffic and processor time of an entry daemon per unit of fleet size"

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:   "capacity",
		Usage:  capacityUsage,
		Action: capacity,
	}
}

func capacity(ctx context.Context, cmd *cli.Command) error {
	all, err := estimator.Run(ctx)
	if err != nil {
		return err
	}
	return estimator.WriteTables(cmd.Root().Writer, all)
}
