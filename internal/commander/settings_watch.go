package commander

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
)

const (
	settingsWatchUsage = "print changes of the settings tree as they happen"

	watchWait       = 30 * time.Second
	watchRetryDelay = time.Second
)

func settingsWatchCommand() *cli.Command {
	return &cli.Command{
		Name:  "watch",
		Usage: settingsWatchUsage,
		Flags: []cli.Flag{
			&cli.Uint64Flag{
				Name:  "from",
				Usage: "print changes after this revision",
			},
			&cli.IntFlag{
				Name:  "count",
				Usage: "stop after this many changes; 0 means never",
			},
		},
		Action: runSettingsWatch,
	}
}

func runSettingsWatch(ctx context.Context, cmd *cli.Command) error {
	client, err := newOperatorClient(cmd)
	if err != nil {
		return err
	}
	revision := cmd.Uint64("from")
	remaining := cmd.Int("count")
	for ctx.Err() == nil {
		h, err := watchOnce(ctx, client, revision)
		var refused *refusalError
		if errors.As(err, &refused) && refused.status < http.StatusInternalServerError {
			return fmt.Errorf("settings watch: %w", err)
		}
		if err != nil {
			fmt.Fprintf(cmd.Root().ErrWriter, "settings watch: %v; retrying\n", err)
			sleep(ctx, watchRetryDelay)
			continue
		}
		slices.Reverse(h.Changes)
		if remaining > 0 && len(h.Changes) >= remaining {
			h.Changes = h.Changes[:remaining]
			return printHistory(cmd.Root().Writer, h)
		}
		if err := printHistory(cmd.Root().Writer, h); err != nil {
			return err
		}
		remaining -= min(remaining, len(h.Changes))
		// Another entry daemon behind the same address may still be at an older revision.
		revision = max(revision, h.Revision)
	}
	return nil
}

func watchOnce(ctx context.Context, client *operatorClient, revision uint64) (server.History, error) {
	var h server.History
	err := client.get(ctx, "watch", url.Values{
		"revision": {strconv.FormatUint(revision, 10)},
		"wait":     {watchWait.String()},
	}, &h)
	return h, err
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}
