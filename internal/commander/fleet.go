package commander

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/BurntSushi/toml"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
)

// This file lists and changes the VMs of a region. A change takes effect as a whole or not at
// all: a file in which one VM has an unknown pool adds no VM.

const fleetUsage = "list, add, move and remove the VMs of the region"

func fleetCommand() *cli.Command {
	return &cli.Command{
		Name:  "fleet",
		Usage: fleetUsage,
		Flags: operatorFlags(),
		Commands: []*cli.Command{
			{
				Name:  "list",
				Usage: "print all VMs with pool, zone, rack, state and wave",
				Flags: []cli.Flag{
					&cli.StringFlag{
						Name:  "pool",
						Usage: "print only the VMs of this pool",
					},
				},
				Action: runFleetList,
			},
			{
				Name:      "add",
				Usage:     "add VMs to a pool",
				ArgsUsage: "VM... (none with --file)",
				Flags: append(operationFlags(),
					&cli.StringFlag{
						Name:  "file",
						Usage: "TOML `FILE` with a [[vm]] table for each VM: name, pool, rack, availability_zone",
					},
					&cli.StringFlag{
						Name:  "pool",
						Usage: "pool of all VMs",
					},
					&cli.StringFlag{
						Name:  "rack",
						Usage: "rack of all VMs",
					},
					&cli.StringFlag{
						Name:  "zone",
						Usage: "availability zone of all VMs",
					},
				),
				Action: runFleetAdd,
			},
			{
				Name:      "move",
				Usage:     "move serving VMs to another pool",
				ArgsUsage: "VM...",
				Flags: append(operationFlags(),
					&cli.StringFlag{
						Name:     "from",
						Usage:    "pool that the VMs must be in",
						Required: true,
					},
					&cli.StringFlag{
						Name:     "to",
						Usage:    "new pool",
						Required: true,
					},
				),
				Action: runFleetMove,
			},
			{
				Name:      "remove",
				Usage:     "remove VMs from the fleet that have failed and will not return",
				ArgsUsage: "VM...",
				Flags:     operationFlags(),
				Action:    runFleetRemove,
			},
		},
	}
}

func operationFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{
			Name:  "change-id",
			Usage: "id of an earlier attempt whose outcome is unknown; a repeated change takes effect once",
		},
	}
}

// vmList is the content of the file that --file names.
type vmList struct {
	VMs []server.VMAdd `toml:"vm"`
}

func runFleetList(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return fmt.Errorf("fleet %w", err)
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return fmt.Errorf("fleet list: %w", err)
	}
	doc, err := readFleet(ctx, client)
	if err != nil {
		return fmt.Errorf("fleet list: %w", err)
	}
	w := tabwriter.NewWriter(cmd.Root().Writer, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tPOOL\tZONE\tRACK\tSTATE\tWAVE")
	for _, vm := range doc.VMs {
		if pool := cmd.String("pool"); pool == "" || pool == vm.Pool {
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\n", vm.Name, vm.Pool, vm.AvailabilityZone, vm.Rack, vm.State, cmp.Or(vm.Wave, "-"))
		}
	}
	return w.Flush()
}

func readFleet(ctx context.Context, client *operatorClient) (server.FleetDocument, error) {
	var doc server.FleetDocument
	err := client.withoutPrefix().get(ctx, "fleet", url.Values{}, &doc)
	return doc, err
}

func runFleetAdd(ctx context.Context, cmd *cli.Command) error {
	vms, err := vmsToAdd(cmd)
	if err != nil {
		return fmt.Errorf("fleet add: %w", err)
	}
	return changeFleet(ctx, cmd, server.FleetChange{Add: vms})
}

func vmsToAdd(cmd *cli.Command) ([]server.VMAdd, error) {
	template := server.VMAdd{
		Pool:             cmd.String("pool"),
		Rack:             cmd.String("rack"),
		AvailabilityZone: cmd.String("zone"),
	}
	if file := cmd.String("file"); file != "" {
		if cmd.Args().Present() || template != (server.VMAdd{}) {
			return nil, errors.New("--file: want no VMs, --pool, --rack or --zone together with it")
		}
		return readVMs(file)
	}
	if !cmd.Args().Present() {
		return nil, errors.New("got no VMs; want VM... or --file")
	}
	for _, flag := range []string{"pool", "rack", "zone"} {
		if cmd.String(flag) == "" {
			return nil, fmt.Errorf("--%s: missing; it is required if VMs are arguments", flag)
		}
	}
	var vms []server.VMAdd
	for _, template.Name = range cmd.Args().Slice() {
		vms = append(vms, template)
	}
	return vms, nil
}

func readVMs(file string) ([]server.VMAdd, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("--file: %w", err)
	}
	var list vmList
	meta, err := toml.Decode(string(text), &list)
	if err != nil {
		return nil, fmt.Errorf("--file: %s: %w", file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("--file: %s: unknown key %q; want [[vm]] with name, pool, rack and availability_zone", file, unknown[0])
	}
	if len(list.VMs) == 0 {
		return nil, fmt.Errorf("--file: %s holds no VM; want [[vm]] tables", file)
	}
	return list.VMs, nil
}

func runFleetMove(ctx context.Context, cmd *cli.Command) error {
	var change server.FleetChange
	for _, vm := range cmd.Args().Slice() {
		change.Move = append(change.Move, server.VMMove{
			Name: vm,
			From: cmd.String("from"),
			To:   cmd.String("to"),
		})
	}
	return changeFleet(ctx, cmd, change)
}

func runFleetRemove(ctx context.Context, cmd *cli.Command) error {
	return changeFleet(ctx, cmd, server.FleetChange{Remove: cmd.Args().Slice()})
}

func changeFleet(ctx context.Context, cmd *cli.Command, change server.FleetChange) error {
	n := len(change.Add) + len(change.Move) + len(change.Remove)
	if n == 0 {
		return fmt.Errorf("fleet %s: got no VMs; want %s", cmd.Name, cmd.ArgsUsage)
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return fmt.Errorf("fleet %s: %w", cmd.Name, err)
	}
	if change.OperationID, err = changeID(cmd); err != nil {
		return err
	}
	var a server.FleetAnswer
	if err := client.withoutPrefix().sendWithRetries(ctx, http.MethodPost, "fleet/changes", change.OperationID, change, &a); err != nil {
		return fmt.Errorf("fleet %s: %w", cmd.Name, err)
	}
	_, err = fmt.Fprintf(cmd.Root().Writer, "%s: %d VMs, region %s has %d, change %s\n", cmd.Name, n, a.Region, a.VMs, a.OperationID)
	return err
}
