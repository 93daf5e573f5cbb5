package server

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/comfreyford/comfreyford/pkg/limiter"
	"github.com/comfreyford/comfreyford/pkg/planner"
)

// StatusSource provides the status figures that an entry daemon holds in memory.
type StatusSource interface {
	// MemberStatus returns the members that are not marked as left.
	MemberStatus() []MemberStatus
	// RunningSlots returns the number of slots that a team's work from this entry daemon uses.
	RunningSlots(team string) int
	// PoolStatus returns the pools that this entry daemon dispatches to.
	PoolStatus() []PoolStatus
}

// MemberStatus describes an entry daemon.
type MemberStatus struct {
	Name             string `json:"name"`
	AvailabilityZone string `json:"availability_zone"`
	Revision         uint64 `json:"revision"`
	Live             bool   `json:"live"` // sent a report in the last 3 s
}

// TeamStatus describes a team. Allowances is nil if the ledgers could not be read.
type TeamStatus struct {
	Name       string `json:"name"`
	Limit      int    `json:"limit"`
	Allowances *int   `json:"allowances"` // sum over all holders
	Running    int    `json:"running"`    // slots, from this entry daemon
}

// PoolStatus describes a pool as this entry daemon sees it. VMs is nil if the fleet
// document could not be read.
type PoolStatus struct {
	Name    string `json:"name"`
	VMs     *int   `json:"vms"` // in the fleet document
	Usable  int    `json:"usable"`
	Ejected int    `json:"ejected"`
	Queued  int    `json:"queued"` // requests
}

// Status is the answer to a status request.
type Status struct {
	Region   string         `json:"region"`
	Revision uint64         `json:"revision"`
	AgeMS    int64          `json:"age_ms"` // time since the settings were known to be current; -1: never
	Members  []MemberStatus `json:"members"`
	Teams    []TeamStatus   `json:"teams"`
	Pools    []PoolStatus   `json:"pools"`
	Waves    []WaveProgress `json:"waves"`
	Problems []string       `json:"problems"` // what could not be read
}

// status also responds while the key-value service is unavailable. It then lists what could
// not be read in Problems.
func (o *OperatorAPI) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), fleetTimeout)
	defer cancel()
	current := o.cfg.Committer.View.Current()
	s := Status{
		Region:   o.cfg.Region,
		Revision: current.Tree.Revision,
		AgeMS:    -1,
		Members:  []MemberStatus{},
		Teams:    []TeamStatus{},
		Waves:    []WaveProgress{},
		Problems: []string{},
	}
	if age, ok := current.Age(time.Now()); ok {
		s.AgeMS = age.Milliseconds()
	}
	fleet, err := o.readFleet(ctx)
	if err != nil {
		s.Problems = append(s.Problems, "fleet not read: "+err.Error())
	} else {
		s.Waves = waveProgress(fleet)
	}
	sums, err := o.allowances(ctx)
	if err != nil {
		s.Problems = append(s.Problems, "limits not read: "+err.Error())
	}
	for _, name := range slices.Sorted(maps.Keys(current.Tree.Teams)) {
		team := TeamStatus{
			Name:  name,
			Limit: current.Tree.Teams[name].Limit,
		}
		if err == nil {
			sum := sums[name]
			team.Allowances = &sum
		}
		if o.cfg.Status != nil {
			team.Running = o.cfg.Status.RunningSlots(name)
		}
		s.Teams = append(s.Teams, team)
	}
	if o.cfg.Status != nil {
		s.Members = append(s.Members, o.cfg.Status.MemberStatus()...)
		slices.SortFunc(s.Members, func(a, b MemberStatus) int { return strings.Compare(a.Name, b.Name) })
	}
	s.Pools = o.poolStatus(fleet)
	writeJSON(w, http.StatusOK, s)
}

// allowances returns the sum of the allowances of each team that has a ledger. It lists
// all ledgers in one call, so that the number of calls does not grow with the teams.
func (o *OperatorAPI) allowances(ctx context.Context) (map[string]int, error) {
	items, err := o.cfg.Committer.Store.List(ctx, limiter.KeyPrefix)
	if err != nil {
		return nil, err
	}
	sums := make(map[string]int, len(items))
	for _, item := range items {
		ledger, err := limiter.DecodeLedger(item.Value)
		if err != nil {
			return nil, err
		}
		sums[strings.TrimPrefix(item.Key, limiter.KeyPrefix)] = ledger.Sum()
	}
	return sums, nil
}

// poolStatus returns the pools of the region, including those without VMs.
func (o *OperatorAPI) poolStatus(fleet planner.Fleet) []PoolStatus {
	pools := map[string]PoolStatus{}
	counts := map[string]int{}
	for name := range o.regionPools() {
		pools[name] = PoolStatus{Name: name}
	}
	if o.cfg.Status != nil {
		for _, p := range o.cfg.Status.PoolStatus() {
			pools[p.Name] = p
		}
	}
	for _, vm := range fleet.VMs {
		counts[vm.Pool]++
		if _, ok := pools[vm.Pool]; !ok {
			pools[vm.Pool] = PoolStatus{Name: vm.Pool}
		}
	}
	list := make([]PoolStatus, 0, len(pools))
	for _, name := range slices.Sorted(maps.Keys(pools)) {
		p := pools[name]
		if fleet.VMs != nil {
			n := counts[name]
			p.VMs = &n
		}
		list = append(list, p)
	}
	return list
}
