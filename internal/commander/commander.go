// Package commander implements the command line of comfreyford.
//
// Each subcommand has its own file, with its usage text, flags and action in this order.
// The list in this file has all of them.
package commander

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// subcommands returns all subcommands in the order in which the help lists them.
func subcommands() []*cli.Command {
	return []*cli.Command{
		demoCommand(),
		entryCommand(),
		manageCommand(),
		loadCommand(),
		platformCommand(),
		workerCommand(),
		checkCommand(),
		reviewCommand(),
		settingsCommand(),
		fleetCommand(),
		statusCommand(),
		cellsCommand(),
		explainCommand(),
		waveCommand(),
		certificatesCommand(),
		operatorKeyCommand(),
		measureCommand(),
		latencyCommand(),
		capacityCommand(),
		versionCommand(),
		referenceCommand(),
	}
}

// Main runs the command line and returns the exit status: that of the error if it has one, else 1
// for any error.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "comfreyford",
		Usage:          "share a fleet of VMs among teams, through maintenance and failures",
		Reader:         os.Stdin,
		Writer:         stdout,
		ErrWriter:      stderr,
		Commands:       subcommands(),
		Action:         runRoot,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
	}
	for _, sub := range root.Commands {
		reportUsageErrors(sub, sub.Name)
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "comfreyford: %v\n", err)
		var coder cli.ExitCoder
		if errors.As(err, &coder) {
			return coder.ExitCode()
		}
		return 1
	}
	return 0
}

// runRoot is the action when no subcommand matches: it prints the help, or reports an unknown
// subcommand.
func runRoot(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("unknown command %q; `comfreyford help` lists the commands", cmd.Args().First())
	}
	return cli.ShowRootCommandHelp(cmd)
}

// reportUsageErrors makes cmd and its subcommands report invalid flags and unknown
// subcommands as an error of one line with the name of the command. By default the library
// prints the whole help.
func reportUsageErrors(cmd *cli.Command, name string) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return fmt.Errorf("%s: %w", name, err)
	}
	if len(cmd.Commands) == 0 {
		return
	}
	var names []string
	for _, sub := range cmd.Commands {
		names = append(names, sub.Name)
		reportUsageErrors(sub, name+" "+sub.Name)
	}
	cmd.Action = func(_ context.Context, cmd *cli.Command) error {
		return fmt.Errorf("%s: got subcommand %q; want one of %s", name, cmd.Args().First(), strings.Join(names, ", "))
	}
}
