package coordinator

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/pprof"
	"runtime/debug"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"go.opentelemetry.io/otel/attribute"

	"github.com/comfreyford/comfreyford/internal/drainer"
	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/pkg/budgeter"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// openServers opens the listeners of callers, operators and metrics.
func (e *Entry) openServers() error {
	s := e.cfg.Settings
	var key [sha256.Size]byte
	if _, err := hex.Decode(key[:], []byte(s.OperatorKeySHA256)); err != nil {
		return Error.New("operator_key_sha256: %w", err)
	}
	operatorAPI := server.NewOperatorAPI(server.OperatorAPIConfig{
		Committer: &configurer.Committer{
			Store:           e.store,
			View:            e.view,
			BeforeHeadWrite: func() (func(), error) { return e.registrar.Begin(false) },
		},
		Members:        e,
		KeySHA256:      key,
		BodyLimitBytes: s.OperatorBodyLimitBytes,
		Region:         s.Region,
		Status:         e,
		Logger:         e.logger("operator"),
	})
	limits := budgeter.Limits{
		MemoryBytes: s.MemoryLimitBytes,
		Files:       s.DescriptorLimit,
	}
	debug.SetMemoryLimit(limits.CollectorBytes())
	byName := map[string]*drainer.Server{}
	for _, h := range []struct {
		address string
		handler http.Handler
		name    string
		budget  budgeter.Config
		refuse  func(w http.ResponseWriter)
	}{
		{
			address: s.CallerAddress,
			name:    "callers",
			handler: server.NewCallerHandler(server.CallerHandlerConfig{
				Dispatcher:      e.dispatcher,
				Authenticate:    e.authenticate,
				MaxRequestBytes: s.RequestBodyLimitBytes,
				Logger:          e.logger("callers"),
			}),
			budget: limits.Callers(),
			refuse: server.RefuseCaller,
		},
		{
			address: s.OperatorAddress,
			name:    "operator",
			handler: operatorAPI,
			budget:  limits.Operators(s.OperatorBodyLimitBytes),
		},
		{
			address: s.MetricsAddress,
			name:    "metrics",
			handler: e.metricsHandler(),
			budget:  budgeter.Service(),
		},
	} {
		refusals := &drainer.RefusalLog{
			Logger:   e.logger(h.name),
			Listener: h.name,
		}
		opened, err := drainer.New(h.address, drainer.Config{
			Handler:        h.handler,
			Budget:         h.budget,
			ReceiveBuffer:  budgeter.ReceiveBuffer,
			HeldBodyBytes:  max(s.JournalBodyLimitBytes, s.OperatorBodyLimitBytes),
			MaxHeaderBytes: maxHeaderBytes,
			Refuse:         h.refuse,
			Refused: func(r drainer.Refusal) {
				refusals.Add(r)
				e.recorder.CallerRefused(h.name, r.Reason)
			},
			ReadHeaderTimeout: readHeaderTimeout,
			IdleTimeout:       idleTimeout,
			KeepTime:          keepTime,
			ErrorLog:          e.logger(h.name).StandardLogger(&hclog.StandardLoggerOptions{InferLevels: true}),
		})
		if err != nil {
			for _, open := range e.servers {
				_ = open.Close()
			}
			return Error.New("%s: %w", h.name, err)
		}
		e.servers = append(e.servers, opened)
		byName[h.name] = opened
	}
	return drainer.Observe(byName, e.recorder)
}

func (e *Entry) serve() {
	for _, s := range e.servers {
		e.wg.Go(func() {
			if err := s.Serve(); err != nil {
				e.logger("entry").Error("listener failed", "error", err)
			}
		})
	}
}

// metricsHandler serves metrics, health and readiness.
func (e *Entry) metricsHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", e.recorder.Handler())
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	if e.cfg.Settings.Profiling {
		mux.HandleFunc("GET /debug/pprof/", pprof.Index)
		mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	}
	return mux
}

// changeProgress tracks which limits are in force and how long revisions have been asked for.
type changeProgress struct {
	mu            sync.Mutex
	limitsInForce map[string]int
	askedAt       map[uint64]time.Time // when Missing was first called for a revision
}

// Unconfirmed implements server.Members. It returns the members that may still use an older
// revision and the limits that are not in force yet.
func (e *Entry) Unconfirmed(revision uint64) []string {
	change := registrar.Change{
		Revision:  revision,
		Committed: e.progress.firstAsked(revision, time.Now()),
	}
	var missing []string
	var err error
	e.registrar.Do(func(s *registrar.State, now time.Time) { missing, err = s.Missing(change, now) })
	ctx, cancel := context.WithTimeout(context.Background(), syncTimeout)
	defer cancel()
	if errors.Is(err, registrar.ErrPending) {
		missing = append(missing, "member_list")
		// A list that is read after the change contains every member that may not have it yet.
		if err := e.registrar.RefreshMembers(ctx); err != nil {
			e.logger("operator").Debug("failed to read the member list", "error", err)
		}
	}
	return append(missing, e.settleLimits(ctx, revision)...)
}

