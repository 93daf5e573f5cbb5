package commander

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"strings"

	"github.com/urfave/cli/v3"
)

// errArguments means that a subcommand which takes only flags got arguments.
var errArguments = errors.New("unexpected arguments")

// noArguments returns an error if there are arguments, which would otherwise be ignored.
func noArguments(cmd *cli.Command) error {
	if cmd.Args().Present() {
		return fmt.Errorf("%s: %w %q, expected flags only", cmd.Name, errArguments, strings.Join(cmd.Args().Slice(), " "))
	}
	return nil
}

// checkBounds returns an error if the value of a flag is outside its inclusive bounds.
func checkBounds[T cmp.Ordered](cmd *cli.Command, flag string, value, smallest, largest T) error {
	if value < smallest || value > largest {
		return fmt.Errorf("%s: --%s is %v, expected %v to %v", cmd.Name, flag, value, smallest, largest)
	}
	return nil
}

// listen opens a TCP listener on the address in the flag --listen.
func listen(ctx context.Context, cmd *cli.Command, address string) (net.Listener, error) {
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", address)
	if err != nil {
		return nil, fmt.Errorf("%s: --listen: %w", cmd.Name, err)
	}
	return listener, nil
}

// printAddress prints the address of the listener. The process that started this one waits
// for the line and reads the port from it.
func printAddress(cmd *cli.Command, listener net.Listener) error {
	_, err := fmt.Fprintf(cmd.Root().Writer, "listening %s\n", listener.Addr())
	return err
}
