package commander

import (
	"context"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/internal/reviewer"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/platform"
)

const reviewUsage = "check an operators' configuration before it is sent, against the VMs and the one in force"

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
			"The exit status is 0 if nothing was found, 2 if there are warnings and 1 if there are errors. " +
			"Checks whose input is not at hand are listed as not checked, whatever the exit status is.",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "in-force",
				Usage: "compare with the configuration in this `FILE`",
			},
			&cli.StringFlag{
				Name:  "settings",
				Usage: "compare with the configuration in the store that this settings `FILE` of the platform names, and check the waves and evacuations there",
			},
			&cli.StringFlag{
				Name:  "vms",
				Usage: "check against the VMs in this `FILE`, an answer of the platform's VM service, in place of those that the service lists which --settings names",
			},
			&cli.StringSliceFlag{
				Name:  "wave",
				Usage: "check the maintenance wave in this `FILE`, too; may be repeated",
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
	in := reviewer.Input{
		Candidate: candidate,
	}
	if err := addInstallation(ctx, cmd, &in); err != nil {
		return fmt.Errorf("review: %w", err)
	}
	if err := addFiles(cmd, &in); err != nil {
		return fmt.Errorf("review: %w", err)
	}
	report := reviewer.Review(in)
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

// addInstallation adds what the store and the VM service that --settings names have.
func addInstallation(ctx context.Context, cmd *cli.Command, in *reviewer.Input) error {
	settings := cmd.String("settings")
	if settings == "" {
		return nil
	}
	if cmd.String("in-force") != "" {
		return fmt.Errorf("want --in-force or --settings, got both")
	}
	ctx, cancel := context.WithTimeout(ctx, reviewTimeout)
	defer cancel()
	installation, err := platform.ReadInstallation(ctx, settings)
	if err != nil {
		return err
	}
	in.InForce, in.Waves, in.Evacuated = installation.Configuration, installation.Waves, installation.Evacuated
	if cmd.String("vms") == "" {
		in.VMs, err = platform.ReadVMs(ctx, settings)
	}
	return err
}

// addFiles adds what the files have that flags name.
func addFiles(cmd *cli.Command, in *reviewer.Input) (err error) {
	if path := cmd.String("in-force"); path != "" {
		if in.InForce, err = readConfiguration(path); err != nil {
			return err
		}
	}
	if path := cmd.String("vms"); path != "" {
		if in.VMs, err = readFile(path, platform.ParseVMs); err != nil {
			return err
		}
	}
	var waves []orchestrator.Wave
	for _, path := range cmd.StringSlice("wave") {
		wave, err := readFile(path, platform.ParseWave)
		if err != nil {
			return err
		}
		waves = append(waves, wave)
	}
	// They take the place of those in the store.
	in.Waves = slices.DeleteFunc(in.Waves, func(stored orchestrator.Wave) bool {
		return slices.ContainsFunc(waves, func(w orchestrator.Wave) bool { return w.Number == stored.Number })
	})
	in.Waves = append(in.Waves, waves...)
	return nil
}

func readConfiguration(path string) (*manager.Configuration, error) {
	return readFile(path, platform.StoreSchema{}.Configuration)
}

// readFile decodes a file. The errors name it.
func readFile[T any](path string, decode func([]byte) (T, error)) (T, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		var none T
		return none, err
	}
	value, err := decode(data)
	if err != nil {
		return value, fmt.Errorf("%s: %w", path, err)
	}
	return value, nil
}

func printReview(out io.Writer, r reviewer.Report) error {
	for _, f := range r.Findings {
		if _, err := fmt.Fprintf(out, "%s: %s: %s\n", f.Severity, f.Path, f.Message); err != nil {
			return err
		}
	}
	for _, s := range r.NotChecked {
		if _, err := fmt.Fprintf(out, "not checked: %s: %s\n", s.Path, s.Message); err != nil {
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
