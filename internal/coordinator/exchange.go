package coordinator

import (
	"context"
	"fmt"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/pkg/runner"
)

// ReportExchange sends and receives reports as an entry daemon does, without its other
// components, so that the cost of reports can be measured.
type ReportExchange struct {
	entry    string
	peers    *peers
	reporter reporter
}

// NewReportExchange returns the report exchange of one entry daemon.
func NewReportExchange(entry string) *ReportExchange {
	return &ReportExchange{
		entry: entry,
		peers: newPeers(hclog.NewNullLogger()),
	}
}

// Handlers returns the handlers for the messenger: only that of reports.
func (x *ReportExchange) Handlers() map[messenger.Kind]messenger.Handler {
	return map[messenger.Kind]messenger.Handler{
		kindReport: messenger.Unary(func(_ context.Context, _ string, r report) (reportAnswer, error) {
			x.peers.observe(r, time.Now())
			return reportAnswer{}, nil
		}),
	}
}

// Report sends a peer a report of the given numbers of teams and pools. Each team's figures
// differ from the last report, and each team runs work in one pool.
func (x *ReportExchange) Report(ctx context.Context, m *messenger.Messenger, address string, teams, pools int) error {
	spare, usage, demand := map[string]int{}, map[usageKey]runner.Resources{}, map[string]dispatcher.PoolDemand{}
	for i := range teams {
		team := fmt.Sprintf("team-%04d", i)
		spare[team] = x.reporter.sentReports % 50
		usage[usageKey{
			pool: fmt.Sprintf("pool-%02d", i),
			team: team,
		}] = runner.Resources{
			Slots:     1 + x.reporter.sentReports%50,
			CPUMillis: 4000,
			MemoryMB:  8000,
		}
	}
	for i := range pools {
		demand[fmt.Sprintf("pool-%02d", i)] = dispatcher.PoolDemand{QueuedSlots: 1 + x.reporter.sentReports%50}
	}
	changed := x.reporter.poolChanges(demand)
	figures, used := x.reporter.teamChanges(spare, usage)
	_, err := messenger.Call[report, reportAnswer](ctx, m, address, kindReport, report{
		Entry:       x.entry,
		Incarnation: 1,
		Revision:    1,
		Address:     m.Addr(),
		Zone:        "az-1",
		Teams:       figures,
		Usage:       used,
		Pools:       changed,
	})
	return err
}
