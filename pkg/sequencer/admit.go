package sequencer

import "time"

// usefulFactor is the multiple of its objective after which the end of a job is of no
// more use to its caller; it is the users' figure.
const usefulFactor = 3

// Arrival is a job that asks to be accepted.
type Arrival struct {
	Chain     time.Duration // longest chain of work
	Objective time.Duration
	// Wait is how long the pool is busy with what was accepted before.
	Wait time.Duration
	// Spread in [0, 1) differs between callers, so that they do not return together.
	Spread float64
}

// Admit reports whether a job can still be of use to its caller. If not, it returns
// when the job would be on time if the backlog goes on to shrink, later by up to a
// half for some callers than for others.
//
// The load that it answers: a queue asks for several times what the fleet holds, for
// longer than its callers wait. Work that is accepted has to be finished, so each
// job that comes too late delays all that come after it.
func Admit(a Arrival) (ok bool, retryAfter time.Duration) {
	if a.Wait+a.Chain <= usefulFactor*a.Objective {
		return true, 0
	}
	drained := a.Wait + a.Chain - a.Objective
	return false, time.Duration(float64(drained) * (1 + a.Spread/2))
}
