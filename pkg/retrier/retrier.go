// Package retrier decides whether and when a failed attempt is repeated.
//
// Retries are limited to a share of first attempts plus a fixed rate, for each
// team and pool, so that retries cannot multiply the load of a pool that fails
// requests. In any interval of T seconds with F first attempts, a budget allows at
// most Ratio*F + PerSecond*T + MaxSavedRetries + 1 retries; counted from the first use of
// the budget it is Ratio*F + PerSecond*T + 1. MaxSavedRetries bounds the unused credit of
// earlier first attempts, and 1 the credit of an idle budget.
//
// The types do no I/O, read no clock and are not safe for concurrent use.
package retrier

import (
	"errors"
	"math/rand/v2"
	"time"

	"github.com/zeebo/errs"

	"github.com/comfreyford/comfreyford/pkg/configurer"
)

// Error is the class of all errors of this package.
var Error = errs.Class("retrier")

var (
	// ErrBudgetSpent means that the team has no retry credit left for this pool at present.
	ErrBudgetSpent = errors.New("retry budget spent")
	// ErrDeadline means that a retry could not finish before the deadline.
	ErrDeadline = errors.New("deadline too close for a retry")
)

// The default values of Config.
const (
	DefaultRatio           = 0.1  // retries per first attempt
	DefaultPerSecond       = 1.0  // retries per second
	DefaultMaxSavedRetries = 10.0 // retries
	DefaultBaseDelay       = 50 * time.Millisecond
	DefaultMaxDelay        = 5 * time.Second
)

// Config configures a Retrier. Zero values select the defaults.
type Config struct {
	Ratio           float64       // retries per first attempt
	PerSecond       float64       // further retries per second
	MaxSavedRetries float64       // maximum credit of unused retries from first attempts
	BaseDelay       time.Duration // upper end of the delay before the first retry
	MaxDelay        time.Duration // upper end of any delay
	MinRunTime      time.Duration // minimum time between the start of a retry and the deadline
}

// Key identifies a retry budget.
type Key struct {
	Team string
	Pool string
}

// Retrier holds the retry budgets of one entry daemon.
type Retrier struct {
	cfg     Config
	budgets map[Key]*budget
}

type budget struct {
	fromAttempts float64 // credit in retries from first attempts, at most cfg.MaxSavedRetries
	fromTime     float64 // credit in retries from elapsed time, at most 1
	last         time.Time
}

// New returns a Retrier. A budget is created without credit when it is first used.
func New(cfg Config) *Retrier {
	return &Retrier{
		cfg: Config{
			Ratio:           orDefault(cfg.Ratio, DefaultRatio),
			PerSecond:       orDefault(cfg.PerSecond, DefaultPerSecond),
			MaxSavedRetries: orDefault(cfg.MaxSavedRetries, DefaultMaxSavedRetries),
			BaseDelay:       orDefault(cfg.BaseDelay, DefaultBaseDelay),
			MaxDelay:        orDefault(cfg.MaxDelay, DefaultMaxDelay),
			MinRunTime:      cfg.MinRunTime,
		},
		budgets: map[Key]*budget{},
	}
}

func orDefault[V float64 | time.Duration](v, def V) V {
	if v <= 0 {
		return def
	}
	return v
}

// FirstAttempt counts the first attempt of a request, which adds up to Ratio to the
// credit of the budget.
func (r *Retrier) FirstAttempt(now time.Time, k Key) {
	b := r.budget(now, k)
	b.fromAttempts = min(b.fromAttempts+r.cfg.Ratio, r.cfg.MaxSavedRetries)
}

// Retry spends one retry and returns when it may start. attempt is 1 for the first
// retry. If an error is returned, it wraps ErrDeadline or ErrBudgetSpent and no retry is
// spent.
func (r *Retrier) Retry(now time.Time, k Key, attempt int, deadline time.Time, rng *rand.Rand) (time.Time, error) {
	at := now.Add(r.Delay(attempt, rng))
	if !at.Add(r.cfg.MinRunTime).Before(deadline) {
		return time.Time{}, Error.Wrap(ErrDeadline)
	}
	if !r.budget(now, k).spend() {
		return time.Time{}, Error.Wrap(ErrBudgetSpent)
	}
	return at, nil
}

// Delay returns a random delay between 0 and BaseDelay doubled attempt-1 times, at most
// MaxDelay. The whole range is random, so that requests that failed together spread out.
func (r *Retrier) Delay(attempt int, rng *rand.Rand) time.Duration {
	limit := r.cfg.BaseDelay
	for i := 1; i < attempt && limit < r.cfg.MaxDelay; i++ {
		limit *= 2
	}
	limit = min(limit, r.cfg.MaxDelay)
	return time.Duration(rng.Int64N(int64(limit) + 1))
}

// Prune deletes the budgets that were not used for at least idle. A budget that is created
// again has no credit, so pruning never allows more retries.
func (r *Retrier) Prune(now time.Time, idle time.Duration) {
	for k, b := range r.budgets {
		if now.Sub(b.last) >= idle {
			delete(r.budgets, k)
		}
	}
}

func (r *Retrier) budget(now time.Time, k Key) *budget {
	b := r.budgets[k]
	if b == nil {
		b = &budget{last: now}
		r.budgets[k] = b
	}
	if passed := now.Sub(b.last); passed > 0 {
		b.fromTime = min(b.fromTime+r.cfg.PerSecond*passed.Seconds(), 1)
		b.last = now
	}
	return b
}

// tolerance allows for rounding: adding 0.1 ten times gives slightly less than 1.
const tolerance = 1e-9

func (b *budget) spend() bool {
	switch {
	case b.fromTime >= 1-tolerance:
		b.fromTime--
	case b.fromAttempts >= 1-tolerance:
		b.fromAttempts--
	case b.fromTime+b.fromAttempts >= 1-tolerance:
		b.fromAttempts -= 1 - b.fromTime
		b.fromTime = 0
	default:
		return false
	}
	return true
}

// The timeouts of requests whose caller sets none.
const (
	DefaultTimeout           = 30 * time.Second // for urgent and interactive requests
	DefaultDeferrableTimeout = time.Hour
)

// Deadline returns the deadline of a request that arrives now. A timeout that is
// not positive selects the default of the class.
func Deadline(now time.Time, timeout time.Duration, class configurer.Class) time.Time {
	if timeout <= 0 {
		timeout = DefaultTimeout
		if class == configurer.ClassDeferrable {
			timeout = DefaultDeferrableTimeout
		}
	}
	return now.Add(timeout)
}
