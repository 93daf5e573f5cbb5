// Package coordinator assembles an entry daemon from its components: it exchanges messages
// with peers, keeps configuration, membership and targets up to date, and runs everything as a
// supervisor tree.
package coordinator

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"net/url"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/hashicorp/go-hclog"
	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/internal/dispatcher"
	"github.com/comfreyford/comfreyford/internal/drainer"
	"github.com/comfreyford/comfreyford/internal/loader"
	"github.com/comfreyford/comfreyford/internal/messenger"
	"github.com/comfreyford/comfreyford/internal/recorder"
	"github.com/comfreyford/comfreyford/internal/server"
	"github.com/comfreyford/comfreyford/internal/sleeper"
	"github.com/comfreyford/comfreyford/internal/supervisor"
	"github.com/comfreyford/comfreyford/pkg/authenticator"
	"github.com/comfreyford/comfreyford/pkg/configurer"
	"github.com/comfreyford/comfreyford/pkg/journaler"
	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/lister"
	"github.com/comfreyford/comfreyford/pkg/planner"
	"github.com/comfreyford/comfreyford/pkg/registrar"
	"github.com/comfreyford/comfreyford/pkg/storer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("coordinator")

const (
	readHeaderTimeout = 5 * time.Second
	// maxHeaderBytes bounds the header of a request.
	maxHeaderBytes = 64 << 10
	idleTimeout    = 2 * time.Minute
	// keepTime is how long after the start of a graceful stop idle connections are kept.
	keepTime = time.Second
	// startTimeout bounds the wait for a configuration at start. It is longer than two calls
	// to the platform, so that one lost answer does not end the process.
	startTimeout = 10 * time.Second
	// drainTimeout bounds a graceful stop; requests have their own deadlines.
	drainTimeout = time.Hour
	leaveTimeout = 5 * time.Second
)

// Config configures an Entry.
type Config struct {
	Settings loader.Settings
	Logger   hclog.Logger
}

// Entry is one entry daemon.
type Entry struct {
	cfg               Config
	incarnation       uint64
	store             storer.Store
	platform          *lister.Client
	messenger         *messenger.Messenger
	peers             *peers
	registrar         *registrar.Registrar
	view              *configurer.View
	holder            *limiter.Holder
	limits            *limiter.Balancer
	journal           *journaler.Journal
	writeLimiter      *journaler.WriteLimiter
	dispatcher        *dispatcher.Dispatcher
	driver            *planner.Driver
	mover             *planner.Mover
	recorder          *recorder.Recorder
	keys              atomic.Pointer[authenticator.Index]
	servers           []*drainer.Server // the server for callers comes first
	ready             atomic.Bool
	progress          changeProgress
	refreshingMembers atomic.Bool // the member list is being read for a new peer
	wg                sync.WaitGroup
}

// New builds an entry daemon and opens its listeners, so that a port in use or a bad
// certificate is detected before anything runs.
func New(cfg Config) (*Entry, error) {
	e := &Entry{
		cfg:          cfg,
		incarnation:  incarnation(),
		peers:        newPeers(cfg.Logger.Named("peers")),
		view:         configurer.NewView(cfg.Logger.Named("config")),
		writeLimiter: &journaler.WriteLimiter{},
	}
	e.writeLimiter.SetRate(journalWritesPerSecond)
	r, err := recorder.New()
	if err != nil {
		return nil, err
	}
	e.recorder = r
	platformURL, err := url.Parse(cfg.Settings.PlatformAddress)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	e.store = e.countCalls(storer.NewClient(storer.ClientConfig{
		Address: platformURL.Host,
		Timeout: cfg.Settings.PlatformTimeout,
	}))
	e.platform = lister.NewClient(lister.ClientConfig{
		Address: platformURL.Host,
		Timeout: cfg.Settings.PlatformTimeout,
	})
	if err := e.openMessenger(); err != nil {
		return nil, err
	}
	e.buildParts()
	e.applyTree(e.view.Current().Tree)
	if err := e.openServers(); err != nil {
		return nil, errors.Join(err, e.messenger.Close())
	}
	return e, e.observeGauges()
}

func incarnation() uint64 {
	var b [8]byte
	_, _ = rand.Read(b[:]) // documented never to fail
	return binary.BigEndian.Uint64(b[:]) | 1
}

func (e *Entry) logger(part string) hclog.Logger {
	return e.cfg.Logger.Named(part)
}

func (e *Entry) openMessenger() error {
	s := e.cfg.Settings
	tls, err := messenger.LoadTLS(messenger.TLSFiles{
		Certificate: s.CertificateFile,
		Key:         s.PrivateKeyFile,
		CAs:         s.CAFiles,
	})
	if err != nil {
		return err
	}
	m, err := messenger.New(messenger.Config{
		Listen: s.PeerAddress,
		TLS:    tls,
		Logger: e.logger("peers"),
		Handlers: map[messenger.Kind]messenger.Handler{
			kindPollConfig:        messenger.Unary(e.servePoll),
			kindReport:            messenger.Unary(e.serveReport),
			kindRequestPromise:    messenger.Unary(e.servePromise),
			kindConfirmMember:     messenger.Unary(e.serveConfirm),
			kindTransferAllowance: messenger.Unary(e.serveTransfer),
			kindForward:           e.serveForward,
			kindForwardJob:        e.serveForwardJob,
		},
	})
	if err != nil {
		return err
	}
	e.messenger = m
	e.peers.messenger = m
	return nil
}

