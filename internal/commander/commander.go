// Package commander is the command line of comfreyford.
//
// Each subcommand stands in a file of its own, in the order usage, flags,
// work. The table in this file names all of them; help comes from it.
package commander

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// verbs names every subcommand in the order in which help lists them.
func verbs() []*cli.Command {
	return []*cli.Command{
		demoCommand(),
		entryCommand(),
		platformCommand(),
		workerCommand(),
		checkCommand(),
		settingsCommand(),
		measureCommand(),
		capacityCommand(),
		versionCommand(),
	}
}

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "comfreyford",
		Usage:          "share a fleet of VMs among teams, through maintenance and failures",
		Writer:         stdout,
		ErrWriter:      stderr,
		Commands:       verbs(),
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
	}
	for _, verb := range root.Commands {
		verb.OnUsageError = func(_ context.Context, cmd *cli.Command, err error, _ bool) error {
			return fmt.Errorf("%s: %w", cmd.Name, err)
		}
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "comfreyford: %v\n", err)
		return 1
	}
	return 0
}
