package recorder

import (
	"context"
	"time"
)

// Names of the metrics of daemons that manage jobs.
const (
	JobRequests        = "comfreyford_job_requests"
	JobRequestDuration = "comfreyford_job_request_duration"
	JobWait            = "comfreyford_job_wait"
	JobDuration        = "comfreyford_job_duration"
	JobPredictions     = "comfreyford_job_predictions"
	TaskOrders         = "comfreyford_task_orders"
	TaskEnds           = "comfreyford_task_ends"
	TasksKeptApart     = "comfreyford_tasks_kept_apart"
	InterferingPairs   = "comfreyford_interfering_pairs"
	VMOrders           = "comfreyford_vm_orders"
	StoreCallDuration  = "comfreyford_store_call_duration"
	Owner              = "comfreyford_owner"
	OperatorKeysAge    = "comfreyford_store_knowledge_age"
	PoolTargets        = "comfreyford_pool_targets"
	PoolCores          = "comfreyford_pool_cores"
	PoolForecastError  = "comfreyford_pool_forecast_error"
	PoolHeldTeams      = "comfreyford_pool_held_teams"
	VMsAhead           = "comfreyford_vms_ahead"
	ForwardedCalls     = "comfreyford_forwarded_calls"
	EvacuatedRuns      = "comfreyford_evacuated_zone_runs"
	ConfigVersion      = "comfreyford_configuration_version"
	noneValue          = "none"
)

// JobTable returns the metrics of daemons that manage jobs, in the order of the page
// for operators.
func JobTable() []Metric {
	return []Metric{
		{
			Name:   JobRequests,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "call, verdict",
			Help:   "answered calls of callers: submit, state or cancel",
		},
		{
			Name:   JobRequestDuration,
			Kind:   KindHistogram,
			Unit:   "s",
			Labels: "call, verdict",
			Help:   "time to answer a call, with its calls to the store",
		},
		{
			Name:   ForwardedCalls,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "call, outcome",
			Help:   "calls handed to a neighbor, as the store turned this daemon away: its verdict, or not_sent",
		},
		{
			Name:   JobWait,
			Kind:   KindHistogram,
			Unit:   "s",
			Labels: "queue, team",
			Help:   "time from acceptance to the order for the first task; on the owner",
		},
		{
			Name:   JobDuration,
			Kind:   KindHistogram,
			Unit:   "s",
			Labels: "queue, team, state",
			Help:   "time from acceptance to the end of a job; on the owner",
		},
		{
			Name:   JobPredictions,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "queue, admission, end",
			Help:   "complete jobs by their end: on time, late, or useless after three times the objective; admission is useful, or probe for one that was accepted although its end was expected to be useless; on the owner",
		},
		{
			Name:   TaskOrders,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "kind, outcome",
			Help:   "orders to targets: start, stop or pace; on the owner",
		},
		{
			Name:   TaskEnds,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "pool, how",
			Help:   "runs that ended, as targets list them, or lost with their target; on the owner",
		},
		{
			Name:   TasksKeptApart,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "pool",
			Help:   "starts on another target than without regard to tasks that slow each other down; on the owner",
		},
		{
			Name:   InterferingPairs,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "cell",
			Help:   "pairs of kinds of tasks of which one is known to slow down the other; on the owner",
		},
		{
			Name:   VMOrders,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "kind, outcome",
			Help:   "orders to the platform's service for VMs: move or upkeep; on the owner",
		},
		{
			Name:   StoreCallDuration,
			Kind:   KindHistogram,
			Unit:   "s",
			Labels: "call, result",
			Help:   "time of calls to the store, waits for changes included",
		},
		callerBytes(),
		callerConnections(),
		callerRefusals(),
		{
			Name: Owner,
			Kind: KindGauge,
			Unit: "1",
			Help: "1 on the daemon that owns the fleet, 0 on others",
		},
		{
			Name: OperatorKeysAge,
			Kind: KindGauge,
			Unit: "s",
			Help: "age of the last successful call for the operators' keys; above 1.5 s nothing is refused because of them",
		},
		{
			Name: ConfigVersion,
			Kind: KindGauge,
			Unit: "1",
			Help: "version of the configuration in force here",
		},
		{
			Name:   PoolTargets,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "pool",
			Help:   "targets of a pool that take new work; on the owner",
		},
		{
			Name:   PoolCores,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "pool, part",
			Help:   "cores of a pool: capacity, busy, waiting for by work on time, late, offered, forecast; on the owner",
		},
		{
			Name:   PoolForecastError,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "pool",
			Help:   "relative error of the latest forecasts of a pool's load, 0 without a forecast; on the owner",
		},
		{
			Name:   PoolHeldTeams,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "pool",
			Help:   "teams with work beyond their share while a pool is full; on the owner",
		},
		{
			Name:   VMsAhead,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "pool",
			Help:   "VMs ordered for the forecast load of a pool, before the load came; on the owner",
		},
		{
			Name:   EvacuatedRuns,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "zone, cell",
			Help:   "runs left in an evacuated availability zone; no series when none is evacuated; on the owner",
		},
	}
}

