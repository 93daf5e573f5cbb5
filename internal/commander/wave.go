package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/planner"
)

// This file controls maintenance waves. It writes the state that operators want to
// waves/<wave> in the settings tree, and reads the progress from the fleet document, which
// the holder of the maintenance lease writes.

const (
	waveUsage = "start, pause, resume, abort and watch maintenance waves"

	// Each poll by a watching operator costs one read of the key-value service.
	defaultWaveInterval = time.Second
)

func waveCommand() *cli.Command {
	return &cli.Command{
		Name:  "wave",
		Usage: waveUsage,
		Flags: operatorFlags(),
		Commands: []*cli.Command{
			{
				Name:      "start",
				Usage:     "reboot all VMs that are in a pool now, within its availability budget",
				ArgsUsage: "WAVE",
				Flags: append(changeFlags(),
					&cli.StringFlag{
						Name:     "pool",
						Usage:    "pool whose VMs are rebooted",
						Required: true,
					},
					&cli.IntFlag{
						Name:  "failure-limit",
						Usage: "stop after this many VMs did not return from their reboot",
						Value: planner.DefaultFailureLimit,
					},
				),
				Action: runWaveStart,
			},
			waveChangeCommand("pause", "stop draining further VMs; VMs in work continue", configurer.WavePaused),
			waveChangeCommand("resume", "continue a paused wave", configurer.WaveRunning),
			waveChangeCommand("abort", "end a wave; draining VMs return to service", configurer.WaveAborted),
			{
				Name:      "watch",
				Usage:     "print the progress of a wave until it ends",
				ArgsUsage: "WAVE",
				Flags: []cli.Flag{
					&cli.BoolFlag{
						Name:  "once",
						Usage: "print the current progress and exit",
					},
					&cli.DurationFlag{
						Name:  "interval",
						Usage: "time between two reads of the progress",
						Value: defaultWaveInterval,
					},
				},
				Action: runWaveWatch,
			},
		},
	}
}

func waveChangeCommand(name, usage string, state configurer.WaveState) *cli.Command {
	return &cli.Command{
		Name:      name,
		Usage:     usage,
		ArgsUsage: "WAVE",
		Flags:     changeFlags(),
		Action: func(ctx context.Context, cmd *cli.Command) error {
			return runWaveChange(ctx, cmd, state)
		},
	}
}

// waveArgument returns the path of the wave's document in the settings tree and its name.
func waveArgument(cmd *cli.Command) (path, name string, err error) {
	args, err := arguments(cmd, 1)
	if err != nil {
		return "", "", fmt.Errorf("wave %w", err)
	}
	path = configurer.KindWaves + "/" + args[0]
	if _, _, err := configurer.SplitPath(path); err != nil {
		return "", "", fmt.Errorf("wave %s: %w", cmd.Name, err)
	}
	return path, args[0], nil
}

func runWaveStart(ctx context.Context, cmd *cli.Command) error {
	path, _, err := waveArgument(cmd)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return fmt.Errorf("wave start: %w", err)
	}
	return putWave(ctx, cmd, client, path, "", configurer.Wave{
		Pool:         cmd.String("pool"),
		State:        configurer.WaveRunning,
		FailureLimit: cmd.Int("failure-limit"),
	})
}

func runWaveChange(ctx context.Context, cmd *cli.Command, state configurer.WaveState) error {
	path, name, err := waveArgument(cmd)
	if err != nil {
		return err
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return fmt.Errorf("wave %s: %w", cmd.Name, err)
	}
	var doc configurer.Document
	if err := client.get(ctx, "documents/"+path, url.Values{}, &doc); err != nil {
		return fmt.Errorf("wave %s: %w", cmd.Name, err)
	}
	var wave configurer.Wave
	if _, err := toml.Decode(doc.Text, &wave); err != nil {
		return fmt.Errorf("wave %s: %s: %w", cmd.Name, path, err)
	}
	// A wave that has ended cannot be continued by a change of its document.
	if wave.State == configurer.WaveAborted && state != configurer.WaveAborted {
		return fmt.Errorf("wave %s: %s is aborted and cannot be continued; start a new wave", cmd.Name, name)
	}
	p, err := findWave(ctx, client, name)
	if err != nil && !errors.Is(err, errNotStarted) {
		return fmt.Errorf("wave %s: %w", cmd.Name, err)
	}
	if p.Ended() {
		return fmt.Errorf("wave %s: %s has already ended in state %s; start a new wave", cmd.Name, name, p.State)
	}
	wave.State = state
	return putWave(ctx, cmd, client, path, doc.Version, wave)
}

