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

// ErrNoRight means that KeeperConfig.MayUse does not permit work to be started or renewed,
// or that the keeper is closed.
var ErrNoRight = errors.New("starting and renewing work is not permitted now")

// KeeperConfig configures a Keeper. Zero durations mean the defaults of this package.
type KeeperConfig struct {
	// MayUse reports whether work may be started and sessions renewed now; it must not block.
	MayUse        func() bool
	TTL           time.Duration
	RenewInterval time.Duration
	// Timeout bounds one renewal.
	Timeout time.Duration
	// NewID creates session ids; nil means random UUIDs.
	NewID func() string
}

// Keeper shares one open session per target among all tasks there. It opens a session at
// its first use and renews it while tasks use it.
type Keeper struct {
	cfg KeeperConfig

	mu         sync.Mutex
	sessions   map[string]*managedSession
	lastPruned time.Time // when pruneUnused last visited the sessions
	closed     bool
	renewers   sync.WaitGroup
	ctx        context.Context // canceled by Close
	cancel     context.CancelFunc
}

// managedSession is one session of a Keeper. The fields below ready are written before
// ready is closed and guarded by Keeper.mu from then on; boot never changes again.
type managedSession struct {
	id        string
	target    Target
	ready     chan struct{} // closed when the first open has returned
	err       error         // error of the first open
	boot      string
	renewedAt time.Time     // when the call of the last open or successful renewal began
	uses      int           // guarded by Keeper.mu also before ready is closed
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

// NewKeeper returns a keeper without sessions. It must be closed.
func NewKeeper(cfg KeeperConfig) *Keeper {
	setDefault(&cfg.TTL, DefaultSessionTTL)
	setDefault(&cfg.RenewInterval, DefaultRenewInterval)
	setDefault(&cfg.Timeout, DefaultTimeout)
	if cfg.NewID == nil {
		cfg.NewID = uuid.NewString
	}
	ctx, cancel := context.WithCancel(context.Background())
	return &Keeper{
		cfg:      cfg,
		sessions: map[string]*managedSession{},
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Close ends all renewals. The sessions expire at their workers when their TTL has passed.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.renewers.Wait()
}

// Acquire returns the session at the target called name, and opens one when none
// is open. Errors wrap ErrNotRun, because a task is started only with a session.
func (k *Keeper) Acquire(ctx context.Context, name string, target Target) (*Session, error) {
	for {
		s, opener, err := k.findOrAdd(name, target)
		if err != nil {
			return nil, err
		}
		if opener {
			k.open(ctx, name, s)
		}
		select {
		case <-s.ready:
		case <-ctx.Done():
			k.release(s)
			return nil, Error.Wrap(NotRun(ctx.Err()))
		}
		if s.err == nil {
			return k.session(name, s) //nolint:contextcheck // renewals outlive the call that began them
		}
		k.release(s)
		// Only the caller that opened the session returns the error. The others try
		// again, because the open may have failed only because that caller's context ended.
		if opener {
			return nil, Error.Wrap(NotRun(s.err))
		}
	}
}

// Release ends this use of the session.
func (s *Session) Release() {
	s.release()
}

// Invalidate tells the keeper that the worker answered ErrSessionEnded. The next
// Acquire opens another session. Release must still be called.
func (s *Session) Invalidate() {
	s.invalidate()
}

// findOrAdd adds a use to the present session, or creates one that the caller has to open.
func (k *Keeper) findOrAdd(name string, target Target) (s *managedSession, opener bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || !k.cfg.MayUse() {
		return nil, false, Error.Wrap(NotRun(ErrNoRight))
	}
	s = k.sessions[name]
	if s != nil && s.target == target && !k.expiring(s) {
		s.uses++
		return s, false, nil
	}
	k.pruneUnused(time.Now())
	s = &managedSession{
		id:     k.cfg.NewID(),
		target: target,
		ready:  make(chan struct{}),
		ended:  make(chan struct{}),
		uses:   1,
	}
	k.sessions[name] = s
	return s, true, nil
}

// pruneUnused drops the sessions that nothing uses and that a next use would replace. It
// runs at most once per TTL, because it visits all sessions.
func (k *Keeper) pruneUnused(now time.Time) {
	if now.Sub(k.lastPruned) < k.cfg.TTL {
		return
	}
	k.lastPruned = now
	maps.DeleteFunc(k.sessions, func(_ string, s *managedSession) bool { return s.uses == 0 && k.expiring(s) })
}

// expiring reports whether the session has ended or may end before its next renewal. The
// worker counts the TTL from a time after s.renewedAt.
func (k *Keeper) expiring(s *managedSession) bool {
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
	return time.Since(s.renewedAt) > k.cfg.TTL-k.cfg.RenewInterval
}

func (k *Keeper) open(ctx context.Context, name string, s *managedSession) {
	start := time.Now()
	boot, err := s.target.OpenSession(ctx, s.id, k.cfg.TTL)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.boot = boot
	s.err = err
	s.renewedAt = start
	if err != nil && k.sessions[name] == s {
		delete(k.sessions, name)
	}
	close(s.ready)
}

// session starts the renewals unless they already run, and returns the session for a caller.
func (k *Keeper) session(name string, s *managedSession) (*Session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// MayUse may have changed while the session was being opened.
	if k.closed || !k.cfg.MayUse() {
		k.endUse(s)
		return nil, Error.Wrap(NotRun(ErrNoRight))
	}
	if s.stop == nil {
		ctx, stop := context.WithCancel(k.ctx)
		s.stop = stop
		k.renewers.Go(func() { k.renewLoop(ctx, name, s) })
	}
	return &Session{
		ID:         s.id,
		Boot:       s.boot,
		Ended:      s.ended,
		release:    sync.OnceFunc(func() { k.release(s) }),
		invalidate: func() { k.markEnded(name, s) },
	}, nil
}

func (k *Keeper) release(s *managedSession) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.endUse(s)
}

func (k *Keeper) endUse(s *managedSession) {
	s.uses--
	if s.uses == 0 && s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

// renewLoop renews the session until nothing uses it or it has ended.
func (k *Keeper) renewLoop(ctx context.Context, name string, s *managedSession) {
	for {
		timer := time.NewTimer(k.untilRenewal(s))
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return
		}
		if err := k.renew(ctx, s); err == nil {
			continue
		} else if ctx.Err() != nil {
			return
		} else if !errors.Is(err, ErrSessionEnded) && time.Since(k.lastRenewal(s)) < k.cfg.TTL {
			if !sleeper.Sleep(ctx, k.cfg.RenewInterval/10) {
				return
			}
			continue
		}
		k.markEnded(name, s)
		return
	}
}

// renew renews the session once. After ErrNoRight the renewal is tried again, because it
// may be permitted again before the session ends.
func (k *Keeper) renew(ctx context.Context, s *managedSession) error {
	if !k.cfg.MayUse() {
		return ErrNoRight
	}
	ctx, cancel := context.WithTimeout(ctx, k.cfg.Timeout)
	defer cancel()
	start := time.Now()
	if err := s.target.RenewSession(ctx, s.id, s.boot, k.cfg.TTL); err != nil {
		return err
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	s.renewedAt = start
	return nil
}

func (k *Keeper) untilRenewal(s *managedSession) time.Duration {
	return time.Until(k.lastRenewal(s).Add(k.cfg.RenewInterval))
}

func (k *Keeper) lastRenewal(s *managedSession) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return s.renewedAt
}

// markEnded marks the session as ended, so that the next use opens another one.
func (k *Keeper) markEnded(name string, s *managedSession) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.sessions[name] == s {
		delete(k.sessions, name)
	}
	select {
	case <-s.ended:
	default:
		close(s.ended)
	}
}