// firstAsked returns when Missing was first called for the revision, which is after its commit.
func (s *changeProgress) firstAsked(revision uint64, now time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.askedAt == nil {
		s.askedAt = map[uint64]time.Time{}
		s.limitsInForce = map[string]int{}
	}
	at, ok := s.askedAt[revision]
	if !ok {
		at = now
		s.askedAt[revision] = now
		for old := range s.askedAt {
			if old+configurer.HistoryRevisions < revision {
				delete(s.askedAt, old)
			}
		}
	}
	return at
}

// settleLimits records changed limits in their ledgers and returns those that are not in force
// yet: the record failed, or the sum of the allowances is still above the limit.
func (e *Entry) settleLimits(ctx context.Context, revision uint64) []string {
	var missing []string
	tree := e.view.Current().Tree
	for name, team := range tree.Teams {
		e.progress.mu.Lock()
		limit, ok := e.progress.limitsInForce[name]
		e.progress.mu.Unlock()
		if ok && limit == team.Limit {
			continue
		}
		done, err := e.limits.ApplyLimit(ctx, name, team.Limit, max(revision, tree.Revision))
		if err != nil || !done {
			missing = append(missing, "limit of "+name)
			continue
		}
		e.progress.mu.Lock()
		e.progress.limitsInForce[name] = team.Limit
		e.progress.mu.Unlock()
	}
	return missing
}

// MemberStatus implements server.StatusSource.
func (e *Entry) MemberStatus() []server.MemberStatus {
	var members []server.MemberStatus
	e.registrar.Do(func(s *registrar.State, now time.Time) {
		live := s.Live(now)
		members = append(members, server.MemberStatus{
			Name:             s.Self.Entry,
			AvailabilityZone: s.Self.AvailabilityZone,
			Revision:         e.view.Current().Tree.Revision,
			Live:             true,
		})
		for _, m := range s.Known() {
			members = append(members, server.MemberStatus{
				Name:             m.Entry,
				AvailabilityZone: m.AvailabilityZone,
				// A report is newer than the record, but after a restart of this entry daemon
				// there is none at first.
				Revision: max(m.Revision, s.Others[m.Entry].Revision),
				Live:     slices.Contains(live, m.Entry),
			})
		}
	})
	return members
}

// RunningSlots implements server.StatusSource.
func (e *Entry) RunningSlots(team string) int { return e.holder.Usage(team).Running }

// PoolStatus implements server.StatusSource.
func (e *Entry) PoolStatus() []server.PoolStatus {
	var pools []server.PoolStatus
	for _, p := range e.dispatcher.Pools() {
		pools = append(pools, server.PoolStatus{
			Name:    p.Pool,
			Usable:  p.Usable,
			Ejected: p.Ejected,
			Queued:  p.Queued,
		})
	}
	return pools
}

// countCalls wraps the key-value service so that its calls are counted in the metrics.
func (e *Entry) countCalls(store storer.Store) storer.Store {
	return &storer.FaultInjector{
		Store: store,
		Before: func(_ context.Context, op storer.Op, _ string) error {
			e.recorder.StoreCall(string(op), "sent")
			return nil
		},
		After: func(_ context.Context, op storer.Op, _ string) error {
			e.recorder.StoreCall(string(op), "answered")
			return nil
		},
	}
}

func (e *Entry) observeGauges() error {
	single := func(value func() float64) func() []recorder.Sample {
		return func() []recorder.Sample { return []recorder.Sample{{Value: value()}} }
	}
	teams := func(value func(team string) int) func() []recorder.Sample {
		return func() []recorder.Sample {
			var samples []recorder.Sample
			for team := range e.view.Current().Tree.Teams {
				samples = append(samples, recorder.Sample{
					Value:  float64(value(team)),
					Labels: []attribute.KeyValue{attribute.String("team", team)},
				})
			}
			return samples
		}
	}
	pools := func(usable bool) func() []recorder.Sample {
		return func() []recorder.Sample {
			var samples []recorder.Sample
			for _, p := range e.dispatcher.Pools() {
				value := p.Ejected
				if usable {
					value = p.Usable
				}
				samples = append(samples, recorder.Sample{
					Value:  float64(value),
					Labels: []attribute.KeyValue{attribute.String("pool", p.Pool)},
				})
			}
			return samples
		}
	}
	return errors.Join(
		e.recorder.RegisterGauge(recorder.ConfigRevision, single(func() float64 { return float64(e.view.Current().Tree.Revision) })),
		e.recorder.RegisterGauge(recorder.ConfigAge, single(func() float64 {
			age, _ := e.view.Current().Age(time.Now())
			return age.Seconds()
		})),
		e.recorder.RegisterGauge(recorder.LivePeers, single(func() float64 { return float64(len(e.peers.live(time.Now()))) })),
		e.recorder.RegisterGauge(recorder.OwnedShards, single(func() float64 { return float64(len(e.journal.Owned())) })),
		e.recorder.RegisterGauge(recorder.Allowance, teams(func(team string) int { return e.holder.Usage(team).Allowance })),
		e.recorder.RegisterGauge(recorder.RunningSlots, teams(func(team string) int { return e.holder.Usage(team).Running })),
		e.recorder.RegisterGauge(recorder.QueuedRequests, teams(func(team string) int { return e.holder.Usage(team).Waiting })),
		e.recorder.RegisterGauge(recorder.UsableTargets, pools(true)),
		e.recorder.RegisterGauge(recorder.EjectedTargets, pools(false)),
	)
}