func putWave(ctx context.Context, cmd *cli.Command, client *operatorClient, path, expected string, wave configurer.Wave) error {
	text, err := toml.Marshal(wave)
	if err != nil {
		return err
	}
	req := server.PutRequest{
		Author:   cmd.String("author"),
		Expected: expected,
		Text:     string(text),
	}
	if req.ChangeID, err = changeID(cmd); err != nil {
		return err
	}
	a, err := client.change(ctx, http.MethodPut, "documents/"+path, req.ChangeID, req)
	if err != nil {
		return fmt.Errorf("wave %s: %w", cmd.Name, err)
	}
	return printChange(cmd, a)
}

// errNotStarted means that the holder of the maintenance lease has not added the wave to the
// fleet document yet.
var errNotStarted = errors.New("wave not started yet")

func findWave(ctx context.Context, client *operatorClient, name string) (server.WaveProgress, error) {
	doc, err := readFleet(ctx, client)
	if err != nil {
		return server.WaveProgress{}, err
	}
	for _, w := range doc.Waves {
		if w.Name == name {
			return w, nil
		}
	}
	return server.WaveProgress{}, errNotStarted
}

func runWaveWatch(ctx context.Context, cmd *cli.Command) error {
	path, name, err := waveArgument(cmd)
	if err != nil {
		return err
	}
	if err := checkBounds(cmd, "interval", cmd.Duration("interval"), 100*time.Millisecond, time.Hour); err != nil {
		return fmt.Errorf("wave %w", err)
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return fmt.Errorf("wave watch: %w", err)
	}
	// Fails if the wave has no document, so that a mistyped name does not wait forever.
	var doc configurer.Document
	if err := client.get(ctx, "documents/"+path, url.Values{}, &doc); err != nil {
		return fmt.Errorf("wave watch: %w", err)
	}
	last := ""
	for ctx.Err() == nil {
		line, ended, err := waveLine(ctx, client, name)
		if err != nil {
			return fmt.Errorf("wave watch: %w", err)
		}
		if line != last {
			last = line
			if _, err := fmt.Fprintf(cmd.Root().Writer, "%s %s\n", name, line); err != nil {
				return err
			}
		}
		switch {
		case cmd.Bool("once") || ended == planner.WaveFinished:
			return nil
		case ended != "":
			return fmt.Errorf("wave watch: %s has ended in state %s", name, ended)
		}
		sleep(ctx, cmd.Duration("interval"))
	}
	return nil
}

// waveLine returns the progress as one line of text and, if the wave has ended, its final
// state.
func waveLine(ctx context.Context, client *operatorClient, name string) (string, planner.WaveState, error) {
	p, err := findWave(ctx, client, name)
	if errors.Is(err, errNotStarted) {
		return err.Error(), "", nil
	}
	if err != nil {
		return "", "", err
	}
	if p.Ended() {
		return progress(p), p.State, nil
	}
	return progress(p), "", nil
}

// progress describes the progress of a wave in one line.
func progress(w server.WaveProgress) string {
	state := string(w.State)
	if w.Reason != "" {
		state += " (" + string(w.Reason) + ")"
	}
	return fmt.Sprintf("%s: %d done, %d in work, %d pending, %d failed, %d skipped", state, w.Done, len(w.InWork), w.Pending, len(w.Failed), len(w.Skipped))
}