// NewForJobs returns a Recorder with the instruments of JobTable.
func NewForJobs() (*Recorder, error) { return newRecorder(JobTable()) }

// withNone returns the set with noneValue in place of empty values, so that jobs without a
// team have a series beside those of teams.
func (l labelSet) withNone() labelSet {
	fill := func(name string, value *string) {
		if name != "" && *value == "" {
			*value = noneValue
		}
	}
	fill(l.key1, &l.value1)
	fill(l.key2, &l.value2)
	fill(l.key3, &l.value3)
	return l
}

// JobRequest records an answered call of a caller and the time that it took.
func (r *Recorder) JobRequest(call, verdict string, took time.Duration) {
	l := labelSet{
		key1:   "call",
		value1: call,
		key2:   "verdict",
		value2: verdict,
	}
	r.count(JobRequests, l.withNone())
	r.record(JobRequestDuration, l, took)
}

// ForwardedCall counts a call that was handed to a neighbor.
func (r *Recorder) ForwardedCall(call, outcome string) {
	r.count(ForwardedCalls, labelSet{
		key1:   "call",
		value1: call,
		key2:   "outcome",
		value2: outcome,
	}.withNone())
}

// JobStarted records how long a job waited for the start of its first task.
func (r *Recorder) JobStarted(queue, team string, wait time.Duration) {
	r.record(JobWait, labelSet{
		key1:   "queue",
		value1: queue,
		key2:   "team",
		value2: team,
	}, wait)
}

// JobEnded records the end of a job and the time since its acceptance.
func (r *Recorder) JobEnded(queue, team, state string, took time.Duration) {
	r.record(JobDuration, labelSet{
		key1:   "queue",
		value1: queue,
		key2:   "team",
		value2: team,
		key3:   "state",
		value3: state,
	}, took)
}

// JobPredicted counts a job that is complete, by the reason for its admission and how its end
// relates to its objective.
func (r *Recorder) JobPredicted(queue, admission, end string) {
	r.count(JobPredictions, labelSet{
		key1:   "queue",
		value1: queue,
		key2:   "admission",
		value2: admission,
		key3:   "end",
		value3: end,
	}.withNone())
}

// TaskOrder counts an order to a target.
func (r *Recorder) TaskOrder(kind, outcome string) {
	r.count(TaskOrders, kindOutcome(kind, outcome).withNone())
}

// VMOrder counts an order for a VM.
func (r *Recorder) VMOrder(kind, outcome string) {
	r.count(VMOrders, kindOutcome(kind, outcome).withNone())
}

func kindOutcome(kind, outcome string) labelSet {
	return labelSet{
		key1:   "kind",
		value1: kind,
		key2:   "outcome",
		value2: outcome,
	}
}

// VMsAhead counts VMs that were ordered for the forecast load of a pool.
func (r *Recorder) VMsAhead(pool string, n int) {
	r.counters[VMsAhead].Add(context.Background(), int64(n), r.labelOption(labelSet{
		key1:   "pool",
		value1: pool,
	}.withNone()))
}

// TaskEnd counts a run that ended.
func (r *Recorder) TaskEnd(pool, how string) {
	r.count(TaskEnds, labelSet{
		key1:   "pool",
		value1: pool,
		key2:   "how",
		value2: how,
	}.withNone())
}

// TaskKeptApart counts a start that avoids a target for its neighbours.
func (r *Recorder) TaskKeptApart(pool string) {
	r.count(TasksKeptApart, labelSet{
		key1:   "pool",
		value1: pool,
	}.withNone())
}

// StoreDuration records a call to the store.
func (r *Recorder) StoreDuration(call, result string, took time.Duration) {
	r.record(StoreCallDuration, labelSet{
		key1:   "call",
		value1: call,
		key2:   "result",
		value2: result,
	}, took)
}

func (r *Recorder) record(name string, l labelSet, d time.Duration) {
	r.histograms[name].Record(context.Background(), d.Seconds(), r.labelOption(l.withNone()))
}
