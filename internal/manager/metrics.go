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
		r.RegisterGauge(recorder.PoolTargets, func() []recorder.Sample { return m.poolSamples(false) }),
		r.RegisterGauge(recorder.PoolCores, func() []recorder.Sample { return m.poolSamples(true) }),
		r.RegisterGauge(recorder.EvacuatedRuns, m.evacuatedSamples),
	)
}

// poolSamples returns the number of usable targets of each pool in the cells that this daemon
// owns, or its cores by part if cores is set.
func (m *Manager) poolSamples(cores bool) []recorder.Sample {
	var samples []recorder.Sample
	for _, o := range m.runningOwners() {
		samples = append(samples, o.poolSamples(cores)...)
	}
	return samples
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

func (o *owner) poolSamples(cores bool) []recorder.Sample {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.engine == nil {
		return nil
	}
	var samples []recorder.Sample
	for _, p := range o.engine.PoolStates(o.cfg.Clock()) {
		pool, cell := attribute.String("pool", p.Pool), attribute.String("cell", o.cell)
		if !cores {
			samples = append(samples, recorder.Sample{
				Value:  float64(p.Usable),
				Labels: []attribute.KeyValue{pool, cell},
			})
			continue
		}
		for _, part := range []struct {
			name       string
			millicores int64
		}{
			{"capacity", p.Capacity},
			{"busy", p.Busy},
			{"waiting", p.Waiting},
			{"late", p.Late},
			{"offered", p.Offered},
		} {
			samples = append(samples, recorder.Sample{
				Value:  float64(part.millicores) / 1000,
				Labels: []attribute.KeyValue{pool, cell, attribute.String("part", part.name)},
			})
		}
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

// Scan implements storer.TransactionalStore.
func (s *measuredStore) Scan(ctx context.Context, prefix string) (l storer.Listing, err error) {
	defer s.measure("scan", time.Now(), &err)
	return s.TransactionalStore.Scan(ctx, prefix)
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
	}
	return "unavailable"
}
