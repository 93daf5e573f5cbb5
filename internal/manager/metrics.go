package manager

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/pkg/orchestrator"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Observe registers the daemon's gauges.
func (m *Manager) Observe(r *recorder.Recorder) error {
	single := func(value func() float64) func() []recorder.Sample {
		return func() []recorder.Sample {
			return []recorder.Sample{{
				Value: value(),
			}}
		}
	}
	return errors.Join(
		r.RegisterGauge(recorder.Owner, single(func() float64 {
			return float64(len(m.runningOwners()))
		})),
		r.RegisterGauge(recorder.OperatorKeysAge, single(func() float64 { return m.operatorWatch.age().Seconds() })),
		r.RegisterGauge(recorder.ConfigVersion, single(func() float64 {
			if c := m.settings.current(); c != nil {
				return float64(c.Version)
			}
			return 0
		})),
		r.RegisterGauge(recorder.InterferingPairs, m.interferenceSamples),
		r.RegisterGauge(recorder.PoolTargets, func() []recorder.Sample { return m.poolSamples(usableTargets) }),
		r.RegisterGauge(recorder.PoolCores, func() []recorder.Sample { return m.poolSamples(poolCores) }),
		r.RegisterGauge(recorder.PoolForecastError, func() []recorder.Sample { return m.poolSamples(forecastError) }),
		r.RegisterGauge(recorder.PoolHeldTeams, func() []recorder.Sample { return m.poolSamples(heldTeams) }),
		r.RegisterGauge(recorder.EvacuatedRuns, m.evacuatedSamples),
	)
}

// interferenceSamples returns the number of pairs of kinds that disturb each other, by cell.
func (m *Manager) interferenceSamples() []recorder.Sample {
	var samples []recorder.Sample
	for _, o := range m.runningOwners() {
		samples = append(samples, recorder.Sample{
			Value:  float64(o.interferingPairs()),
			Labels: []attribute.KeyValue{attribute.String("cell", o.cell)},
		})
	}
	return samples
}

func (o *owner) interferingPairs() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return 0
	}
	return o.engine.InterferingPairs()
}

// evacuatedSamples returns the runs that are left in evacuated availability zones, by zone and
// cell, in the cells that this daemon owns.
func (m *Manager) evacuatedSamples() []recorder.Sample {
	var samples []recorder.Sample
	for _, o := range m.runningOwners() {
		for _, z := range o.evacuatedZones() {
			samples = append(samples, recorder.Sample{
				Value:  float64(z.Runs),
				Labels: []attribute.KeyValue{attribute.String("zone", z.Zone), attribute.String("cell", o.cell)},
			})
		}
	}
	return samples
}

func (o *owner) evacuatedZones() []orchestrator.ZoneRuns {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return nil
	}
	return o.engine.EvacuatedZones()
}

// poolSamples returns samples of each pool in the cells that this daemon owns.
func (m *Manager) poolSamples(sample func(p *orchestrator.PoolState) []recorder.Sample) []recorder.Sample {
	var samples []recorder.Sample
	for _, o := range m.runningOwners() {
		samples = append(samples, o.poolSamples(sample)...)
	}
	return samples
}

func (o *owner) poolSamples(sample func(p *orchestrator.PoolState) []recorder.Sample) []recorder.Sample {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return nil
	}
	var samples []recorder.Sample
	for _, p := range o.engine.PoolStates(o.cfg.Clock()) {
		for _, s := range sample(&p) {
			s.Labels = append(s.Labels, attribute.String("pool", p.Pool), attribute.String("cell", o.cell))
			samples = append(samples, s)
		}
	}
	return samples
}

func usableTargets(p *orchestrator.PoolState) []recorder.Sample {
	return []recorder.Sample{{
		Value: float64(p.Usable),
	}}
}

func forecastError(p *orchestrator.PoolState) []recorder.Sample {
	return []recorder.Sample{{
		Value: p.ForecastError,
	}}
}

func heldTeams(p *orchestrator.PoolState) []recorder.Sample {
	return []recorder.Sample{{
		Value: float64(p.HeldTeams),
	}}
}

// poolCores returns the cores of a pool by part.
func poolCores(p *orchestrator.PoolState) []recorder.Sample {
	var samples []recorder.Sample
	for _, part := range []struct {
		name       string
		millicores int64
	}{
		{"capacity", p.Capacity},
		{"busy", p.Busy},
		{"waiting", p.Waiting},
		{"late", p.Late},
		{"offered", p.Offered},
		{"forecast", p.Forecast},
	} {
		samples = append(samples, recorder.Sample{
			Value:  float64(part.millicores) / 1000,
			Labels: []attribute.KeyValue{attribute.String("part", part.name)},
		})
	}
	return samples
}

// measuredStore records the duration of calls to the store.
type measuredStore struct {
	storer.TransactionalStore
	recorder *recorder.Recorder
}

// Read implements storer.TransactionalStore.
func (s *measuredStore) Read(ctx context.Context, key string) (i storer.Item, err error) {
	defer s.measure("read", time.Now(), &err)
	return s.TransactionalStore.Read(ctx, key)
}

// ScanPages implements storer.TransactionalStore.
func (s *measuredStore) ScanPages(ctx context.Context, prefix string, page func(items []storer.Item)) (v storer.Version, err error) {
	defer s.measure("scan", time.Now(), &err)
	return s.TransactionalStore.ScanPages(ctx, prefix, page)
}

// WatchPrefix implements storer.TransactionalStore.
func (s *measuredStore) WatchPrefix(ctx context.Context, prefix string, after storer.Version, wait time.Duration) (c storer.Changes, err error) {
	defer s.measure("follow", time.Now(), &err)
	return s.TransactionalStore.WatchPrefix(ctx, prefix, after, wait)
}

// Commit implements storer.TransactionalStore.
func (s *measuredStore) Commit(ctx context.Context, t storer.Transaction) (v storer.Version, err error) {
	defer s.measure("commit", time.Now(), &err)
	return s.TransactionalStore.Commit(ctx, t)
}

// Renew implements storer.TransactionalStore.
func (s *measuredStore) Renew(ctx context.Context, id storer.LeaseID) (err error) {
	defer s.measure("renew", time.Now(), &err)
	return s.TransactionalStore.Renew(ctx, id)
}

func (s *measuredStore) measure(call string, startedAt time.Time, err *error) {
	s.recorder.StoreDuration(call, resultOf(err), time.Since(startedAt))
}

func resultOf(err *error) string {
	switch {
	case *err == nil:
		return "ok"
	case errors.Is(*err, storer.ErrConflict):
		return "conflict"
	case errors.Is(*err, storer.ErrOutcomeUnknown):
		return "outcome_unknown"
	case errors.Is(*err, storer.ErrHistoryLost):
		return "history_lost"
	case errors.Is(*err, storer.ErrUnusable):
		return "unusable"
	}
	return "unavailable"
}
