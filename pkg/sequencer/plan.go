package sequencer

import (
	"cmp"
	"slices"
	"time"
)

// Work is a job as far as its end can be foreseen.
type Work struct {
	ID      string
	Team    string
	Started bool
	Excess  bool // beyond what its team may expect
	// Millis is the work that is left, in core-milliseconds.
	Millis int64
	// Chain is the longest chain of work that is left.
	Chain time.Duration
	// Due is the time left until the job's objective.
	Due time.Duration
}

// Room is what a pool offers.
type Room struct {
	Millis int64            // thousandths of a core for work that ends
	Teams  map[string]int64 // the same for teams with an upper limit
}

// packingShare is the part of a pool's processors that tasks fill; the rest is lost
// to gaps that fit no task.
const packingShare = 0.9

// Plan returns the jobs that can end on time if they get room in the order of their
// due times. When more is due than the pool can do, jobs are left out rather than
// all of them being late: started ones last, those of teams that send more than
// they may expect first.
//
// The work ahead of a job delays its start; its own chain then takes its time. The
// sum ignores gaps and gangs, so that it costs one pass.
func Plan(works []Work, room Room) map[string]bool {
	order := slices.Clone(works)
	slices.SortFunc(order, func(a, b Work) int {
		return cmp.Or(compareBool(b.Started, a.Started), compareBool(a.Excess, b.Excess),
			cmp.Compare(a.Due-a.Chain, b.Due-b.Chain), cmp.Compare(a.ID, b.ID))
	})
	planned := map[string]bool{}
	var ahead int64
	aheadOfTeam := map[string]int64{}
	for _, w := range order {
		wait := delay(ahead, room.Millis)
		if limit, limited := room.Teams[w.Team]; limited {
			wait = max(wait, delay(aheadOfTeam[w.Team], limit))
		}
		if wait+w.Chain > w.Due+lateTolerance {
			continue
		}
		planned[w.ID] = true
		ahead += w.Millis
		aheadOfTeam[w.Team] += w.Millis
	}
	return planned
}

// delay returns how long the pool is busy with the work ahead.
func delay(aheadMillis, room int64) time.Duration {
	if aheadMillis == 0 {
		return 0
	}
	if room <= 0 {
		return time.Hour
	}
	return time.Duration(float64(aheadMillis)/(packingShare*float64(room)/1000)) * time.Millisecond
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}
