package commander

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
)

const settingsHistoryUsage = "print the last changes of the tree or of one document, newest first"

func settingsHistoryCommand() *cli.Command {
	return &cli.Command{
		Name:      "history",
		Usage:     settingsHistoryUsage,
		ArgsUsage: "[PATH]",
		Action:    runSettingsHistory,
	}
}

func runSettingsHistory(ctx context.Context, cmd *cli.Command) error {
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	var h server.History
	if err := client.get(ctx, "history", url.Values{"path": {cmd.Args().First()}}, &h); err != nil {
		return fmt.Errorf("settings history: %w", err)
	}
	return printHistory(cmd.Root().Writer, h)
}
