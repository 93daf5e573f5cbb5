package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/internal/reviewer"
	"github.com/comfreyford/comfreyford/platform"
)

const reviewUsage = "check an operators' configuration before it is sent, and compare it with the one in force"

// reviewTimeout bounds the read of the store.
const reviewTimeout = 10 * time.Second

// statusWarnings is the exit status of a review with warnings only. One with errors, and one that
// can't be made, exit with 1.
const statusWarnings = 2

func reviewCommand() *cli.Command {
	return &cli.Command{
		Name:      "review",
		Usage:     reviewUsage,
		ArgsUsage: "FILE",
		Description: "FILE holds a configuration of the users' platform, as operators write it to the store. " +
			"The exit status is 0 if nothing was found, 2 if there are warnings and 1 if there are errors.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "in-force",
				Usage: "compare with the configuration in this `FILE`",
			},
			&cli.StringFlag{
				Name:  "settings",
				Usage: "compare with the configuration in the store that this settings `FILE` of the platform names",
			},
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print JSON",
			},
		},
		Action: runReview,
	}
}

func runReview(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	candidate, err := readConfiguration(args[0])
	if err != nil {
		return fmt.Errorf("review: %w", err)
	}
	inForce, err := configurationInForce(ctx, cmd)
	if err != nil {
		return fmt.Errorf("review: %w", err)
	}
	report := reviewer.Review(reviewer.Input{
		Candidate: candidate,
		InForce:   inForce,
	})
	if err := printAs(cmd, report, printReview); err != nil {
		return err
	}
	failures, warnings := report.Count(reviewer.SeverityError), report.Count(reviewer.SeverityWarning)
	switch {
	case failures > 0:
		return fmt.Errorf("review: errors: %d, warnings: %d", failures, warnings)
	case warnings > 0:
		return cli.Exit(fmt.Sprintf("review: errors: 0, warnings: %d", warnings), statusWarnings)
	}
	return nil
}

// configurationInForce returns the configuration to compare with, or nil if no flag names one.
func configurationInForce(ctx context.Context, cmd *cli.Command) (*manager.Configuration, error) {
	file, settings := cmd.String("in-force"), cmd.String("settings")
	switch {
	case file != "" && settings != "":
		return nil, fmt.Errorf("want --in-force or --settings, got both")
	case file != "":
		return readConfiguration(file)
	case settings != "":
		ctx, cancel := context.WithTimeout(ctx, reviewTimeout)
		defer cancel()
		return platform.ReadConfiguration(ctx, settings)
	}
	return nil, nil // nothing to compare with
}

func readConfiguration(path string) (*manager.Configuration, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := platform.StoreSchema{}.Configuration(data)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return c, nil
}

func printReview(out io.Writer, r reviewer.Report) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, f.Path, f.Message); err != nil {
			return err
		}
	}
	for _, c := range r.Changes {
		if _, err := fmt.Fprintf(out, "change: %s: %s\n", c.Path, c.Message); err != nil {
			return err
		}
	}
	switch {
	case r.InForce == 0:
		_, err := fmt.Fprintf(out, "version %d: compared with none\n", r.Version)
		return err
	case len(r.Changes) == 0:
		_, err := fmt.Fprintf(out, "version %d: means the same as %d\n", r.Version, r.InForce)
		return err
	}
	_, err := fmt.Fprintf(out, "version %d: %d changes from %d\n", r.Version, len(r.Changes), r.InForce)
	return err
}