// peerAddress returns the address under which peers reach this entry daemon.
func (e *Entry) peerAddress() string {
	if address := e.cfg.Settings.PeerAdvertiseAddress; address != "" {
		return address
	}
	return e.messenger.Addr()
}

func (e *Entry) buildParts() {
	s := e.cfg.Settings
	timing := registrar.DefaultTiming()
	timing.HeartbeatInterval = s.HeartbeatInterval
	e.registrar = registrar.New(registrar.Config{
		Store: e.store,
		Peers: e.peers,
		Self: registrar.Member{
			Entry:            s.Name,
			Incarnation:      e.incarnation,
			Address:          e.peerAddress(),
			AvailabilityZone: s.AvailabilityZone,
		},
		Timing: timing,
	})
	e.holder = limiter.NewHolder(limiter.HolderID{
		Entry:       s.Name,
		Incarnation: e.incarnation,
	}, e.registrar.Lease)
	e.limits = limiter.NewBalancer(limiter.Config{
		Store:       e.store,
		Members:     e.registrar,
		Peers:       e.peers,
		Holder:      e.holder,
		CallTimeout: timing.CallTimeout,
	})
	e.dispatcher = dispatcher.New(dispatcher.Config{
		Entry:            s.Name,
		AvailabilityZone: s.AvailabilityZone,
		Tree:             func() *configurer.Tree { return e.view.Current().Tree },
		ConfigFresh:      e.registrar.Fresh,
		Holder:           e.holder,
		Peers:            e.peers,
		Recorder:         e.recorder,
		Logger:           e.logger("dispatch"),
		MaxRequestBytes:  s.RequestBodyLimitBytes,
		MaxAnswerBytes:   s.AnswerBodyLimitBytes,
		Seed:             e.incarnation,

		MaxJournalBytes:    s.JournalBodyLimitBytes,
		InteractiveTimeout: s.InteractiveTimeout,
		DeferrableTimeout:  s.DeferrableTimeout,
		HealthInterval:     s.HealthInterval,
		SilenceLimit:       s.SilenceTimeout,
	})
	e.journal = journaler.New(journaler.Config{
		Store:           e.store,
		Entry:           s.Name,
		Limiter:         e.writeLimiter,
		Targets:         e.dispatcher.Target,
		Dispatcher:      e.dispatcher,
		MayRun:          func(team string) bool { return team == "" || e.holder.LeaseValid() },
		Logger:          e.logger("journal"),
		RecoveryTimeout: s.RecoveryTimeout,
		RenewInterval:   s.SessionRenewalInterval,
	})
	e.dispatcher.SetJournal(e.journal)
	e.driver = planner.NewDriver(planner.Config{
		Holder:   s.Name + "/" + hex.EncodeToString(binary.BigEndian.AppendUint64(nil, e.incarnation)),
		Region:   s.Region,
		Store:    e.store,
		Platform: platform{lister: e.platform},
		Settings: func() planner.Settings {
			tree := e.view.Current().Tree
			return planner.Settings{
				Pools: tree.Pools,
				Waves: tree.Waves,
			}
		},
		Idle:  e.dispatcher.Idle,
		NewID: uuid.NewString,
	})
	e.mover = planner.NewMover(planner.MoverConfig{
		Region: s.Region,
		Store:  e.store,
		Pools:  func() planner.Pools { return e.view.Current().Tree.Pools },
		Policy: func() configurer.Policy { return e.view.Current().Tree.Policy },
		Load:   e.poolLoad,
		NewID:  uuid.NewString,
	})
}

// platform adapts a lister.Lister to planner.Platform.
type platform struct {
	lister lister.Lister
}

// Reboot implements planner.Platform.
func (p platform) Reboot(ctx context.Context, vm, operation string) error {
	return p.lister.Reboot(ctx, vm, operation)
}

// VMs implements planner.Platform.
func (p platform) VMs(ctx context.Context) ([]planner.VMStatus, error) {
	vms, err := p.lister.List(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]planner.VMStatus, 0, len(vms))
	for _, vm := range vms {
		list = append(list, planner.VMStatus{
			ID:        vm.Name,
			Live:      vm.State == lister.StateLive,
			Operation: vm.LastReboot,
		})
	}
	return list, nil
}

// Run serves until ctx is done and then stops gracefully.
func (e *Entry) Run(ctx context.Context) error {
	messages, stopMessages := context.WithCancel(context.WithoutCancel(ctx))
	defer stopMessages()
	e.wg.Go(func() {
		if err := e.messenger.Serve(messages); err != nil {
			e.logger("peers").Error("failed to serve peers", "error", err)
		}
	})
	if err := e.loadInitialConfig(ctx); err != nil {
		return errors.Join(err, e.close())
	}
	tree := supervisor.Start(supervisor.Config{
		Logger:    e.logger("supervisor"),
		OnRestart: e.recorder.Restart,
	}, e.components())
	e.serve()
	e.ready.Store(true)
	e.logger("entry").Info("serving", "name", e.cfg.Settings.Name, "callers", e.servers[0].Address().String())
	<-ctx.Done()
	e.drain(context.WithoutCancel(ctx))
	err := tree.Stop()
	e.leave(context.WithoutCancel(ctx))
	return errors.Join(err, e.close())
}

