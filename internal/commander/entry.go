package commander

import (
	"context"
	"fmt"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/coordinator"
	"github.com/comfreyford/comfreyford/internal/loader"
)

// This file runs the entry daemon. The daemon only starts if the whole settings file is valid
// and all listeners could be opened. SIGTERM stops it gracefully.

const entryUsage = "run the entry daemon between callers and targets"

func entryCommand() *cli.Command {
	return &cli.Command{
		Name:  "entry",
		Usage: entryUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:     "settings",
				Usage:    "settings `FILE` in TOML",
				Required: true,
			},
		},
		Action: runEntry,
	}
}

func runEntry(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	settings, err := loader.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	entry, err := coordinator.New(coordinator.Config{
		Settings: settings,
		Logger: hclog.New(&hclog.LoggerOptions{
			Name:   "comfreyford",
			Level:  hclog.LevelFromString(settings.LogLevel),
			Output: cmd.Root().ErrWriter,
		}),
	})
	if err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	if err := entry.Run(ctx); err != nil {
		return fmt.Errorf("entry: %w", err)
	}
	return nil
}
