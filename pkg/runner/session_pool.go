package runner

import (
	"context"
	"errors"
	"maps"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/comfreyford/comfreyford/internal/sleeper"
)

const (
	// DefaultSessionTTL is the time after its last renewal at which a session ends.
	DefaultSessionTTL = 10 * time.Second
	// DefaultRenewInterval is the time between renewals of a session in use.
	DefaultRenewInterval = 3 * time.Second
)

// ErrNotPermitted means that SessionPoolConfig.MayRun does not permit work to be started or
// renewed, or that the pool is closed.
var ErrNotPermitted = errors.New("starting and renewing work is not permitted now")

// SessionPoolConfig configures a SessionPool. Zero durations mean the defaults of this
// package.
type SessionPoolConfig struct {
	// MayRun reports whether work may be started and sessions renewed now; it must not block.
	MayRun        func() bool
	TTL           time.Duration
	RenewInterval time.Duration
	// Timeout bounds one renewal.
	Timeout time.Duration
	// NewID creates session ids; nil means random UUIDs.
	NewID func() string
}

// SessionPool shares one open session per target among all tasks there. It opens a session at
// its first use and renews it while tasks use it.
type SessionPool struct {
	cfg SessionPoolConfig

	mu         sync.Mutex
	sessions   map[string]*managedSession
	lastPruned time.Time // when pruneUnused last visited the sessions
	closed     bool
	renewers   sync.WaitGroup
	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
}

// managedSession is one session of a SessionPool. The fields below ready are written before
// ready is closed and guarded by SessionPool.mu from then on; boot never changes again.
type managedSession struct {
	id        string
	target    Target
	ready     chan struct{} // closed when the first open has returned
	err       error         // error of the first open
	boot      string
	renewedAt time.Time     // when the call of the last open or successful renewal began
	uses      int           // guarded by SessionPool.mu also before ready is closed
	ended     chan struct{} // closed when the session must not be used any longer
	stop      func()        // ends the renewals; nil while none run
}

// Session is a session in use. Release must be called once.
type Session struct {
	ID   string
	Boot string // boot id of the worker under which the session was opened
	// Ended is closed when the session has ended or counts as ended: the worker stops its
	// tasks or has stopped them.
	Ended <-chan struct{}

	release    func()
	invalidate func()
}