// components returns the supervisor tree. Later components depend on earlier ones.
func (e *Entry) components() supervisor.Component {
	return supervisor.Component{
		Name: "entry",
		Children: []supervisor.Component{
			{
				Name: "configuration",
				Children: []supervisor.Component{
					{
						Name: "config_sync",
						Run:  e.syncConfig,
					},
					{
						Name: "config_watch",
						Run:  e.watchConfig,
					},
					{
						Name: "config_apply",
						Run:  e.applyConfig,
					},
				},
			},
			{
				Name: "membership",
				Children: []supervisor.Component{
					{
						Name: "registrar",
						Run:  ignoreDone(e.registrar.Run),
					},
					{
						Name: "reports",
						Run:  e.sendReports,
					},
					{
						Name: "members",
						Run:  e.followMembers,
					},
					{
						Name: "limits",
						Run:  ignoreDone(e.limits.Run),
					},
				},
			},
			{
				Name: "fleet",
				Children: []supervisor.Component{
					{
						Name: "targets",
						Run:  e.syncFleet,
					},
					{
						Name: "maintenance",
						Run:  e.maintain,
					},
				},
			},
			{
				Name: "dispatch",
				Run:  e.dispatcher.Run,
			},
		},
	}
}

// ignoreDone wraps run so that it returns nil once ctx is done.
func ignoreDone(run func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		if err := run(ctx); ctx.Err() == nil {
			return err
		}
		return nil
	}
}

// loadInitialConfig reads the configuration from the key-value service or, while that is down,
// from a contact peer. It fails if neither answers within startTimeout, because there is
// nothing to serve then.
func (e *Entry) loadInitialConfig(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		start := time.Now()
		err := e.view.Refresh(ctx, e.store)
		e.registrar.Observe(start, err)
		if err == nil {
			return nil
		}
		for _, address := range e.cfg.Settings.ContactPeers {
			pollErr := e.pollAddress(ctx, address, time.Now())
			if pollErr == nil || errors.Is(pollErr, errUnconfirmed) {
				return nil
			}
		}
		if !sleeper.Sleep(ctx, time.Second) {
			return Error.New("no configuration: platform %s and the contact peers do not answer: %w", e.cfg.Settings.PlatformAddress, err)
		}
	}
}

// drain stops gracefully: new requests are refused and running ones finish.
func (e *Entry) drain(ctx context.Context) {
	e.ready.Store(false)
	e.logger("entry").Info("draining")
	for _, s := range e.servers {
		s.CloseAfterAnswer()
	}
	// Requests are still accepted until the load balancer has noticed that this daemon is not
	// ready.
	time.Sleep(e.cfg.Settings.DrainDelay)
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := e.dispatcher.Drain(ctx); err != nil {
		e.logger("entry").Warn("requests still running when the drain ended", "error", err)
	}
	var stopping sync.WaitGroup
	for _, s := range e.servers {
		stopping.Go(func() {
			if err := s.Stop(ctx); err != nil {
				e.logger("entry").Warn("failed to close all connections", "error", err)
			}
		})
	}
	stopping.Wait()
	e.journal.Close(ctx)
}

// leave hands the allowances back and marks the member record as left.
func (e *Entry) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	if err := e.limits.Leave(ctx); err != nil {
		e.logger("limits").Warn("failed to hand back the allowance", "error", err)
		if !errors.Is(err, limiter.ErrRunning) {
			return
		}
	}
	if err := e.registrar.Leave(ctx); err != nil {
		e.logger("members").Warn("failed to mark the member record as left", "error", err)
	}
}

func (e *Entry) close() error {
	for _, s := range e.servers {
		_ = s.Close()
	}
	e.dispatcher.Close()
	err := e.messenger.Close()
	e.wg.Wait()
	return Error.Wrap(err)
}

func (e *Entry) useKeys(tree *configurer.Tree) {
	e.keys.Store(authenticator.NewIndex(tree))
}

// authenticate checks a caller's key. A caller without a key may use open queues.
func (e *Entry) authenticate(value string) (server.Credential, dispatcher.Reason) {
	if value == "" {
		return server.Credential{}, ""
	}
	credential, err := authenticator.ParseHeader(value)
	if err != nil {
		return server.Credential{}, dispatcher.ReasonKeyRefused
	}
	if !e.registrar.Fresh() {
		return server.Credential{}, dispatcher.ReasonConfigStale
	}
	team, err := e.keys.Load().Verify(credential)
	if err != nil {
		return server.Credential{}, dispatcher.ReasonKeyRefused
	}
	return server.Credential{
		Team:  team,
		KeyID: credential.ID,
	}, ""
}
