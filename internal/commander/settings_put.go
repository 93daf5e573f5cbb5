package commander

import (
	"context"
	"fmt"
	"net/http"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/configurer"
)

const settingsPutUsage = "create, replace or remove one document of the settings tree"

func settingsPutCommand() *cli.Command {
	return &cli.Command{
		Name:      "put",
		Usage:     settingsPutUsage,
		ArgsUsage: "PATH FILE (PATH alone with --remove)",
		Flags: append(changeFlags(),
			&cli.StringFlag{
				Name:  "expected",
				Usage: "version that the document must have; if it is not set, the document must not exist",
			},
			&cli.BoolFlag{
				Name:  "remove",
				Usage: "remove the document",
			},
		),
		Action: runSettingsPut,
	}
}

func runSettingsPut(ctx context.Context, cmd *cli.Command) error {
	n := 2
	if cmd.Bool("remove") {
		n = 1
	}
	args, err := arguments(cmd, n)
	if err != nil {
		return err
	}
	if _, _, err := configurer.SplitPath(args[0]); err != nil {
		return fmt.Errorf("settings put: %w", err)
	}
	req := server.PutRequest{
		Author:   cmd.String("author"),
		Expected: cmd.String("expected"),
		Remove:   cmd.Bool("remove"),
	}
	if !req.Remove {
		text, err := os.ReadFile(args[1])
		if err != nil {
			return fmt.Errorf("settings put: %w", err)
		}
		req.Text = string(text)
	}
	if req.ChangeID, err = changeID(cmd); err != nil {
		return err
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	a, err := client.change(ctx, http.MethodPut, "documents/"+args[0], req.ChangeID, req)
	if err != nil {
		return fmt.Errorf("settings put: %w", err)
	}
	return printChange(cmd, a)
}
