package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/explainer"
)

const explainUsage = "follow one job through the logs of any number of daemons and name the likely cause"

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:        "explain",
		Usage:       explainUsage,
		ArgsUsage:   "ID FILE...",
		Description: "Each FILE holds the JSON log lines of a daemon; - is standard input. A word before the JSON of a line names its daemon; without one, the file name does.",
		Action:      runExplain,
	}
}

func runExplain(_ context.Context, cmd *cli.Command) error {
	args := cmd.Args().Slice()
	if len(args) < 2 {
		return fmt.Errorf("explain: got %d arguments; want %s", len(args), cmd.ArgsUsage)
	}
	var inputs []explainer.Input
	for _, path := range args[1:] {
		if path == "-" {
			inputs = append(inputs, explainer.Input{
				Name:   "-",
				Reader: cmd.Root().Reader,
			})
			continue
		}
		f, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("explain: %w", err)
		}
		defer f.Close() //nolint:errcheck // only read
		name := filepath.Base(path)
		inputs = append(inputs, explainer.Input{
			Name:   strings.TrimSuffix(name, filepath.Ext(name)),
			Reader: f,
		})
	}
	report, err := explainer.Explain(args[0], inputs...)
	if err != nil {
		return fmt.Errorf("explain: %w", err)
	}
	return report.Write(cmd.Root().Writer)
}
