package commander

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/urfave/cli/v3"
)

const versionUsage = "print the version of the program and of the protocol between entry daemons"

// protocolVersion is the version of the messages between entry daemons.
const protocolVersion = 1

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: versionUsage,
		Action: func(_ context.Context, cmd *cli.Command) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version
			}
			_, err := fmt.Fprintf(cmd.Root().Writer, "comfreyford %s protocol %d\n", version, protocolVersion)
			return err
		},
	}
}
