package commander

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/pkg/configurer"
)

// This file creates the installation's CA and the certificates of its entry daemons.
// Existing files are never replaced.

const certificatesUsage = "create the installation's CA and the certificates of entry daemons"

func certificatesCommand() *cli.Command {
	return &cli.Command{
		Name:  "certificates",
		Usage: certificatesUsage,
		Commands: []*cli.Command{
			{
				Name:      "ca",
				Usage:     "create a CA and write NAME.pem and NAME-key.pem",
				ArgsUsage: "NAME",
				Flags:     []cli.Flag{outFlag()},
				Action:    runCertificatesCA,
			},
			{
				Name:      "issue",
				Usage:     "issue certificates and write ENTRY.pem and ENTRY-key.pem for each entry daemon",
				ArgsUsage: "ENTRY...",
				Flags: []cli.Flag{
					outFlag(),
					&cli.StringFlag{
						Name:     "ca",
						Usage:    "`FILE` with the certificate of the CA",
						Required: true,
					},
					&cli.StringFlag{
						Name:     "ca-key",
						Usage:    "`FILE` with the private key of the CA",
						Required: true,
					},
				},
				Action: runCertificatesIssue,
			},
		},
	}
}

func outFlag() cli.Flag {
	return &cli.StringFlag{
		Name:  "out",
		Usage: "`DIRECTORY` for the files; it is created if it does not exist",
		Value: ".",
	}
}

// pemFiles returns the paths of the certificate and the key for name, and creates their
// directory.
func pemFiles(cmd *cli.Command, name string) (certificate, key string, err error) {
	// The names follow the same rule as names in the settings tree.
	if _, _, err := configurer.SplitPath(configurer.KindTeams + "/" + name); err != nil {
		return "", "", fmt.Errorf("name %q: want 1 to 63 of a-z, 0-9, \"-\" and \"_\" that start with a letter or digit", name)
	}
	dir := cmd.String("out")
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", "", fmt.Errorf("--out: %w", err)
	}
	return filepath.Join(dir, name+".pem"), filepath.Join(dir, name+"-key.pem"), nil
}

func runCertificatesCA(_ context.Context, cmd *cli.Command) error {
	args, err := arguments(cmd, 1)
	if err != nil {
		return fmt.Errorf("certificates %w", err)
	}
	certificate, key, err := pemFiles(cmd, args[0])
	if err != nil {
		return fmt.Errorf("certificates ca: %w", err)
	}
	ca, err := messenger.NewAuthority(args[0], time.Now())
	if err != nil {
		return fmt.Errorf("certificates ca: %w", err)
	}
	// The key is written first, so that a failure leaves no certificate without its key.
	if err := ca.WriteKey(key); err != nil {
		return fmt.Errorf("certificates ca: %w", err)
	}
	if err := ca.WriteCertificate(certificate); err != nil {
		return fmt.Errorf("certificates ca: %w", err)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s valid until %s\n", certificate, ca.NotAfter().UTC().Format(time.RFC3339))
	return err
}

func runCertificatesIssue(_ context.Context, cmd *cli.Command) error {
	if !cmd.Args().Present() {
		return fmt.Errorf("certificates issue: got no names; want %s", cmd.ArgsUsage)
	}
	ca, err := messenger.LoadAuthority(cmd.String("ca"), cmd.String("ca-key"))
	if err != nil {
		return fmt.Errorf("certificates issue: %w", err)
	}
	for _, name := range cmd.Args().Slice() {
		certificate, key, err := pemFiles(cmd, name)
		if err != nil {
			return fmt.Errorf("certificates issue: %w", err)
		}
		notAfter, err := ca.Issue(name, certificate, key, time.Now())
		if err != nil {
			return fmt.Errorf("certificates issue: %w", err)
		}
		if _, err := fmt.Fprintf(cmd.Root().Writer, "%s valid until %s\n", certificate, notAfter.UTC().Format(time.RFC3339)); err != nil {
			return err
		}
	}
	return nil
}
