// Package commander is the command line of comfreyford.
//
// Each subcommand stands in a file of its own, in the order usage, flags,
// work. The table in this file names all of them; help comes from it.
package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"github.com/urfave/cli/v3"
)

// verbs names every subcommand in the order in which help lists them.
func verbs() []*cli.Command {
	return []*cli.Command{
		demoCommand(),
		entryCommand(),
		manageCommand(),
		loadCommand(),
		platformCommand(),
		workerCommand(),
		checkCommand(),
		settingsCommand(),
		fleetCommand(),
		statusCommand(),
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

// Main runs the command line and returns the exit status.
func Main(args []string, stdout, stderr io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	root := &cli.Command{
		Name:           "comfreyford",
		Usage:          "share a fleet of VMs among teams, through maintenance and failures",
		Reader:         os.Stdin,
		Writer:         stdout,
		ErrWriter:      stderr,
		Commands:       verbs(),
		Action:         runRoot,
		ExitErrHandler: func(context.Context, *cli.Command, error) {},
		OnUsageError:   func(_ context.Context, _ *cli.Command, err error, _ bool) error { return err },
	}
	for _, verb := range root.Commands {
		reportUsage(verb, verb.Name)
	}
	if err := root.Run(ctx, args); err != nil {
		fmt.Fprintf(stderr, "comfreyford: %v\n", err)
		return 1
	}
	return 0
}

// runRoot runs without a subcommand.
func runRoot(_ context.Context, cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("unknown command %q; `comfreyford help` lists the commands", cmd.Args().First())
	}
	return cli.ShowRootCommandHelp(cmd)
}

// reportUsage makes wrong flags and unknown subcommands errors of one line, which name
// the command. The library would print the whole help.
func reportUsage(cmd *cli.Command, name string) {
	cmd.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return fmt.Errorf("%s: %w", name, err)
	}
	if len(cmd.Commands) == 0 {
		return
	}
	var names []string
	for _, sub := range cmd.Commands {
		names = append(names, sub.Name)
		reportUsage(sub, name+" "+sub.Name)
	}
	cmd.Action = func(_ context.Context, cmd *cli.Command) error {
		return fmt.Errorf("%s: got subcommand %q; want one of %s", name, cmd.Args().First(), strings.Join(names, ", "))
	}
}
