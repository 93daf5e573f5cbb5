package commander

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/comfreyford/comfreyford/internal/server"
)

// This file shows the state of the installation as one entry daemon sees it. Figures that
// could not be read are shown as "-", and lines at the end give the reasons.

const statusUsage = "show members, teams, pools and waves as one entry daemon sees them"

func statusCommand() *cli.Command {
	return &cli.Command{
		Name:  "status",
		Usage: statusUsage,
		Flags: append(operatorFlags(),
			&cli.BoolFlag{
				Name:  "json",
				Usage: "print the response of the operator API as JSON",
			},
		),
		Action: runStatus,
	}
}

func runStatus(ctx context.Context, cmd *cli.Command) error {
	if err := noArguments(cmd); err != nil {
		return err
	}
	client, err := newOperatorClient(cmd)
	if err != nil {
		return fmt.Errorf("status: %w", err)
	}
	var s server.Status
	if err := client.withoutPrefix().get(ctx, "status", url.Values{}, &s); err != nil {
		return fmt.Errorf("status: %w", err)
	}
	if cmd.Bool("json") {
		e := json.NewEncoder(cmd.Root().Writer)
		e.SetIndent("", "  ")
		return e.Encode(s)
	}
	return printStatus(cmd.Root().Writer, s)
}

func printStatus(out io.Writer, s server.Status) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	age := "never read"
	if s.AgeMS >= 0 {
		age = (time.Duration(s.AgeMS) * time.Millisecond).String()
	}
	fmt.Fprintf(w, "region %s, revision %d, age %s\n", s.Region, s.Revision, age)
	fmt.Fprintln(w, "\nMEMBER\tZONE\tREVISION\tLIVE")
	for _, m := range s.Members {
		live := "no"
		if m.Live {
			live = "yes"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", m.Name, m.AvailabilityZone, m.Revision, live)
	}
	fmt.Fprintln(w, "\nTEAM\tLIMIT\tALLOWANCES\tRUNNING HERE")
	for _, t := range s.Teams {
		fmt.Fprintf(w, "%s\t%d\t%s\t%d\n", t.Name, t.Limit, countOrDash(t.Allowances), t.Running)
	}
	fmt.Fprintln(w, "\nPOOL\tVMS\tUSABLE\tEJECTED\tQUEUED HERE")
	for _, p := range s.Pools {
		fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", p.Name, countOrDash(p.VMs), p.Usable, p.Ejected, p.Queued)
	}
	fmt.Fprintln(w, "\nWAVE\tPOOL\tPROGRESS")
	for _, wave := range s.Waves {
		fmt.Fprintf(w, "%s\t%s\t%s\n", wave.Name, wave.Pool, progress(wave))
	}
	if len(s.Problems) > 0 {
		fmt.Fprintln(w)
	}
	for _, problem := range s.Problems {
		fmt.Fprintf(w, "problem: %s\n", problem)
	}
	return w.Flush()
}

func countOrDash(n *int) string {
	if n == nil {
		return "-"
	}
	return strconv.Itoa(*n)
}