// NewSessionPool returns a pool without sessions. It must be closed.
func NewSessionPool(cfg SessionPoolConfig) *SessionPool {
	setDefault(&cfg.TTL, DefaultSessionTTL)
	setDefault(&cfg.RenewInterval, DefaultRenewInterval)
	setDefault(&cfg.Timeout, DefaultTimeout)
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &SessionPool{
		cfg:      cfg,
		sessions: map[string]*managedSession{},
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Close ends all renewals. The sessions expire at their workers when their TTL has passed.
func (p *SessionPool) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.cancel()
	p.renewers.Wait()
}

// Acquire returns the session at the target called name, and opens one when none
// is open. Errors wrap ErrNotRun, because a task is started only with a session.
func (p *SessionPool) Acquire(ctx context.Context, name string, target Target) (*Session, error) {
	for {
		s, opener, err := p.findOrAdd(name, target)
		if err != nil {
			return nil, err
		}
		if opener {
			p.open(ctx, name, s)
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			p.release(s)
			return nil, Error.Wrap(MarkNotRun(ctx.Err()))
		}
		if s.err == nil {
			return p.session(name, s) //nolint:contextcheck // renewals outlive the call that began them
		}
		p.release(s)
		// Only the caller that opened the session returns the error. The others try
		// again, because the open may have failed only because that caller's context ended.
		if opener {
			return nil, Error.Wrap(MarkNotRun(s.err))
		}
	}
}

// Release ends this use of the session.
func (s *Session) Release() {
	s.release()
}

// Invalidate tells the pool that the worker answered ErrSessionEnded. The next
// Acquire opens another session. Release must still be called.
func (s *Session) Invalidate() {
	s.invalidate()
}

// findOrAdd adds a use to the present session, or creates one that the caller has to open.
func (p *SessionPool) findOrAdd(name string, target Target) (s *managedSession, opener bool, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.cfg.MayRun() {
		return nil, false, Error.Wrap(MarkNotRun(ErrNotPermitted))
	}
	s = p.sessions[name]
	if s != nil && s.target == target && !p.expiring(s) {
		s.uses++
		return s, false, nil
	}
	p.pruneUnused(time.Now())
	s = &managedSession{
		id:     p.cfg.NewID(),
		target: target,
		ready:  make(chan struct{}),
		ended:  make(chan struct{}),
		uses:   1,
	}
	p.sessions[name] = s
	return s, true, nil
}

// pruneUnused drops the sessions that nothing uses and that a next use would replace. It
// runs at most once per TTL, because it visits all sessions.
func (p *SessionPool) pruneUnused(now time.Time) {
	if now.Sub(p.lastPruned) < p.cfg.TTL {
		return
	}
	p.lastPruned = now
	maps.DeleteFunc(p.sessions, func(_ string, s *managedSession) bool { return s.uses == 0 && p.expiring(s) })
}

// expiring reports whether the session has ended or may end before its next renewal. The
// worker counts the TTL from a time after s.renewedAt.
func (p *SessionPool) expiring(s *managedSession) bool {
	select {
	case <-s.ready:
	default:
		return false
	}
	select {
	case <-s.ended:
		return true
	default:
	}
	return time.Since(s.renewedAt) > p.cfg.TTL-p.cfg.RenewInterval
}

func (p *SessionPool) open(ctx context.Context, name string, s *managedSession) {
	start := time.Now()
	boot, err := s.target.OpenSession(ctx, s.id, p.cfg.TTL)
	p.mu.Lock()
	defer p.mu.Unlock()
	s.boot = boot
	s.err = err
	s.renewedAt = start
	if err != nil && p.sessions[name] == s {
		delete(p.sessions, name)
	}
	close(s.ready)
}

// session starts the renewals unless they already run, and returns the session for a caller.
func (p *SessionPool) session(name string, s *managedSession) (*Session, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	// MayRun may have changed while the session was being opened.
	if p.closed || !p.cfg.MayRun() {
		p.endUse(s)
		return nil, Error.Wrap(MarkNotRun(ErrNotPermitted))
	}
	if s.stop == nil {
		ctx, stop := context.WithCancel(p.ctx)
		s.stop = stop
		p.renewers.Go(func() { p.renewLoop(ctx, name, s) })
	}
	return &Session{
		ID:         s.id,
		Boot:       s.boot,
		Ended:      s.ended,
		release:    sync.OnceFunc(func() { p.release(s) }),
		invalidate: func() { p.markEnded(name, s) },
	}, nil
}

func (p *SessionPool) release(s *managedSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endUse(s)
}

func (p *SessionPool) endUse(s *managedSession) {
	s.uses--
	if s.uses == 0 && s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

// renewLoop renews the session until nothing uses it or it has ended.
func (p *SessionPool) renewLoop(ctx context.Context, name string, s *managedSession) {
	for {
		timer := time.NewTimer(p.untilRenewal(s))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if err := p.renew(ctx, s); err == nil {
			continue
		} else if ctx.Err() != nil {
			return
		} else if !errors.Is(err, ErrSessionEnded) && time.Since(p.lastRenewal(s)) < p.cfg.TTL {
			if !sleeper.Sleep(ctx, p.cfg.RenewInterval/10) {
				return
			}
			continue
		}
		p.markEnded(name, s)
		return
	}
}

// renew renews the session once. After ErrNotPermitted the renewal is tried again, because it
// may be permitted again before the session ends.
func (p *SessionPool) renew(ctx context.Context, s *managedSession) error {
	if !p.cfg.MayRun() {
		return ErrNotPermitted
	}
	ctx, cancel := context.WithTimeout(ctx, p.cfg.Timeout)
	defer cancel()
	start := time.Now()
	if err := s.target.RenewSession(ctx, s.id, s.boot, p.cfg.TTL); err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s.renewedAt = start
	return nil
}

func (p *SessionPool) untilRenewal(s *managedSession) time.Duration {
	return time.Until(p.lastRenewal(s).Add(p.cfg.RenewInterval))
}

func (p *SessionPool) lastRenewal(s *managedSession) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	return s.renewedAt
}

// markEnded marks the session as ended, so that the next use opens another one.
func (p *SessionPool) markEnded(name string, s *managedSession) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.sessions[name] == s {
		delete(p.sessions, name)
	}
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}
