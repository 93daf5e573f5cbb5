package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/logger"
	"github.com/comfreyford/comfreyford/pkg/partitioner"
	"github.com/comfreyford/comfreyford/platform"
)

// This file runs a daemon on the users' platform. The daemon reads the platform's settings
// file and logs JSON lines to standard output. SIGTERM stops it gracefully.

const manageUsage = "run a daemon on the users' platform"

func manageCommand() *cli.Command {
	return &cli.Command{
		Name:  "manage",
		Usage: manageUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "settings",
				Usage:   "settings `FILE` of the platform",
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.StringFlag{
				Name:  "log-level",
				Usage: "lowest `LEVEL` that is logged: debug, info, warn or error",
				Value: "info",
			},
			&cli.IntFlag{
				Name:  "cell-targets",
				Usage: "`NUMBER` of targets that an owner should have; a new fleet with more is divided by availability zone",
				Value: partitioner.DefaultCellTargets,
			},
			&cli.IntFlag{
				Name:  "max-cell-targets",
				Usage: "`NUMBER` of targets above which availability zones do not share an owner, and a zone has several",
				Value: partitioner.DefaultMaxCellTargets,
			},
		},
		Action: runManage,
	}
}

func runManage(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	path := cmd.String("settings")
	if path == "" {
		return fmt.Errorf("manage: --settings: want a settings file, or its path in %s", platform.SettingsVariable)
	}
	level := hclog.LevelFromString(cmd.String("log-level"))
	if level == hclog.NoLevel {
		return fmt.Errorf("manage: --log-level: want debug, info, warn or error, got %q", cmd.String("log-level"))
	}
	cells := partitioner.Config{
		CellTargets:    cmd.Int("cell-targets"),
		MaxCellTargets: cmd.Int("max-cell-targets"),
	}
	if cells.CellTargets < 1 || cells.MaxCellTargets < 1 {
		return fmt.Errorf("manage: --cell-targets and --max-cell-targets: want numbers above 0, got %d and %d", cells.CellTargets, cells.MaxCellTargets)
	}
	log := logger.New(os.Stdout, "comfreyford", level)
	defer log.Close()
	if err := platform.Run(ctx, path, cells, log); err != nil {
		return fmt.Errorf("manage: %w", err)
	}
	return nil
}
