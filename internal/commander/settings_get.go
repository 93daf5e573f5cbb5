package commander

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

const settingsGetUsage = "print one document of the settings tree"

func settingsGetCommand() *cli.Command {
	return &cli.Command{
		Name:      "get",
		Usage:     settingsGetUsage,
		ArgsUsage: "PATH",
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "version",
				Usage: "print this older version; the history lists them",
			},
			&cli.BoolFlag{
				Name:  "show-version",
				Usage: "print the version instead of the text",
			},
		},
		Action: runSettingsGet,
	}
}

func runSettingsGet(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	if _, _, err := configurer.SplitPath(args[0]); err != nil {
		return fmt.Errorf("settings get: %w", err)
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	query := url.Values{}
	if version := cmd.String("version"); version != "" {
		query.Set("version", version)
	}
	var doc configurer.Document
	if err := client.get(ctx, "documents/"+args[0], query, &doc); err != nil {
		return fmt.Errorf("settings get: %w", err)
	}
	if cmd.Bool("show-version") {
		_, err := fmt.Fprintln(cmd.Root().Writer, doc.Version)
		return err
	}
	_, err = fmt.Fprint(cmd.Root().Writer, doc.Text)
	return err
}
