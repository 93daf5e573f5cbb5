package demonstrator

import (
	"context"
	"fmt"
	"sort"
)

func (in *Installation) startWorkers(context.Context) error {
	for zone := range in.cfg.Zones {
		pools := make([]string, 0, len(in.plan.VMs))
		for pool := range in.plan.VMs {
			pools = append(pools, pool)
		}
		sort.Strings(pools)
		for _, pool := range pools {
			for n := range in.plan.VMs[pool] {
				w := &WorkerProcess{
					VM:   vmName(zoneName(zone), pool, n),
					Zone: zoneName(zone),
					Rack: fmt.Sprintf("rack-%s-%d", zoneName(zone), n/4),
					Pool: pool,
				}
				p, err := start(in.cfg.Program, w.VM, in.log, true, in.workerArgs()...)
				if err != nil {
					return err
				}
				w.Process = p
				in.Workers = append(in.Workers, w)
			}
		}
	}
	return nil
}

func (in *Installation) workerArgs() []string {
	args := []string{"worker", "--listen", "127.0.0.1:0"}
	if in.cfg.AnswerRetention > 0 {
		args = append(args, "--answer-retention", in.cfg.AnswerRetention.String())
	}
	return args
}
