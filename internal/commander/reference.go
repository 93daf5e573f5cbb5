package commander

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/loader"
	"github.com/comfreyford/comfreyford/internal/recorder"
)

// This file prints the generated parts of docs/OPERATORS.md. The command is hidden, because
// only authors of that page need it.

const referenceUsage = "print a generated part of the page for operators"

func referenceCommand() *cli.Command {
	return &cli.Command{
		Name:      "reference",
		Usage:     referenceUsage,
		ArgsUsage: "PART",
		Hidden:    true,
		Action:    runReference,
	}
}

// references returns the generated parts by the name in their marker comments.
func references() map[string]func() string {
	return map[string]func() string{
		"commands":    commandReference,
		"job_metrics": recorder.JobReference,
		"metrics":     recorder.Reference,
		"settings":    loader.Reference,
	}
}

func runReference(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	part, ok := references()[args[0]]
	if !ok {
		return fmt.Errorf("reference: got part %q; want one of %s", args[0], strings.Join(slices.Sorted(maps.Keys(references())), ", "))
	}
	_, err = fmt.Fprint(cmd.Root().Writer, part())
	return err
}

// commandReference returns the table of subcommands in markdown.
func commandReference() string {
	var b strings.Builder
	b.WriteString("| Command | Use |\n|---|---|\n")
	var add func(prefix string, cmd *cli.Command)
	add = func(prefix string, cmd *cli.Command) {
		name := prefix + cmd.Name
		if !cmd.Hidden && len(cmd.Commands) == 0 {
			fmt.Fprintf(&b, "| `%s` | %s |\n", strings.TrimSpace(name+" "+cmd.ArgsUsage), cmd.Usage)
		}
		for _, sub := range cmd.Commands {
			add(name+" ", sub)
		}
	}
	for _, sub := range subcommands() {
		add("", sub)
	}
	return b.String()
}
