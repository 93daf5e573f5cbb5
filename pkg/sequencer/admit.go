package sequencer

import "time"

// MaxTotalTimeFactor bounds the time from the arrival of a job to its end, as a multiple of
// its objective. A job that ends later is of no use to its caller; the users state the figure.
const MaxTotalTimeFactor = 3

// MaxRetryAfter bounds the time after which refused work is to return, without jitter. What a pool can
// do changes sooner: VMs arrive within two seconds, and a pool that has none yet knows no wait at all.
// Reports of owners count for as long.
const MaxRetryAfter = 5 * time.Second

// Arrival describes a job that asks to be accepted.
type Arrival struct {
	Chain     time.Duration // longest chain of dependent work, as predicted
	Objective time.Duration
	// Wait is how long the pool is busy with the jobs accepted before, OnTimeWait with those of
	// them that can end on time, which come first.
	Wait       time.Duration
	OnTimeWait time.Duration
	// Jitter in [0, 1) differs between callers, so that refused ones do not all
	// retry at the same time.
	Jitter float64
}

// Admit reports whether a job can still end early enough to be of use to its caller: on time, behind
// the other work that is on time, or late, behind all work. If not, retryAfter is the time after
// which the job would be on time, provided that the backlog keeps shrinking, and at most
// MaxRetryAfter; Jitter extends it by up to a half.
//
// It limits overload: a queue may ask for several times the capacity of the fleet, for longer
// than its callers wait. Accepted work has to be finished, so each job that is accepted too
// late delays all jobs after it.
func Admit(a Arrival) (ok bool, retryAfter time.Duration) {
	onTime := a.OnTimeWait+a.Chain <= a.Objective+lateTolerance
	if onTime || a.Wait+a.Chain <= MaxTotalTimeFactor*a.Objective {
		return true, 0
	}
	untilOnTime := min(a.OnTimeWait+a.Chain-a.Objective, MaxRetryAfter)
	return false, time.Duration(float64(untilOnTime) * (1 + a.Jitter/2))
}

// WaitAt returns the wait of a pool some time after it was measured, for the inflow of accepted work
// as a multiple of what the pool can do.
func WaitAt(measured, age time.Duration, inflow float64) time.Duration {
	return max(0, measured+time.Duration((inflow-1)*float64(age)))
}
