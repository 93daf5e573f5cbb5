package drainer

import (
	"errors"

	"go.opentelemetry.io/otel/attribute"

	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/pkg/budgeter"
)

// Observe makes the metrics page show what callers hold of the servers, by the name of the listener.
func Observe(servers map[string]*Server, r *recorder.Recorder) error {
	gauge := func(name string, value func(budgeter.Usage) float64) error {
		return r.RegisterGauge(name, func() []recorder.Sample {
			var samples []recorder.Sample
			for listener, s := range servers {
				samples = append(samples, recorder.Sample{
					Value:  value(s.Usage()),
					Labels: []attribute.KeyValue{attribute.String("listener", listener)},
				})
			}
			return samples
		})
	}
	return errors.Join(
		gauge(recorder.CallerBytes, func(u budgeter.Usage) float64 { return float64(u.Bytes) }),
		gauge(recorder.CallerConnections, func(u budgeter.Usage) float64 { return float64(u.Connections) }),
	)
}
