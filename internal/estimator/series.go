package estimator

import "context"

// allSeries returns every series with its sizes. The largest sizes are those of section 2.7
// of the design, except for connections, where both ends are in this process.
func allSeries() []series {
	row := func(name, size, operation string, sizes []int, measure func(context.Context, int) (Point, error)) series {
		return series{
			Series: Series{
				Name:      name,
				Size:      size,
				Operation: operation,
			},
			sizes:   sizes,
			measure: measure,
		}
	}
	documents := []int{24, 84, 168, 336}
	vms := []int{58, 300, 600, 1200}
	return []series{
		row("config_poll", "documents", "poll of the relay without a change", documents, pollWithoutChange),
		row("config_delta", "documents", "poll that returns n documents", []int{1, 12, 42, 84}, pollWithoutTree),
		row("head_read", "documents", "read of the head without a change", documents, headRead),
		row("report", "figures", "report with n teams and n pools, both ends", []int{0, 10, 40, 84}, reportExchange),
		row("peer_connections", "peers", "state of the connections, both ends", []int{8, 24, 48}, peerConnections),
		row("ledger", "holders", "decode, transfer and encode", []int{8, 84, 168, 336}, ledgerUpdate),
		row("fleet_read", "VMs", "decode of the fleet document", vms, fleetRead),
		row("list_read", "VMs", "decode of the VM list", vms, listRead),
		row("maintenance_step", "VMs", "decode and plan", vms, maintenanceStep),
		row("shard_commit", "records", "commit of one record", []int{10, 100, 300, 600}, shardCommit),
		row("target_polls", "targets", "one second of polls, both ends", []int{10, 50, 155, 310}, targetPolls),
	}
}
