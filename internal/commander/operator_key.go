package commander

import (
	"context"
	"errors"
	"fmt"
	"os"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/pkg/authenticator"
)

const operatorKeyUsage = "print a new operator key and its hash for operator_key_sha256"

func operatorKeyCommand() *cli.Command {
	return &cli.Command{
		Name:  "operator-key",
		Usage: operatorKeyUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "out",
				Usage: "write the key to `FILE`, which must not exist, and print only the hash",
			},
		},
		Action: runOperatorKey,
	}
}

func runOperatorKey(_ context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	secret := authenticator.Generate().Secret
	file := cmd.String("out")
	if file == "" {
		_, err := fmt.Fprintf(cmd.Root().Writer, "key %s\nsha256 %s\n", secret.Reveal(), secret.SHA256())
		return err
	}
	f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return fmt.Errorf("operator-key: --out: %w", err)
	}
	_, err = fmt.Fprintln(f, secret.Reveal())
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("operator-key: --out: %w", err)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "sha256 %s\n", secret.SHA256())
	return err
}
