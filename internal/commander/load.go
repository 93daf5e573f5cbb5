package commander

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/generator"
)

// This file sends a given number of requests to a running installation. Its workers must be
// emulators, because only the answers of the emulators' application can be checked.

const loadUsage = "send a given number of requests to entry daemons and check each answer"

// errLostOrWrong makes the exit status 1. It is returned if a request was lost or got a wrong
// answer.
var errLostOrWrong = errors.New("requests were lost or got a wrong answer")

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: loadUsage,
		Flags: []cli.Flag{
			&cli.StringSliceFlag{
				Name:     "address",
				Usage:    "`HOST:PORT` of the callers' API of an entry daemon; may be repeated",
				Required: true,
			},
			&cli.StringFlag{
				Name:     "queue",
				Usage:    "queue to submit to",
				Required: true,
			},
			&cli.StringFlag{
				Name:    "key",
				Usage:   "key of the team; not needed for open queues",
				Sources: cli.EnvVars("COMFREYFORD_KEY"),
			},
			&cli.StringFlag{
				Name:  "method",
				Usage: "HTTP method; POST is not idempotent",
				Value: http.MethodGet,
			},
			&cli.BoolFlag{
				Name:  "deferrable",
				Usage: "the queue's class is deferrable: wait for the results of accepted jobs",
			},
			&cli.IntFlag{
				Name:  "requests",
				Usage: "number of requests",
				Value: 1000,
			},
			&cli.IntFlag{
				Name:  "concurrency",
				Usage: "number of concurrent requests",
				Value: 16,
			},
			&cli.DurationFlag{
				Name:  "duration",
				Usage: "processing time that each request asks of the application",
				Value: 10 * time.Millisecond,
			},
			&cli.Uint64Flag{
				Name:  "seed",
				Usage: "seed of the load",
				Value: 1,
			},
		},
		Action: runLoad,
	}
}

func parseLoad(cmd *cli.Command) (generator.Config, error) {
	cfg := generator.Config{
		Addresses:   cmd.StringSlice("address"),
		Requests:    cmd.Int("requests"),
		Concurrency: cmd.Int("concurrency"),
		Seed:        cmd.Uint64("seed"),
		MinDuration: cmd.Duration("duration"),
		MaxDuration: cmd.Duration("duration"),
		MaxBody:     1 << 10,
		Streams: []generator.Stream{
			{
				Queue:      cmd.String("queue"),
				Key:        cmd.String("key"),
				Method:     cmd.String("method"),
				Deferrable: cmd.Bool("deferrable"),
				Weight:     1,
			},
		},
	}
	return cfg, cmp.Or(
		noArguments(cmd),
		checkBounds(cmd, "requests", cfg.Requests, 1, 10_000_000),
		checkBounds(cmd, "concurrency", cfg.Concurrency, 1, 10_000),
		checkBounds(cmd, "duration", cfg.MinDuration, 0, time.Hour),
	)
}

func runLoad(ctx context.Context, cmd *cli.Command) error {
	cfg, err := parseLoad(cmd)
	if err != nil {
		return err
	}
	g, err := generator.New(cfg)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	g.Run(ctx)
	counts := g.Counts()
	line, err := json.Marshal(counts)
	if err != nil {
		return fmt.Errorf("load: %w", err)
	}
	fmt.Fprintf(cmd.Root().Writer, "%s\n", line)
	if counts.Answered == 0 && counts.RefusedNotRun == 0 {
		return fmt.Errorf("load: no entry daemon answered: %s", g.CompletedRequests()[0].Detail)
	}
	if counts.Lost > 0 || counts.WrongAnswer > 0 {
		return fmt.Errorf("load: %w", errLostOrWrong)
	}
	return nil
}
