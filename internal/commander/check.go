package commander

import (
	"context"
	"errors"
	"fmt"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/loader"
	"github.com/comfreyford/comfreyford/platform"
)

const checkUsage = "check a settings file without starting a daemon"

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:      "check",
		Usage:     checkUsage,
		ArgsUsage: "FILE",
		Flags: []cli.Flag{
			&cli.BoolFlag{
				Name:  "reference",
				Usage: "print a table of all keys of the settings file in markdown",
			},
			&cli.BoolFlag{
				Name:  "platform",
				Usage: "FILE is a settings file of the users' platform, as the manage command reads it; print the resulting settings",
			},
		},
		Action: runCheck,
	}
}

func runCheck(_ context.Context, cmd *cli.Command) error {
	if cmd.Bool("reference") {
		_, err := fmt.Fprint(cmd.Root().Writer, loader.Reference())
		return err
	}
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	if cmd.Bool("platform") {
		settings, err := platform.LoadSettings(args[0])
		if err != nil {
			return fmt.Errorf("check: %w", err)
		}
		_, err = fmt.Fprint(cmd.Root().Writer, settings.Summary())
		return err
	}
	_, err = loader.Load(args[0])
	var problems loader.Problems
	if errors.As(err, &problems) {
		return fmt.Errorf("check: %d problems\n%w", len(problems), problems)
	}
	if err != nil {
		return fmt.Errorf("check: %w", err)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s: ok\n", args[0])
	return err
}

// arguments returns the arguments of cmd, or an error if there are not exactly n.
func arguments(cmd *cli.Command, n int) ([]string, error) {
	if cmd.Args().Len() != n {
		return nil, fmt.Errorf("%s: got %d arguments; want %s", cmd.Name, cmd.Args().Len(), cmd.ArgsUsage)
	}
	return cmd.Args().Slice(), nil
}
