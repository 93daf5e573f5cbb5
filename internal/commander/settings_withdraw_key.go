package commander

import (
	"context"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
)

const settingsWithdrawKeyUsage = "withdraw a key by its id"

func settingsWithdrawKeyCommand() *cli.Command {
	return &cli.Command{
		Name:      "withdraw-key",
		Usage:     settingsWithdrawKeyUsage,
		ArgsUsage: "KEY_ID",
		Flags:     changeFlags(),
		Action:    runSettingsWithdrawKey,
	}
}

func runSettingsWithdrawKey(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	req := server.KeyRequest{
		Author: cmd.String("author"),
		KeyID:  args[0],
	}
	if req.ChangeID, err = changeID(cmd); err != nil {
		return err
	}
	a, err := client.change(ctx, http.MethodPost, "keys/withdraw", req.ChangeID, req)
	if err != nil {
		return fmt.Errorf("settings withdraw-key: %w", err)
	}
	return printChange(cmd, a)
}
