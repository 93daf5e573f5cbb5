package commander

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/lister"
)

// This file runs the platform emulator, with which entry daemons can be tried and tested
// without a real platform. Faults are set by flags at the start and through the admin API
// while it runs.

const platformUsage = "emulate the platform: key-value service, VM list and reboots"

func platformCommand() *cli.Command {
	return &cli.Command{
		Name:                      "platform",
		Usage:                     platformUsage,
		DisableSliceFlagSeparator: true,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "listen",
				Usage: "`HOST:PORT` to listen on; port 0 takes a free one",
				Value: "127.0.0.1:7000",
			},
			&cli.StringSliceFlag{
				Name:  "vm",
				Usage: "a VM as `NAME/ZONE/RACK/HOST:PORT`; may be repeated",
			},
			&cli.DurationFlag{
				Name:  "latency",
				Usage: "delay added to each response",
			},
			&cli.DurationFlag{
				Name:  "list-lag",
				Usage: "how far the VM list lags behind",
			},
			&cli.DurationFlag{
				Name:  "reboot-time",
				Usage: "time that a reboot takes",
				Value: 2 * time.Second,
			},
		},
		Action: runPlatform,
	}
}

func parsePlatform(cmd *cli.Command) (emulator.PlatformConfig, error) {
	var cfg emulator.PlatformConfig
	if err := noArguments(cmd); err != nil {
		return cfg, err
	}
	seen := map[string]bool{}
	for _, s := range cmd.StringSlice("vm") {
		vm, err := lister.ParseVM(s)
		if err != nil {
			return cfg, fmt.Errorf("platform: --vm: %w", err)
		}
		if seen[vm.Name] {
			return cfg, fmt.Errorf("platform: --vm: name %q is given twice", vm.Name)
		}
		seen[vm.Name] = true
		cfg.VMs = append(cfg.VMs, vm)
	}
	cfg.RebootTime = cmd.Duration("reboot-time")
	cfg.Faults = emulator.PlatformFaults{
		LatencyMS: cmd.Duration("latency").Milliseconds(),
		ListLagMS: cmd.Duration("list-lag").Milliseconds(),
	}
	cfg.Logger = hclog.New(&hclog.LoggerOptions{
		Name:   "platform",
		Output: cmd.Root().ErrWriter,
	})
	return cfg, cmp.Or(
		checkBounds(cmd, "latency", cmd.Duration("latency"), 0, time.Hour),
		checkBounds(cmd, "list-lag", cmd.Duration("list-lag"), 0, time.Hour),
		checkBounds(cmd, "reboot-time", cfg.RebootTime, 0, time.Hour),
	)
}

func runPlatform(ctx context.Context, cmd *cli.Command) error {
	cfg, err := parsePlatform(cmd)
	if err != nil {
		return err
	}
	platform, err := emulator.NewPlatform(cfg)
	if err != nil {
		return fmt.Errorf("platform: %w", err)
	}
	defer platform.Close()
	listener, err := listen(ctx, cmd, cmd.String("listen"))
	if err != nil {
		return err
	}
	server := &http.Server{
		Handler:           platform.Handler(),
		ReadHeaderTimeout: 10 * time.Second,
	}
	stop := context.AfterFunc(ctx, func() { server.Close() })
	defer stop()
	if err := printAddress(cmd, listener); err != nil {
		return errors.Join(err, listener.Close())
	}
	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return fmt.Errorf("platform: %w", err)
	}
	return nil
}
