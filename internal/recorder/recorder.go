// Package recorder records the metrics of a daemon and serves them in Prometheus format.
// Table lists the metrics of entry daemons, JobTable those of daemons that manage jobs.
package recorder

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/zeebo/errs"
	"go.opentelemetry.io/otel/attribute"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdkmetric "go.opentelemetry.io/otel/sdk/metric"
)

// Error is the class of all errors of this package.
var Error = errs.Class("recorder")

// maxLabelSets bounds the cache of label sets, since callers can choose label values.
const maxLabelSets = 10_000

// Labels are the label values of a request. Team is empty on open queues.
type Labels struct {
	Team    string
	Class   string
	Outcome string
	Reason  string
}

// Sample is one value of a gauge.
type Sample struct {
	Value  float64
	Labels []attribute.KeyValue
}

// Recorder holds the instruments of one daemon.
type Recorder struct {
	provider   *sdkmetric.MeterProvider
	registry   *prometheus.Registry
	meter      metric.Meter
	histograms map[string]metric.Float64Histogram
	counters   map[string]metric.Int64Counter

	mu      sync.RWMutex
	options map[any]metric.MeasurementOption // by Labels or labelSet
}

// New returns a Recorder with the instruments of Table.
func New() (*Recorder, error) { return newRecorder(Table()) }

func newRecorder(table []Metric) (*Recorder, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(
		otelprometheus.WithRegisterer(registry),
		otelprometheus.WithoutScopeInfo(),
	)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	provider := sdkmetric.NewMeterProvider(sdkmetric.WithReader(exporter))
	r := &Recorder{
		provider:   provider,
		registry:   registry,
		meter:      provider.Meter("comfreyford"),
		histograms: map[string]metric.Float64Histogram{},
		counters:   map[string]metric.Int64Counter{},
		options:    map[any]metric.MeasurementOption{},
	}
	for _, m := range table {
		if err := r.register(m); err != nil {
			return nil, err
		}
	}
	return r, nil
}

func (r *Recorder) register(m Metric) error {
	switch m.Kind {
	case KindHistogram:
		h, err := r.meter.Float64Histogram(
			m.Name,
			metric.WithUnit(m.Unit),
			metric.WithDescription(m.Help),
			metric.WithExplicitBucketBoundaries(buckets()...),
		)
		if err != nil {
			return Error.Wrap(err)
		}
		r.histograms[m.Name] = h
	case KindCounter:
		c, err := r.meter.Int64Counter(m.Name, metric.WithDescription(m.Help))
		if err != nil {
			return Error.Wrap(err)
		}
		r.counters[m.Name] = c
	case KindGauge: // registered by RegisterGauge
	}
	return nil
}

// buckets returns the bounds of histogram buckets in seconds, from 50 µs to 60 s.
func buckets() []float64 {
	return []float64{
		0.00005, 0.0001, 0.0002, 0.0003, 0.0005, 0.001, 0.002, 0.005, 0.01, 0.02, 0.05,
		0.1, 0.2, 0.5, 1, 2.3, 5, 10, 30, 60,
	}
}

// RegisterGauge registers the gauge with the name. Its values come from samples, which is
// called whenever the metrics page is read.
func (r *Recorder) RegisterGauge(name string, samples func() []Sample) error {
	_, err := r.meter.Float64ObservableGauge(
		name,
		metric.WithFloat64Callback(func(_ context.Context, o metric.Float64Observer) error {
			for _, s := range samples() {
				o.Observe(s.Value, metric.WithAttributes(s.Labels...))
			}
			return nil
		}),
	)
	return Error.Wrap(err)
}

// Request records an answered request.
func (r *Recorder) Request(labels Labels, duration time.Duration) {
	r.histograms[RequestDuration].Record(context.Background(), duration.Seconds(), r.labelOption(labels.withoutReason()))
	r.counters[Requests].Add(context.Background(), 1, r.labelOption(labels))
}

// Wait records the time that a request waited before its first start.
func (r *Recorder) Wait(team, class string, duration time.Duration) {
	r.histograms[RequestWait].Record(context.Background(), duration.Seconds(), r.labelOption(Labels{
		Team:  team,
		Class: class,
	}))
}

// AddedLatency records the time that a request spent in the entry daemon, without its time at
// targets.
func (r *Recorder) AddedLatency(class string, duration time.Duration) {
	r.histograms[AddedLatency].Record(context.Background(), duration.Seconds(), r.labelOption(Labels{
		Class: class,
	}))
}

// labelSet is a set of up to three labels.
type labelSet struct {
	key1, value1, key2, value2, key3, value3 string
}

// Attempt counts a start of a request at a target.
func (r *Recorder) Attempt(pool, result string) {
	r.count(Attempts, labelSet{
		key1:   "pool",
		value1: pool,
		key2:   "result",
		value2: result,
	})
}

// Forward counts a request that was sent to another entry daemon.
func (r *Recorder) Forward(reason string) {
	r.count(Forwards, labelSet{
		key1:   "reason",
		value1: reason,
	})
}

// StoreCall counts a call to the key-value service.
func (r *Recorder) StoreCall(op, result string) {
	r.count(StoreCalls, labelSet{
		key1:   "op",
		value1: op,
		key2:   "result",
		value2: result,
	})
}

// Restart counts a restart of a component by its supervisor.
func (r *Recorder) Restart(component string) {
	r.count(ComponentRestarts, labelSet{
		key1:   "component",
		value1: component,
	})
}

func (r *Recorder) count(name string, labels labelSet) {
	r.counters[name].Add(context.Background(), 1, r.labelOption(labels))
}

// Handler serves the metrics page.
func (r *Recorder) Handler() http.Handler {
	return promhttp.HandlerFor(r.registry, promhttp.HandlerOpts{})
}

// Close stops the recording of metrics.
func (r *Recorder) Close(ctx context.Context) error {
	return Error.Wrap(r.provider.Shutdown(ctx))
}

func (l Labels) withoutReason() Labels {
	l.Reason = ""
	return l
}

// labelOption returns the option for Labels or a labelSet. Options are cached, because
// building one for each request allocates.
func (r *Recorder) labelOption(key any) metric.MeasurementOption {
	r.mu.RLock()
	option, ok := r.options[key]
	r.mu.RUnlock()
	if ok {
		return option
	}
	option = metric.WithAttributeSet(attribute.NewSet(attributes(key)...))
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.options) < maxLabelSets {
		r.options[key] = option
	}
	return option
}

func attributes(key any) []attribute.KeyValue {
	var list []attribute.KeyValue
	add := func(name, value string) {
		if value != "" {
			list = append(list, attribute.String(name, value))
		}
	}
	switch k := key.(type) {
	case Labels:
		add("team", k.Team)
		add("class", k.Class)
		add("outcome", k.Outcome)
		add("reason", k.Reason)
	case labelSet:
		add(k.key1, k.value1)
		add(k.key2, k.value2)
		add(k.key3, k.value3)
	}
	return list
}
