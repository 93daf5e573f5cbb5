package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/authenticator"
)

const settingsIssueKeyUsage = "generate a key for a team and print it; only its hash is sent and stored"

func settingsIssueKeyCommand() *cli.Command {
	return &cli.Command{
		Name:      "issue-key",
		Usage:     settingsIssueKeyUsage,
		ArgsUsage: "TEAM",
		Flags:     changeFlags()[:1], // no --change-id: a repeated request could not print the key again
		Action:    runSettingsIssueKey,
	}
}

func runSettingsIssueKey(ctx context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	key := authenticator.Generate()
	req := server.KeyRequest{
		Author: cmd.String("author"),
		Team:   args[0],
		KeyID:  key.ID,
		SHA256: key.Secret.SHA256(),
	}
	if req.ChangeID, err = changeID(cmd); err != nil {
		return err
	}
	a, err := client.change(ctx, http.MethodPost, "keys/issue", req.ChangeID, req)
	var unknown *unknownOutcomeError
	if errors.As(err, &unknown) {
		return fmt.Errorf("settings issue-key: key %s was not printed but may have been stored; withdraw it: %w", key.ID, unknown.err)
	}
	if err != nil {
		return fmt.Errorf("settings issue-key: %w", err)
	}
	if _, err := fmt.Fprintln(cmd.Root().Writer, key.HeaderValue()); err != nil {
		return err
	}
	return printChange(cmd, a)
}
