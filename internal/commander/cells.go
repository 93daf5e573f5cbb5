package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/manager"
	"github.com/comfreyford/comfreyford/platform"
)

// This file shows the cells of a fleet on the users' platform: owners, pools, queues and waves,
// or one job. It reads the store, so that it works while daemons are down.

const cellsUsage = "show cells, owners, pools, queues and waves on the users' platform"

// cellsTimeout bounds the reads of the store.
const cellsTimeout = 10 * time.Second

func cellsCommand() *cli.Command {
	return &cli.Command{
		Name:  "cells",
		Usage: cellsUsage,
		Flags: []cli.Flag{
			&cli.StringFlag{
				Name:    "settings",
				Usage:   "settings `FILE` of the platform, with the address of the store",
				Sources: cli.EnvVars(platform.SettingsVariable),
			},
			&cli.StringFlag{
				Name:  "job",
				Usage: "show the job with this `ID` instead",
			},
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print JSON",
			},
		},
		Action: runCells,
	}
}

func runCells(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	path := cmd.String("settings")
	if path == "" {
		return fmt.Errorf("cells: --settings: want a settings file, or its path in %s", platform.SettingsVariable)
	}
	ctx, cancel := context.WithTimeout(ctx, cellsTimeout)
	defer cancel()
	if id := cmd.String("job"); id != "" {
		job, err := platform.ReadJob(ctx, path, id)
		if err != nil {
			return fmt.Errorf("cells: %w", err)
		}
		return printAs(cmd, job, printJob)
	}
	status, err := platform.ReadStatus(ctx, path)
	if err != nil {
		return fmt.Errorf("cells: %w", err)
	}
	return printAs(cmd, status, printCells)
}

// printAs prints v as JSON if the flag asks for it, and with the function otherwise.
func printAs[T any](cmd *cli.Command, v T, text func(io.Writer, T) error) error {
	if !cmd.Bool("json") {
		return text(cmd.Root().Writer, v)
	}
	e := json.NewEncoder(cmd.Root().Writer)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

func printCells(out io.Writer, s manager.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "revision %d, configuration %d\n", s.Revision, s.Configuration)
	fmt.Fprintln(w, "\nCELL\tZONES\tOWNER\tFENCE\tTARGETS\tCONFIGURATION")
	for _, c := range s.Cells {
		configuration := "earlier or unknown"
		if c.Current {
			configuration = "current"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\t%s\n", c.Cell, textOrDash(strings.Join(c.Zones, ",")), textOrDash(c.Owner), c.Fence, c.Targets, configuration)
	}
	fmt.Fprintln(w, "\nCELL\tPOOL\tCORES\tBACKLOG")
	for _, c := range s.Cells {
		for _, p := range c.Pools {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", c.Cell, p.Pool, p.Cores, time.Duration(p.BacklogMS)*time.Millisecond)
		}
	}
	fmt.Fprintln(w, "\nCELL\tQUEUE\tWAITING JOBS\tEXPECTED WAIT")
	for _, c := range s.Cells {
		for _, q := range c.Queues {
			fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", c.Cell, q.Queue, q.Waiting, time.Duration(q.ExpectedWaitMS)*time.Millisecond)
		}
	}
	fmt.Fprintln(w, "\nWAVE\tMAINTAINED\tMAX DOWN\tSTATE")
	for _, wave := range s.Waves {
		state := "running"
		if wave.Complete {
			state = "complete"
		}
		fmt.Fprintf(w, "%d\t%d of %d\t%d\t%s\n", wave.Number, wave.Maintained, wave.VMs, wave.MaxDown, state)
	}
	if len(s.Evacuations) > 0 {
		fmt.Fprintln(w, "\nEVACUATED ZONE\tRUNS LEFT")
	}
	for _, z := range s.Evacuations {
		fmt.Fprintf(w, "%s\t%d\n", z.Zone, z.Runs)
	}
	for i, problem := range s.Problems {
		if i == 0 {
			fmt.Fprintln(w)
		}
		fmt.Fprintf(w, "problem: %s\n", problem)
	}
	return w.Flush()
}

func printJob(out io.Writer, j manager.JobStatus) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(w, "job\t%s\nstate\t%s\nqueue\t%s\nteam\t%s\ncell\t%s\n", j.ID, j.State, j.Queue, j.Team, j.Cell)
	if j.State.Ended() {
		fmt.Fprintf(w, "ended\t%s\nreason\t%s\n", time.UnixMilli(j.EndedMS).UTC().Format(time.RFC3339), textOrDash(j.Reason))
		return w.Flush()
	}
	fmt.Fprintf(w, "tasks done\t%d\ntasks with failures\t%d\n", j.Done, j.Failures)
	return w.Flush()
}

func textOrDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
