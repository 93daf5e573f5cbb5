package recorder

import (
	"cmp"
	"fmt"
	"strings"
)

// Kind is the kind of an instrument.
type Kind string

// The kinds of instruments.
const (
	KindHistogram Kind = "histogram"
	KindCounter   Kind = "counter"
	KindGauge     Kind = "gauge"
)

// Metric describes one metric. The tables in the operators' pages are generated from it.
type Metric struct {
	Name   string
	Kind   Kind
	Unit   string
	Labels string
	Help   string
}

// Exposed returns the name on the metrics page. The exporter appends the unit of
// histograms, whose series also end in _bucket, _sum and _count, and _total to counters.
func (m Metric) Exposed() string {
	switch m.Kind {
	case KindHistogram:
		return m.Name + "_seconds"
	case KindCounter:
		return m.Name + "_total"
	default:
		return m.Name
	}
}

// Names of the metrics of entry daemons.
const (
	RequestDuration   = "comfreyford_request_duration"
	RequestWait       = "comfreyford_request_wait"
	AddedLatency      = "comfreyford_added_latency"
	Requests          = "comfreyford_requests"
	Attempts          = "comfreyford_attempts"
	Forwards          = "comfreyford_forwards"
	StoreCalls        = "comfreyford_store_calls"
	RunningSlots      = "comfreyford_running_slots"
	Allowance         = "comfreyford_allowance_slots"
	QueuedRequests    = "comfreyford_queued_requests"
	ConfigRevision    = "comfreyford_config_revision"
	ConfigAge         = "comfreyford_config_age"
	LivePeers         = "comfreyford_live_peers"
	UsableTargets     = "comfreyford_usable_targets"
	EjectedTargets    = "comfreyford_ejected_targets"
	OwnedShards       = "comfreyford_owned_shards"
	ComponentRestarts = "comfreyford_component_restarts"
)

// Table returns the metrics of entry daemons in the order of the page for operators.
func Table() []Metric {
	return []Metric{
		{
			Name:   RequestDuration,
			Kind:   KindHistogram,
			Unit:   "s",
			Labels: "team, class, outcome",
			Help:   "time from the request's head to the last byte of the answer",
		},
		{
			Name:   RequestWait,
			Kind:   KindHistogram,
			Unit:   "s",
			Labels: "team, class",
			Help:   "time in queues before the first start at a target",
		},
		{
			Name:   AddedLatency,
			Kind:   KindHistogram,
			Unit:   "s",
			Labels: "class",
			Help:   "time of idempotent requests in the entry daemon, in its queue too, without the time at targets",
		},
		{
			Name:   Requests,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "team, class, outcome, reason",
			Help:   "answered requests",
		},
		{
			Name:   Attempts,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "pool, result",
			Help:   "starts at targets, retries included",
		},
		{
			Name:   Forwards,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "reason",
			Help:   "requests that were sent on to another entry daemon",
		},
		{
			Name:   StoreCalls,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "op, result",
			Help:   "calls to the platform's key-value service",
		},
		{
			Name:   RunningSlots,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "team",
			Help:   "slots that run for a team from this entry daemon",
		},
		{
			Name:   Allowance,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "team",
			Help:   "slots of a team's upper limit that this entry daemon holds",
		},
		{
			Name:   QueuedRequests,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "team",
			Help:   "slots that queued requests of a team ask for",
		},
		{
			Name: ConfigRevision,
			Kind: KindGauge,
			Unit: "1",
			Help: "revision of the configuration in force here",
		},
		{
			Name: ConfigAge,
			Kind: KindGauge,
			Unit: "s",
			Help: "age of the proof that this revision is the newest; keyed work stops above config_staleness_limit",
		},
		{
			Name: LivePeers,
			Kind: KindGauge,
			Unit: "1",
			Help: "entry daemons that reported within the last 3 s",
		},
		{
			Name:   UsableTargets,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "pool",
			Help:   "targets that take new work",
		},
		{
			Name:   EjectedTargets,
			Kind:   KindGauge,
			Unit:   "1",
			Labels: "pool",
			Help:   "targets that are ejected because they fail",
		},
		{
			Name: OwnedShards,
			Kind: KindGauge,
			Unit: "1",
			Help: "journal shards that this entry daemon owns",
		},
		{
			Name:   ComponentRestarts,
			Kind:   KindCounter,
			Unit:   "1",
			Labels: "component",
			Help:   "restarts of a component by its supervisor",
		},
		callerBytes(),
		callerConnections(),
		callerRefusals(),
	}
}

// Reference returns the metrics of entry daemons as a table in Markdown.
func Reference() string { return reference(Table()) }

// JobReference returns the metrics of daemons that manage jobs as a table in Markdown.
func JobReference() string { return reference(JobTable()) }

func reference(table []Metric) string {
	var b strings.Builder
	b.WriteString("| Metric | Kind | Unit | Labels | Meaning |\n|---|---|---|---|---|\n")
	for _, m := range table {
		fmt.Fprintf(&b, "| `%s` | %s | %s | %s | %s |\n", m.Exposed(), m.Kind, m.Unit, cmp.Or(m.Labels, "none"), m.Help)
	}
	return b.String()
}
