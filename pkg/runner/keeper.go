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

// ErrNoRight means that the right to start and renew work has run out.
var ErrNoRight = errors.New("no right to start or renew work")

// KeeperConfig configures a Keeper. Zero durations mean the defaults of this package.
type KeeperConfig struct {
	// MayUse reports whether work may be started and renewed now; it must not block.
	MayUse        func() bool
	TTL           time.Duration
	RenewInterval time.Duration
	// Timeout bounds one renewal.
	Timeout time.Duration
	// NewID creates session ids; nil means random UUIDs.
	NewID func() string
}

// Keeper holds at most one open session per target. It opens a session at its
// first use and renews it while tasks use it.
type Keeper struct {
	cfg KeeperConfig

	mu       sync.Mutex
	sessions map[string]*kept
	forgot   time.Time // when forget last looked for sessions without use
	closed   bool
	tasks    sync.WaitGroup
	ctx      context.Context // ends at Close
	cancel   context.CancelFunc
}

// kept is one session of a Keeper. The fields below ready are written before
// ready is closed and guarded by Keeper.mu from then on; boot never changes again.
type kept struct {
	id     string
	target Target
	ready  chan struct{} // closed when the first open has returned
	err    error         // of the first open
	boot   string
	start  time.Time     // start of the last successful open or renewal
	uses   int           // also guarded by Keeper.mu before ready
	ended  chan struct{} // closed when the session must not be used any longer
	stop   func()        // ends the renewals; nil while none run
}

// Session is a session in use. Release must be called once.
type Session struct {
	ID   string
	Boot string // boot id of the worker under which the session was opened
	// Ended is closed when the session was lost: its tasks stop or have stopped.
	Ended <-chan struct{}

	release    func()
	invalidate func()
}

// NewKeeper returns a keeper without sessions.
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
		sessions: map[string]*kept{},
		ctx:      ctx,
		cancel:   cancel,
	}
}

// Close ends all renewals. The sessions end at their workers when their time to live has passed.
func (k *Keeper) Close() {
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.cancel()
	k.tasks.Wait()
}

// Acquire returns the session at the target called name, and opens one when none
// is open. An error wraps ErrNotRun, because a task is started only with a session.
func (k *Keeper) Acquire(ctx context.Context, name string, target Target) (*Session, error) {
	for {
		s, opener, err := k.join(name, target)
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
		// An opener reports its own error; the others try for themselves, because
		// the opener may have failed for the end of its own context only.
		if opener {
			return nil, Error.Wrap(NotRun(s.err))
		}
	}
}

// Release ends the use of the session.
func (s *Session) Release() {
	s.release()
}

// Invalidate tells the keeper that the worker answered ErrSessionEnded. The next
// use opens another session. Release is still to be called.
func (s *Session) Invalidate() {
	s.invalidate()
}

// join adds a use to the present session or creates one that the caller has to open.
func (k *Keeper) join(name string, target Target) (s *kept, opener bool, err error) {
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
	k.forget(time.Now())
	s = &kept{
		id:     k.cfg.NewID(),
		target: target,
		ready:  make(chan struct{}),
		ended:  make(chan struct{}),
		uses:   1,
	}
	k.sessions[name] = s
	return s, true, nil
}

// forget drops the sessions that nothing uses and that join would replace, at most
// once a TTL, because it visits all sessions.
func (k *Keeper) forget(now time.Time) {
	if now.Sub(k.forgot) < k.cfg.TTL {
		return
	}
	k.forgot = now
	maps.DeleteFunc(k.sessions, func(_ string, s *kept) bool { return s.uses == 0 && k.expiring(s) })
}

// expiring reports whether the session has ended or is not renewed in time for a
// task to start under it. The worker's clock starts later than s.start.
func (k *Keeper) expiring(s *kept) bool {
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
	return time.Since(s.start) > k.cfg.TTL-k.cfg.RenewInterval
}

func (k *Keeper) open(ctx context.Context, name string, s *kept) {
	start := time.Now()
	boot, err := s.target.OpenSession(ctx, s.id, k.cfg.TTL)
	k.mu.Lock()
	defer k.mu.Unlock()
	s.boot = boot
	s.err = err
	s.start = start
	if err != nil && k.sessions[name] == s {
		delete(k.sessions, name)
	}
	close(s.ready)
}

// session starts the renewals unless they run, and returns the session for a caller.
func (k *Keeper) session(name string, s *kept) (*Session, error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	// The right may have run out while the session was being opened.
	if k.closed || !k.cfg.MayUse() {
		k.drop(s)
		return nil, Error.Wrap(NotRun(ErrNoRight))
	}
	if s.stop == nil {
		ctx, stop := context.WithCancel(k.ctx)
		s.stop = stop
		k.tasks.Go(func() { k.renewals(ctx, name, s) })
	}
	return &Session{
		ID:         s.id,
		Boot:       s.boot,
		Ended:      s.ended,
		release:    sync.OnceFunc(func() { k.release(s) }),
		invalidate: func() { k.lose(name, s) },
	}, nil
}

func (k *Keeper) release(s *kept) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.drop(s)
}

func (k *Keeper) drop(s *kept) {
	s.uses--
	if s.uses == 0 && s.stop != nil {
		s.stop()
		s.stop = nil
	}
}

// renewals renews the session until nothing uses it or it has ended.
func (k *Keeper) renewals(ctx context.Context, name string, s *kept) {
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
		} else if !errors.Is(err, ErrSessionEnded) && time.Since(k.lastStart(s)) < k.cfg.TTL {
			if !sleeper.Sleep(ctx, k.cfg.RenewInterval/10) {
				return
			}
			continue
		}
		k.lose(name, s)
		return
	}
}

// renew renews the session once. A right that has run out is an error that is
// tried again, because it can come back before the session ends.
func (k *Keeper) renew(ctx context.Context, s *kept) error {
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
	s.start = start
	return nil
}

func (k *Keeper) untilRenewal(s *kept) time.Duration {
	return time.Until(k.lastStart(s).Add(k.cfg.RenewInterval))
}

func (k *Keeper) lastStart(s *kept) time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return s.start
}

// lose marks the session as ended, so that the next use opens another one.
func (k *Keeper) lose(name string, s *kept) {
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
