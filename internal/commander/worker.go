package commander

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/emulator"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// This file runs one worker emulator, which represents one VM of the fleet. Its default
// capacity is that of the users' VMs. Faults are set through its admin API.

const workerUsage = "emulate the platform's worker on one VM"

func workerCommand() *cli.Command {
	return &cli.Command{
		Name:  "worker",
		Usage: workerUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:  "listen",
				Usage: "`HOST:PORT` to listen on; port 0 takes a free one",
				Value: "127.0.0.1:7100",
			},
			&cli.IntFlag{
				Name:  "slots",
				Usage: "number of tasks that can run at the same time",
				Value: emulator.DefaultSlots,
			},
			&cli.IntFlag{
				Name:  "connections",
				Usage: "number of connections that can be open at the same time",
				Value: emulator.DefaultConnections,
			},
			&cli.Int64Flag{
				Name:  "cpu-millis",
				Usage: "processor capacity in thousandths of a core",
				Value: emulator.DefaultMillicores,
			},
			&cli.Int64Flag{
				Name:  "memory-mb",
				Usage: "memory in MB",
				Value: emulator.DefaultMemoryMB,
			},
			&cli.IntFlag{
				Name:  "accelerators",
				Usage: "number of accelerators",
			},
			&cli.DurationFlag{
				Name:  "answer-retention",
				Usage: "how long the answers of ended tasks are kept",
				Value: emulator.DefaultAnswerRetention,
			},
			&cli.DurationFlag{
				Name:  "usage-lag",
				Usage: "how far the usage report lags behind",
			},
		},
		Action: runWorker,
	}
}

func parseWorker(cmd *cli.Command) (emulator.WorkerConfig, error) {
	cfg := emulator.WorkerConfig{
		Total: runner.Resources{
			Slots:        cmd.Int("slots"),
			CPUMillis:    cmd.Int64("cpu-millis"),
			MemoryMB:     cmd.Int64("memory-mb"),
			Accelerators: cmd.Int("accelerators"),
		},
		AnswerRetention: cmd.Duration("answer-retention"),
		Faults:          emulator.WorkerFaults{UsageLagMS: cmd.Duration("usage-lag").Milliseconds()},
	}
	if err := noArguments(cmd); err != nil {
		return cfg, err
	}
	return cfg, cmp.Or(
		checkBounds(cmd, "slots", cfg.Total.Slots, 1, 1_000),
		checkBounds(cmd, "connections", cmd.Int("connections"), 1, 100_000),
		checkBounds(cmd, "cpu-millis", cfg.Total.CPUMillis, 0, 1_000_000_000),
		checkBounds(cmd, "memory-mb", cfg.Total.MemoryMB, 0, 1_000_000_000),
		checkBounds(cmd, "accelerators", cfg.Total.Accelerators, 0, 1_000),
		checkBounds(cmd, "answer-retention", cfg.AnswerRetention, time.Second, 24*time.Hour),
		checkBounds(cmd, "usage-lag", cmd.Duration("usage-lag"), 0, time.Hour),
	)
}

func runWorker(ctx context.Context, cmd *cli.Command) error {
	cfg, err := parseWorker(cmd)
	if err != nil {
		return err
	}
	worker, err := emulator.NewWorker(cfg)
	if err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	listener, err := listen(ctx, cmd, cmd.String("listen"))
	if err != nil {
		return err
	}
	server, err := emulator.NewWorkerServer(worker, listener, cmd.Int("connections"))
	if err != nil {
		return errors.Join(fmt.Errorf("worker: %w", err), listener.Close())
	}
	stop := context.AfterFunc(ctx, func() {
		server.Close() //nolint:errcheck // the process ends
	})
	defer stop()
	if err := printAddress(cmd, listener); err != nil {
		return errors.Join(err, listener.Close())
	}
	if err := server.Serve(); err != nil {
		return fmt.Errorf("worker: %w", err)
	}
	return nil
}
