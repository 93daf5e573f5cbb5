package recorder

// Names of the metrics of what callers hold.
const (
	CallerBytes       = "comfreyford_caller_bytes"
	CallerConnections = "comfreyford_caller_connections"
	CallerRefusals    = "comfreyford_caller_refusals"
)

func callerBytes() Metric {
	return Metric{
		Name:   CallerBytes,
		Kind:   KindGauge,
		Unit:   "By",
		Labels: "listener",
		Help:   "memory reserved for requests under way",
	}
}

func callerConnections() Metric {
	return Metric{
		Name:   CallerConnections,
		Kind:   KindGauge,
		Unit:   "1",
		Labels: "listener",
		Help:   "open connections of callers",
	}
}

func callerRefusals() Metric {
	return Metric{
		Name:   CallerRefusals,
		Kind:   KindCounter,
		Unit:   "1",
		Labels: "listener, reason",
		Help:   "callers refused or disconnected for want of room: connections, memory, shed or slow",
	}
}

// CallerRefused counts a caller that was refused or disconnected for want of room.
func (r *Recorder) CallerRefused(listener, reason string) {
	r.count(CallerRefusals, labelSet{
		key1:   "listener",
		value1: listener,
		key2:   "reason",
		value2: reason,
	})
}
