package commander

import (
	"context"
	"fmt"
	"net/url"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
)

const settingsListUsage = "list the documents of the settings tree with version and revision"

func settingsListCommand() *cli.Command {
	return &cli.Command{
		Name:      "list",
		Usage:     settingsListUsage,
		ArgsUsage: "[PREFIX]",
		Action:    runSettingsList,
	}
}

func runSettingsList(ctx context.Context, cmd *cli.Command) error {
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	listing, err := listDocuments(ctx, client, cmd.Args().First())
	if err != nil {
		return fmt.Errorf("settings list: %w", err)
	}
	for _, doc := range listing.Documents {
		if _, err := fmt.Fprintf(cmd.Root().Writer, "%s %s %d\n", doc.Path, doc.Version, doc.Revision); err != nil {
			return err
		}
	}
	return nil
}

func listDocuments(ctx context.Context, client *operatorClient, prefix string) (server.Listing, error) {
	var listing server.Listing
	err := client.get(ctx, "documents", url.Values{"prefix": {prefix}}, &listing)
	return listing, err
}
